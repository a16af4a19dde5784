package imitator

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

// Headers that make the plain service misbehave for one call, and the key by
// which it counts runs.
const (
	HeaderKey   = "Damask-Key"
	HeaderDelay = "Imitate-Delay" // a duration before the answer
	HeaderFault = "Imitate-Fault" // "lost" runs and drops the connection, "crash" restarts the service
)

// RunsPath shows the number of calls that ran; asking does not count.
const RunsPath = "/imitate/runs"

// Plain is a fake plain service. It answers with the request's body.
type Plain struct {
	restart time.Duration
	mu      sync.Mutex
	server  *http.Server
	addr    string
	closed  bool
	runs    map[string]int
	total   int
	changed chan struct{}
	work    sync.WaitGroup
}

// NewPlain returns a service that is down for the given time after a crash.
func NewPlain(restart time.Duration) *Plain {
	return &Plain{restart: restart, runs: make(map[string]int), changed: make(chan struct{})}
}

// Start listens on addr, "ip:port".
func (p *Plain) Start(addr string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("the service is closed")
	}
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Newf("listen on %s: %w", addr, err)
	}
	p.addr = inner.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: readTimeout}
	p.server = server
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		_ = server.Serve(inner)
	}()

	return nil
}

// Addr returns the address it listens on, also while it is down.
func (p *Plain) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.addr
}

// Runs returns how often calls with the key ran; an empty key counts all.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if key == "" {
		return p.total
	}

	return p.runs[key]
}

// AwaitRuns blocks until calls with the key ran n times.
func (p *Plain) AwaitRuns(ctx context.Context, key string, n int) error {
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
			return errors.Newf("ran %d times: %w", p.Runs(key), ctx.Err())
		}
	}
}

// Crash drops all connections and restarts after a time.
func (p *Plain) Crash() {
	p.mu.Lock()
	server, addr := p.server, p.addr
	p.server = nil
	p.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(p.restart, func() { _ = p.Start(addr) })
}

// Close ends the service for good.
func (p *Plain) Close() error {
	p.mu.Lock()
	p.closed = true
	server := p.server
	p.server = nil
	p.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	p.work.Wait()

	return nil
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == RunsPath {
		p.mu.Lock()
		defer p.mu.Unlock()
		_, _ = fmt.Fprintf(w, "runs %d\n", p.total)

		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	p.mu.Lock()
	p.total++
	if key := r.Header.Get(HeaderKey); key != "" {
		p.runs[key]++
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if delay, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil && delay > 0 {
		if !pause(r.Context(), delay) {
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
