package agent_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/agent"
	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	drainTime = 2500 * time.Millisecond
	// workTime is the part of drainTime in which work is not ended.
	workTime = 2 * time.Second
)

func withDrainTime(s *agent.Settings) { s.DrainTimeout = drainTime }

// awaitEnd waits until the agent has stopped after its drain.
func (h *harness) awaitEnd() {
	h.t.Helper()
	deadline := time.After(testTimeout)
	for {
		select {
		case <-h.testAgent.Done():
			return
		case <-deadline:
			h.t.Fatalf("got a running agent, want it stopped: %+v", h.testAgent.Dump())
		default:
			h.clock.Advance(tickNanos)
			pollPause()
		}
	}
}

// Guards against an agent that closes its connections at the end of its drain time without telling
// the entries what became of their work.
func TestDrainTimeEndsCalls(t *testing.T) {
	h := newPlainHarness(t, withDrainTime)
	running, granted := h.openStream(), h.openStream()
	running.granted("a", wire.Phase_PHASE_PLAIN)
	running.runCall("Idempotency-Key", "k", emulator.HeaderDelay, "20s")
	h.awaitRun()
	granted.granted("b", wire.Phase_PHASE_PLAIN)
	h.testAgent.BeginDrain("SIGTERM")
	h.clock.Advance(workTime)
	running.ended(wire.Status_STATUS_REVOKED)
	granted.refused("leaving: SIGTERM")
	h.awaitEnd()
	cmd := h.control.awaitCommand(t, func(c *wire.Command) bool { return c.GetRegister() != nil })
	if !cmd.GetRegister().GetGone() {
		t.Errorf("got %v, want a deregistration", cmd)
	}
}

// Guards against an engine that goes on with the work of an agent that has stopped.
func TestDrainTimeEndsStream(t *testing.T) {
	s := fastEngine("decode")
	s.DecodeRate = 10
	h := newHarness(t, s, withDrainTime)
	x := h.openStream()
	h.importPrompt(x, "a", "notes")
	x.decode("a", 0, 1000)
	h.awaitEngine(func(c emulator.Counters) bool { return c.Tokens > 0 })
	h.testAgent.BeginDrain("SIGTERM")
	h.clock.Advance(workTime)
	x.ended(wire.Status_STATUS_REVOKED)
	h.awaitEnd()
	if got := h.engine.Counters(); got.HeldBlocks != 0 || got.RunningJobs != 0 {
		t.Errorf("engine: got %+v, want no work left", got)
	}
}

// Guards against starting work that cannot end before the agent does.
func TestDrainRefusesLateDispatch(t *testing.T) {
	for name, test := range map[string]struct {
		cost time.Duration
		runs int
	}{
		"ends in time": {workTime / 4, 1},
		"too late":     {workTime, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPlainHarness(t, withDrainTime)
			x := h.openStream()
			x.granted("a", wire.Phase_PHASE_PLAIN, func(a *wire.Ask) { a.Cost = test.cost.Microseconds() })
			h.testAgent.BeginDrain("SIGTERM")
			h.clock.Advance(workTime / 2)
			x.runCall()
			if test.runs > 0 {
				x.answered()
			} else {
				x.refused("leaving: SIGTERM")
			}
			h.ran(test.runs)
			h.awaitEnd()
		})
	}
}
