package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/wire"
)

func testPlan(version uint64, source string) *wire.Plan {
	return &wire.Plan{
		Version: version, Source: []byte(source), Pools: []*wire.Pool{{Name: "p"}},
		Paths: []*wire.Path{{
			Name: "x", Host: "h", Prefix: "/", Nature: wire.Nature_NATURE_ONCE, Timeout: 1,
			Shares: []*wire.Share{{Pool: "p", Weight: 1}},
		}},
	}
}

// Guards against replacing a plan with an older one, or with different content of the
// same version, and against losing it when a snapshot is restored.
func TestReplacePlan(t *testing.T) {
	broken := testPlan(9, "broken")
	broken.Pools = nil
	done, conflict, invalid := wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_CONFLICT, wire.Outcome_OUTCOME_INVALID
	steps := []struct {
		plan *wire.Plan
		want wire.Outcome
		held uint64
	}{
		{testPlan(3, "a"), done, 3},
		{testPlan(3, "a"), done, 3},
		{testPlan(3, "b"), conflict, 3},
		{testPlan(2, "c"), done, 3},
		{broken, invalid, 3},
		{testPlan(7, "d"), done, 7},
		{testPlan(3, "a"), done, 7},
	}
	r := registrar.New()
	for i, step := range steps {
		res := r.Apply(uint64(i+1), time.Unix(1, 0), &wire.Command{
			Id: fmt.Sprint(i), Body: &wire.Command_Plan{Plan: proto.CloneOf(step.plan)},
		})
		if got := res.GetOutcome(); got != step.want {
			t.Errorf("step %d: got %v (%s), want %v", i, got, res.GetText(), step.want)
		}
		if got := r.Plan().GetVersion(); got != step.held {
			t.Errorf("step %d, version in force: got %d, want %d", i, got, step.held)
		}
	}
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again := registrar.New()
	if err := again.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got, want := string(again.Plan().GetSource()), "d"; got != want {
		t.Errorf("content after a restart: got %q, want %q", got, want)
	}
	if got, want := again.UpdateSince(0).GetPlan().GetVersion(), uint64(7); got != want {
		t.Errorf("version sent to subscribers: got %d, want %d", got, want)
	}
}

// Guards against omitting parts of the plan other than its source in updates.
func TestPlanSentToSubscribers(t *testing.T) {
	m := newMachine(t)
	rank := int32(1)
	plan := &wire.Plan{
		Version: 1, Source: []byte("text"), Pools: []*wire.Pool{{Name: "a"}}, Bounds: &wire.Bounds{Idle: 5}, Guarded: true,
		Customers: []*wire.Customer{{Name: "c", Keys: []string{"k"}, Rank: &rank, Rate: 5, Burst: 6, Unit: wire.Unit_UNIT_TOKENS, Plain: 7}},
	}
	m.apply(&wire.Command{Id: "p", Body: &wire.Command_Plan{Plan: plan}})
	want := proto.CloneOf(plan)
	want.Source = nil
	if got := m.UpdateSince(0).GetPlan(); !proto.Equal(got, want) {
		t.Errorf("plan: got %v, want %v", got, want)
	}
}
