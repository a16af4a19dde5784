package registrar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against accepting the changes of two operators who expect the same revision.
func TestRevisionConflict(t *testing.T) {
	m := newMachine(t)
	m.mustChange(baseConfig)
	first := changeCommand(t, "first", "change rank drill floor=10%")
	second := changeCommand(t, "second", "change rank drill floor=20%")
	first.Expect, second.Expect = 1, 1
	second.Who = "bea"
	won, lost := m.apply(first), m.apply(second)
	if got, want := won.GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
		t.Errorf("first: got %v, want %v", got, want)
	}
	if got, want := lost.GetOutcome(), wire.Outcome_OUTCOME_CONFLICT; got != want {
		t.Errorf("second: got %v, want %v", got, want)
	}
	if got, want := lost.GetWinner(), "first by anu"; got != want {
		t.Errorf("winner: got %q, want %q", got, want)
	}
	if got, want := m.UpdateSince(0).GetRanks()[1].GetFloor(), int32(10); got != want {
		t.Errorf("floor: got %d, want %d", got, want)
	}
	ahead := changeCommand(t, "ahead", "change rank drill floor=30%")
	ahead.Expect = 9
	if got, want := m.apply(ahead).GetOutcome(), wire.Outcome_OUTCOME_CONFLICT; got != want {
		t.Errorf("expected revision ahead: got %v, want %v", got, want)
	}
}

// Guards against applying a command twice that is sent again after its result was lost,
// also if the control hosts restored a snapshot in between.
func TestResendGetsFirstResult(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%v", restart), func(t *testing.T) {
			m := newMachine(t)
			m.mustChange(baseConfig)
			m.register("s1", 1, false)
			order := changeCommand(t, "same", "order server s1 load m2")
			order.Expect = 1
			want := m.apply(order).String()
			claim := m.claim("k", "d", "r")
			again := &wire.Command{Id: claim.GetId(), Body: &wire.Command_Claim{Claim: &wire.Claim{Key: "k", Request: "r"}}}
			m.mustChange("change rank drill floor=10%")
			if restart {
				m.restart()
			}
			m.now = m.now.Add(time.Minute)
			if got := m.apply(order).String(); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			if got, want := len(m.server("s1").GetOrders()), 1; got != want {
				t.Errorf("orders: got %d, want %d", got, want)
			}
			if got, want := m.apply(again).GetFresh(), true; got != want {
				t.Errorf("fresh of the resent claim: got %v, want %v", got, want)
			}
			other := changeCommand(t, "same", "delete rule all")
			if got, want := m.apply(other).GetOutcome(), wire.Outcome_OUTCOME_INVALID; got != want {
				t.Errorf("id used for another command: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against results that are kept forever.
func TestResultsExpire(t *testing.T) {
	m := newMachine(t)
	cmd := changeCommand(t, "old", baseConfig)
	m.apply(cmd)
	m.now = m.now.Add(47 * time.Hour)
	if got, want := m.apply(cmd).GetText(), "revision 1"; got != want {
		t.Errorf("in the window: got %q, want %q", got, want)
	}
	m.now = m.now.Add(2 * time.Hour)
	m.absent("e")
	if got, want := m.apply(cmd).GetOutcome(), wire.Outcome_OUTCOME_INVALID; got != want {
		t.Errorf("after the window: got %v, want %v since the objects exist", got, want)
	}
}

// Guards against a change that is applied partially, and against errors that do not
// state the reason.
func TestInvalidChangeIsAtomic(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"rank in use":       {"delete rank drill", "rank drill is in use by rule all"},
		"service in use":    {"delete service desk", "service desk is in use by rule all"},
		"no rank":           {"create rule r service=desk rank=x", `rule r names rank "x", which does not exist`},
		"rule without rank": {"create rule r service=desk", "rank is missing"},
		"create twice":      {"create rank drill level=3", "it exists already"},
		"change missing":    {"change rank x level=3", "it does not exist"},
		"level twice":       {"create rank x level=1", "have the same level 1"},
		"floors":            {"change rank drill floor=60%; change rank master floor=41%", "add up to 101%"},
		"floor":             {"change rank drill floor=101%", "floor must be from 0% to 100%"},
		"zero":              {"change rank drill worth=0", `worth must not be "0"`},
		"model twice":       {"create service b model=desk", "have the same model desk"},
		"model routes":      {`change service desk routes="GET / once"`, "only a plain service has routes"},
		"retention":         {"change service desk timeout=1m retention=1m", "retention must be longer than timeout"},
		"body":              {"change service desk body=1GiB", "body must be"},
		"route":             {`create service b kind=plain routes="get / once"`, "capital letters"},
		"caller":            {"change rule all caller=*a", "a * at its end only"},
		"no server":         {"drain server s9", "it does not exist"},
		"release":           {"release digest q", "it is not blocked"},
		"name":              {`create rank "a b" level=4`, "no spaces"},
		"block":             {"block digest q for 10000h", "at most"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMachine(t)
			m.mustChange(baseConfig)
			before := newView()
			before.apply(m.UpdateSince(0))
			res := m.apply(changeCommand(t, "bad", "create rank first level=9; "+test.text))
			if got, want := res.GetOutcome(), wire.Outcome_OUTCOME_INVALID; got != want {
				t.Errorf("got %v, want %v", got, want)
			}
			if got, want := res.GetText(), test.want; !strings.Contains(got, want) {
				t.Errorf("got %q, want %q in it", got, want)
			}
			after := newView()
			after.apply(m.UpdateSince(0))
			if got, want := fmt.Sprint(after), fmt.Sprint(before); got != want {
				t.Errorf("state: got %s, want %s", got, want)
			}
		})
	}
}

// Guards against a dry run that changes the state or whose id cannot be used again.
func TestDryRun(t *testing.T) {
	m := newMachine(t)
	m.mustChange(baseConfig)
	want := m.UpdateSince(0).String()
	cmd := changeCommand(t, "dry", "delete rule all; delete rank drill")
	cmd.GetChange().Dry = true
	for _, res := range []*wire.Result{m.DryRun(m.now, cmd), m.apply(cmd)} {
		if got, want := res.GetText(), "valid, it would become revision 2"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := m.UpdateSince(0).String(); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	cmd.GetChange().Dry = false
	if got, want := m.apply(cmd).GetText(), "revision 2"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against edits of a change that do not see earlier edits, and against checking
// references before all edits are applied.
func TestEditsDependOnEarlierEdits(t *testing.T) {
	m := newMachine(t)
	m.mustChange(baseConfig)
	m.mustChange("delete rank drill; delete rule all; set rank drill level=4; set rule all service=desk rank=drill share=5")
	m.mustChange("set rank drill level=4; set rank drill floor=5%")
	u := m.UpdateSince(0)
	if got, want := u.GetRules()[0].GetShare(), int32(5); got != want {
		t.Errorf("share: got %d, want %d", got, want)
	}
	for _, r := range u.GetRanks() {
		if r.GetName() == "drill" && (r.GetLevel() != 4 || r.GetFloor() != 5) {
			t.Errorf("got %v, want level 4 and floor 5", r)
		}
	}
}
