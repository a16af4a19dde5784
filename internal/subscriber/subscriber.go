// Package subscriber is the control-plane client in entries and agents. It holds
// the last view of the configuration, exchanges heartbeats with one control host
// and proposes commands. Client does the last part alone, for operators.
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

	"github.com/damasklever/damasklever/internal/packer"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Subscriber holds the view. Its methods may be called from any goroutine.
type Subscriber struct {
	s      Settings
	t      timer.Service
	client *Client
	view   atomic.Pointer[View]
	ctx    context.Context //nolint:containedctx // it is the lifetime of the subscriber
	cancel context.CancelFunc
	work   sync.WaitGroup
	done   chan struct{}
	ending sync.Once

	mu      sync.Mutex
	changed chan struct{}
	link    *link
	host    int // index of the host to connect to next
	wait    backoff
	stops   []func()
	started bool
	entries int      // that the control host counts
	seeds   []string // configured control hosts
	named   []string // members that a control host has named
	// confirmed is the last time at which a quorum was known to stand behind the
	// view.
	confirmed time.Time
}

// link is the connection to one control host.
type link struct {
	addr   string
	ctx    context.Context //nolint:containedctx // it is the lifetime of the connection
	cancel context.CancelFunc
	beats  chan *wire.Beat
	heard  time.Time // last message
	// differs is when the host's index began to differ from that of the view,
	// which has stood at stuck since.
	differs time.Time
	stuck   uint64
}

// New checks the settings and returns a subscriber that Start connects.
func New(s Settings, t timer.Service) (*Subscriber, error) {
	client, err := NewClient(s, t)
	if err != nil {
		return nil, err
	}
	if err := client.s.validateAttach(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	sub := &Subscriber{
		s: client.s, t: t, client: client, ctx: ctx, cancel: cancel,
		done: make(chan struct{}), changed: make(chan struct{}),
		host: slices.Index(client.s.Hosts, client.prefer), wait: newBackoff(&client.s),
		seeds: slices.Clone(s.Hosts),
	}
	sub.view.Store(emptyView())

	return sub, nil
}

// Start begins to connect; it returns at once.
func (s *Subscriber) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started || s.ctx.Err() != nil {
		return
	}
	s.started = true
	s.stops = append(s.stops, s.t.Every(s.s.Beat, s.tick))
	s.connect()
}

// Close ends the subscription. The last view stays readable.
func (s *Subscriber) Close() {
	s.ending.Do(func() {
		s.mu.Lock()
		s.cancel()
		for _, stop := range s.stops {
			stop()
		}
		s.mu.Unlock()
		s.client.Close()
		go func() {
			s.work.Wait()
			close(s.done)
		}()
	})
}

// Done is closed when every goroutine has ended after Close.
func (s *Subscriber) Done() <-chan struct{} { return s.done }

// View returns the current view, which never changes; it is empty with index 0
// before the first update.
func (s *Subscriber) View() *View { return s.view.Load() }

// Changed returns a channel that is closed when the view is replaced. Take the
// channel first and read the view after it.
func (s *Subscriber) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

// Fresh reports whether a control host in touch with a quorum has confirmed the
// view within the Stale setting.
func (s *Subscriber) Fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.confirmed.IsZero() && now.Sub(s.confirmed) <= s.s.Stale
}

// Host returns the address of the control host that the process is attached to,
// or "" while there is none.
func (s *Subscriber) Host() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link == nil {
		return ""
	}

	return s.link.addr
}

// Propose sends a command, which needs an id, until a control host gives its
// final result or ctx ends. The error is a *ProposeError, which tells whether the
// command may have been stored.
func (s *Subscriber) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	return s.client.Propose(ctx, cmd)
}

// Entries returns how many entry processes there are as far as the last control
// host knew, 0 before the first pulse.
func (s *Subscriber) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.entries
}

// SetSeeds replaces the configured addresses of control hosts, "ip:port". Hosts
// that a control host has named since stay known.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(seeds)
	s.learn(s.named)
}

// learn takes the members that a control host names. The seeds stay in the list:
// they may be all that is left after an outage. It needs the lock.
func (s *Subscriber) learn(named []string) {
	s.named = named
	hosts := slices.Concat(s.seeds, named)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	if len(hosts) == 0 || slices.Equal(hosts, s.s.Hosts) {
		return
	}
	s.s.Hosts = hosts
	s.host %= len(hosts)
	s.client.setHosts(hosts)
	s.s.Log.Info().Strs("hosts", hosts).Msg("control hosts known")
}

// Beat sends a heartbeat at once, for example when the process begins to leave.
func (s *Subscriber) Beat() { s.tick(s.t.Now()) }

// connect starts a connection to the next host. It needs the lock.
func (s *Subscriber) connect() {
	l := &link{addr: s.s.Hosts[s.host%len(s.s.Hosts)], beats: make(chan *wire.Beat, 1), heard: s.t.Now()}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.link = l
	s.work.Add(1)
	go s.serve(l)
}

