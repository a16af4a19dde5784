package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/agent"
	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/wire"
)

// fakes are the fake backend servers of the demo.
type fakes struct {
	engines []fakeEngine
	booking *emulator.PlainService
}

type fakeEngine struct {
	name, phase string
	engine      *emulator.Engine
}

func (d *demo) startFakes(context.Context) error {
	for _, phase := range []string{"prefill", "decode"} {
		for n := 1; n <= 2; n++ {
			name := fmt.Sprintf("%s-%d", phase, n)
			engine, err := emulator.NewEngine(emulator.EngineSettings{Name: name, Role: phase, Pieces: demoPieces})
			if err != nil {
				return errors.Newf("set up engine %s: %w", name, err)
			}
			if err := engine.Start("127.0.0.1:0"); err != nil { //nolint:contextcheck // runs until close
				return errors.Newf("start engine %s: %w", name, err)
			}
			d.onClose(func() { _ = engine.Close() })
			d.fakes.engines = append(d.fakes.engines, fakeEngine{name, phase, engine})
		}
	}
	d.fakes.booking = emulator.NewPlainService(0)
	if err := d.fakes.booking.Start("127.0.0.1:0"); err != nil { //nolint:contextcheck // runs until close
		return errors.Newf("start booking service: %w", err)
	}
	d.onClose(func() { _ = d.fakes.booking.Close() })
	d.printStep("backend servers: 2 prefill engines, 2 decode engines, 1 booking service")

	return nil
}

func (d *demo) startControl(ctx context.Context) error {
	c, err := controller.New(controller.Settings{
		Number: 1, Listen: "127.0.0.1:0", DataDir: d.dir, Timer: d.clock, Log: d.logger,
		Members: []*wire.Member{{Number: 1, Addr: "127.0.0.1:0"}},
	})
	if err != nil {
		return errors.Newf("set up: %w", err)
	}
	if err := c.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Newf("start: %w", err)
	}
	d.onClose(func() { _ = c.Close() }) //nolint:contextcheck // ctx has ended by then
	d.control = c.Addr()
	d.printStep("control host at %s, data in a temporary directory", d.control)

	return nil
}

func (d *demo) applyConfiguration(ctx context.Context) error {
	statements, err := parser.Parse(demoConfig)
	if err != nil {
		return errors.Newf("parse: %w", err)
	}
	change := &wire.Change{Text: demoConfig}
	for _, s := range statements {
		change.Edits = append(change.Edits, s.Edit)
	}
	command := &wire.Command{Id: "demo", Who: "demo", Expect: -1, Body: &wire.Command_Change{Change: change}}
	for {
		response, err := d.ask(ctx, &wire.Request{Body: &wire.Request_Command{Command: command}})
		if err != nil {
			return err
		}
		result := response.GetResult()
		// The control host has to elect itself first. Retries are safe because they have the
		// same command ID.
		if result.GetOutcome() != wire.Outcome_OUTCOME_DONE && ctx.Err() == nil && d.pause(ctx) {
			continue
		}
		if result.GetOutcome() != wire.Outcome_OUTCOME_DONE {
			return errors.Newf("control host returned %s: %s", result.GetOutcome(), result.GetText())
		}
		d.printStep("configuration applied: %d objects, revision %d", len(change.GetEdits()), result.GetRevision())

		return nil
	}
}

// ask sends one command or query to the control host and returns its response.
func (d *demo) ask(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	session, err := messenger.Dial(ctx, d.control)
	if err != nil {
		return nil, errors.Newf("connect to control host: %w", err)
	}
	defer func() { _ = session.Close() }()
	stream, err := session.Open(ctx)
	if err != nil {
		return nil, errors.Newf("open stream to control host: %w", err)
	}
	if err := stream.Send(request); err != nil {
		return nil, errors.Newf("send request to control host: %w", err)
	}
	response := &wire.Response{}
	if err := stream.Recv(response); err != nil {
		return nil, errors.Newf("receive response of control host: %w", err)
	}

	return response, nil
}

func (d *demo) startAgents(ctx context.Context) error {
	for _, f := range d.fakes.engines {
		if err := d.startAgent(ctx, f.name, "summary", f.phase, f.engine.Addr(), demoPieces); err != nil {
			return err
		}
	}
	if err := d.startAgent(ctx, "booking-1", "booking", "plain", d.fakes.booking.Addr(), demoSlots); err != nil {
		return err
	}
	d.printStep("agents: one beside each of the %d backend servers", len(d.fakes.engines)+1)

	return nil
}

func (d *demo) startAgent(ctx context.Context, name, service, phase, backend string, pieces int64) error {
	a, err := agent.New(agent.Settings{
		Name: name, Listen: "127.0.0.1:0", Backend: backend, Control: []string{d.control},
		Region: demoRegion, Centre: demoCentre, Service: service, Phase: phase, Pieces: pieces,
	}, agent.Deps{Timer: d.clock, Log: d.logger, Registry: prometheus.NewRegistry()})
	if err != nil {
		return errors.Newf("set up %s: %w", name, err)
	}
	if err := a.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Newf("start %s: %w", name, err)
	}
	d.onClose(func() { _ = a.Close() })

	return nil
}

func (d *demo) startEntry(ctx context.Context) error {
	e, err := router.New(router.Settings{
		Name: "entry-1", Region: demoRegion, Centre: demoCentre, Control: []string{d.control}, Listen: "127.0.0.1:0",
	}, router.Deps{Timer: d.clock, Log: d.logger, Registry: prometheus.NewRegistry()})
	if err != nil {
		return errors.Newf("set up: %w", err)
	}
	if err := e.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Newf("start: %w", err)
	}
	d.onClose(func() { _ = e.Close() })
	d.router, d.entry = e, e.Addr()
	d.printStep("entry at http://%s", d.entry)

	return nil
}
