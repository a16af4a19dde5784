package agent_test

import (
	"testing"

	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/wire"
)

const tickNanos = 100_000_000 // ns, interval at which the agent checks leases

func order(id string, fence uint64, subject string) *wire.Order {
	return &wire.Order{Id: id, Verb: "role", Subject: subject, Fence: fence, State: "waiting"}
}

// server returns the configuration of a server with the registration of the agent's
// current start.
func (h *harness) server(fence uint64, orders ...*wire.Order) *wire.Server {
	return &wire.Server{Name: "s1", Epoch: h.testAgent.Epoch(), Fence: fence, Orders: orders}
}

func (h *harness) expectReport(id, state string) {
	h.t.Helper()
	cmd := h.control.awaitCommand(h.t, func(c *wire.Command) bool { return c.GetReport().GetOrder() == id })
	if got := cmd.GetReport().GetState(); got != state {
		h.t.Fatalf("order %s: got %v, want state %s", id, cmd.GetReport(), state)
	}
}

// Checks that an order with an old fencing token never reaches the engine, whether or
// not the engine checks tokens.
func TestStaleOrder(t *testing.T) {
	for name, check := range map[string]bool{"engine checks": true, "engine does not check": false} {
		t.Run(name, func(t *testing.T) {
			s := fastEngine("decode")
			s.CheckFencingToken = check
			h := newHarness(t, s)
			h.control.set(h.server(7, order("new", 7, "prefill")))
			h.expectReport("new", "done")
			h.control.set(h.server(7, order("old", 6, "decode")))
			h.expectReport("old", "failed")
			if got, want := h.engine.Role(), "prefill"; got != want {
				t.Errorf("role: got %s, want %s", got, want)
			}
			if got, want := h.engine.Counters().Orders, 1; got != want {
				t.Errorf("orders carried out: got %d, want %d", got, want)
			}
		})
	}
}

// Checks that several open orders run in the order of their tokens, and that no order
// runs twice.
func TestOrdersRunInSequence(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	h.control.failProposals = 3
	h.control.set(h.server(9, order("second", 9, "decode"), order("first", 8, "prefill")))
	h.expectReport("first", "done")
	h.expectReport("second", "done")
	h.control.set(h.server(9, order("first", 8, "prefill")))
	h.control.set(h.server(10, order("third", 10, "prefill")))
	h.expectReport("third", "done")
	if got, want := h.engine.Counters().Orders, 3; got != want {
		t.Errorf("orders carried out: got %d, want %d", got, want)
	}
}

// Checks that a restarted agent executes no order from a view without its own
// registration, because the view may be older than the current token.
func TestOrderBeforeRegistration(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	h.control.setAndAwaitRead(&wire.Server{Name: "s1", Epoch: 1, Fence: 5, Orders: []*wire.Order{order("old", 5, "prefill")}})
	h.control.set(h.server(6, order("new", 6, "decode")))
	h.expectReport("new", "done")
	if d := h.testAgent.Dump(); d.Token != 6 || !d.TokenKnown {
		t.Errorf("got token %d read %v, want 6 read", d.Token, d.TokenKnown)
	}
	if got, want := h.engine.Counters().Orders, 1; got != want {
		t.Errorf("orders carried out: got %d, want %d", got, want)
	}
}

// Checks that an order that arrives while the engine is down is executed later.
func TestOrderDuringCrash(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	h.engine.Crash()
	h.control.set(h.server(3, order("a", 3, "prefill")))
	h.expectReport("a", "done")
	h.awaitEngine(func(c emulator.Counters) bool { return c.Orders == 1 })
}

// Checks that a role changed by an order is registered again if a reconnect to control
// or a restart of the agent has registered the previous role.
func TestRoleIsRegisteredAgain(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	h.control.set(h.server(3, order("a", 3, "prefill")))
	h.expectReport("a", "done")
	awaitRegistration := func() {
		old := h.server(3)
		old.Phase = "decode"
		h.control.set(old)
		epoch := h.testAgent.Epoch()
		cmd := h.control.awaitCommand(t, func(c *wire.Command) bool {
			return c.GetRegister().GetAttach().GetEpoch() == epoch && !c.GetRegister().GetGone()
		})
		if got, want := cmd.GetRegister().GetAttach().GetPhase(), "prefill"; got != want {
			t.Errorf("role: got %s, want %s", got, want)
		}
	}
	awaitRegistration()
	h.control.set(h.server(3))
	_ = h.testAgent.Close()
	h.startAgent(h.engine.Addr(), "decode", 8)
	awaitRegistration()
}

// Checks that an order is delayed, but not lost, while no quorum has confirmed the view
// recently.
func TestOrderWithoutQuorum(t *testing.T) {
	h := newHarness(t, fastEngine("decode"))
	h.control.stale = true
	h.control.set(h.server(3, order("a", 3, "prefill")))
	for freshChecks := 0; freshChecks < 3; {
		pollPause()
		h.control.mu.Lock()
		freshChecks = h.control.freshChecks
		h.control.mu.Unlock()
	}
	if got, want := h.engine.Counters().Orders, 0; got != want {
		t.Errorf("without a quorum: got %d orders, want %d", got, want)
	}
	h.control.mu.Lock()
	h.control.stale = false
	h.control.mu.Unlock()
	h.expectReport("a", "done")
}
