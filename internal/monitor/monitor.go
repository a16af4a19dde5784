// Package monitor implements the HTTP server on the operations port of a process:
// health, readiness, metrics and state dump.
package monitor

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/damasklever/damasklever/internal/accepter"
	"github.com/damasklever/damasklever/internal/budgeter"
)

const (
	stopTimeout = 2 * time.Second
	// maxConns limits the number of connections, and maxHeader the head of a request.
	maxConns  = 64
	maxHeader = 16 << 10
	// headerTimeout limits the time for a head, writeTimeout that for a response, and idleTimeout
	// that between two requests.
	headerTimeout = 3 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Settings configures a Server.
type Settings struct {
	// Listen is the address to listen on, as "ip:port".
	Listen string
	// Ready returns nil while the process accepts work, otherwise an error that
	// gives the reason.
	Ready func() error
	// Dump returns the state of the process, which is served as JSON.
	Dump func() any
	// Registry holds the process's metrics.
	Registry *prometheus.Registry
	// Budget bounds the bytes that connections take together with other callers of the process;
	// nil for no such bound.
	Budget *budgeter.Budget
}

// Defaults sets the missing fields: always ready, an empty dump, no metrics.
func (s *Settings) Defaults() {
	if s.Ready == nil {
		s.Ready = func() error { return nil }
	}
	if s.Dump == nil {
		s.Dump = func() any { return struct{}{} }
	}
	if s.Registry == nil {
		s.Registry = prometheus.NewRegistry()
	}
	if s.Budget == nil {
		s.Budget = budgeter.Unlimited(budgeter.SystemClock{})
	}
}

// Validate returns an error if the settings are unusable.
func (s *Settings) Validate() error {
	if s.Listen == "" {
		return errors.New("no listen address")
	}

	return nil
}

// Server is a running HTTP server on the operations port.
type Server struct {
	settings  Settings
	server    *http.Server
	done      chan struct{}
	closeOnce sync.Once
}

// New starts listening and serving.
func New(s Settings) (*Server, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("invalid settings of the operations port: %w", err)
	}
	conns, err := budgeter.New(budgeter.Settings{Limit: maxConns, Clock: budgeter.SystemClock{}})
	if err != nil {
		return nil, errors.Newf("connections of the operations port: %w", err)
	}
	listener, err := net.Listen("tcp", s.Listen) //nolint:noctx // returns at once
	if err != nil {
		return nil, errors.Newf("listen on operations port %s: %w", s.Listen, err)
	}
	server := &Server{settings: s, done: make(chan struct{})}
	server.server = &http.Server{
		Handler: server.routes(), ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: log.New(io.Discard, "", 0),
	}
	accepter.Configure(server.server)
	// Serve returns after Close.
	go func() { _ = server.server.Serve(accepter.New(listener, s.Budget, conns)) }()

	return server, nil
}

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops the server.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		// The scraper retries scrapes that are cut off, so the error is ignored.
		if s.server.Shutdown(ctx) != nil {
			_ = s.server.Close()
		}
		close(s.done)
	})
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /dump", s.dump)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.settings.Registry, promhttp.HandlerOpts{}))

	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.settings.Ready(); err != nil {
		writeResponse(w, http.StatusServiceUnavailable, "text/plain; charset=utf-8", []byte(err.Error()+"\n"))

		return
	}
	writeResponse(w, http.StatusOK, "text/plain; charset=utf-8", []byte("ready\n"))
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	body, err := json.MarshalIndent(s.settings.Dump(), "", "  ")
	if err != nil {
		http.Error(w, "encode state: "+err.Error(), http.StatusInternalServerError)

		return
	}
	writeResponse(w, http.StatusOK, "application/json", append(body, '\n'))
}

func writeResponse(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// If the write fails, the client may have disconnected; there is nobody to tell.
	_, _ = w.Write(body)
}
