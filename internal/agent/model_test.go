package agent_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/wire"
)

// Checks that an answer is complete and in order, and that its memory is freed at the
// end.
func TestModelRequest(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	x := h.openStream()
	h.importPrompt(x, "d", "notes")
	x.decode("d", 0, 20)
	if got, want := x.ended(wire.Status_STATUS_DONE), emulator.Answer("notes", 20); got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	h.awaitAllFree()
}

// Checks that a withdrawal frees the memory at each stage of a request, and that it
// reports whether the request has run.
func TestWithdraw(t *testing.T) {
	slow := fastEngine("decode")
	slow.DecodeRate = 10
	tests := map[string]struct {
		settings emulator.EngineSettings
		reach    func(h *harness, x *entryStream)
		id       string
		ran      bool
	}{
		"queued": {fastEngine("decode"), func(h *harness, x *entryStream) {
			other := h.openStream()
			other.granted("other", wire.Phase_PHASE_DECODE, func(a *wire.Ask) { a.Pieces = 8 })
			x.ask("a", wire.Phase_PHASE_DECODE)
			for len(h.testAgent.Dump().Grants) < 2 {
				pollPause()
			}
			h.cleanup = func() {
				other.withdraw("other")
				other.withdrawn("other", false)
			}
		}, "a", false},
		"granted": {fastEngine("decode"), func(_ *harness, x *entryStream) {
			x.granted("a", wire.Phase_PHASE_DECODE)
		}, "a", false},
		"prefill": {func() emulator.EngineSettings {
			s := fastEngine("prefill")
			s.PrefillRate = 1

			return s
		}(), func(h *harness, x *entryStream) {
			x.granted("a", wire.Phase_PHASE_PREFILL)
			x.prefill("a", "notes", 1000)
			h.awaitEngine(func(c emulator.Counters) bool { return c.Prefills == 1 })
		}, "a", true},
		"prefilled": {fastEngine("prefill"), func(_ *harness, x *entryStream) {
			x.granted("a", wire.Phase_PHASE_PREFILL)
			x.prefill("a", "notes", 1000)
			x.recv()
		}, "a", true},
		"transfer": {fastEngine("decode"), func(h *harness, x *entryStream) {
			x.granted("a", wire.Phase_PHASE_DECODE)
			x.startImport("a", h.stalledSource())
			h.awaitEngine(func(c emulator.Counters) bool { return c.Imports == 1 })
		}, "a", true},
		"imported": {fastEngine("decode"), func(h *harness, x *entryStream) { h.importPrompt(x, "a", "notes") }, "a", true},
		"decode": {slow, func(h *harness, x *entryStream) {
			h.importPrompt(x, "a", "notes")
			x.decode("a", 0, 1000)
			h.awaitEngine(func(c emulator.Counters) bool { return c.Tokens > 0 })
		}, "a", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, test.settings)
			x := h.openStream()
			test.reach(h, x)
			x.withdraw(test.id)
			x.withdrawn(test.id, test.ran)
			if h.cleanup != nil {
				h.cleanup()
			}
			h.awaitAllFree()
			// A repeated withdrawal must get the same confirmation, because the first
			// may have been lost with its stream.
			again := h.openStream()
			again.withdraw(test.id)
			again.withdrawn(test.id, test.ran)
		})
	}
}

// stalledSource returns a prefill result whose transfer makes no progress.
func (h *harness) stalledSource() *wire.Prefilled {
	h.t.Helper()
	other := newHarness(h.t, fastEngine("prefill"))
	x := other.openStream()
	x.granted("p", wire.Phase_PHASE_PREFILL)
	x.prefill("p", "notes", 1000)
	other.engine.StallExports(true)

	return x.recv().GetPrefilled()
}

// Checks that a transfer whose source stalls is aborted and its memory freed.
func TestStalledTransfer(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_DECODE)
	x.startImport("a", h.stalledSource())
	x.ended(wire.Status_STATUS_FAILED)
	h.awaitAllFree()
}

// Checks that work continues while an entry is disconnected for less than its lease,
// and ends when the lease expires.
func TestEntryKilled(t *testing.T) {
	s := fastEngine("decode")
	s.DecodeRate = 50
	h := newHarness(t, s)
	x := h.openStream()
	h.importPrompt(x, "a", "notes")
	x.decode("a", 0, 10_000)
	h.awaitEngine(func(c emulator.Counters) bool { return c.Tokens > 0 })
	_ = h.session.Close()
	h.clock.Advance(2900 * time.Millisecond)
	if got, want := h.testAgent.Dump().Grants[0].Stage, "decoding"; got != want {
		t.Errorf("within the lease: got stage %s, want %s", got, want)
	}
	h.clock.Advance(300 * time.Millisecond)
	h.awaitAllFree()
}

// Checks that grants of an entry that is connected but does not renew its lease end,
// and that the entry cannot use them afterwards.
func TestEntryPaused(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_DECODE)
	for range 10 {
		h.controlStream.send(&wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}})
		// The clock must not advance before the agent has handled Renew.
		h.awaitRenewed()
		h.clock.Advance(time.Second)
	}
	if got, want := len(h.testAgent.Dump().Grants), 1; got != want {
		t.Fatalf("while it renews: got %d grants, want %d", got, want)
	}
	h.clock.Advance(4 * time.Second)
	x.refused("lease")
	x.startImport("a", h.prefillElsewhere("notes", 100))
	x.refused("withdrawn")
	h.awaitAllFree()
	if got, want := h.engine.Counters().Imports, 0; got != want {
		t.Errorf("got %d imports, want %d", got, want)
	}
}

