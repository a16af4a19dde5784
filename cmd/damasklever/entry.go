package main

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/configurer"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/timer"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry, which takes the callers' requests",
		Description: "The entry asks agents for memory, orders prefill, transfer and decode, and forwards the answer. " +
			"It keeps one record per request in flight and nothing on disk. " +
			"On SIGTERM it reports not ready, accepts requests for the linger time, finishes what is in flight and exits.",
		Flags: configurer.Flags(configurer.EntryOptions()),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, faults := configurer.ReadEntry(c)
			if err := faults.Err(); err != nil {
				return usageError{err}
			}

			return runEntry(ctx, settings)
		},
	}
}

func runEntry(ctx context.Context, s configurer.Entry) error {
	r := newRole(s.Process, "entry")
	clock := timer.New()
	defer clock.Close()
	e, err := router.New(router.Settings{
		Name: s.Name, Region: s.Region, Centre: s.Centre, Control: s.Control, Listen: s.Listen,
		MaxBody: s.MaxBody, Memory: r.memory, Linger: s.Linger, Drain: s.Drain,
	}, router.Deps{Timer: clock, Log: r.eventLog, Registry: r.registry})
	if err != nil {
		return errors.Newf("set up entry: %w", err)
	}
	// The entry limits its drain time itself. This limit only ends a hung shutdown.
	r.drain = s.Linger + s.Drain + shutdownMargin
	r.start, r.ready, r.dump, r.done = e.Start, e.Ready, e.Dump, e.Done()
	r.beginShutdown, r.stop = e.BeginDrain, e.Close

	return r.run(ctx)
}