// serve runs one connection until it breaks or is given up.
func (s *Subscriber) serve(l *link) {
	defer s.work.Done()
	defer l.cancel()
	err := s.follow(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(l, err.Error())
}

func (s *Subscriber) follow(l *link) error {
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
	s.work.Add(1)
	go s.send(l, stream)
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
		u, err := packer.Unpack(n)
		if err != nil {
			return errors.Newf("read notice: %w", err)
		}
		if s.notice(l, n, u) {
			// An operator waits for the number of processes that have a change.
			s.Beat()
		}
	}
}

// send writes heartbeats; a slow connection must not hold up the timer.
func (s *Subscriber) send(l *link, stream Stream) {
	defer s.work.Done()
	defer l.cancel()
	for {
		select {
		case b := <-l.beats:
			if stream.Send(b) != nil {
				return
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// leave gives up a connection and goes to the next host after a wait. It needs
// the lock.
func (s *Subscriber) leave(l *link, reason string) {
	l.cancel()
	if s.link != l {
		return
	}
	s.link = nil
	if s.ctx.Err() != nil {
		return
	}
	s.host = (s.host + 1) % len(s.s.Hosts) // the list may have become shorter
	// Commands must not go first to the host that was just given up.
	s.client.replace(l.addr, s.s.Hosts[s.host])
	wait := s.wait.wait()
	s.s.Log.Warn().Str("host", l.addr).Str("reason", reason).Dur("wait", wait).Msg("control host left")
	s.stops = append(s.stops[:1], s.t.After(wait, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.link == nil && s.ctx.Err() == nil {
			s.connect()
		}
	}))
}

// tick runs at each heartbeat interval.
func (s *Subscriber) tick(now time.Time) {
	beat := &wire.Beat{Index: s.View().Index(), Leaving: s.s.Leaving(), Flights: latest(s.s.Flights()), Usages: s.s.Usages()}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.link
	if l == nil {
		return
	}
	if silence := now.Sub(l.heard); silence > s.s.Stale {
		s.leave(l, "silent for "+silence.String())

		return
	}
	// A heartbeat that still waits is replaced by the newer one.
	select {
	case <-l.beats:
	default:
	}
	l.beats <- beat
}

// maxFlights bounds a heartbeat to about 11 kB, since a node may spend 11 kB/s on
// the control plane and a heartbeat is sent every 2 s and at each change.
const maxFlights = 100

// latest returns the flights that are the most past their target.
func latest(flights []*wire.Flight) []*wire.Flight {
	if len(flights) <= maxFlights {
		return flights
	}
	flights = slices.Clone(flights)
	slices.SortStableFunc(flights, func(a, b *wire.Flight) int { return cmp.Compare(b.GetLate(), a.GetLate()) })

	return flights[:maxFlights]
}

// notice handles a message of the current connection, with the update that it holds if
// any, and reports whether it replaced the view.
func (s *Subscriber) notice(l *link, n *wire.Notice, u *wire.Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.link != l {
		return false
	}
	l.heard = s.t.Now()
	if u != nil {
		return s.update(l, u)
	}
	if p := n.GetPulse(); p != nil {
		s.pulse(l, p)
	}

	return false
}

// update replaces the view by a newer one. A host that is behind never takes the
// process back. It needs the lock.
func (s *Subscriber) update(l *link, u *wire.Update) bool {
	old := s.View()
	if u.GetIndex() <= old.Index() {
		return false
	}
	s.view.Store(old.next(u))
	close(s.changed)
	s.changed = make(chan struct{})
	s.s.Log.Debug().Str("host", l.addr).Uint64("index", u.GetIndex()).
		Uint64("revision", u.GetRevision()).Bool("full", u.GetFull()).Msg("view")

	return true
}

// pulse checks that the host is in touch with a quorum and that the view keeps
// up with it. It needs the lock.
func (s *Subscriber) pulse(l *link, p *wire.Pulse) {
	s.entries = int(p.GetEntries())
	if p.GetAllotted() {
		s.s.Allot(s.entries, p.GetAllotments())
	}
	if len(p.GetHosts()) > 0 {
		s.learn(p.GetHosts())
	}
	lease := time.Duration(p.GetLease()) * time.Millisecond
	if lease > s.s.Stale {
		s.leave(l, "it has not heard from a quorum for longer than "+s.s.Stale.String())

		return
	}
	if p.GetIndex() == s.View().Index() {
		l.differs = time.Time{}
		s.wait.reset()
		if at := l.heard.Add(-lease); at.After(s.confirmed) {
			s.confirmed = at
		}

		return
	}
	if index := s.View().Index(); l.differs.IsZero() || l.stuck != index {
		l.differs, l.stuck = l.heard, index
	}
	if l.heard.Sub(l.differs) > s.s.Stale {
		s.leave(l, "its index stays different")
	}
}
