package emulator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Request headers: the key by which the plain service counts runs, and two that
// inject a delay or a fault into the call.
const (
	HeaderKey   = "Damask-Key"
	HeaderDelay = "Imitate-Delay" // duration that the response is delayed
	HeaderFault = "Imitate-Fault" // "lost" runs the call and drops the connection, "crash" crashes the service
)

// RunCountPath is the path that returns the number of calls that ran. Reading it
// is not counted as a run.
const RunCountPath = "/imitate/runs"

// PlainService emulates a plain service. It responds with the body of the request.
type PlainService struct {
	restartDelay time.Duration
	mu           sync.Mutex
	server       *http.Server
	addr         string
	closed       bool
	runs         map[string]int
	totalRuns    int
	changed      chan struct{}
	serving      sync.WaitGroup
}

// NewPlainService returns a service that does not listen yet. It restarts restartDelay
// after a crash.
func NewPlainService(restartDelay time.Duration) *PlainService {
	return &PlainService{restartDelay: restartDelay, runs: make(map[string]int), changed: make(chan struct{})}
}

// Start starts the service. The address has the form "ip:port".
func (p *PlainService) Start(addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("plain service is closed")
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Newf("listen on %s: %w", addr, err)
	}
	p.addr = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: readHeaderTimeout}
	p.server = server
	p.serving.Add(1)
	go func() {
		defer p.serving.Done()
		_ = server.Serve(listener)
	}()

	return nil
}

// Addr returns the address that the service listens on, also while it is down.
func (p *PlainService) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.addr
}

// Runs returns how many calls with the key ran, or all calls for an empty key.
func (p *PlainService) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if key == "" {
		return p.totalRuns
	}

	return p.runs[key]
}

// AwaitRuns blocks until n calls with the key ran.
func (p *PlainService) AwaitRuns(ctx context.Context, key string, n int) error {
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if p.Runs(key) >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Newf("waiting for runs: %d so far: %w", p.Runs(key), ctx.Err())
		}
	}
}

// Crash closes all connections. The service restarts after the restart delay.
func (p *PlainService) Crash() {
	p.mu.Lock()
	server, addr := p.server, p.addr
	p.server = nil
	p.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(p.restartDelay, func() { _ = p.Start(addr) })
}

// Close stops the service. It does not restart.
func (p *PlainService) Close() error {
	p.mu.Lock()
	p.closed = true
	server := p.server
	p.server = nil
	p.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	p.serving.Wait()

	return nil
}

func (p *PlainService) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == RunCountPath {
		p.mu.Lock()
		defer p.mu.Unlock()
		_, _ = fmt.Fprintf(w, "runs %d\n", p.totalRuns)

		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	p.mu.Lock()
	p.totalRuns++
	if key := r.Header.Get(HeaderKey); key != "" {
		p.runs[key]++
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if delay, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil && delay > 0 {
		if !sleep(r.Context(), delay) {
			return
		}
	}
	switch r.Header.Get(HeaderFault) {
	case "lost":
		panic(http.ErrAbortHandler)
	case "crash":
		p.Crash() //nolint:contextcheck // the restart outlives the call

		return
	}
	w.Header().Set("Imitate-Method", r.Method)
	w.Header().Set("Imitate-Path", r.URL.RequestURI())
	_, _ = w.Write(body)
}
