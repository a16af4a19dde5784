// Package subscriber is the control-plane client of entries and agents. A
// Subscriber receives the configuration from one control host at a time, sends it
// heartbeats and proposes commands. A Client only proposes commands and sends
// queries; the operators' tool uses it.
package subscriber

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/compressor"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Subscriber keeps an up-to-date View of the configuration. Its methods may be
// called concurrently.
type Subscriber struct {
	s      Settings
	clock  timer.Service
	client *Client
	view   atomic.Pointer[View]
	// entryCount is the number of entries as counted by the control host.
	entryCount atomic.Int64
	ctx        context.Context //nolint:containedctx // lifetime of the subscriber
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	done       chan struct{}
	closeOnce  sync.Once

	mu         sync.Mutex
	versions   versionsQuery
	changed    chan struct{}
	link       *link
	nextHost   int // index of the host to connect to next
	wait       backoff
	stopTimers []func() // stops the heartbeat timer and the reconnect timer
	started    bool
	seeds      []string // configured control hosts
	members    []string // control hosts announced by a control host
	// confirmedAt is the latest time at which the view is known to have been current
	// at a quorum.
	confirmedAt time.Time
}

// link is the connection to one control host.
type link struct {
	addr       string
	ctx        context.Context //nolint:containedctx // lifetime of the connection
	cancel     context.CancelFunc
	heartbeats chan *wire.Beat
	lastHeard  time.Time // time of the last message
	// differsSince is the time since which the host's index has differed from the
	// index of the view, while the latter has remained at stuckIndex. It is zero
	// while they are equal.
	differsSince time.Time
	stuckIndex   uint64
}

// New checks the settings and returns a subscriber. Start connects it.
func New(s Settings, clock timer.Service) (*Subscriber, error) {
	client, err := NewClient(s, clock)
	if err != nil {
		return nil, err
	}
	if err := client.s.validateAttach(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	sub := &Subscriber{
		s: client.s, clock: clock, client: client, ctx: ctx, cancel: cancel,
		done: make(chan struct{}), changed: make(chan struct{}),
		nextHost: slices.Index(client.s.Hosts, client.preferredHost), wait: newBackoff(&client.s),
		seeds: slices.Clone(s.Hosts),
	}
	sub.view.Store(emptyView())

	return sub, nil
}

// Start starts to connect in the background.
func (s *Subscriber) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started || s.ctx.Err() != nil {
		return
	}
	s.started = true
	s.stopTimers = append(s.stopTimers, s.clock.Every(s.s.HeartbeatInterval, s.tick))
	s.connect()
}

// Close ends the subscription. The last view remains available.
func (s *Subscriber) Close() {
	s.closeOnce.Do(func() {
		s.mu.Lock()
		s.cancel()
		for _, stop := range s.stopTimers {
			stop()
		}
		s.mu.Unlock()
		s.client.Close()
		go func() {
			s.wg.Wait()
			close(s.done)
		}()
	})
}

// Done returns a channel that is closed when all goroutines have ended after
// Close.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// View returns the current view. Before the first update it is empty and has index
// 0.
func (s *Subscriber) View() *View { return s.view.Load() }

// Changed returns a channel that is closed when the view is replaced. To miss no
// change, call Changed before View.
func (s *Subscriber) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

// Fresh reports whether the view was confirmed within Settings.StaleAfter by a
// control host that is in contact with a quorum.
func (s *Subscriber) Fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) <= s.s.StaleAfter
}

// Host returns the address of the control host that the subscriber is connected
// or connecting to, or "" if there is none.
func (s *Subscriber) Host() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil {
		return ""
	}

	return s.link.addr
}

// Propose sends a command, which must have an id, until a control host returns a
// final result or ctx ends. The error is a *ProposeError, which reports whether the
// command may have been stored.
func (s *Subscriber) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	return s.client.Propose(ctx, cmd)
}

// Entries returns the number of entry processes according to the last pulse from a
// control host that was up to date, 0 before the first one.
func (s *Subscriber) Entries() int { return int(s.entryCount.Load()) }

// ControlHosts returns the control hosts that a control host last announced, none before that,
// and the configured ones.
func (s *Subscriber) ControlHosts() (members, seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.members), slices.Clone(s.seeds)
}

