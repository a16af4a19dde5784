// Package controller is the control process: it keeps the replicated log with
// the other control hosts, applies it to the state and serves the processes and
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
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// ticksPerHeartbeat is how often the core is told the time.
	ticksPerHeartbeat = 4
	eventBacklog      = 1024
	// yieldInterval is the time between two looks whether another host leads.
	yieldInterval = 5 * time.Millisecond
	// eventsPerRound bounds how many events share one sync.
	eventsPerRound = 512
)

// ErrClosed is returned by calls on a control host that has ended.
var ErrClosed = errors.New("control host is closed")

// Controller is one control host.
type Controller struct {
	s           Settings
	own         *timer.Real // if New started it
	rec         *recorder.Recorder
	me          *wire.Member
	state       State
	core        *replicator.Core
	links       *links
	attachments *attachments
	marks       *marks

	listener *messenger.Listener
	ctx      context.Context //nolint:containedctx // it is the lifetime of the process
	cancel   context.CancelFunc
	work     sync.WaitGroup
	events   chan func()
	inbox    chan *wire.Peer
	ticks    chan time.Time
	looped   chan struct{} // closed when the event loop has ended
	started  chan struct{} // closed when streams can be served
	done     chan struct{}
	once     sync.Once
	founded  atomic.Bool
	recorded atomic.Pointer[wire.Members] // nil until the cluster is founded
	mu       sync.Mutex
	err      error

	// The event loop owns what follows, together with core and state.
	reported  reported
	applied   uint64
	clock     int64 // Unix milliseconds of the last command
	waiting   map[uint64]*waiter
	reading   map[uint64]chan replicator.Read
	reads     uint64
	arrivals  map[uint64][]chan struct{} // waits until an index is applied
	compacted uint64                     // index of the latest snapshot
	packed    int                        // bytes of its data
	grown     int                        // bytes of entries applied after it
	packing   bool                       // a snapshot is being taken
	fault     error                      // ends the event loop
	updates   map[uint64]*update         // by the index asked for, since the last change
	members   *wire.Members
	counting  bool   // a census is running
	announced uint64 // mark that the other members were told
	hosts     hostList
	quotas    quotas
	limits    *limiter.Allocator    // of the leader
	allotted  []*wire.Quota         // by the leader, in its last round
	dividing  bool                  // quotas are being exchanged
	missing   map[entryID]time.Time // entry processes with claims that are not attached, since when
}

// New checks the settings and opens the data directory. The caller ends the
// returned controller by Close even if it never starts it.
func New(s Settings) (*Controller, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("new controller: %w", err)
	}
	rec, err := openRecorder(s)
	if err != nil {
		return nil, errors.Newf("new controller: %w", err)
	}
	c := &Controller{
		s: s, rec: rec, state: s.State,
		events: make(chan func(), eventBacklog), inbox: make(chan *wire.Peer, eventBacklog),
		ticks: make(chan time.Time, 1), looped: make(chan struct{}), started: make(chan struct{}), done: make(chan struct{}),
		waiting: make(map[uint64]*waiter), reading: make(map[uint64]chan replicator.Read),
		arrivals: make(map[uint64][]chan struct{}), updates: make(map[uint64]*update),
		attachments: newAttachments(), marks: newMarks(), hosts: hostList{board: lister.NewBoard()},
	}
	st, err := rec.Load()
	if err != nil {
		return nil, errors.Newf("new controller: %w", errors.CombineErrors(err, rec.Close()))
	}
	if st.Snapshot != nil {
		c.recorded.Store(st.Snapshot.GetMembers())
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.s.Timer == nil {
		c.own = timer.New()
		c.s.Timer = c.own
	}
	if c.s.Seed == 0 {
		c.s.Seed = rand.Uint64() //nolint:gosec // election timeouts need no secrecy
	}

	return c, nil
}

