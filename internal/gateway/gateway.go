// Package gateway accepts the requests of callers and forwards them to backend servers.
// Requests are opaque to it: any method, path and body, routed by host and path prefix.
// Responses are passed on unchanged. A request is only retried where that is safe, and the
// server's work is cancelled when the caller disconnects.
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

	"github.com/damasklever/damasklever/internal/accepter"
	"github.com/damasklever/damasklever/internal/drainer"
)

// Gateway accepts callers' requests and forwards them to backend servers.
type Gateway struct {
	s        Settings
	metrics  *metrics
	listener net.Listener
	// acceptDone is closed when accepting has stopped and each accepted connection was
	// passed to an HTTP server.
	acceptDone    chan struct{}
	conns         *connTracker
	backlog       *backlog
	crashReporter *crashReporter
	grantWaiters  grantWaiters
	connListener  *connListener
	answerTimes   *answerTimes

	leaving atomic.Bool
	active  atomic.Int64    // requests in flight
	ctx     context.Context //nolint:containedctx // ends with the gateway
	cancel  context.CancelFunc
	// requestCtx is the parent of the contexts of requests. It ends when they must be answered.
	requestCtx  context.Context //nolint:containedctx // ends with the requests
	endRequests context.CancelCauseFunc
	done        chan struct{}
	closeOnce   sync.Once
	tasks       sync.WaitGroup

	mu            sync.Mutex
	retryBudgets  map[string]*retryBudget // by pool
	grantRefusals map[string]time.Time    // last refusal of a granted prompt by pool
	gatewayCount  recentMax
	bounds        bounds // of the current HTTP server
	servers       []*http.Server
}

// New validates the settings and registers the metrics. The gateway accepts no callers
// before Start.
func New(s Settings, registry prometheus.Registerer) (*Gateway, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{
		s: s, metrics: newMetrics(), done: make(chan struct{}), retryBudgets: make(map[string]*retryBudget),
		grantRefusals: make(map[string]time.Time),
		acceptDone:    make(chan struct{}), conns: newConnTracker(), backlog: newBacklog(),
		grantWaiters: grantWaiters{count: make(map[string]int)}, answerTimes: newAnswerTimes(),
	}
	if err := registry.Register(g.metrics); err != nil {
		return nil, errors.Newf("register metrics of gateway: %w", err)
	}
	var err error
	if g.crashReporter, err = newCrashReporter(g); err != nil {
		return nil, err
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	ctx, release := s.Drainer.Bound(g.ctx, 0)
	g.requestCtx, g.endRequests = context.WithCancelCause(ctx)
	context.AfterFunc(g.ctx, release)

	return g, nil
}

// Start listens for callers. Until the first plan has arrived, requests are refused with a
// Retry-After header.
func (g *Gateway) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", g.s.Listen)
	if err != nil {
		return errors.Newf("listen on %s: %w", g.s.Listen, err)
	}
	g.listener = accepter.New(listener, g.s.Budget, g.s.Conns)
	g.mu.Lock()
	g.startServer(defaultBounds())
	g.mu.Unlock()
	g.crashReporter.start()
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		defer close(g.acceptDone)
		g.acceptLoop()
	}()

	return nil
}

// Addr returns the "ip:port" address on which the gateway listens.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// Done returns a channel that is closed when Drain or Close has ended the gateway.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Ready reports whether the gateway can serve callers.
func (g *Gateway) Ready() bool { return !g.leaving.Load() && g.initialized() }

// initialized reports whether a plan and a list of servers have arrived.
func (g *Gateway) initialized() bool { return g.s.Plan() != nil && g.s.Known() }

// startupPollInterval is the interval at which waiting requests check for the first plan.
const startupPollInterval = 10 * time.Millisecond

// waitInitialized waits until the first plan and list of servers have arrived, for at most
// Settings.StartupWait.
func (g *Gateway) waitInitialized(ctx context.Context) {
	if g.initialized() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer g.s.Timer.After(g.s.StartupWait, func(time.Time) { cancel() })()
	poll := make(chan struct{}, 1)
	defer g.s.Timer.Every(startupPollInterval, func(time.Time) {
		select {
		case poll <- struct{}{}:
		default:
		}
	})()
	for !g.initialized() {
		select {
		case <-poll:
		case <-ctx.Done():
			return
		}
	}
}

// Active returns the number of requests in flight.
func (g *Gateway) Active() int64 { return g.active.Load() }

// BeginDrain makes Ready return false and closes each connection after its next response.
// New connections are still accepted until the load balancer has noticed.
func (g *Gateway) BeginDrain() { g.leaving.Store(true) }

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

