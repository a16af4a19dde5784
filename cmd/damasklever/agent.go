package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/agent"
	"github.com/damasklever/damasklever/internal/configurer"
	"github.com/damasklever/damasklever/internal/timer"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run the agent beside one backend server",
		Description: "The agent is the only process that grants the memory or the call slots of its backend server. " +
			"It registers with the control hosts, queues the asks of the entries by rank, and cancels work whose caller is gone. " +
			"On SIGTERM it refuses new work, finishes what runs and exits.",
		Flags: configurer.Flags(configurer.AgentOptions()),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, faults := configurer.ReadAgent(c)
			if err := faults.Err(); err != nil {
				return usageError{err}
			}

			return runAgent(ctx, settings)
		},
	}
}

// minAgentDrain stands for a drain time of zero, which would select the agent's default.
const minAgentDrain = time.Millisecond

func agentSettings(s configurer.Agent) agent.Settings {
	return agent.Settings{
		Name: s.Name, Listen: s.Listen, Addr: s.Advertise, Backend: s.Backend, Control: s.Control,
		Region: s.Region, Centre: s.Centre, Service: s.Service, Phase: s.Phase, Pieces: s.Pieces, Slots: s.Slots, Hosts: s.Hosts,
		DrainTimeout: max(s.Drain, minAgentDrain), Memory: s.Memory,
	}
}

func runAgent(ctx context.Context, s configurer.Agent) error {
	r := newRole(s.Process, "agent")
	s.Memory = r.memory
	clock := timer.New()
	defer clock.Close()
	a, err := agent.New(agentSettings(s), agent.Deps{Timer: clock, Log: r.eventLog, Registry: r.registry})
	if err != nil {
		return errors.Newf("set up agent: %w", err)
	}
	// The agent limits its drain time itself. This limit only ends a hung shutdown.
	r.drain = s.Drain + shutdownMargin
	r.start, r.ready, r.done = a.Start, a.Ready, a.Done()
	r.dump = func() any { return a.Dump() }
	r.beginShutdown = func() { a.BeginDrain("shutting down") }
	r.stop = a.Close

	return r.run(ctx)
}
