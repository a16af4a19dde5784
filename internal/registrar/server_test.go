package registrar_test

import (
	"testing"

	"github.com/damasklever/damasklever/internal/wire"
)

func (m *machine) report(server, order, state string) *wire.Result {
	return m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Report{Report: &wire.Report{
		Server: server, Order: order, State: state,
	}}})
}

// Guards against a drained server that gets requests again because it restarted.
func TestDrainedServerStaysDrained(t *testing.T) {
	m := newMachine(t)
	m.register("s1", 1, false)
	m.mustChange("drain server s1")
	m.register("s1", 1, true)
	if m.server("s1") != nil {
		t.Error("deregistered server: got one, want none")
	}
	m.restart()
	m.register("s1", 2, false)
	if got, want := m.server("s1").GetDrained(), true; got != want {
		t.Errorf("after the restart: got %v, want %v", got, want)
	}
	m.mustChange("return server s1")
	if got, want := m.server("s1").GetDrained(), false; got != want {
		t.Errorf("after return: got %v, want %v", got, want)
	}
}

// Guards against a late deregistration that removes a server that has been started
// again.
func TestLateDeregistration(t *testing.T) {
	m := newMachine(t)
	m.register("s1", 1, false)
	m.register("s1", 2, false)
	m.register("s1", 1, true)
	if m.server("s1") == nil {
		t.Error("got no server, want the one of epoch 2")
	}
}

// Guards against a fencing token that is issued twice, also if the server was deleted in
// between, and against orders that are lost in a restart.
func TestOrdersAndTokens(t *testing.T) {
	m := newMachine(t)
	m.register("s1", 1, false)
	m.register("s2", 1, false)
	m.mustChange("order server s1 load m2; order server s1 role prefill; order server s2 unload m1")
	seen := make(map[uint64]bool)
	for _, s := range []*wire.Server{m.server("s1"), m.server("s2")} {
		for _, o := range s.GetOrders() {
			if seen[o.GetFence()] {
				t.Errorf("token %d was issued twice", o.GetFence())
			}
			seen[o.GetFence()] = true
		}
		if got, want := s.GetFence(), s.GetOrders()[len(s.GetOrders())-1].GetFence(); got != want {
			t.Errorf("token of %s: got %d, want %d", s.GetName(), got, want)
		}
	}
	m.register("s1", 1, true)
	m.restart()
	m.register("s1", 2, false)
	orders := m.server("s1").GetOrders()
	if got, want := len(orders), 2; got != want {
		t.Fatalf("orders after a restart: got %d, want %d", got, want)
	}
	for range 2 {
		if got, want := m.report("s1", orders[1].GetId(), "done").GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
			t.Errorf("report: got %v, want %v", got, want)
		}
	}
	if got, want := m.server("s1").GetPhase(), "prefill"; got != want {
		t.Errorf("phase: got %q, want %q", got, want)
	}
	if got, want := m.report("s1", "x", "done").GetOutcome(), wire.Outcome_OUTCOME_INVALID; got != want {
		t.Errorf("unknown order: got %v, want %v", got, want)
	}
	last := m.server("s1").GetFence()
	m.mustChange("delete server s1")
	m.register("s1", 3, false)
	if got := m.server("s1").GetFence(); seen[got] || got <= last {
		t.Errorf("token after a deletion: got %d, want a new one above %d", got, last)
	}
}

// Guards against repeated registrations and claims that cause updates for all
// subscribers, and against registrations that change the revision.
func TestRegistrationWithoutChange(t *testing.T) {
	m := newMachine(t)
	m.mustChange(baseConfig)
	m.register("s1", 1, false)
	want := m.Index()
	m.register("s1", 1, false)
	m.claim("k", "d", "r")
	if got := m.Index(); got != want {
		t.Errorf("index: got %d, want %d", got, want)
	}
	if got, want := m.Revision(), uint64(1); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
	bad := registration("s2", 1, false)
	bad.Attach.Pieces = 0
	res := m.apply(&wire.Command{Id: "bad", Body: &wire.Command_Register{Register: bad}})
	if got, want := res.GetOutcome(), wire.Outcome_OUTCOME_INVALID; got != want {
		t.Errorf("no pieces: got %v, want %v", got, want)
	}
}
