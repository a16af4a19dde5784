package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/attendant"
	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/imitator"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/wire"
)

// fakes are the backend servers of the demo.
type fakes struct {
	engines []fakeEngine
	booking *imitator.Plain
}

type fakeEngine struct {
	name, phase string
	engine      *imitator.Engine
}

func (d *demo) startFakes(context.Context) error {
	for _, phase := range []string{"prefill", "decode"} {
		for n := 1; n <= 2; n++ {
			name := fmt.Sprintf("%s-%d", phase, n)
			engine, err := imitator.NewEngine(imitator.EngineSettings{Name: name, Role: phase, Pieces: demoPieces})
			if err != nil {
				return errors.Newf("set up engine %s: %w", name, err)
			}
			if err := engine.Start("127.0.0.1:0"); err != nil { //nolint:contextcheck // it outlives the step
				return errors.Newf("start engine %s: %w", name, err)
			}
			d.atEnd(func() { _ = engine.Close() })
			d.fakes.engines = append(d.fakes.engines, fakeEngine{name, phase, engine})
		}
	}
	d.fakes.booking = imitator.NewPlain(0)
	if err := d.fakes.booking.Start("127.0.0.1:0"); err != nil { //nolint:contextcheck // it outlives the step
		return errors.Newf("start booking service: %w", err)
	}
	d.atEnd(func() { _ = d.fakes.booking.Close() })
	d.step("backend servers: 2 prefill engines, 2 decode engines, 1 booking service")

	return nil
}

func (d *demo) startControl(ctx context.Context) error {
	c, err := controller.New(controller.Settings{
		Number: 1, Listen: "127.0.0.1:0", Folder: d.folder, Timer: d.clock, Log: d.logger,
		Members: []*wire.Member{{Number: 1, Addr: "127.0.0.1:0"}},
	})
	if err != nil {
		return errors.Newf("set up: %w", err)
	}
	if err := c.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Newf("start: %w", err)
	}
	d.atEnd(func() { _ = c.Close() }) //nolint:contextcheck // it closes after ctx ended
	d.control = c.Addr()
	d.step("control host at %s, data in a temporary directory", d.control)

	return nil
}

func (d *demo) configure(ctx context.Context) error {
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
		// The control host elects itself first; the same id makes a repeat safe.
		if result.GetOutcome() != wire.Outcome_OUTCOME_DONE && ctx.Err() == nil && d.pause(ctx) {
			continue
		}
		if result.GetOutcome() != wire.Outcome_OUTCOME_DONE {
			return errors.Newf("control answers %s: %s", result.GetOutcome(), result.GetText())
		}
		d.step("configuration applied: %d objects, revision %d", len(change.GetEdits()), result.GetRevision())

		return nil
	}
}

// ask sends one command or query to the control host.
func (d *demo) ask(ctx context.Context, request *wire.Request) (*wire.Response, error) {
	session, err := messenger.Dial(ctx, d.control)
	if err != nil {
		return nil, errors.Newf("reach control: %w", err)
	}
	defer func() { _ = session.Close() }()
	stream, err := session.Open(ctx)
	if err != nil {
		return nil, errors.Newf("reach control: %w", err)
	}
	if err := stream.Send(request); err != nil {
		return nil, errors.Newf("send to control: %w", err)
	}
	response := &wire.Response{}
	if err := stream.Recv(response); err != nil {
		return nil, errors.Newf("hear from control: %w", err)
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
	d.step("agents: one beside each of the %d backend servers", len(d.fakes.engines)+1)

	return nil
}

func (d *demo) startAgent(ctx context.Context, name, service, phase, backend string, pieces int64) error {
	a, err := attendant.New(attendant.Settings{
		Name: name, Listen: "127.0.0.1:0", Backend: backend, Control: []string{d.control},
		Region: demoRegion, Centre: demoCentre, Service: service, Phase: phase, Pieces: pieces,
	}, attendant.Deps{Timer: d.clock, Log: d.logger, Registry: prometheus.NewRegistry()})
	if err != nil {
		return errors.Newf("set up %s: %w", name, err)
	}
	if err := a.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Newf("start %s: %w", name, err)
	}
	d.atEnd(func() { _ = a.Close() })

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
	d.atEnd(func() { _ = e.Close() })
	d.router, d.entry = e, e.Addr()
	d.step("entry at http://%s", d.entry)

	return nil
}