// Start listens and takes part in the log. It does not wait for a leader. Until
// the members of a new cluster have met, it serves nothing but their greetings.
// The process lives until Close, not until the context ends.
//
//nolint:contextcheck // see above
func (c *Controller) Start(_ context.Context) error {
	c.me = &wire.Member{Id: c.rec.Identity().GetId(), Number: c.s.Number}
	l, err := messenger.Listen(c.s.Listen, c.serve)
	if err != nil {
		return errors.Newf("start controller: %w", err)
	}
	c.mu.Lock()
	c.listener = l
	c.me.Addr = c.address(l.Addr())
	c.links = newLinks(c.ctx, c.me, c.rec.Mark(), &c.work)
	c.mu.Unlock()
	close(c.started)
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		defer close(c.looped)
		if err := c.takePart(); err != nil && !errors.Is(err, ErrClosed) {
			c.fail(err)
		}
	}()

	return nil
}

// address returns the address under which the others know this host. A lone
// member may leave the choice of its port to the system.
func (c *Controller) address(listen string) string {
	for _, m := range c.s.Members {
		if _, port, _ := net.SplitHostPort(m.GetAddr()); m.GetNumber() == c.s.Number && port != "0" {
			return m.GetAddr()
		}
	}

	return listen
}

// takePart founds the cluster if need be and runs the event loop until Close.
func (c *Controller) takePart() error {
	if err := c.found(); err != nil {
		return err
	}
	st, err := c.rec.Load()
	if err != nil {
		return errors.Newf("load log: %w", err)
	}
	c.core, err = replicator.New(replicator.Settings{
		ID: c.me.GetId(), Election: c.s.Election, Heartbeat: c.s.Heartbeat, Seed: c.s.Seed,
	}, replicator.State(st))
	if err != nil {
		return errors.Newf("start log: %w", err)
	}
	if err := c.restore(st.Snapshot); err != nil {
		return err
	}
	c.followMembers()
	stop := c.s.Timer.Every(c.s.Heartbeat/ticksPerHeartbeat, c.tick)
	defer stop()
	defer c.s.Timer.Every(min(censusInterval, c.s.Absent/3), func(time.Time) { c.post(c.startCensus) })()
	if c.s.Hosts != nil {
		defer c.s.Timer.Every(c.s.List/listLooks, func(time.Time) { c.post(c.list) })()
	}
	defer c.s.Timer.Every(quotaInterval, func(time.Time) { c.post(c.divide) })()
	if c.s.Repair {
		defer c.s.Timer.Every(repairInterval, func(time.Time) { c.post(c.trim) })()
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			c.enrol()
		}()
	}
	c.tick(c.s.Timer.Now())
	c.founded.Store(true)
	c.s.Log.Info().Uint64("number", c.s.Number).Str("addr", c.me.GetAddr()).
		Uint64("index", c.core.Status().Last).Msg("control started")

	return c.run()
}

// tick must not block: a tick that is not taken yet is as good as the next.
func (c *Controller) tick(now time.Time) {
	select {
	case c.ticks <- now:
	default:
	}
}

// Addr returns the address served, "ip:port". It is empty before Start.
func (c *Controller) Addr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil {
		return ""
	}

	return c.listener.Addr()
}

// Done is closed when the process has ended, by Close or by a fault.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Err returns the fault that ended the process, or nil.
func (c *Controller) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.err
}

// fail ends the process because of a fault that it cannot go on with.
func (c *Controller) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.s.Log.Error().Err(err).Msg("control failed")
	go func() { _ = c.Close() }()
}

// yield hands the leadership over and waits for it, so that the end of the leader
// costs no election timeout.
func (c *Controller) yield() {
	ctx, cancel := c.within(c.ctx, c.s.Election)
	defer cancel()
	waits := false
	c.do(func() { waits = c.core.Yield() })
	for waits && c.pause(ctx, yieldInterval) {
		waits = false
		c.do(func() {
			// This host steps down for the candidate's ballot already, before the
			// candidate has won.
			st := c.core.Status()
			waits = st.Role == replicator.Leader || st.Leader == 0
		})
	}
}

// Close hands the leadership over, ends the process, closes the data directory and waits for both.
func (c *Controller) Close() error {
	c.once.Do(func() {
		c.yield()
		c.cancel()
		c.mu.Lock()
		l := c.listener
		c.mu.Unlock()
		var err error
		if l != nil {
			err = l.Close()
		}
		c.work.Wait()
		err = errors.CombineErrors(err, c.rec.Close())
		if c.own != nil {
			c.own.Close()
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
