package agent

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

	"github.com/damasklever/damasklever/internal/correlator"
	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/fencer"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// tickInterval is the interval at which leases and queue deadlines are checked.
	tickInterval = 100 * time.Millisecond
	// loadInterval is the interval between Load messages to entries.
	loadInterval = time.Second
	// compareInterval is the interval at which the engine's work is compared with the
	// attempts.
	compareInterval = time.Second
	// suspectIsolateTimeout is the maximum time that a suspect waits for an idle
	// server.
	suspectIsolateTimeout = 2 * time.Second
)

// Deps are the services of the process that an agent uses. Timer and Log are required.
// If Registry is nil, no metrics are registered. If Control is nil, the agent connects
// to the control hosts in its settings.
type Deps struct {
	Timer    timer.Service
	Log      *log.Logger
	Registry prometheus.Registerer
	Control  Control
}

// Agent is the agent of one backend server. Create it with New.
type Agent struct {
	settings Settings
	deps     Deps
	epoch    uint64
	control  Control
	backend  backend
	metrics  *metrics
	listener *messenger.Listener

	ctx        context.Context //nolint:containedctx // lifetime of the process
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	ready      chan struct{} // closed once the backend server is ready for the first time
	done       chan struct{}
	closeOnce  sync.Once
	stopTimers []func()    // stop the periodic timers
	leaving    atomic.Bool // drained by an operator, or shutting down
	drainer    *drainer.Drainer

	// initialAttach is the registration sent by the subscriber. It must not change
	// after the subscriber has started.
	initialAttach *wire.Attach
	wakeOrders    chan struct{} // makes followOrders read the view again
	roleChanges   int           // number of registrations of a changed role; used by followOrders only
	engineName    string        // name of the engine; used by watchEngine only

	mu               sync.Mutex // guards the fields below
	phase            string     // current role of an engine
	machine          *machine
	queue            *granter.Granter
	fencer           *fencer.Fencer
	operations       map[string]*operation
	backendCtx       context.Context //nolint:containedctx // cancelled when the backend server crashes
	cancelBackend    context.CancelFunc
	controlStreams   map[*outbox]struct{} // outboxes of the entries' control streams
	outboxes         map[*outbox]struct{} // outboxes of all streams
	cachedPrefixes   map[uint64]struct{}  // prefixes cached by the engine
	cacheEventSeq    uint64               // sequence number of the last cache event sent
	rate             int64
	crashCount       int
	orderStates      map[string]string // state of each order in progress, for Dump
	stopping         bool
	closed           bool // no new goroutines may start
	comparing        bool
	cancelDrainTimer func() // cancels the timer that ends a drain
}

// New returns an agent with validated settings. It opens no connections; call Start.
func New(s Settings, d Deps) (*Agent, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("agent settings: %w", err)
	}
	queue, err := granter.New(granterSettings(s, emptyView{}))
	if err != nil {
		return nil, errors.Newf("agent settings: %w", err)
	}
	crashes, err := correlator.New(correlator.Defaults())
	if err != nil {
		return nil, errors.Newf("agent settings: %w", err)
	}
	a := &Agent{
		settings: s, deps: d, epoch: newEpoch(d.Timer.Now()), queue: queue,
		fencer: fencer.New(), metrics: newMetrics(s), backend: driver.New(s.Backend, s.StallTimeout),
		ready: make(chan struct{}), done: make(chan struct{}), drainer: drainer.New(d.Timer),
		phase: s.Phase, wakeOrders: make(chan struct{}, 1), control: noControl{},
		operations: make(map[string]*operation), controlStreams: make(map[*outbox]struct{}),
		outboxes: make(map[*outbox]struct{}), cachedPrefixes: make(map[uint64]struct{}),
		orderStates: make(map[string]string),
	}
	if client, ok := a.backend.(*driver.Client); ok {
		client.LimitMemory(s.Memory / answerShare)
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.backendCtx, a.cancelBackend = context.WithCancel(a.ctx)
	a.machine = newMachine(d.Timer.Now(), machineSettings{
		epoch: a.epoch, plain: s.Phase == phasePlain,
		leaseTimeout: s.Lease, resultRetention: s.ResultRetention, isolateTimeout: suspectIsolateTimeout,
		resultBytes: s.Memory / resultShare,
	}, queue, crashes, a.metrics)
	a.machine.fits = a.drainer.Fits
	if d.Registry != nil {
		if err := a.metrics.register(d.Registry); err != nil {
			return nil, err
		}
	}

	return a, nil
}

// newEpoch returns the epoch of a process, a number that differs for each start. It
// consists of the time in milliseconds, so that a later start has a higher epoch unless
// the clock was set back, and of random bits, so that starts in the same millisecond are
// very unlikely to have the same epoch.
func newEpoch(now time.Time) uint64 {
	const randomBits = 16

	return uint64(now.UnixMilli())<<randomBits | uint64(rand.Uint32N(1<<randomBits)) //nolint:gosec // no secret
}

