// Package controller implements the control process. It replicates the log among the
// control hosts, applies it to the state machine, and serves attached processes and
// operators.
package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/limiter"
	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/throttler"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// ticksPerHeartbeat is the number of ticks of the replication core per heartbeat
	// interval.
	ticksPerHeartbeat = 4
	eventQueueSize    = 1024
	// transferPollInterval is the time between checks whether another host leads.
	transferPollInterval = 5 * time.Millisecond
	// maxEventsPerSync bounds how many events are handled before one disk sync.
	maxEventsPerSync = 512
)

// ErrClosed is returned by calls on a control host that has been closed.
var ErrClosed = errors.New("control host is closed")

// Controller is one control host. Create it with New.
type Controller struct {
	s           Settings
	ownTimer    *timer.Real // set if New started the timer
	rec         *recorder.Recorder
	self        *wire.Member
	state       State
	core        *replicator.Core
	links       *links
	attachments *attachments
	writeCounts *writeCounts

	listener     *messenger.Listener
	ctx          context.Context //nolint:containedctx // bounds the lifetime of the controller
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	events       chan func()
	peerMessages chan *wire.Peer
	ticks        chan time.Time
	loopDone     chan struct{} // closed when the event loop has ended
	serving      chan struct{} // closed when Start has prepared everything to serve streams
	done         chan struct{}
	closeOnce    sync.Once
	bootstrapped atomic.Bool
	founding     atomic.Bool                  // set before the first members are written
	knownMembers atomic.Pointer[wire.Members] // nil until the members of the cluster are known
	mu           sync.Mutex
	err          error

	// The fields below, core and state are accessed only by the event loop, except
	// quotas and the store in hosts, which have locks of their own.
	loggedStatus      loggedStatus
	applied           uint64
	lastCommandMillis int64 // time of the last command in Unix milliseconds
	proposals         map[uint64]*proposal
	pendingReads      map[uint64]chan replicator.ReadResult
	lastReadID        uint64
	applyWaiters      map[uint64][]chan struct{} // by the index waited for
	snapshotIndex     uint64                     // index of the latest snapshot
	snapshotBytes     int                        // size of its data
	appliedBytes      int                        // size of the entries applied after it
	compacting        bool                       // whether a snapshot is being taken
	fatalErr          error                      // stops the event loop
	updates           map[uint64]*update         // cached since the last change, by the index that they start from
	members           *wire.Members
	checkingAbsence   bool   // whether processes are being queried
	announcedWrites   uint64 // write count last sent to the other members
	hosts             hostList
	versions          listedVersions
	quotas            quotas
	allocator         *limiter.Allocator // nil unless this host leads
	distributor       *throttler.Distributor
	allotments        []*wire.Quota         // computed in the last round
	allocatedAt       time.Time             // when the last round began
	allocating        bool                  // whether quotas are being exchanged
	detachedSince     map[entryID]time.Time // when the entry processes with claims were found detached, or last proposed as absent
}

// New validates the settings and opens the data directory. The caller must call
// Close on the returned controller even if it never calls Start.
func New(s Settings) (*Controller, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("create controller: %w", err)
	}
	rec, err := openRecorder(s)
	if err != nil {
		return nil, errors.Newf("create controller: %w", err)
	}
	c := &Controller{
		s: s, rec: rec, state: s.State,
		events: make(chan func(), eventQueueSize), peerMessages: make(chan *wire.Peer, eventQueueSize),
		ticks: make(chan time.Time, 1), loopDone: make(chan struct{}), serving: make(chan struct{}), done: make(chan struct{}),
		proposals: make(map[uint64]*proposal), pendingReads: make(map[uint64]chan replicator.ReadResult),
		applyWaiters: make(map[uint64][]chan struct{}), updates: make(map[uint64]*update),
		attachments: newAttachments(), writeCounts: newWriteCounts(), hosts: hostList{store: lister.NewStore()},
	}
	st, err := rec.Load()
	if err != nil {
		return nil, errors.Newf("create controller: %w", errors.CombineErrors(err, rec.Close()))
	}
	if st.Snapshot != nil {
		c.knownMembers.Store(st.Snapshot.GetMembers())
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.s.Timer == nil {
		c.ownTimer = timer.New()
		c.s.Timer = c.ownTimer
	}
	if c.s.Seed == 0 {
		c.s.Seed = rand.Uint64() //nolint:gosec // election timeouts need no secrecy
	}

	return c, nil
}