// awaitRenewed waits until the lease of entry process e1#1 has just been renewed.
func (h *harness) awaitRenewed() {
	h.t.Helper()

	for h.testAgent.Dump().Leases["e1#1"] != 0 {
		pollPause()
	}
}

// Checks that a stream between entry and agent that broke is resumed without a gap, a
// duplicate or a second decode.
func TestResumeOnNewSession(t *testing.T) {
	s := fastEngine("decode")
	s.DecodeRate = 200
	h := newHarness(t, s)
	x := h.openStream()
	h.importPrompt(x, "a", "notes")
	x.decode("a", 0, 50)
	text := x.recv().GetChunk().GetText() + x.recv().GetChunk().GetText()
	_ = h.session.Close()
	h.dial(1)
	x = h.openStream()
	x.decode("a", 2, 50)
	text += x.ended(wire.Status_STATUS_DONE)
	if want := emulator.Answer("notes", 50); text != want {
		t.Errorf("text: got %q, want %q", text, want)
	}
	// The whole answer is still available after the end.
	x = h.openStream()
	x.decode("a", 0, 50)
	if got, want := x.ended(wire.Status_STATUS_DONE), emulator.Answer("notes", 50); got != want {
		t.Errorf("text after the end: got %q, want %q", got, want)
	}
	if got, want := h.engine.Counters().Decodes, 1; got != want {
		t.Errorf("got %d decodes, want %d", got, want)
	}
	h.awaitAllFree()
}

// Checks that an attempt reported as not run never runs, even if copies of its ask and
// dispatch arrive after the withdrawal.
func TestDelayedDuplicates(t *testing.T) {
	h := newHarness(t, fastEngine("prefill"))
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_PREFILL)
	x.withdraw("a")
	x.withdrawn("a", false)
	late := h.openStream()
	late.prefill("a", "notes", 100)
	late.refused("withdrawn")
	late.ask("a", wire.Phase_PHASE_PREFILL)
	late.refused("withdrawn")
	h.clock.Advance(time.Minute) // longer than the grant queue remembers the id
	h.controlStream.send(&wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}})
	late.ask("a", wire.Phase_PHASE_PREFILL)
	late.refused("withdrawn")
	if got, want := h.engine.Counters().Prefills, 0; got != want {
		t.Errorf("got %d prefills, want %d", got, want)
	}
	h.awaitAllFree()
}

// Checks that a repeated Ask gets the same grant again. Otherwise a grant whose reply
// was lost would block its memory.
func TestLostReply(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	h.openStream().granted("a", wire.Phase_PHASE_DECODE)
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_DECODE)
	if got, want := len(h.testAgent.Dump().Grants), 1; got != want {
		t.Errorf("got %d grants, want %d", got, want)
	}
}

// Checks that a restarted agent cancels the work started before the restart, and
// reports attempts from before the restart as possibly run.
func TestAgentKilled(t *testing.T) {
	s := fastEngine("decode")
	s.DecodeRate = 50
	h := newHarness(t, s)
	x := h.openStream()
	h.importPrompt(x, "a", "notes")
	x.decode("a", 0, 10_000)
	h.awaitEngine(func(c emulator.Counters) bool { return c.Tokens > 0 })
	_ = h.testAgent.Close()
	if got, want := h.engine.Counters().RunningJobs, 1; got != want {
		t.Fatalf("after the agent died: got %d attempts on the engine, want %d", got, want)
	}
	before := h.testAgent.Epoch()
	h.startAgent(h.engine.Addr(), "decode", s.Pieces)
	if got, want := h.engine.Counters().HeldBlocks, int64(0); got != want {
		t.Errorf("when the new agent is ready: got %d blocks held, want %d", got, want)
	}
	x = h.openStream()
	x.decode("a", 1, 10_000)
	x.refused("unknown")
	x.withdraw("a")
	x.withdrawn("a", true)
	x.send(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: "b", Epoch: before}}})
	x.withdrawn("b", true)
	x.send(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: "c", Epoch: h.testAgent.Epoch()}}})
	x.withdrawn("c", false)
	h.awaitAllFree()
}

// Checks that the work of an entry process ends when a newer process replaces it, and
// that the older process is refused afterwards.
func TestEntryRestarted(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	x, before := h.openStream(), h.session
	h.importPrompt(x, "a", "notes")
	h.dial(2)
	x.ended(wire.Status_STATUS_REVOKED)
	h.awaitAllFree()
	h.session = before
	old := h.openStream()
	old.ask("b", wire.Phase_PHASE_DECODE)
	old.refused("old")
	late := h.openStream()
	late.send(&wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{Entry: "e1", Epoch: 1}}})
	if err := late.stream.Recv(&wire.Reply{}); err == nil {
		t.Error("got a welcome for the older process, want the end of the stream")
	}
}
