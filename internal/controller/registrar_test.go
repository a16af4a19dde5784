package controller_test

import (
	"context"
	"testing"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against incompatibilities between control host, registrar and subscriber: an
// operator's change and a booking claim on three hosts.
func TestSubscriberSeesChangesOfRegistrar(t *testing.T) {
	var hosts []string
	for _, h := range cluster(t, 3) {
		// Restart with the same settings and the real state.
		_ = h.Close()
		c, err := controller.New(h.settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		hosts = append(hosts, c.Addr())
	}
	clock := timer.New()
	defer clock.Close()
	s, err := subscriber.New(subscriber.Settings{
		Hosts: hosts, Attach: &wire.Attach{Name: "entry-1", Role: "entry", Epoch: 7},
	}, clock)
	if err != nil {
		t.Fatal(err)
	}
	s.Start()
	defer s.Close()
	r, err := s.Propose(t.Context(), &wire.Command{Id: "a", Who: "test", Body: &wire.Command_Change{Change: &wire.Change{
		Edits: []*wire.Edit{{
			Verb: "create", Kind: "rank", Name: "master",
			Rank: &wire.Rank{Name: "master", First: 2000, Gap: 75, Floor: 50, Worth: 1},
		}},
	}}})
	if err != nil || r.GetOutcome() != wire.Outcome_OUTCOME_DONE {
		t.Fatalf("change: got %v, %v", r, err)
	}
	for changed := s.Changed(); s.View().Rank("master") == nil; changed = s.Changed() {
		<-changed
	}
	claim := &wire.Command{Id: "b", Who: "entry-1", Expect: -1, Body: &wire.Command_Claim{Claim: &wire.Claim{
		Key: "seat 4", Digest: "d", Entry: "entry-1", Epoch: 7, Request: "r", Retention: 60,
	}}}
	r, err = s.Propose(t.Context(), claim)
	if err != nil || !r.GetFresh() || r.GetStage() != wire.Stage_STAGE_RUNNING {
		t.Errorf("claim: got %v, %v, want fresh and running", r, err)
	}
}
