package agent_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/wire"
)

// Checks that a request that crashes the engine twice is reported alone the second
// time, and that a request that ran beside it at the first crash is cleared by running
// alone.
func TestCrashWithConcurrentRequest(t *testing.T) {
	s := fastEngine("prefill")
	s.PrefillRate = 1000
	h := newHarness(t, s)
	innocent, poison := h.openStream(), h.openStream()
	innocent.granted("i1", wire.Phase_PHASE_PREFILL, digest("innocent"))
	innocent.prefill("i1", "notes", 1_000_000)
	h.awaitEngine(func(c emulator.Counters) bool { return c.Prefills == 1 })
	poison.granted("p1", wire.Phase_PHASE_PREFILL, digest("poison"))
	waiting := h.openStream()
	waiting.granted("w1", wire.Phase_PHASE_PREFILL, digest("waiting"))
	poison.prefill("p1", "[crash]", 100)
	poison.ended(wire.Status_STATUS_CRASHED)
	innocent.ended(wire.Status_STATUS_CRASHED)
	waiting.refused("crashed")
	waiting.withdraw("w1")
	waiting.withdrawn("w1", false)
	both := h.control.awaitCommand(t, func(c *wire.Command) bool { return c.GetBlame() != nil })
	if got, want := both.GetBlame().GetDigests(), []string{"innocent", "poison"}; !slices.Equal(got, want) {
		t.Errorf("first crash: got %v, want %v", got, want)
	}
	h.awaitReady()
	if got, want := h.testAgent.Dump().Suspects, []string{"innocent", "poison"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}

	// Neither the innocent suspect nor a new request may run beside the suspect.
	poison.ask("p2", wire.Phase_PHASE_PREFILL, digest("poison"))
	poison.recv()
	innocent.ask("i2", wire.Phase_PHASE_PREFILL, digest("innocent"))
	other := h.openStream()
	other.ask("o1", wire.Phase_PHASE_PREFILL, digest("other"))
	for len(h.testAgent.Dump().Deferred) < 2 {
		pollPause()
	}
	poison.prefill("p2", "[crash]", 100)
	poison.ended(wire.Status_STATUS_CRASHED)
	innocent.refused("crashed")
	other.refused("crashed")
	cmd := h.control.awaitCommand(t, func(c *wire.Command) bool {
		return c.GetBlame() != nil && c.GetId() != both.GetId()
	})
	if got, want := cmd.GetBlame().GetDigests(), []string{"poison"}; !slices.Equal(got, want) {
		t.Errorf("second crash: got %v, want %v", got, want)
	}

	h.awaitReady()
	innocent.granted("i3", wire.Phase_PHASE_PREFILL, digest("innocent"))
	innocent.prefill("i3", "notes", 100)
	innocent.recv()
	if got, want := h.testAgent.Dump().Suspects, []string{"poison"}; !slices.Equal(got, want) {
		t.Errorf("suspects after a run alone: got %v, want %v", got, want)
	}
	innocent.withdraw("i3")
	innocent.withdrawn("i3", true)
	h.awaitAllFree()
}

func digest(d string) func(*wire.Ask) {
	return func(a *wire.Ask) { a.Digest = d }
}

// Checks that an ask with a blocked digest is refused.
func TestBlockedDigest(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	h.control.mu.Lock()
	h.control.blocked["poison"] = true
	h.control.mu.Unlock()
	x := h.openStream()
	x.ask("a", wire.Phase_PHASE_DECODE, digest("poison"))
	x.refused("blocked")
}

// Checks that after a crash all memory is free again and every attempt gets a final
// reply.
func TestCrashDuringDecode(t *testing.T) {
	s := fastEngine("decode")
	s.DecodeRate = 50
	h := newHarness(t, s)
	running, ready := h.openStream(), h.openStream()
	h.importPrompt(running, "a", "notes")
	running.decode("a", 0, 10_000)
	h.importPrompt(ready, "b", "other notes")
	h.awaitEngine(func(c emulator.Counters) bool { return c.Tokens > 0 })
	h.engine.Crash()
	running.ended(wire.Status_STATUS_CRASHED)
	ready.ended(wire.Status_STATUS_CRASHED)
	h.awaitReady()
	h.awaitAllFree()
	reconnected := h.openStream()
	reconnected.decode("a", 0, 10_000)
	reconnected.ended(wire.Status_STATUS_CRASHED)
	reconnected.withdraw("a")
	reconnected.withdrawn("a", true)
}

// Checks that an agent that is shut down refuses new and queued asks, completes running
// work, deregisters and then stops.
func TestDrain(t *testing.T) {
	s := fastEngine("decode")
	s.DecodeRate = 100
	h := newHarness(t, s)
	x, queued := h.openStream(), h.openStream()
	h.importPrompt(x, "a", "notes", func(a *wire.Ask) { a.Pieces = 8 })
	queued.ask("q", wire.Phase_PHASE_DECODE)
	for len(h.testAgent.Dump().Grants) < 2 {
		pollPause()
	}
	h.testAgent.BeginDrain("SIGTERM")
	h.testAgent.BeginDrain("SIGTERM")
	queued.refused("leaving: SIGTERM")
	fresh := h.openStream()
	fresh.ask("f", wire.Phase_PHASE_DECODE)
	fresh.refused("leaving: SIGTERM")
	x.decode("a", 0, 30)
	if got, want := x.ended(wire.Status_STATUS_DONE), emulator.Answer("notes", 30); got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	for ended := false; !ended; {
		h.clock.Advance(tickNanos)
		select {
		case <-h.testAgent.Done():
			ended = true
		default:
			pollPause()
		}
	}
	cmd := h.control.awaitCommand(t, func(c *wire.Command) bool { return c.GetRegister() != nil })
	if !cmd.GetRegister().GetGone() {
		t.Errorf("got %v, want a deregistration", cmd)
	}
}

// Checks that an agent drained by an operator refuses new work but keeps running, and
// accepts work again when the drain ends.
func TestOperatorDrain(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_DECODE)
	h.control.set(&wire.Server{Name: "s1", Drained: true})
	for h.testAgent.Dump().Leaving == "" {
		pollPause()
	}
	x.ask("b", wire.Phase_PHASE_DECODE)
	x.refused("leaving: drained by an operator")
	x.withdraw("a")
	x.withdrawn("a", false)
	h.control.set(&wire.Server{Name: "s1"})
	h.awaitReady()
	x.granted("c", wire.Phase_PHASE_DECODE)
}

// Checks that an agent does not cancel the work of a different engine that has taken
// over the address of its own engine.
func TestForeignEngineAtAddress(t *testing.T) {
	s := fastEngine("prefill")
	s.RestartDelay = time.Hour
	h := newHarness(t, s)
	h.engine.Crash()
	for h.testAgent.Ready() {
		pollPause()
	}
	foreign, err := emulator.NewEngine(fastEngine("prefill"))
	if err != nil {
		t.Fatal(err)
	}
	if err := foreign.Start(h.engine.Addr()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = foreign.Close() }()
	client := driver.New(foreign.Addr(), time.Second)
	defer client.Close()
	if _, err := client.Prefill(t.Context(), driver.Prefill{ID: "a", Tokens: 10, Pieces: 1}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := foreign.Await(ctx, func(c emulator.Counters) bool { return c.WatchStreams >= 2 }); err != nil {
		t.Fatal(err)
	}
	if got, want := foreign.Counters().HeldBlocks, int64(1); got != want || h.testAgent.Ready() {
		t.Errorf("got %d blocks held and ready %v, want %d and not ready", got, h.testAgent.Ready(), want)
	}
}
