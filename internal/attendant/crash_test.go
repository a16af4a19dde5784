package attendant_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/imitator"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against blame for a request that merely ran beside the one that
// crashed the engine, and against a poison request that is never named.
func TestCrashWithNeighbour(t *testing.T) {
	s := fast("prefill")
	s.PrefillRate = 1000
	h := newSite(t, s)
	innocent, poison := h.open(), h.open()
	innocent.granted("i1", wire.Phase_PHASE_PREFILL, digest("innocent"))
	innocent.prefill("i1", "notes", 1_000_000)
	h.awaitEngine(func(c imitator.Counters) bool { return c.Prefills == 1 })
	poison.granted("p1", wire.Phase_PHASE_PREFILL, digest("poison"))
	waiting := h.open()
	waiting.granted("w1", wire.Phase_PHASE_PREFILL, digest("waiting"))
	poison.prefill("p1", "[crash]", 100)
	poison.ended(wire.Status_STATUS_CRASHED)
	innocent.ended(wire.Status_STATUS_CRASHED)
	waiting.refused("crashed")
	waiting.withdraw("w1")
	waiting.withdrawn("w1", false)
	both := h.control.await(t, func(c *wire.Command) bool { return c.GetBlame() != nil })
	if got, want := both.GetBlame().GetDigests(), []string{"innocent", "poison"}; !slices.Equal(got, want) {
		t.Errorf("first crash: got %v, want %v", got, want)
	}
	h.awaitReady()
	if got, want := h.agent.Dump().Suspects, []string{"innocent", "poison"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}

	// The innocent request and another one never run beside the suspect.
	poison.ask("p2", wire.Phase_PHASE_PREFILL, digest("poison"))
	poison.next()
	innocent.ask("i2", wire.Phase_PHASE_PREFILL, digest("innocent"))
	other := h.open()
	other.ask("o1", wire.Phase_PHASE_PREFILL, digest("other"))
	for len(h.agent.Dump().Deferred) < 2 {
		pauseBriefly()
	}
	poison.prefill("p2", "[crash]", 100)
	poison.ended(wire.Status_STATUS_CRASHED)
	innocent.refused("crashed")
	other.refused("crashed")
	cmd := h.control.await(t, func(c *wire.Command) bool {
		return c.GetBlame() != nil && c.GetId() != both.GetId()
	})
	if got, want := cmd.GetBlame().GetDigests(), []string{"poison"}; !slices.Equal(got, want) {
		t.Errorf("second crash: got %v, want %v", got, want)
	}

	h.awaitReady()
	innocent.granted("i3", wire.Phase_PHASE_PREFILL, digest("innocent"))
	innocent.prefill("i3", "notes", 100)
	innocent.next()
	if got, want := h.agent.Dump().Suspects, []string{"poison"}; !slices.Equal(got, want) {
		t.Errorf("suspects after a run alone: got %v, want %v", got, want)
	}
	innocent.withdraw("i3")
	innocent.withdrawn("i3", true)
	h.freed()
}

func digest(d string) func(*wire.Ask) {
	return func(a *wire.Ask) { a.Digest = d }
}

// Guards against a blocked request that runs once more.
func TestBlockedDigest(t *testing.T) {
	h := newSite(t, fast("decode"))
	h.control.mu.Lock()
	h.control.blocked["poison"] = true
	h.control.mu.Unlock()
	x := h.open()
	x.ask("a", wire.Phase_PHASE_DECODE, digest("poison"))
	x.refused("blocked")
}

// Guards against memory that is lost with a crash, and against attempts that
// wait for a reply which never comes.
func TestCrashDuringDecode(t *testing.T) {
	s := fast("decode")
	s.DecodeRate = 50
	h := newSite(t, s)
	running, ready := h.open(), h.open()
	h.imported(running, "a", "notes")
	running.decode("a", 0, 10_000)
	h.imported(ready, "b", "other notes")
	h.awaitEngine(func(c imitator.Counters) bool { return c.Tokens > 0 })
	h.engine.Crash()
	running.ended(wire.Status_STATUS_CRASHED)
	ready.ended(wire.Status_STATUS_CRASHED)
	h.awaitReady()
	h.freed()
	back := h.open()
	back.decode("a", 0, 10_000)
	back.ended(wire.Status_STATUS_CRASHED)
	back.withdraw("a")
	back.withdrawn("a", true)
}

// Guards against an agent that interrupts running work or takes new work while
// it leaves, and against one that never ends.
func TestLeave(t *testing.T) {
	s := fast("decode")
	s.DecodeRate = 100
	h := newSite(t, s)
	x, queued := h.open(), h.open()
	h.imported(x, "a", "notes", func(a *wire.Ask) { a.Pieces = 8 })
	queued.ask("q", wire.Phase_PHASE_DECODE)
	for len(h.agent.Dump().Grants) < 2 {
		pauseBriefly()
	}
	h.agent.Leave("SIGTERM")
	h.agent.Leave("SIGTERM")
	queued.refused("leaving: SIGTERM")
	fresh := h.open()
	fresh.ask("f", wire.Phase_PHASE_DECODE)
	fresh.refused("leaving: SIGTERM")
	x.decode("a", 0, 30)
	if got, want := x.ended(wire.Status_STATUS_DONE), imitator.Answer("notes", 30); got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	for ended := false; !ended; {
		h.clock.Advance(tick)
		select {
		case <-h.agent.Done():
			ended = true
		default:
			pauseBriefly()
		}
	}
	cmd := h.control.await(t, func(c *wire.Command) bool { return c.GetRegister() != nil })
	if !cmd.GetRegister().GetGone() {
		t.Errorf("got %v, want a deregistration", cmd)
	}
}

// Guards against an operator's drain that takes new work, ends the agent or
// cannot be taken back.
func TestOperatorDrain(t *testing.T) {
	h := newSite(t, fast("decode"))
	x := h.open()
	x.granted("a", wire.Phase_PHASE_DECODE)
	h.control.set(&wire.Server{Name: "s1", Drained: true})
	for h.agent.Dump().Leaving == "" {
		pauseBriefly()
	}
	x.ask("b", wire.Phase_PHASE_DECODE)
	x.refused("leaving: drained by an operator")
	x.withdraw("a")
	x.withdrawn("a", false)
	h.control.set(&wire.Server{Name: "s1"})
	h.awaitReady()
	x.granted("c", wire.Phase_PHASE_DECODE)
}

// Guards against an agent that cancels the work of another engine, which took
// over the address of its own one.
func TestForeignEngine(t *testing.T) {
	s := fast("prefill")
	s.Restart = time.Hour
	h := newSite(t, s)
	h.engine.Crash()
	for h.agent.Ready() {
		pauseBriefly()
	}
	foreign, err := imitator.NewEngine(fast("prefill"))
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
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := foreign.Await(ctx, func(c imitator.Counters) bool { return c.Watches >= 2 }); err != nil {
		t.Fatal(err)
	}
	if got, want := foreign.Counters().Held, int64(1); got != want || h.agent.Ready() {
		t.Errorf("got %d pieces held and ready %v, want %d and not ready", got, h.agent.Ready(), want)
	}
}
