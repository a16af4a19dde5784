// Package operator serves the operations port of a process: health, readiness,
// metrics and the state dump.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const stopTimeout = 2 * time.Second

// Settings say what the port shows.
type Settings struct {
	// Listen is ip:port.
	Listen string
	// Ready returns nil while the process takes work, otherwise the reason.
	Ready func() error
	// Dump returns the process's state; it is written as JSON.
	Dump func() any
	// Registry holds the process's metrics.
	Registry *prometheus.Registry
}

// Defaults fills what was left out: always ready, an empty dump, no metrics.
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
}

// Validate returns an error if the settings cannot be used.
func (s *Settings) Validate() error {
	if s.Listen == "" {
		return errors.New("no address for the operations port")
	}

	return nil
}

// Operator is a running operations port.
type Operator struct {
	settings Settings
	engine   *nbhttp.Engine
	done     chan struct{}
	once     sync.Once
}

// New starts the port.
func New(s Settings) (*Operator, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("check settings of the operations port: %w", err)
	}
	// nbio logs each start and stop in a format of its own.
	logging.SetLevel(logging.LevelNone)
	o := &Operator{settings: s, done: make(chan struct{})}
	o.engine = nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Addrs: []string{s.Listen}, Handler: o.routes(), NPoller: 1, MessageHandlerPoolSize: 2,
	})
	if err := o.engine.Start(); err != nil {
		return nil, errors.Newf("listen on operations port %s: %w", s.Listen, err)
	}

	return o, nil
}

// Done is closed when the port is closed.
func (o *Operator) Done() <-chan struct{} { return o.done }

// Close stops the port.
func (o *Operator) Close() {
	o.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		// Scrapes that are cut off are tried again by the scraper.
		_ = o.engine.Shutdown(ctx)
		close(o.done)
	})
}

func (o *Operator) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, "text/plain; charset=utf-8", []byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", o.ready)
	mux.HandleFunc("GET /dump", o.dump)
	mux.Handle("GET /metrics", promhttp.HandlerFor(o.settings.Registry, promhttp.HandlerOpts{}))

	return mux
}

func (o *Operator) ready(w http.ResponseWriter, _ *http.Request) {
	if err := o.settings.Ready(); err != nil {
		reply(w, http.StatusServiceUnavailable, "text/plain; charset=utf-8", []byte(err.Error()+"\n"))

		return
	}
	reply(w, http.StatusOK, "text/plain; charset=utf-8", []byte("ready\n"))
}

func (o *Operator) dump(w http.ResponseWriter, _ *http.Request) {
	text, err := json.MarshalIndent(o.settings.Dump(), "", "  ")
	if err != nil {
		http.Error(w, "encode state: "+err.Error(), http.StatusInternalServerError)

		return
	}
	reply(w, http.StatusOK, "application/json", append(text, '\n'))
}

func reply(w http.ResponseWriter, status int, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	// The peer may be gone; there is nobody to tell.
	_, _ = w.Write(body)
}
