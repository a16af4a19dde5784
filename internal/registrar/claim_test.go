package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against dispatching a duplicate call, and against giving a duplicate the wrong
// result.
func TestClaimStages(t *testing.T) {
	tests := map[string]struct {
		before  func(m *machine)
		digest  string
		outcome wire.Outcome
		stage   wire.Stage
		fresh   bool
		body    string
	}{
		"free key": {func(*machine) {}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_RUNNING, true, ""},
		"running":  {func(m *machine) { m.claim("k", "d", "a") }, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_RUNNING, false, ""},
		"other body": {
			func(m *machine) { m.claim("k", "d", "a") },
			"x", wire.Outcome_OUTCOME_CONFLICT, wire.Stage_STAGE_UNKNOWN, false, "",
		},
		"done": {func(m *machine) {
			m.claim("k", "d", "a")
			m.settle("k", "a", wire.Stage_STAGE_DONE)
		}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_DONE, false, "a"},
		"done stays done": {func(m *machine) {
			m.claim("k", "d", "a")
			m.settle("k", "a", wire.Stage_STAGE_DONE)
			m.settle("k", "a", wire.Stage_STAGE_FREE)
			m.settle("k", "a", wire.Stage_STAGE_LOST)
			m.absent("e-a")
		}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_DONE, false, "a"},
		"lost": {func(m *machine) {
			m.claim("k", "d", "a")
			m.absent("e-a")
		}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_LOST, false, ""},
		"other entry absent": {func(m *machine) {
			m.claim("k", "d", "a")
			m.absent("e-b")
		}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_RUNNING, false, ""},
		"lost, then settled by its holder": {func(m *machine) {
			m.claim("k", "d", "a")
			m.absent("e-a")
			m.settle("k", "a", wire.Stage_STAGE_DONE)
		}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_DONE, false, "a"},
		"released": {func(m *machine) {
			m.claim("k", "d", "a")
			m.settle("k", "a", wire.Stage_STAGE_FREE)
		}, "x", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_RUNNING, true, ""},
		"released by another request": {func(m *machine) {
			m.claim("k", "d", "a")
			m.settle("k", "b", wire.Stage_STAGE_FREE)
		}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_RUNNING, false, ""},
		"released before its claim": {
			func(m *machine) { m.settle("k", "z", wire.Stage_STAGE_FREE) },
			"d", wire.Outcome_OUTCOME_REFUSED, wire.Stage_STAGE_UNKNOWN, false, "",
		},
		"entry absent before its claim": {
			func(m *machine) { m.absent("e-z") },
			"d", wire.Outcome_OUTCOME_REFUSED, wire.Stage_STAGE_UNKNOWN, false, "",
		},
		"expired": {func(m *machine) {
			m.claim("k", "d", "a")
			m.settle("k", "a", wire.Stage_STAGE_DONE)
			m.now = m.now.Add(24 * time.Hour)
		}, "x", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_RUNNING, true, ""},
		"not yet expired": {func(m *machine) {
			m.claim("k", "d", "a")
			m.settle("k", "a", wire.Stage_STAGE_DONE)
			m.now = m.now.Add(24*time.Hour - time.Millisecond)
		}, "d", wire.Outcome_OUTCOME_DONE, wire.Stage_STAGE_DONE, false, "a"},
	}
	for name, test := range tests {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s restart=%v", name, restart), func(t *testing.T) {
				m := newMachine(t)
				test.before(m)
				if restart {
					m.restart()
				}
				res := m.claim("k", test.digest, "z")
				if got, want := res.GetOutcome(), test.outcome; got != want {
					t.Errorf("outcome: got %v, want %v", got, want)
				}
				if got, want := res.GetStage(), test.stage; got != want {
					t.Errorf("stage: got %v, want %v", got, want)
				}
				if got, want := res.GetFresh(), test.fresh; got != want {
					t.Errorf("fresh: got %v, want %v", got, want)
				}
				if got, want := string(res.GetAnswer().GetBody()), test.body; got != want {
					t.Errorf("answer: got %q, want %q", got, want)
				}
			})
		}
	}
}

