package attendant_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/imitator"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against an answer that is incomplete or mixed up, and against memory
// that stays taken after a normal end.
func TestModelRequest(t *testing.T) {
	h := newSite(t, fast("decode"))
	x := h.open()
	h.imported(x, "d", "notes")
	x.decode("d", 0, 20)
	if got, want := x.ended(wire.Status_STATUS_DONE), imitator.Answer("notes", 20); got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	h.freed()
}

// Guards against memory kept for a caller that is gone, at each step of its
// request.
func TestWithdraw(t *testing.T) {
	slow := fast("decode")
	slow.DecodeRate = 10
	tests := map[string]struct {
		settings imitator.EngineSettings
		reach    func(h *site, x *exchange)
		id       string
		ran      bool
	}{
		"queued": {fast("decode"), func(h *site, x *exchange) {
			other := h.open()
			other.granted("other", wire.Phase_PHASE_DECODE, func(a *wire.Ask) { a.Pieces = 8 })
			x.ask("a", wire.Phase_PHASE_DECODE)
			for len(h.agent.Dump().Grants) < 2 {
				pauseBriefly()
			}
			h.last = func() {
				other.withdraw("other")
				other.withdrawn("other", false)
			}
		}, "a", false},
		"granted": {fast("decode"), func(_ *site, x *exchange) {
			x.granted("a", wire.Phase_PHASE_DECODE)
		}, "a", false},
		"prefill": {func() imitator.EngineSettings {
			s := fast("prefill")
			s.PrefillRate = 1

			return s
		}(), func(h *site, x *exchange) {
			x.granted("a", wire.Phase_PHASE_PREFILL)
			x.prefill("a", "notes", 1000)
			h.awaitEngine(func(c imitator.Counters) bool { return c.Prefills == 1 })
		}, "a", true},
		"prefilled": {fast("prefill"), func(_ *site, x *exchange) {
			x.granted("a", wire.Phase_PHASE_PREFILL)
			x.prefill("a", "notes", 1000)
			x.next()
		}, "a", true},
		"transfer": {fast("decode"), func(h *site, x *exchange) {
			x.granted("a", wire.Phase_PHASE_DECODE)
			x.load("a", h.stalledSource())
			h.awaitEngine(func(c imitator.Counters) bool { return c.Imports == 1 })
		}, "a", true},
		"imported": {fast("decode"), func(h *site, x *exchange) { h.imported(x, "a", "notes") }, "a", true},
		"decode": {slow, func(h *site, x *exchange) {
			h.imported(x, "a", "notes")
			x.decode("a", 0, 1000)
			h.awaitEngine(func(c imitator.Counters) bool { return c.Tokens > 0 })
		}, "a", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSite(t, test.settings)
			x := h.open()
			test.reach(h, x)
			x.withdraw(test.id)
			x.withdrawn(test.id, test.ran)
			if h.last != nil {
				h.last()
			}
			h.freed()
			// The first confirmation may have been lost with its stream.
			again := h.open()
			again.withdraw(test.id)
			again.withdrawn(test.id, test.ran)
		})
	}
}

// stalledSource is a prefill result whose export makes no progress.
func (h *site) stalledSource() *wire.Prefilled {
	h.t.Helper()
	other := newSite(h.t, fast("prefill"))
	x := other.open()
	x.granted("p", wire.Phase_PHASE_PREFILL)
	x.prefill("p", "notes", 1000)
	other.engine.Stall(true)

	return x.next().GetPrefilled()
}

// Guards against a transfer that holds memory for ever when its source stalls.
func TestTransferStall(t *testing.T) {
	h := newSite(t, fast("decode"))
	x := h.open()
	x.granted("a", wire.Phase_PHASE_DECODE)
	x.load("a", h.stalledSource())
	x.ended(wire.Status_STATUS_FAILED)
	h.freed()
}

// Guards against work of an entry that was killed, and against the loss of work
// of one that only lost a connection for less than its lease.
func TestEntryKilled(t *testing.T) {
	s := fast("decode")
	s.DecodeRate = 50
	h := newSite(t, s)
	x := h.open()
	h.imported(x, "a", "notes")
	x.decode("a", 0, 10_000)
	h.awaitEngine(func(c imitator.Counters) bool { return c.Tokens > 0 })
	_ = h.session.Close()
	h.clock.Advance(2900 * time.Millisecond)
	if got, want := h.agent.Dump().Grants[0].Stage, "decoding"; got != want {
		t.Errorf("within the lease: got stage %s, want %s", got, want)
	}
	h.clock.Advance(300 * time.Millisecond)
	h.freed()
}

// Guards against grants that outlive an entry which still has its connection but
// no longer renews, and against work it starts with them later.
func TestEntryPaused(t *testing.T) {
	h := newSite(t, fast("decode"))
	x := h.open()
	x.granted("a", wire.Phase_PHASE_DECODE)
	for range 10 {
		h.hello.send(&wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}})
		// An answer on another stream of the session says that Renew was handled.
		h.barrier()
		h.clock.Advance(time.Second)
	}
	if got, want := len(h.agent.Dump().Grants), 1; got != want {
		t.Fatalf("while it renews: got %d grants, want %d", got, want)
	}
	h.clock.Advance(4 * time.Second)
	x.refused("lease")
	x.load("a", h.source("notes", 100))
	x.refused("withdrawn")
	h.freed()
	if got, want := h.engine.Counters().Imports, 0; got != want {
		t.Errorf("got %d imports, want %d", got, want)
	}
}

