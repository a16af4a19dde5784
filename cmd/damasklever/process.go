package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/damasklever/damasklever/internal/configurer"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/monitor"
	"github.com/damasklever/damasklever/internal/surveyor"
)

// shutdownMargin is added to the drain time of a role. If its shutdown has not finished by
// then, it is considered hung.
const shutdownMargin = 10 * time.Second

// role is one role's implementation, which a subcommand runs as a process.
type role struct {
	settings configurer.Process
	registry *prometheus.Registry
	eventLog *log.Logger
	// output writes the log to standard output without blocking requests on a slow reader.
	output *logger.AsyncWriter
	// memory is how many bytes of memory the process may use.
	memory int64
	// drain limits the time for a graceful shutdown.
	drain time.Duration
	start func(ctx context.Context) error
	ready func() bool
	dump  func() any
	// beginShutdown starts a graceful shutdown, at the end of which done is closed. It may be
	// called only once.
	beginShutdown func()
	// stop closes the role immediately.
	stop func() error
	done <-chan struct{}
}

func newRole(settings configurer.Process, name string) role {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	output := logger.NewAsyncWriter(os.Stdout)

	return role{
		settings: settings, registry: registry, output: output, eventLog: newLogger(settings, name, output),
		memory: limitMemory(settings.Memory),
	}
}

// The collector works harder from this share of the process's memory on, so that what is
// free already is not the cause of a shortage.
const (
	collectNumerator   = 5
	collectDenominator = 8
)

// limitMemory returns how many bytes of memory the process may use, and has the garbage
// collector keep to them.
func limitMemory(setting int64) int64 {
	limit := setting
	if limit == 0 {
		limit = surveyor.Memory()
	}
	debug.SetMemoryLimit(limit / collectDenominator * collectNumerator)

	return limit
}

// newLogger returns a logger that writes one key=value line per event.
func newLogger(p configurer.Process, name string, out io.Writer) *log.Logger {
	return logger.New(logger.Settings{Role: name, Name: p.Name, Level: p.Level, Writer: out})
}

// run starts the role and its operations port and waits until the role ends or a signal
// starts a graceful shutdown. Further signals are ignored, because an impatient supervisor
// must not abort requests in flight.
func (r role) run(ctx context.Context) error {
	defer r.output.Flush()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ops, err := monitor.New(monitor.Settings{
		Listen: r.settings.Ops, Ready: r.readiness, Dump: r.dump, Registry: r.registry,
	})
	if err != nil {
		return errors.Newf("start operations port: %w", err)
	}
	defer ops.Close() //nolint:contextcheck // ctx has ended by then
	if err := r.start(ctx); err != nil {
		return errors.Newf("start: %w", err)
	}
	r.eventLog.Info().Str("ops", r.settings.Ops).Str("version", version).Msg("started")
	select {
	case <-r.done:
		return errors.New("process ended unexpectedly; see the log for the cause")
	case <-signals:
	case <-ctx.Done():
	}

	return r.shutdown()
}

func (r role) readiness() error {
	if r.ready() {
		return nil
	}

	return errors.New("not ready")
}

func (r role) shutdown() error {
	r.eventLog.Info().Dur("drain", r.drain).Msg("shutting down")
	timeout := time.NewTimer(r.drain)
	defer timeout.Stop()
	go r.beginShutdown()
	select {
	case <-r.done:
	case <-timeout.C:
		r.eventLog.Warn().Msg("drain time exceeded, aborting work in flight")
	}
	if err := r.stop(); err != nil {
		return errors.Newf("stop: %w", err)
	}
	r.eventLog.Info().Msg("stopped")

	return nil
}
