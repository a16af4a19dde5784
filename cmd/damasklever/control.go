package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/configurer"
	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// controlDrainTimeout limits the shutdown of a control host. A control host has no requests of
// its own to finish, and other processes retry commands that were not committed.
const controlDrainTimeout = 10 * time.Second

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run a control host, which keeps a replica of the log in its data directory",
		Description: "Control hosts agree on the configuration, the claims of non-idempotent calls, the fencing tokens " +
			"and the blocked requests. A change is accepted once a majority has it on disk. " +
			"Run one, three or five; a host whose data directory is lost needs a new id.",
		Flags: configurer.Flags(configurer.ControlOptions()),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, faults := configurer.ReadControl(c)
			if err := faults.Err(); err != nil {
				return usageError{err}
			}

			return runControl(ctx, settings)
		},
	}
}

func controlSettings(s configurer.Control) controller.Settings {
	settings := controller.Settings{Number: s.ID, Listen: s.Listen, DataDir: s.Data, Join: s.Join}
	for id, addr := range s.Members {
		settings.Members = append(settings.Members, &wire.Member{Number: id, Addr: addr})
	}

	return settings
}

func runControl(ctx context.Context, s configurer.Control) error {
	r := newRole(s.Process, "control")
	clock := timer.New()
	defer clock.Close()
	settings := controlSettings(s)
	settings.Timer, settings.Log, settings.Memory = clock, r.eventLog, r.memory
	settings.Registry = r.registry
	c, err := controller.New(settings)
	if err != nil {
		return errors.Newf("set up control: %w", err)
	}
	if err := r.registry.Register(c); err != nil {
		return errors.Newf("register metrics: %w", err)
	}
	r.drain = controlDrainTimeout
	r.start, r.ready, r.done = c.Start, c.Ready, c.Done()
	r.dump = func() any { return c.Dump() }
	r.beginShutdown = func() { _ = c.Close() } //nolint:contextcheck // ctx has ended by then
	r.stop = c.Close

	return r.run(ctx)
}