// barrier returns after the agent has handled what the control stream carried.
func (h *site) barrier() {
	h.t.Helper()

	for h.agent.Dump().Leases["e1#1"] != 0 {
		pauseBriefly()
	}
}

// Guards against a second answer, a gap or a new prefill when only the stream
// between entry and agent broke.
func TestResumeOnNewSession(t *testing.T) {
	s := fast("decode")
	s.DecodeRate = 200
	h := newSite(t, s)
	x := h.open()
	h.imported(x, "a", "notes")
	x.decode("a", 0, 50)
	text := x.next().GetChunk().GetText() + x.next().GetChunk().GetText()
	_ = h.session.Close()
	h.dial(1)
	x = h.open()
	x.decode("a", 2, 50)
	text += x.ended(wire.Status_STATUS_DONE)
	if want := imitator.Answer("notes", 50); text != want {
		t.Errorf("text: got %q, want %q", text, want)
	}
	// After the end the answer is still there.
	x = h.open()
	x.decode("a", 0, 50)
	if got, want := x.ended(wire.Status_STATUS_DONE), imitator.Answer("notes", 50); got != want {
		t.Errorf("text after the end: got %q, want %q", got, want)
	}
	if got, want := h.engine.Counters().Decodes, 1; got != want {
		t.Errorf("got %d decodes, want %d", got, want)
	}
	h.freed()
}

// Guards against an attempt that runs although its entry was told that it never
// will: the copies of its ask and dispatch arrive after the withdrawal.
func TestLateCopies(t *testing.T) {
	h := newSite(t, fast("prefill"))
	x := h.open()
	x.granted("a", wire.Phase_PHASE_PREFILL)
	x.withdraw("a")
	x.withdrawn("a", false)
	late := h.open()
	late.prefill("a", "notes", 100)
	late.refused("withdrawn")
	late.ask("a", wire.Phase_PHASE_PREFILL)
	late.refused("withdrawn")
	h.clock.Advance(time.Minute) // the grant queue has forgotten the id by now
	h.hello.send(&wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}})
	late.ask("a", wire.Phase_PHASE_PREFILL)
	late.refused("withdrawn")
	if got, want := h.engine.Counters().Prefills, 0; got != want {
		t.Errorf("got %d prefills, want %d", got, want)
	}
	h.freed()
}

// Guards against a lost grant that blocks the memory: the repeated Ask gets the
// same grant again.
func TestLostReply(t *testing.T) {
	h := newSite(t, fast("decode"))
	h.open().granted("a", wire.Phase_PHASE_DECODE)
	x := h.open()
	x.granted("a", wire.Phase_PHASE_DECODE)
	if got, want := len(h.agent.Dump().Grants), 1; got != want {
		t.Errorf("got %d grants, want %d", got, want)
	}
}

// Guards against work that an agent started before its own restart, and against
// an agent that then claims to know that nothing ran.
func TestAgentKilled(t *testing.T) {
	s := fast("decode")
	s.DecodeRate = 50
	h := newSite(t, s)
	x := h.open()
	h.imported(x, "a", "notes")
	x.decode("a", 0, 10_000)
	h.awaitEngine(func(c imitator.Counters) bool { return c.Tokens > 0 })
	_ = h.agent.Close()
	if got, want := h.engine.Counters().Running, 1; got != want {
		t.Fatalf("after the agent died: got %d attempts on the engine, want %d", got, want)
	}
	before := h.agent.Epoch()
	h.start(h.engine.Addr(), "decode", s.Pieces)
	if got, want := h.engine.Counters().Held, int64(0); got != want {
		t.Errorf("when the new agent is ready: got %d pieces held, want %d", got, want)
	}
	x = h.open()
	x.decode("a", 1, 10_000)
	x.refused("unknown")
	x.withdraw("a")
	x.withdrawn("a", true)
	x.send(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: "b", Epoch: before}}})
	x.withdrawn("b", true)
	x.send(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: "c", Epoch: h.agent.Epoch()}}})
	x.withdrawn("c", false)
	h.freed()
}

// Guards against work that goes on for an entry process that has restarted, and
// against an older process that comes back beside the newer one.
func TestEntryRestarted(t *testing.T) {
	h := newSite(t, fast("decode"))
	x, before := h.open(), h.session
	h.imported(x, "a", "notes")
	h.dial(2)
	x.ended(wire.Status_STATUS_REVOKED)
	h.freed()
	h.session = before
	old := h.open()
	old.ask("b", wire.Phase_PHASE_DECODE)
	old.refused("old")
	late := h.open()
	late.send(&wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{Entry: "e1", Epoch: 1}}})
	if err := late.stream.Recv(&wire.Reply{}); err == nil {
		t.Error("got a welcome for the older process, want the end of the stream")
	}
}
