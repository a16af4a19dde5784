package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/damasklever/damasklever/internal/configurer"
	"github.com/damasklever/damasklever/internal/operator"
	"github.com/damasklever/damasklever/internal/reporter"
)

// shutdownMargin is the time beyond the drain of a role after which its
// shutdown counts as hung.
const shutdownMargin = 10 * time.Second

// role is what a subcommand hands over to be run as a process.
type role struct {
	common   configurer.Process
	registry *prometheus.Registry
	logger   *log.Logger
	// pipe keeps a reader of standard output that is slow from holding up requests.
	pipe *reporter.Pipe
	// drain bounds the graceful shutdown.
	drain time.Duration
	start func(ctx context.Context) error
	ready func() bool
	dump  func() any
	// leave begins a graceful shutdown, after which done is closed. It may be
	// called only once.
	leave func()
	// stop ends the process at once.
	stop func() error
	done <-chan struct{}
}

func newRole(common configurer.Process, name string) role {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	pipe := reporter.NewPipe(os.Stdout)

	return role{common: common, registry: registry, pipe: pipe, logger: newLogger(common, name, pipe)}
}

// newLogger writes one key=value line per event.
func newLogger(p configurer.Process, name string, out io.Writer) *log.Logger {
	return reporter.New(reporter.Settings{Role: name, Name: p.Name, Level: p.Level, Writer: out})
}

// run starts the role and its operations port and waits until the role ends or
// a signal asks for a graceful shutdown. Further signals change nothing,
// because an impatient supervisor must not cut requests off.
func (r role) run(ctx context.Context) error {
	defer r.pipe.Flush()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ops, err := operator.New(operator.Settings{
		Listen: r.common.Ops, Ready: r.readiness, Dump: r.dump, Registry: r.registry,
	})
	if err != nil {
		return errors.Newf("start operations port: %w", err)
	}
	defer ops.Close() //nolint:contextcheck // it closes after ctx ended
	if err := r.start(ctx); err != nil {
		return errors.Newf("start: %w", err)
	}
	r.logger.Info().Str("ops", r.common.Ops).Str("version", version).Msg("started")
	select {
	case <-r.done:
		return errors.New("the process ended by itself; the log tells why")
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
	r.logger.Info().Dur("drain", r.drain).Msg("shutting down")
	limit := time.NewTimer(r.drain)
	defer limit.Stop()
	go r.leave()
	select {
	case <-r.done:
	case <-limit.C:
		r.logger.Warn().Msg("work in flight was cut off: the drain time is over")
	}
	if err := r.stop(); err != nil {
		return errors.Newf("stop: %w", err)
	}
	r.logger.Info().Msg("stopped")

	return nil
}
