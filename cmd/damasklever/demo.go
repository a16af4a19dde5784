package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/configurer"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/timer"
)

//go:embed demo.conf
var demoConfig string

const (
	demoRegion      = "kochi"
	demoCentre      = "kochi-1"
	demoCaller      = "master-anna"
	demoStepTimeout = 30 * time.Second
	demoPieces      = 40
	demoSlots       = 4
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run every kind of process on loopback and send two requests",
		Description: "Starts one control host, one entry, five agents, four fake engines and a fake booking service inside this " +
			"program, applies a configuration, sends one streamed request and one booking, and prints both answers and what each step did. " +
			"The control host's data directory is a temporary one and is removed at the end.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "keep", Usage: "stay up afterwards and print commands to try"},
			&cli.BoolFlag{Name: "verbose", Usage: "write the log of all processes to standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			d, err := newDemo(c.Root().Writer, c.Bool("verbose"))
			if err != nil {
				return errors.Newf("prepare demo: %w", err)
			}
			defer d.close()

			return d.run(ctx, c.Bool("keep"))
		},
	}
}

// cleanup closes one part of the demo.
type cleanup func()

// demo runs all processes of the system in one program.
type demo struct {
	out    io.Writer
	clock  *timer.Real
	logger *log.Logger
	dir    string
	start  time.Time
	// cleanups are run by close in reverse order.
	cleanups []cleanup
	control  string // ip:port
	entry    string // ip:port for callers
	router   *router.Router
	fakes    fakes
}

func newDemo(out io.Writer, verbose bool) (*demo, error) {
	dir, err := os.MkdirTemp("", "damasklever-demo")
	if err != nil {
		return nil, errors.Newf("create data directory: %w", err)
	}
	level := "error"
	if verbose {
		level = "info"
	}

	return &demo{
		out: out, clock: timer.New(), dir: dir, start: time.Now(),
		logger: newLogger(configurer.Process{Name: "demo", Level: level}, "demo", os.Stderr),
	}, nil
}

func (d *demo) close() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
	d.clock.Close()
	_ = os.RemoveAll(d.dir)
}

// onClose registers a function that close calls, the last registered one first.
func (d *demo) onClose(fn cleanup) { d.cleanups = append(d.cleanups, fn) }

// printStep prints a line with the time since the start.
func (d *demo) printStep(format string, args ...any) {
	// Ignore write errors, so that a closed standard output does not stop the demo.
	_, _ = fmt.Fprintf(d.out, "%7.3fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context, keep bool) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	steps := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"start the fake backend servers", d.startFakes},
		{"start the control host", d.startControl},
		{"apply the configuration", d.applyConfiguration},
		{"start the agents", d.startAgents},
		{"start the entry", d.startEntry},
		{"wait for the servers", d.waitForServers},
		{"send a streamed request", d.sendStream},
		{"send a booking", d.sendBooking},
		{"count the work done", d.printCounters},
	}
	for _, s := range steps {
		limit, cancel := context.WithTimeout(ctx, demoStepTimeout)
		err := s.run(limit)
		cancel()
		if err != nil {
			return errors.Newf("%s: %w", s.name, err)
		}
	}
	if keep {
		d.printHint()
		<-ctx.Done()
	}

	return nil
}

func (d *demo) printHint() {
	_, _ = fmt.Fprintf(d.out, `
Still running. Try in another terminal, and end it here with Ctrl-C:

  curl -N http://%s/v1/completions -H 'Damask-Caller: %s' -d '{"model":"summary","prompt":"Notes of the third session","max_tokens":40,"stream":true}'
  go run ./cmd/damaskctl --control %s show servers
`, d.entry, demoCaller, d.control)
}