// Start opens the listener, starts to reconcile with the backend server and then
// registers with control. It does not wait for either. The agent runs until ctx ends,
// Close is called or a drain begun by BeginDrain is complete. It grants nothing before
// the backend server is reconciled.
func (a *Agent) Start(ctx context.Context) error {
	// The listener is opened first because the registration contains its address.
	// Streams wait until the other fields are set.
	started := make(chan struct{})
	handleStream := func(ctx context.Context, s *messenger.Stream) {
		select {
		case <-started:
			a.handleStream(ctx, s)
		case <-ctx.Done():
		}
	}
	limits := messenger.Limits{Memory: a.settings.Memory, Registry: a.deps.Registry}
	listener, err := messenger.ListenWithin(limits, a.settings.Listen, handleStream) //nolint:contextcheck // the listener ends with Close
	if err != nil {
		return errors.Newf("start agent: %w", err)
	}
	a.listener = listener
	a.initialAttach = a.attachRequest()
	control, err := a.connectControl(a.deps.Timer)
	if err != nil {
		_ = listener.Close()

		return err
	}
	a.control = control
	a.machine.blocked = func(digest string, now time.Time) bool {
		return control.View().Blocked(digest, now) != nil
	}
	close(started)
	stopTimers := []func(){
		a.deps.Timer.Every(tickInterval, a.tick),
		a.deps.Timer.Every(loadInterval, a.sendLoad),
		a.deps.Timer.Every(compareInterval, a.startCompareWork),
	}
	a.stopTimers = stopTimers
	context.AfterFunc(ctx, func() { _ = a.Close() })
	watch := a.watchEngine
	if a.settings.Phase == phasePlain {
		watch = a.watchPlain
	}
	a.tasks.Go(func() { watch(a.ctx) })
	a.tasks.Go(func() { a.registerWhenReady(a.ctx) })

	return nil
}

// registerWhenReady registers with control once the backend server is ready, so that
// entries do not send asks to a server that cannot grant them yet.
func (a *Agent) registerWhenReady(ctx context.Context) {
	select {
	case <-a.ready:
	case <-ctx.Done():
		return
	}
	a.mu.Lock()
	a.initialAttach.Phase = a.phase
	a.mu.Unlock()
	a.control.Start()
	a.tasks.Go(func() { a.followView(ctx) })
	a.tasks.Go(func() { a.followOrders(ctx) })
	if a.settings.Hosts != "" {
		a.tasks.Go(func() { a.watchHostList(ctx) })
	}
}

// Addr returns the address that entries dial, "ip:port". If Settings.Addr is empty, it
// is only valid after Start.
func (a *Agent) Addr() string {
	if a.settings.Addr != "" {
		return a.settings.Addr
	}
	if a.listener == nil {
		return a.settings.Listen
	}

	return a.listener.Addr()
}

// Epoch returns a number that differs for each start of the agent.
func (a *Agent) Epoch() uint64 { return a.epoch }

// Ready reports whether the agent accepts asks.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.machine.backendUp && a.machine.drainReason == ""
}

// Done returns a channel that is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.done }

// BeginDrain shuts the agent down gracefully: it refuses new and queued asks with the
// reason, waits up to Settings.DrainTimeout for running work, ends the work that remains and
// then stops the agent. It does not block. Only the first call has an effect.
func (a *Agent) BeginDrain(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return
	}
	a.stopping = true
	a.leaving.Store(true)
	now := a.deps.Timer.Now()
	a.deps.Log.Info().Str("server", a.settings.Name).Str("reason", reason).Msg("leave")
	a.performActions(a.machine.BeginDrain(now, reason))
	limit := a.settings.DrainTimeout - drainer.AnswerTime(a.settings.DrainTimeout)
	a.drainer.Begin(limit, limit)
	stopRevoke := a.deps.Timer.After(limit, func(now time.Time) { a.revokeAll(now, reason) })
	stopClose := a.deps.Timer.After(limit+drainer.MaxAnswerTime, func(time.Time) { a.deregisterAndClose() })
	a.cancelDrainTimer = func() {
		stopRevoke()
		stopClose()
	}
	go a.sendLoad(now)
}

// revokeAll ends all work, so that the entries know what became of it before the agent closes
// their connections.
func (a *Agent) revokeAll(now time.Time, reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.performActions(a.machine.RevokeAll(now, reasonLeaving+": "+reason))
}

// deregisterAndClose deregisters and closes the agent in a new goroutine, because its
// callers are timer callbacks, which must not block.
func (a *Agent) deregisterAndClose() {
	go func() {
		a.deregister()
		_ = a.Close()
	}()
}

// Close stops the agent without waiting for running work. Queued replies are sent
// first.
func (a *Agent) Close() error {
	a.closeOnce.Do(func() {
		for _, box := range a.allOutboxes() {
			box.Flush()
		}
		for _, stop := range a.stopTimers {
			stop()
		}
		a.mu.Lock()
		a.closed = true
		a.mu.Unlock()
		a.cancel()
		if a.listener != nil {
			_ = a.listener.Close()
		}
		a.tasks.Wait()
		a.control.Close()
		a.backend.Close()
		close(a.done)
	})
	<-a.done

	return nil
}

func (a *Agent) allOutboxes() []*outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*outbox, 0, len(a.outboxes))
	for box := range a.outboxes {
		list = append(list, box)
	}

	return list
}

// tick handles expired leases and deadlines. At the end of a drain it stops the agent.
func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.performActions(a.machine.Tick(now))
	load := a.queue.Load(now)
	a.metrics.load(load.Total, load.Free)
	if a.stopping && a.cancelDrainTimer != nil && a.machine.Drained(now) {
		a.cancelDrainTimer()
		a.cancelDrainTimer = nil
		a.deregisterAndClose()
	}
}

// startCompareWork runs compareWork in a new goroutine unless it is already running.
func (a *Agent) startCompareWork(time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.comparing || a.closed {
		return
	}
	a.comparing = true
	a.tasks.Go(func() {
		a.compareWork(a.ctx)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.comparing = false
	})
}

// hostOf returns the host part of addr, or addr itself if it has no port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}

	return host
}
