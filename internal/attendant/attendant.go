package attendant

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/blamer"
	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/fencer"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// tickInterval is the resolution of leases and queue deadlines.
	tickInterval = 100 * time.Millisecond
	// loadInterval is the time between two Load messages.
	loadInterval = time.Second
	// sweepInterval is the time between two comparisons with the engine's work.
	sweepInterval = time.Second
	// isolateWait is the longest wait of a suspect for an idle server.
	isolateWait = 2 * time.Second
)

// Deps are the parts that the agent's surroundings provide. Timer and Log are
// required; without Registry nothing is measured, and without Control the agent
// connects to the control hosts of its settings.
type Deps struct {
	Timer    timer.Service
	Log      *log.Logger
	Registry prometheus.Registerer
	Control  Control
}

// Attendant is the agent process.
type Attendant struct {
	settings Settings
	deps     Deps
	epoch    uint64
	control  Control
	backend  backend
	meter    *meter
	listener *messenger.Listener

	ctx    context.Context //nolint:containedctx // lifetime of the process
	cancel context.CancelFunc
	work   sync.WaitGroup
	ready  chan struct{} // closed when the backend server was ready first
	done   chan struct{}
	once   sync.Once
	stops  []func()    // of the timers
	away   atomic.Bool // drained or ending

	// attachment is what the subscriber registers. It changes only before the
	// subscriber has started.
	attachment *wire.Attach
	kick       chan struct{} // wakes followOrders
	roles      int           // registrations of a changed role, by followOrders
	engine     string        // name of the engine, by the watcher

	mu         sync.Mutex // guards all below
	phase      string     // current role of an engine
	keeper     *keeper
	queue      *granter.Granter
	fencer     *fencer.Fencer
	operations map[string]*operation
	life       context.Context //nolint:containedctx // ends with a crash of the backend server
	endLife    context.CancelFunc
	watchers   map[*outbox]struct{} // control streams of entries
	boxes      map[*outbox]struct{} // all streams
	prefixes   map[uint64]struct{}  // cached by the engine
	events     uint64               // sequence of cache events sent
	rate       int64
	crashes    int
	orders     map[string]string // state of orders that run, for the dump
	ending     bool
	closed     bool // nothing new is started
	sweeping   bool
	drained    func() // stops the wait for the end
}

// New validates the settings and opens nothing.
func New(s Settings, d Deps) (*Attendant, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("agent settings: %w", err)
	}
	queue, err := granter.New(queueSettings(s, emptyView{}))
	if err != nil {
		return nil, errors.Newf("agent settings: %w", err)
	}
	record, err := blamer.New(blamer.Defaults())
	if err != nil {
		return nil, errors.Newf("agent settings: %w", err)
	}
	a := &Attendant{
		settings: s, deps: d, epoch: newEpoch(d.Timer.Now()), queue: queue,
		fencer: fencer.New(), meter: newMeter(s), backend: driver.New(s.Backend, s.Stall),
		ready: make(chan struct{}), done: make(chan struct{}),
		phase: s.Phase, kick: make(chan struct{}, 1), control: alone{},
		operations: make(map[string]*operation), watchers: make(map[*outbox]struct{}),
		boxes: make(map[*outbox]struct{}), prefixes: make(map[uint64]struct{}),
		orders: make(map[string]string),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.life, a.endLife = context.WithCancel(a.ctx)
	a.keeper = newKeeper(d.Timer.Now(), keeperSettings{
		epoch: a.epoch, plain: s.Phase == phasePlain,
		lease: s.Lease, linger: s.Linger, isolate: isolateWait,
	}, queue, record, a.meter)
	if d.Registry != nil {
		if err := a.meter.register(d.Registry); err != nil {
			return nil, err
		}
	}

	return a, nil
}

// newEpoch numbers the start of a process. A later start has a higher number
// even if both fall into the same millisecond of a clock that went back a little.
func newEpoch(now time.Time) uint64 {
	const randomBits = 16

	return uint64(now.UnixMilli())<<randomBits | uint64(rand.Uint32N(1<<randomBits)) //nolint:gosec // no secret
}

