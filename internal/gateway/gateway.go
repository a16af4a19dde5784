// Package gateway serves callers whose requests are opaque to the system: any
// method, path and body, routed by host and path prefix. It passes answers on
// unchanged, sends a request once more only where that is safe, and ends the
// server's work when the caller leaves.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/admitter"
)

// Gateway serves callers.
type Gateway struct {
	s      Settings
	meters *meters
	accept net.Listener
	// handed is closed when each accepted connection is with an HTTP server.
	handed  chan struct{}
	conns   *connections
	backlog *backlog
	witness *witness
	feed    *feed

	leaving atomic.Bool
	active  atomic.Int64    // requests in flight
	ctx     context.Context //nolint:containedctx // it is the lifetime of the gateway
	cancel  context.CancelFunc
	done    chan struct{}
	once    sync.Once
	work    sync.WaitGroup

	mu      sync.Mutex
	budgets map[string]*admitter.Budget // by pool
	bounds  bounds                      // of the server in use
	servers []*http.Server
}

// New checks the settings and registers the metrics; Start accepts callers.
func New(s Settings, registry prometheus.Registerer) (*Gateway, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		s: s, meters: newMeters(), done: make(chan struct{}), budgets: make(map[string]*admitter.Budget),
		handed: make(chan struct{}), conns: newConnections(), backlog: newBacklog(),
	}
	if err := registry.Register(g.meters); err != nil {
		return nil, errors.Newf("register metrics of gateway: %w", err)
	}
	var err error
	if g.witness, err = newWitness(g); err != nil {
		return nil, err
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())

	return g, nil
}

// Start accepts callers. Until there is a plan they are told to come back.
func (g *Gateway) Start(ctx context.Context) error {
	var err error
	if g.accept, err = (&net.ListenConfig{}).Listen(ctx, "tcp", g.s.Listen); err != nil {
		return errors.Newf("listen on %s: %w", g.s.Listen, err)
	}
	g.mu.Lock()
	g.serve(standardBounds())
	g.mu.Unlock()
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		defer close(g.handed)
		g.acceptAll()
	}()

	return nil
}

// Addr returns the address that callers reach, "ip:port".
func (g *Gateway) Addr() string { return g.accept.Addr().String() }

// Done is closed when the gateway has ended by Drain or Close.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Ready tells whether callers can be served.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.prepared() }

// prepared tells whether there is a plan and a list of servers.
func (g *Gateway) prepared() bool { return g.s.Plan() != nil && g.s.Known() }

// startupLook is the time between two looks while requests wait for the first
// plan.
const startupLook = 10 * time.Millisecond

// prepare waits for the first plan and list of servers, for a bounded time.
func (g *Gateway) prepare(ctx context.Context) {
	if g.prepared() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.s.Timer.After(g.s.Startup, func(time.Time) { cancel() })()
	look := make(chan struct{}, 1)
	defer g.s.Timer.Every(startupLook, func(time.Time) {
		select {
		case look <- struct{}{}:
		default:
		}
	})()
	for !g.prepared() {
		select {
		case <-look:
		case <-ctx.Done():
			return
		}
	}
}

// Active returns the number of requests in flight.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Leave reports not ready and ends each connection after its next answer. New
// connections are still accepted, until the balancer has noticed.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// drainPause is the time between two looks for requests in flight.
const drainPause = 20 * time.Millisecond

// silentWait is how long a drain waits for the first request of connections that were
// accepted just before it: some round trips from anywhere.
const silentWait = 300 * time.Millisecond

// Drain stops accepting and disconnects idle callers, waits until each request that
// callers have sent is answered or ctx ends, and closes the gateway.
func (g *Gateway) Drain(ctx context.Context) error {
	g.Leave()
	_ = g.accept.Close()
	defer g.Close()
	<-g.handed
	g.mu.Lock()
	for _, server := range g.servers {
		// It also closes the idle connections.
		server.SetKeepAlivesEnabled(false)
	}
	g.mu.Unlock()
	first, cancel := context.WithTimeout(ctx, silentWait)
	defer cancel()
	if g.conns.wait(first, http.StateNew) != nil {
		g.s.Log.Info().Int("callers", g.conns.closeSilent()).Msg("closed connections without a request")
	}
	if err := g.conns.wait(ctx, http.StateNew, http.StateActive); err != nil {
		return errors.Newf("wait for callers, %d requests in flight: %w", g.active.Load(), err)
	}

	return nil
}

// Close disconnects all callers.
func (g *Gateway) Close() {
	g.once.Do(func() {
		g.Leave()
		g.cancel()
		if g.accept != nil {
			_ = g.accept.Close()
		}
		g.mu.Lock()
		for _, server := range g.servers {
			_ = server.Close()
		}
		g.mu.Unlock()
		g.work.Wait()
		close(g.done)
	})
}

// first counts the first send of a request to a pool.
func (g *Gateway) first(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(pool).First(g.s.Timer.Now())
}

// repeat takes one further send from the budget of a pool.
func (g *Gateway) repeat(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.budget(pool).Repeat(g.s.Timer.Now())
}

// spared tells whether the budget of a pool has room for a further send.
func (g *Gateway) spared(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.budget(pool).Left(g.s.Timer.Now())
}

// charge counts a further send of a pool.
func (g *Gateway) charge(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(pool).Charge(g.s.Timer.Now())
}

func (g *Gateway) budget(pool string) *admitter.Budget {
	b := g.budgets[pool]
	if b == nil {
		b = admitter.NewBudget(0, 0, g.s.Window)
		g.budgets[pool] = b
	}
	gateways := 1
	if g.s.Gateways != nil {
		gateways = g.s.Gateways()
	}
	if gateways <= 0 {
		gateways = unknownGateways
	}
	b.Configure(g.s.Repeats*caution, g.s.Spare*caution/float64(gateways))

	return b
}

func draw() float64 { return rand.Float64() } //nolint:gosec // the choice of a pool needs no secrecy
