package emulator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Counters counts what an engine has done since NewEngine, across crashes.
// HeldBlocks and RunningJobs are current values.
type Counters struct {
	HeldBlocks     int64 // memory blocks held by jobs
	RunningJobs    int   // jobs that hold memory
	Prefills       int   // prefills started
	WastedPrefills int   // prefills cancelled, and results evicted or cancelled before a complete export
	Imports        int   // imports started
	Decodes        int   // decodes started
	Tokens         int   // tokens generated
	Cancels        int   // cancel calls for a job that had not finished
	Orders         int   // engine orders carried out
	Crashes        int
	Boots          int
	WatchStreams   int // watch streams opened
}

// Engine emulates an inference engine. Its HTTP interface is POST /prefill,
// /import, /decode, /cancel, /order and GET /work, /load, /watch, /export.
type Engine struct {
	settings            EngineSettings
	mu                  sync.Mutex
	process             *process // nil while the engine is down
	addr                string
	closed              bool
	counters            Counters
	highestFencingToken uint64
	role                string
	models              map[string]bool
	stalled             bool
	changed             chan struct{} // closed and replaced whenever the state changes
	restartTimer        *time.Timer
	background          sync.WaitGroup
}

// NewEngine returns an engine that does not listen yet. It completes and
// validates the settings.
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

// Start starts the engine. The address has the form "ip:port".
func (e *Engine) Start(addr string) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.startProcess(addr)
}

// Addr returns the address that the engine listens on, also while it is down.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.addr
}

// Close stops the engine. It does not restart.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.closed = true
	if e.restartTimer != nil && e.restartTimer.Stop() {
		e.background.Done()
	}
	shutDown := e.detachProcess()
	e.mu.Unlock()
	shutDown()
	e.background.Wait()

	return nil
}

// Crash closes all connections and discards all jobs and caches. The engine
// restarts after the restart delay. The role and the loaded models are kept.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.process == nil {
		e.mu.Unlock()

		return
	}
	e.counters.Crashes++
	shutDown := e.detachProcess()
	if !e.closed {
		e.background.Add(1)
		e.restartTimer = time.AfterFunc(e.settings.RestartDelay, e.restart)
	}
	e.mu.Unlock()
	shutDown()
}

// StallExports pauses or resumes the KV cache exports of this engine.
func (e *Engine) StallExports(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = on
	e.notifyChanged()
}

// Role returns the current role, prefill or decode.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.role
}

// Counters returns the current counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.currentCounters()
}

// Await blocks until ok returns true for the counters.
func (e *Engine) Await(ctx context.Context, ok func(c Counters) bool) error {
	for {
		e.mu.Lock()
		c, changed := e.currentCounters(), e.changed
		e.mu.Unlock()
		if ok(c) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Newf("waiting for counters, now %+v: %w", c, ctx.Err())
		}
	}
}

func (e *Engine) currentCounters() Counters {
	c := e.counters
	if e.process != nil {
		c.HeldBlocks, c.RunningJobs = e.process.heldBlocks, len(e.process.runningJobs())
	}

	return c
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds mu.
func (e *Engine) notifyChanged() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Engine) restart() {
	defer e.background.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.process != nil {
		return
	}
	if err := e.startProcess(e.addr); err != nil {
		// A connection that is still closing may occupy the port, so try again later.
		e.background.Add(1)
		e.restartTimer = time.AfterFunc(e.settings.RestartDelay, e.restart)
	}
}

func (e *Engine) startProcess(addr string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Newf("listen on %s: %w", addr, err)
	}
	e.addr = listener.Addr().String()
	e.counters.Boots++
	p := newProcess(e, time.Now().UnixNano())
	e.process = p
	p.server = &http.Server{Handler: p.routes(), ReadHeaderTimeout: readHeaderTimeout}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		_ = p.server.Serve(listener)
	}()
	e.notifyChanged()

	return nil
}

// detachProcess removes the current process and returns a function that shuts it
// down. The caller holds mu here, but must not hold it when it calls the result.
func (e *Engine) detachProcess() func() {
	p := e.process
	e.process = nil
	e.notifyChanged()
	if p == nil {
		return func() {}
	}

	return func() {
		// Connections are closed before the jobs are cancelled, as an engine
		// that crashes sends no responses.
		_ = p.server.Close()
		p.cancel()
	}
}

// readHeaderTimeout bounds the time to read the header of a request.
const readHeaderTimeout = 5 * time.Second