// Start opens the listener, begins to reconcile with the backend server and
// registers with control. It returns at once; the agent works until ctx ends,
// or Close, or Leave has completed. Nothing is granted before the backend
// server is reconciled.
func (a *Attendant) Start(ctx context.Context) error {
	// The listener comes first, because the registration names its address;
	// streams wait until the rest is there.
	started := make(chan struct{})
	serve := func(ctx context.Context, s *messenger.Stream) {
		select {
		case <-started:
			a.serve(ctx, s)
		case <-ctx.Done():
		}
	}
	listener, err := messenger.Listen(a.settings.Listen, serve) //nolint:contextcheck // the listener ends with Close
	if err != nil {
		return errors.Newf("start agent: %w", err)
	}
	a.listener = listener
	a.attachment = a.attach()
	control, err := a.connect(a.deps.Timer)
	if err != nil {
		_ = listener.Close()

		return err
	}
	a.control = control
	a.keeper.blocked = func(digest string, now time.Time) bool {
		return control.View().Blocked(digest, now) != nil
	}
	close(started)
	stops := []func(){
		a.deps.Timer.Every(tickInterval, a.tick),
		a.deps.Timer.Every(loadInterval, a.sendLoad),
		a.deps.Timer.Every(sweepInterval, a.startSweep),
	}
	a.stops = stops
	context.AfterFunc(ctx, func() { _ = a.Close() })
	watch := a.watchEngine
	if a.settings.Phase == phasePlain {
		watch = a.watchPlain
	}
	a.work.Go(func() { watch(a.ctx) })
	a.work.Go(func() { a.register(a.ctx) })

	return nil
}

// register joins the fleet once the backend server is ready, so that entries do
// not ask a server that cannot grant yet.
func (a *Attendant) register(ctx context.Context) {
	select {
	case <-a.ready:
	case <-ctx.Done():
		return
	}
	a.mu.Lock()
	a.attachment.Phase = a.phase
	a.mu.Unlock()
	a.control.Start()
	a.work.Go(func() { a.follow(ctx) })
	a.work.Go(func() { a.followOrders(ctx) })
	if a.settings.Hosts != "" {
		a.work.Go(func() { a.followHosts(ctx) })
	}
}

// Addr returns the address that entries dial, "ip:port". Without an address in
// the settings it is valid after Start.
func (a *Attendant) Addr() string {
	if a.settings.Addr != "" {
		return a.settings.Addr
	}
	if a.listener == nil {
		return a.settings.Listen
	}

	return a.listener.Addr()
}

// Epoch returns the number of this start of the process.
func (a *Attendant) Epoch() uint64 { return a.epoch }

// Ready reports whether the agent grants work.
func (a *Attendant) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.keeper.up && a.keeper.leaving == ""
}

// Done is closed when the agent has ended.
func (a *Attendant) Done() <-chan struct{} { return a.done }

// Leave rejects new asks with the reason, lets running work finish for at most
// the drain time of the settings and then ends the agent. Only the first call
// has an effect.
func (a *Attendant) Leave(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ending {
		return
	}
	a.ending = true
	a.away.Store(true)
	now := a.deps.Timer.Now()
	a.deps.Log.Info().Str("server", a.settings.Name).Str("reason", reason).Msg("leave")
	a.perform(a.keeper.Leave(now, reason))
	a.drained = a.deps.Timer.After(a.settings.Drain, func(time.Time) { a.end() })
	go a.sendLoad(now)
}

// end ends the agent from a callback, which must not block.
func (a *Attendant) end() {
	go func() {
		a.deregister()
		_ = a.Close()
	}()
}

// Close ends the agent at once, without waiting for running work. Replies that
// are queued are sent first.
func (a *Attendant) Close() error {
	a.once.Do(func() {
		for _, box := range a.allBoxes() {
			box.Flush()
		}
		for _, stop := range a.stops {
			stop()
		}
		a.mu.Lock()
		a.closed = true
		a.mu.Unlock()
		a.cancel()
		if a.listener != nil {
			_ = a.listener.Close()
		}
		a.work.Wait()
		a.control.Close()
		a.backend.Close()
		close(a.done)
	})
	<-a.done

	return nil
}

func (a *Attendant) allBoxes() []*outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*outbox, 0, len(a.boxes))
	for box := range a.boxes {
		list = append(list, box)
	}

	return list
}

func (a *Attendant) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.keeper.Tick(now))
	load := a.queue.Load(now)
	a.meter.load(load.Total, load.Free)
	if a.ending && a.drained != nil && a.keeper.Idle(now) {
		a.drained()
		a.drained = nil
		a.end()
	}
}

func (a *Attendant) startSweep(time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sweeping || a.closed {
		return
	}
	a.sweeping = true
	a.work.Go(func() {
		a.sweep(a.ctx)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.sweeping = false
	})
}

// hostOf returns the host part of an address.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}

	return host
}