// Start starts listening and joins the replicated log. It does not wait for a leader.
// Until the members of a new cluster have discovered each other, only identity
// requests are served. The controller runs until Close, not until the context ends.
//
//nolint:contextcheck // see above
func (c *Controller) Start(_ context.Context) error {
	c.self = &wire.Member{Id: c.rec.Identity().GetId(), Number: c.s.Number}
	l, err := messenger.ListenWithin(messenger.Limits{Memory: c.s.Memory, Sessions: c.s.Sessions, Registry: c.s.Registry}, c.s.Listen, c.serve)
	if err != nil {
		return errors.Newf("start controller: %w", err)
	}
	c.mu.Lock()
	c.listener = l
	c.self.Addr = c.advertisedAddr(l.Addr())
	c.links = newLinks(c.ctx, c.self, c.rec.Mark(), &c.wg)
	c.mu.Unlock()
	close(c.serving)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer close(c.loopDone)
		if err := c.runMember(); err != nil && !errors.Is(err, ErrClosed) {
			c.fail(err)
		}
	}()

	return nil
}

// advertisedAddr returns the address by which the other hosts know this one. A single
// member may let the system choose its port.
func (c *Controller) advertisedAddr(listen string) string {
	for _, m := range c.s.Members {
		if _, port, _ := net.SplitHostPort(m.GetAddr()); m.GetNumber() == c.s.Number && port != "0" {
			return m.GetAddr()
		}
	}

	return listen
}

// runMember bootstraps the cluster if necessary and runs the event loop until Close.
func (c *Controller) runMember() error {
	if err := c.bootstrap(); err != nil {
		return err
	}
	st, err := c.rec.Load()
	if err != nil {
		return errors.Newf("load data directory: %w", err)
	}
	c.core, err = replicator.New(replicator.Settings{
		ID: c.self.GetId(), ElectionTimeout: c.s.ElectionTimeout, HeartbeatInterval: c.s.HeartbeatInterval, Seed: c.s.Seed,
	}, replicator.State(st))
	if err != nil {
		return errors.Newf("start replication: %w", err)
	}
	if err := c.restore(st.Snapshot); err != nil {
		return err
	}
	c.updateMembers()
	stop := c.s.Timer.Every(c.s.HeartbeatInterval/ticksPerHeartbeat, c.tick)
	defer stop()
	defer c.s.Timer.Every(min(absenceInterval, c.s.AbsentTimeout/3), func(time.Time) { c.tryPost(c.checkAbsence) })()
	if c.s.Hosts != nil {
		defer c.s.Timer.Every(c.s.List/listChecksPerInterval, func(time.Time) { c.tryPost(c.readHostList) })()
	}
	defer c.s.Timer.Every(quotaInterval, func(time.Time) { c.tryPost(c.allocateQuotas) })()
	if c.s.Repair {
		defer c.s.Timer.Every(repairInterval, func(time.Time) { c.tryPost(c.removeDeadMember) })()
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.maintainMembership()
		}()
	}
	c.tick(c.s.Timer.Now())
	c.bootstrapped.Store(true)
	c.s.Log.Info().Uint64("number", c.s.Number).Str("addr", c.self.GetAddr()).
		Uint64("index", c.core.Status().Last).Msg("control host started")

	return c.runLoop()
}

// tick never blocks. It drops the tick if the previous one is still queued, as either
// serves the same purpose.
func (c *Controller) tick(now time.Time) {
	select {
	case c.ticks <- now:
	default:
	}
}

// Addr returns the listen address as "ip:port". It is empty before Start.
func (c *Controller) Addr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil {
		return ""
	}

	return c.listener.Addr()
}

// Done is closed when the controller has stopped, after Close or a fatal error.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Err returns the error that stopped the controller, or nil.
func (c *Controller) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.err
}

// fail stops the controller after a fatal error.
func (c *Controller) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.s.Log.Error().Err(err).Msg("control host failed")
	go func() { _ = c.Close() }()
}

// transferLeadership transfers the leadership to another host and waits for it, so that
// stopping the leader does not cost an election timeout.
func (c *Controller) transferLeadership() {
	ctx, cancel := c.withTimeout(c.ctx, c.s.ElectionTimeout)
	defer cancel()
	waits := false
	c.do(func() { waits = c.core.Yield() })
	for waits && c.sleep(ctx, transferPollInterval) {
		waits = false
		c.do(func() {
			// This host steps down on the candidate's vote request, before the
			// candidate has won the election.
			st := c.core.Status()
			waits = st.Role == replicator.Leader || st.Leader == 0
		})
	}
}

// Close transfers the leadership, stops the controller and closes the data directory. It
// returns when all of this is done.
func (c *Controller) Close() error {
	c.closeOnce.Do(func() {
		c.transferLeadership()
		c.cancel()
		c.mu.Lock()
		l := c.listener
		c.mu.Unlock()
		var err error
		if l != nil {
			err = l.Close()
		}
		c.wg.Wait()
		err = errors.CombineErrors(err, c.rec.Close())
		if c.ownTimer != nil {
			c.ownTimer.Close()
		}
		c.mu.Lock()
		if c.err == nil && err != nil {
			c.err = errors.Newf("close controller: %w", err)
		}
		c.mu.Unlock()
		close(c.done)
	})
	<-c.done

	return c.Err()
}