// SetSeeds replaces the configured addresses of control hosts, "ip:port". The
// subscriber continues to use hosts announced by a control host as well.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(seeds)
	s.updateHosts(s.members)
}

// updateHosts sets the control hosts to connect to: the seeds and the given
// members, which a control host announced. The seeds are retained because after an
// outage they may be the only hosts left. The caller must hold s.mu.
func (s *Subscriber) updateHosts(members []string) {
	s.members = members
	hosts := slices.Concat(s.seeds, members)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	if len(hosts) == 0 || slices.Equal(hosts, s.s.Hosts) {
		return
	}
	s.s.Hosts = hosts
	s.nextHost %= len(hosts)
	s.client.setHosts(hosts)
	s.s.Log.Info().Strs("hosts", hosts).Msg("list of control hosts changed")
}

// SendHeartbeat sends a heartbeat immediately, for example when the process starts
// to shut down.
func (s *Subscriber) SendHeartbeat() { s.tick(s.clock.Now()) }

// connect starts a connection to the next host. The caller must hold s.mu.
func (s *Subscriber) connect() {
	l := &link{addr: s.s.Hosts[s.nextHost%len(s.s.Hosts)], heartbeats: make(chan *wire.Beat, 1), lastHeard: s.clock.Now()}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.link = l
	s.wg.Add(1)
	go s.runLink(l)
}

