package attendant_test

import (
	"testing"

	"github.com/damasklever/damasklever/internal/imitator"
	"github.com/damasklever/damasklever/internal/wire"
)

const tick = 100_000_000 // ns, the agent's resolution of leases

func order(id string, fence uint64, subject string) *wire.Order {
	return &wire.Order{Id: id, Verb: "role", Subject: subject, Fence: fence, State: "waiting"}
}

// server is the registration of this start of the agent.
func (h *site) server(fence uint64, orders ...*wire.Order) *wire.Server {
	return &wire.Server{Name: "s1", Epoch: h.agent.Epoch(), Fence: fence, Orders: orders}
}

func (h *site) reported(id, state string) {
	h.t.Helper()
	cmd := h.control.await(h.t, func(c *wire.Command) bool { return c.GetReport().GetOrder() == id })
	if got := cmd.GetReport().GetState(); got != state {
		h.t.Fatalf("order %s: got %v, want state %s", id, cmd.GetReport(), state)
	}
}

// Guards against an old fencing token that reaches the engine, whether or not
// the engine checks it.
func TestStaleOrder(t *testing.T) {
	for name, check := range map[string]bool{"engine checks": true, "engine does not check": false} {
		t.Run(name, func(t *testing.T) {
			s := fast("decode")
			s.CheckFence = check
			h := newSite(t, s)
			h.control.set(h.server(7, order("new", 7, "prefill")))
			h.reported("new", "done")
			h.control.set(h.server(7, order("old", 6, "decode")))
			h.reported("old", "failed")
			if got, want := h.engine.Role(), "prefill"; got != want {
				t.Errorf("role: got %s, want %s", got, want)
			}
			if got, want := h.engine.Counters().Orders, 1; got != want {
				t.Errorf("orders carried out: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against two open orders of which the later one cancels the earlier, and
// against an order that runs twice.
func TestOrdersInTurn(t *testing.T) {
	h := newSite(t, fast("decode"))
	h.control.refuse = 3
	h.control.set(h.server(9, order("second", 9, "decode"), order("first", 8, "prefill")))
	h.reported("first", "done")
	h.reported("second", "done")
	h.control.set(h.server(9, order("first", 8, "prefill")))
	h.control.set(h.server(10, order("third", 10, "prefill")))
	h.reported("third", "done")
	if got, want := h.engine.Counters().Orders, 3; got != want {
		t.Errorf("orders carried out: got %d, want %d", got, want)
	}
}

// Guards against an order that a restarted agent accepts from a view older than
// its own registration, so perhaps older than the current token.
func TestOrderBeforeRegistration(t *testing.T) {
	h := newSite(t, fast("decode"))
	h.control.seen(&wire.Server{Name: "s1", Epoch: 1, Fence: 5, Orders: []*wire.Order{order("old", 5, "prefill")}})
	h.control.set(h.server(6, order("new", 6, "decode")))
	h.reported("new", "done")
	if d := h.agent.Dump(); d.Token != 6 || !d.Fenced {
		t.Errorf("got token %d read %v, want 6 read", d.Token, d.Fenced)
	}
	if got, want := h.engine.Counters().Orders, 1; got != want {
		t.Errorf("orders carried out: got %d, want %d", got, want)
	}
}

// Guards against an order that is lost because the engine was down when it came.
func TestOrderDuringCrash(t *testing.T) {
	h := newSite(t, fast("decode"))
	h.engine.Crash()
	h.control.set(h.server(3, order("a", 3, "prefill")))
	h.reported("a", "done")
	h.awaitEngine(func(c imitator.Counters) bool { return c.Orders == 1 })
}

// Guards against a role that an order has changed and that a new connection to
// control, or a restart of the agent, turns back in the configuration.
func TestRoleIsKept(t *testing.T) {
	h := newSite(t, fast("decode"))
	h.control.set(h.server(3, order("a", 3, "prefill")))
	h.reported("a", "done")
	back := func() {
		old := h.server(3)
		old.Phase = "decode"
		h.control.set(old)
		epoch := h.agent.Epoch()
		cmd := h.control.await(t, func(c *wire.Command) bool {
			return c.GetRegister().GetAttach().GetEpoch() == epoch && !c.GetRegister().GetGone()
		})
		if got, want := cmd.GetRegister().GetAttach().GetPhase(), "prefill"; got != want {
			t.Errorf("role: got %s, want %s", got, want)
		}
	}
	back()
	h.control.set(h.server(3))
	_ = h.agent.Close()
	h.start(h.engine.Addr(), "decode", 8)
	back()
}

// Guards against an order that an agent carries out from a view that no quorum
// has confirmed for long, and against its loss.
func TestOrderWithoutQuorum(t *testing.T) {
	h := newSite(t, fast("decode"))
	h.control.stale = true
	h.control.set(h.server(3, order("a", 3, "prefill")))
	for checks := 0; checks < 3; {
		pauseBriefly()
		h.control.mu.Lock()
		checks = h.control.checks
		h.control.mu.Unlock()
	}
	if got, want := h.engine.Counters().Orders, 0; got != want {
		t.Errorf("without a quorum: got %d orders, want %d", got, want)
	}
	h.control.mu.Lock()
	h.control.stale = false
	h.control.mu.Unlock()
	h.reported("a", "done")
}