const (
	// FirstRequestWait is how long Drain waits for the first request on connections that were
	// accepted just before it: a few round trips, wherever the caller is.
	FirstRequestWait = 300 * time.Millisecond
	// answerTime is how long the requests in flight have to write their final answers when the
	// gateway is closed without a drain, or when a drain ends early.
	answerTime = 250 * time.Millisecond
)

// Drain stops accepting and closes idle connections, waits until each request that callers
// have sent is answered, and closes the gateway. Requests that are in flight when the time of
// Settings.Drainer ends get a final answer then. ctx limits the wait for all answers.
func (g *Gateway) Drain(ctx context.Context) error {
	g.BeginDrain()
	_ = g.listener.Close()
	defer g.Close() //nolint:contextcheck // the last answers have their own time limit
	<-g.acceptDone
	g.conns.closeIdle()
	first, cancel := context.WithTimeout(ctx, FirstRequestWait)
	defer cancel()
	if g.conns.wait(first, http.StateNew) != nil {
		g.s.Log.Info().Int("callers", g.conns.closeWithoutRequest()).Msg("closed connections without a request")
	}
	if err := g.conns.wait(ctx, http.StateNew, http.StateActive); err != nil {
		return errors.Newf("wait for callers, %d requests in flight: %w", g.active.Load(), err)
	}

	return nil
}

// Close answers the requests in flight, closes all connections and waits for the goroutines of
// the gateway.
func (g *Gateway) Close() {
	g.closeOnce.Do(func() {
		g.BeginDrain()
		if g.requestCtx.Err() == nil {
			g.endRequests(drainer.ErrStopping)
			ctx, cancel := context.WithTimeout(context.Background(), answerTime)
			_ = g.conns.wait(ctx, http.StateActive)
			cancel()
		}
		g.cancel()
		g.crashReporter.close()
		if g.listener != nil {
			_ = g.listener.Close()
		}
		g.mu.Lock()
		for _, server := range g.servers {
			_ = server.Close()
		}
		g.mu.Unlock()
		g.tasks.Wait()
		close(g.done)
	})
}

// countFirstSend records the first send of a request to a pool, from which the retry budget
// grows.
func (g *Gateway) countFirstSend(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(pool).first(g.s.Timer.Now())
}

// takeRetry takes one retry from the budget of a pool. It returns false if the budget is
// used up.
func (g *Gateway) takeRetry(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.retryBudget(pool).take(g.s.Timer.Now())
}

// chargeRetry charges a retry to the budget of a pool, even if the budget is used up.
func (g *Gateway) chargeRetry(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(pool).countExtra(g.s.Timer.Now())
}

// refundRetry gives back a retry that was taken at the given time from the budget of a pool.
func (g *Gateway) refundRetry(pool string, taken time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(pool).refund(g.s.Timer.Now(), taken)
}

// trustsGrants reports whether granted prompts of a pool may be sent without room in the
// retry budget: no server has refused one within the window of the budget.
func (g *Gateway) trustsGrants(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, refused := g.grantRefusals[pool]

	return !refused || g.s.Timer.Now().Sub(at) >= g.s.RetryWindow
}

// noteGrantRefused records that a server has refused a granted prompt of a pool.
func (g *Gateway) noteGrantRefused(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantRefusals[pool] = g.s.Timer.Now()
}

// slackShare returns this gateway's part of the retry slack. The number of gateways is the
// highest of the budget's window, because those that have left have used their parts too.
// There is no part while the number is unknown. The caller must hold mu.
func (g *Gateway) slackShare() float64 {
	if g.s.GatewayCount == nil {
		return g.s.RetrySlack
	}
	gateways := g.gatewayCount.observe(g.s.Timer.Now(), g.s.RetryWindow, g.s.GatewayCount())
	if gateways <= 0 {
		return 0
	}

	return g.s.RetrySlack / float64(gateways)
}

// recentMax is the maximum of a value over the last one to two windows.
type recentMax struct {
	current, previous int
	started           time.Time // of the window of current
}

// observe records a value and returns the maximum.
func (m *recentMax) observe(now time.Time, window time.Duration, value int) int {
	if age := now.Sub(m.started); age >= window {
		m.previous = m.current
		if age >= 2*window {
			m.previous = 0
		}
		m.current, m.started = 0, now
	}
	m.current = max(m.current, value)

	return max(m.current, m.previous)
}

func randomFraction() float64 { return rand.Float64() } //nolint:gosec // not used for security