// runLink runs one connection until it fails or the subscriber disconnects.
func (s *Subscriber) runLink(l *link) {
	defer s.wg.Done()
	defer l.cancel()
	err := s.runSession(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnect(l, err.Error())
}

// runSession connects to the host, attaches the process, and handles notices until
// an error occurs.
func (s *Subscriber) runSession(l *link) error {
	session, err := s.s.Dial(l.ctx, l.addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(l.ctx, func() { _ = session.Close() })()
	defer func() { _ = session.Close() }()
	stream, err := session.Open(l.ctx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	attach, _ := proto.Clone(s.s.Attach).(*wire.Attach)
	attach.Index = s.View().Index()
	if err := stream.Send(&wire.Request{Body: &wire.Request_Attach{Attach: attach}}); err != nil {
		return errors.Newf("attach: %w", err)
	}
	s.wg.Add(1)
	go s.sendHeartbeats(l, stream)
	first := true
	for {
		n := &wire.Notice{}
		if err := stream.Recv(n); err != nil {
			return errors.Newf("read notice: %w", err)
		}
		if m := n.GetListing(); m != nil && s.s.Listing != nil {
			s.s.Listing(first, m)
			first = false
		}
		u, err := compressor.Decompress(n)
		if err != nil {
			return errors.Newf("decompress notice: %w", err)
		}
		if s.handleNotice(l, n, u) {
			// Reports the new index at once, because an operator may be waiting for
			// the number of processes that have applied a change.
			s.SendHeartbeat()
		}
	}
}

// sendHeartbeats writes the heartbeats of a connection. It has its own goroutine so
// that a slow connection does not block the timer.
func (s *Subscriber) sendHeartbeats(l *link, stream Stream) {
	defer s.wg.Done()
	defer l.cancel()
	for {
		select {
		case b := <-l.heartbeats:
			if stream.Send(b) != nil {
				return
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// disconnect ends a connection and schedules a connection to the next host. The
// caller must hold s.mu.
func (s *Subscriber) disconnect(l *link, reason string) {
	l.cancel()
	if s.link != l {
		return
	}
	s.link = nil
	if s.ctx.Err() != nil {
		return
	}
	s.nextHost = (s.nextHost + 1) % len(s.s.Hosts) // the list may have become shorter
	// Commands must not be sent first to the host that was just disconnected.
	s.client.replacePreferred(l.addr, s.s.Hosts[s.nextHost])
	wait := s.wait.wait()
	s.s.Log.Warn().Str("host", l.addr).Str("reason", reason).Dur("wait", wait).Msg("disconnected from control host")
	s.stopTimers = append(s.stopTimers[:1], s.clock.After(wait, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.link == nil && s.ctx.Err() == nil {
			s.connect()
		}
	}))
}

// tick sends a heartbeat, or disconnects from a host that has been silent for too
// long. It is called at every heartbeat interval.
func (s *Subscriber) tick(now time.Time) {
	beat := &wire.Beat{
		Index: s.View().Index(), Leaving: s.s.Leaving(), Flights: mostOverdue(s.s.Flights()), Usages: s.s.Usages(),
		Throttles: s.s.Throttles(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.link
	if l == nil {
		return
	}
	if silence := now.Sub(l.lastHeard); silence > s.s.StaleAfter {
		s.disconnect(l, "no message for "+silence.String())

		return
	}
	// A heartbeat that is still queued is replaced by the new one.
	select {
	case <-l.heartbeats:
	default:
	}
	l.heartbeats <- beat
}

// maxReportedFlights limits a heartbeat to about 11 kB: a node may use up to 11 kB/s
// for the control plane, and a heartbeat is sent every 2 s and after every change of
// the view.
const maxReportedFlights = 100

// mostOverdue returns the requests in flight that are furthest past their target,
// at most maxReportedFlights.
func mostOverdue(flights []*wire.Flight) []*wire.Flight {
	if len(flights) <= maxReportedFlights {
		return flights
	}
	flights = slices.Clone(flights)
	slices.SortStableFunc(flights, func(a, b *wire.Flight) int { return cmp.Compare(b.GetLate(), a.GetLate()) })

	return flights[:maxReportedFlights]
}

// handleNotice handles a message on connection l and reports whether the view was
// replaced. u is the update that the message contains, or nil.
func (s *Subscriber) handleNotice(l *link, n *wire.Notice, u *wire.Update) bool {
	replaced, current := s.applyNotice(l, n, u)
	if p := n.GetPulse(); current && u == nil && p.GetAllotted() {
		// The receivers have locks of their own, so s.mu must not be held.
		s.s.SetAllotments(s.Entries(), p.GetAllotments())
		s.s.SetGrants(p.GetGrants())
	}

	return replaced
}

// applyNotice applies a message to the state of the subscriber. It reports whether the
// view was replaced, and whether l is the current connection.
func (s *Subscriber) applyNotice(l *link, n *wire.Notice, u *wire.Update) (replaced, current bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != l {
		return false, false
	}
	l.lastHeard = s.clock.Now()
	if u != nil {
		return s.applyUpdate(l, u), true
	}
	if p := n.GetPulse(); p != nil {
		s.handlePulse(l, p)
	}

	return false, true
}

// applyUpdate applies an update to the view. An update that is not newer than the
// view is ignored, so a host that lags behind never reverts the view. The caller
// must hold s.mu.
func (s *Subscriber) applyUpdate(l *link, u *wire.Update) bool {
	old := s.View()
	if u.GetIndex() <= old.Index() {
		return false
	}
	s.view.Store(old.apply(u))
	close(s.changed)
	s.changed = make(chan struct{})
	s.s.Log.Debug().Str("host", l.addr).Uint64("index", u.GetIndex()).
		Uint64("revision", u.GetRevision()).Bool("full", u.GetFull()).Msg("view updated")

	return true
}

// handlePulse checks that the host is in contact with a quorum and that the view
// keeps up with the host. The caller must hold s.mu.
func (s *Subscriber) handlePulse(l *link, p *wire.Pulse) {
	lease := time.Duration(p.GetLease()) * time.Millisecond
	// A host that is starting or cut off has registered only some of the entries, or none.
	if p.GetEntries() > 0 && lease <= s.s.StaleAfter && p.GetIndex() >= s.View().Index() {
		s.entryCount.Store(int64(p.GetEntries()))
	}
	if len(p.GetHosts()) > 0 {
		s.updateHosts(p.GetHosts())
	}
	if lease > s.s.StaleAfter {
		s.disconnect(l, "host has had no contact with a quorum for more than "+s.s.StaleAfter.String())

		return
	}
	if p.GetIndex() == s.View().Index() {
		l.differsSince = time.Time{}
		s.wait.reset()
		if at := l.lastHeard.Add(-lease); at.After(s.confirmedAt) {
			s.confirmedAt = at
		}

		return
	}
	if index := s.View().Index(); l.differsSince.IsZero() || l.stuckIndex != index {
		l.differsSince, l.stuckIndex = l.lastHeard, index
	}
	if l.lastHeard.Sub(l.differsSince) > s.s.StaleAfter {
		s.disconnect(l, "index of the host has differed from the index of the view for too long")
	}
}
