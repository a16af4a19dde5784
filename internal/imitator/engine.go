package imitator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Counters of an engine since it was created; Held is the current value.
type Counters struct {
	Held     int64 // pieces held now
	Running  int   // prefills, imports and decodes held now
	Prefills int   // prefills begun
	Wasted   int   // prefill results that were evicted or cancelled unused
	Imports  int   // imports begun
	Decodes  int   // decodes begun
	Tokens   int   // decoded
	Cancels  int   // cancel calls that ended something
	Orders   int   // engine orders carried out
	Crashes  int
	Boots    int
	Watches  int // watch streams opened
}

// Engine is a fake inference engine. Its HTTP interface: POST /prefill,
// /import, /decode, /cancel, /order; GET /work, /load, /watch, /export.
type Engine struct {
	settings EngineSettings
	mu       sync.Mutex
	life     *life // nil while the engine is down
	addr     string
	closed   bool
	counters Counters
	fence    uint64
	role     string
	models   map[string]bool
	stalled  bool
	changed  chan struct{} // closed and replaced at each change
	timer    *time.Timer   // of the restart
	work     sync.WaitGroup
}

// NewEngine validates the settings.
func NewEngine(s EngineSettings) (*Engine, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("engine settings: %w", err)
	}

	return &Engine{
		settings: s, role: s.Role, models: make(map[string]bool),
		changed: make(chan struct{}),
	}, nil
}

// Start listens on addr, "ip:port".
func (e *Engine) Start(addr string) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.boot(addr)
}

// Addr returns the address it listens on, also while it is down.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.addr
}

// Close ends the engine for good.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	if e.timer != nil && e.timer.Stop() {
		e.work.Done()
	}
	dead := e.down()
	e.mu.Unlock()
	dead()
	e.work.Wait()

	return nil
}

// Crash drops all connections and state. The engine is back after the restart
// time.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.life == nil {
		e.mu.Unlock()

		return
	}
	e.counters.Crashes++
	dead := e.down()
	if !e.closed {
		e.work.Add(1)
		e.timer = time.AfterFunc(e.settings.Restart, e.restart)
	}
	e.mu.Unlock()
	dead()
}

// Stall stops or resumes the transfers that this engine exports.
func (e *Engine) Stall(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = on
	e.announce()
}

// Role returns the current role, prefill or decode.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.role
}

// Counters returns the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.count()
}

// Await blocks until the counters satisfy ok.
func (e *Engine) Await(ctx context.Context, ok func(c Counters) bool) error {
	for {
		e.mu.Lock()
		c, changed := e.count(), e.changed
		e.mu.Unlock()
		if ok(c) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Newf("counters %+v: %w", c, ctx.Err())
		}
	}
}

func (e *Engine) count() Counters {
	c := e.counters
	if e.life != nil {
		c.Held, c.Running = e.life.held, len(e.life.running())
	}

	return c
}

// announce wakes everybody who waits for a change. The caller holds mu.
func (e *Engine) announce() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Engine) restart() {
	defer e.work.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.life != nil {
		return
	}
	if err := e.boot(e.addr); err != nil {
		// The port may still be taken by a connection that is closing.
		e.work.Add(1)
		e.timer = time.AfterFunc(e.settings.Restart, e.restart)
	}
}

func (e *Engine) boot(addr string) error {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Newf("listen on %s: %w", addr, err)
	}
	e.addr = inner.Addr().String()
	e.counters.Boots++
	l := newLife(e, time.Now().UnixNano())
	e.life = l
	l.server = &http.Server{Handler: l.routes(), ReadHeaderTimeout: readTimeout}
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		_ = l.server.Serve(inner)
	}()
	e.announce()

	return nil
}

// down takes the current life away and returns what ends it. The caller holds
// mu and calls the result without it.
func (e *Engine) down() func() {
	l := e.life
	e.life = nil
	e.announce()
	if l == nil {
		return func() {}
	}

	return func() {
		// A crash gives no answers, so the connections go first.
		_ = l.server.Close()
		l.cancel()
	}
}

// readTimeout bounds the time to read a request's header.
const readTimeout = 5 * time.Second
