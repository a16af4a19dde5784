package controller_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// fakeState is a state machine small enough to check by eye: each change adds
// one to the revision, and a command id counts once.
type fakeState struct {
	mu      sync.Mutex
	Rev     uint64
	Last    uint64
	Results map[string]uint64 // index by command id
	Running map[string]uint64 // epoch of the entries with running claims
	Lost    []string
	plan    *wire.Plan

	frozen chan struct{} // closed when the event loop is frozen
	thawed chan struct{}
}

// frozenSubject is the query that freezes the event loop until thawed is closed.
const frozenSubject = "freeze"

func newFakeState() *fakeState {
	return &fakeState{
		Results: make(map[string]uint64), Running: make(map[string]uint64),
		frozen: make(chan struct{}), thawed: make(chan struct{}),
	}
}

func (f *fakeState) Apply(index uint64, _ time.Time, cmd *wire.Command) *wire.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &wire.Result{Id: cmd.GetId(), Outcome: wire.Outcome_OUTCOME_DONE, Index: index, Revision: f.Rev}
	if first, ok := f.Results[cmd.GetId()]; ok {
		r.Index = first

		return r
	}
	f.Results[cmd.GetId()] = index
	switch body := cmd.GetBody().(type) {
	case *wire.Command_Change:
		f.Rev++
		f.Last = index
		r.Revision = f.Rev
	case *wire.Command_Claim:
		f.Running[body.Claim.GetEntry()] = body.Claim.GetEpoch()
	case *wire.Command_Absent:
		delete(f.Running, body.Absent.GetEntry())
		f.Lost = append(f.Lost, body.Absent.GetEntry())
	}

	return r
}

func (f *fakeState) Index() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.Last
}

func (f *fakeState) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.Rev
}

func (f *fakeState) Query(q *wire.Query) (*wire.Table, error) {
	if q.GetSubject() == frozenSubject {
		close(f.frozen)
		<-f.thawed
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &wire.Table{Columns: []string{"revision"}}
	if q.GetSubject() == "claims" {
		t.Columns = []string{"entry", "epoch"}
		for entry, epoch := range f.Running {
			t.Rows = append(t.Rows, &wire.Row{Cells: []string{entry, fmt.Sprint(epoch)}})
		}

		return t, nil
	}
	t.Rows = []*wire.Row{{Cells: []string{fmt.Sprint(f.Rev)}}}

	return t, nil
}

func (f *fakeState) UpdateSince(index uint64) *wire.Update {
	f.mu.Lock()
	defer f.mu.Unlock()

	return &wire.Update{Index: f.Last, Revision: f.Rev, Full: index == 0}
}

func (f *fakeState) Capture() func() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := json.Marshal(f)

	return func() ([]byte, error) { return data, err }
}

func (f *fakeState) Restore(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	return json.Unmarshal(data, f)
}

func (f *fakeState) lost() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.Lost)
}

// Plan implements State.
func (f *fakeState) Plan() *wire.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.plan
}

// limit makes a customer with a rate part of the plan.
func (f *fakeState) limit(name string, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = &wire.Plan{Customers: []*wire.Customer{{Name: name, Rate: rate, Burst: rate}}}
}

// Entries implements State.
func (f *fakeState) Entries() int { return 0 }