// Guards against an order of events in which two requests hold a key, a finished call
// loses its answer, or a call that may have run can be claimed again.
func TestClaimInAllOrders(t *testing.T) {
	events := map[string]func(m *machine) *wire.Result{
		"claim a":  func(m *machine) *wire.Result { return m.claim("k", "d", "a") },
		"claim b":  func(m *machine) *wire.Result { return m.claim("k", "d", "b") },
		"done a":   func(m *machine) *wire.Result { return m.settle("k", "a", wire.Stage_STAGE_DONE) },
		"free b":   func(m *machine) *wire.Result { return m.settle("k", "b", wire.Stage_STAGE_FREE) },
		"absent a": func(m *machine) *wire.Result { return m.absent("e-a") },
		"again a":  func(m *machine) *wire.Result { return m.claim("k", "d", "a") },
	}
	names := []string{"claim a", "claim b", "done a", "free b", "absent a", "again a"}
	count := 0
	permute(names, 0, func(order []string) {
		count++
		m := newMachine(t)
		holder, finished := "", false
		for _, name := range order {
			res := events[name](m)
			switch {
			case res.GetFresh() && holder != "":
				t.Fatalf("%v: %s got the key that %s holds", order, name, holder)
			case res.GetFresh():
				holder = name[len(name)-1:]
			case name == "free b" && holder == "b" && res.GetOutcome() == wire.Outcome_OUTCOME_DONE:
				holder = ""
			case name == "done a" && holder == "a":
				finished = true
			}
		}
		last := m.claim("k", "d", "last")
		if got, want := last.GetFresh(), holder == ""; got != want {
			t.Errorf("%v: fresh at the end: got %v, want %v", order, got, want)
		}
		if finished && string(last.GetAnswer().GetBody()) != "a" {
			t.Errorf("%v: answer: got %v, want that of a", order, last.GetAnswer())
		}
	})
	if got, want := count, 720; got != want {
		t.Errorf("orders: got %d, want %d", got, want)
	}
}

// permute calls visit for all permutations of the items from index k on.
func permute(items []string, k int, visit func([]string)) {
	if k == len(items) {
		visit(items)

		return
	}
	for i := k; i < len(items); i++ {
		items[k], items[i] = items[i], items[k]
		permute(items, k+1, visit)
		items[k], items[i] = items[i], items[k]
	}
}

// Guards against claims of a crashed entry that remain running after its restart.
func TestEntryRestartLosesClaims(t *testing.T) {
	m := newMachine(t)
	start := func(epoch uint64) {
		m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Register{Register: &wire.Register{
			Attach: &wire.Attach{Name: "e-a", Role: "entry", Epoch: epoch},
		}}})
	}
	start(1)
	m.claim("k", "d", "a")
	start(1)
	if got, want := m.claim("k", "d", "b").GetStage(), wire.Stage_STAGE_RUNNING; got != want {
		t.Errorf("same epoch: got %v, want %v", got, want)
	}
	m.restart()
	start(2)
	if got, want := m.claim("k", "d", "b").GetStage(), wire.Stage_STAGE_LOST; got != want {
		t.Errorf("next epoch: got %v, want %v", got, want)
	}
}

// Guards against refusing the claims of an entry forever after it was reported absent
// by mistake.
func TestAbsentEntryReturns(t *testing.T) {
	m := newMachine(t)
	m.absent("e-a")
	m.now = m.now.Add(time.Minute)
	if got, want := m.claim("k", "d", "a").GetFresh(), true; got != want {
		t.Errorf("fresh: got %v, want %v", got, want)
	}
}

// Guards against treating an expired key as held: if many claims expire at the same
// time, one command does not remove all of them.
func TestManyClaimsExpireTogether(t *testing.T) {
	m := newMachine(t)
	for n := range 1000 {
		m.claim(fmt.Sprint(n), "d", "a")
	}
	m.now = m.now.Add(24 * time.Hour)
	if got, want := m.claim("999", "x", "b").GetFresh(), true; got != want {
		t.Errorf("fresh: got %v, want %v", got, want)
	}
}

// Guards against a retention that overflows: the key would be free immediately and the
// call could run twice.
func TestRetentionIsBounded(t *testing.T) {
	for _, retention := range []int64{-1, 30*24*3600 + 1, 1 << 62} {
		m := newMachine(t)
		res := m.apply(&wire.Command{Id: "x", Body: &wire.Command_Claim{Claim: &wire.Claim{
			Key: "k", Request: "r", Retention: retention,
		}}})
		if got, want := res.GetOutcome(), wire.Outcome_OUTCOME_INVALID; got != want {
			t.Errorf("retention %d: got %v, want %v", retention, got, want)
		}
	}
}
