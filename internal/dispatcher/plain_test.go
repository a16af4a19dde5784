package dispatcher_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// running takes a plain call to its dispatch to server s1.
func (g *rig) running() *rig {
	g.step(dispatcher.Begin{}, dispatcher.Claimed{OK: true, Fresh: true}, dispatcher.Granted{ID: "r.1"})

	return g
}

func (g *rig) answer(id string) {
	g.closed(id).step(dispatcher.Answered{ID: id, Status: 201, Body: []byte("booked")})
}

// Guards against a booking that runs twice, is reported as not run although it
// may have run, or whose claim is settled against the facts.
func TestBooking(t *testing.T) {
	done, failed, notRun := dispatcher.Done, dispatcher.MayHaveRun, dispatcher.NotRun
	tests := map[string]struct {
		run   func(g *rig)
		want  want
		stage wire.Stage
	}{
		"answered": {
			func(g *rig) { g.running().answer("r.1") },
			want{result: done, status: 201, run: 1},
			wire.Stage_STAGE_DONE,
		},
		"killed before the claim": {func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Claimed{Text: "no quorum"})
		}, want{result: notRun, status: 503}, wire.Stage_STAGE_UNKNOWN},
		"no result of the claim": {func(g *rig) {
			g.step(dispatcher.Begin{})
			g.wait(10 * time.Second)
		}, want{result: notRun, status: 503}, wire.Stage_STAGE_FREE},
		"killed before the grant": {func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Claimed{OK: true, Fresh: true})
			for _, id := range []string{"r.1", "r.2", "r.3", "r.4"} {
				g.lose(id)
			}
		}, want{result: notRun, status: 503}, wire.Stage_STAGE_FREE},
		"dispatch lost": {func(g *rig) {
			g.fleet.budget = 10
			g.running().lose("r.1")
			g.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"dispatch lost and discard confirmed": {func(g *rig) {
			g.running().lose("r.1")
			g.step(dispatcher.Withdrawn{ID: "r.1"})
			g.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_FREE},
		"dispatch lost and run confirmed": {func(g *rig) {
			g.running().lose("r.1")
			g.step(dispatcher.Withdrawn{ID: "r.1", Ran: true})
			g.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"acknowledgement lost, answer late": {func(g *rig) {
			g.running().lose("r.1")
			g.answer("r.1")
			g.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_DONE},
		"late copy of a grant after the withdrawal": {func(g *rig) {
			g.running().step(dispatcher.Granted{ID: "r.2"}, dispatcher.Granted{ID: "r.1"})
			g.answer("r.2")
			g.answer("r.1")
		}, want{result: done, status: 201, run: 1}, wire.Stage_STAGE_DONE},
		"server fails": {func(g *rig) {
			g.running().end("r.1", wire.Status_STATUS_FAILED, 0)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"server crashes": {func(g *rig) {
			g.running().end("r.1", wire.Status_STATUS_CRASHED, 0)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"agent forgot the attempt": {func(g *rig) {
			g.running().step(dispatcher.Refused{ID: "r.1", Reason: "epoch"})
			g.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"discarded by the agent": {func(g *rig) {
			g.running().closed("r.1").step(dispatcher.Withdrawn{ID: "r.1"})
		}, want{result: notRun, status: 503, run: 1}, wire.Stage_STAGE_FREE},
		"deadline": {func(g *rig) {
			g.running().wait(time.Hour)
			g.wait(10 * time.Second)
		}, want{result: failed, status: 504, run: 1}, wire.Stage_STAGE_LOST},
		"duplicate of a finished call": {func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Claimed{
				OK: true, Stage: wire.Stage_STAGE_DONE, Answer: &wire.Stored{Status: 201},
			})
		}, want{result: done, status: 201}, wire.Stage_STAGE_UNKNOWN},
		"duplicate of a running call": {func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Claimed{OK: true, Stage: wire.Stage_STAGE_RUNNING})
		}, want{result: notRun, status: 409}, wire.Stage_STAGE_UNKNOWN},
		"duplicate of an unknown call": {func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Claimed{OK: true, Stage: wire.Stage_STAGE_LOST})
		}, want{result: notRun, status: 409}, wire.Stage_STAGE_UNKNOWN},
		"key of another body": {func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Claimed{Conflict: true})
		}, want{result: notRun, status: 422}, wire.Stage_STAGE_UNKNOWN},
		"repeated claim result": {func(g *rig) {
			g.running().step(dispatcher.Claimed{OK: true, Fresh: true}, dispatcher.Granted{ID: "r.1"})
			g.answer("r.1")
		}, want{result: done, status: 201, run: 1}, wire.Stage_STAGE_DONE},
		"caller gone before the claim result": {func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Gone{}, dispatcher.Claimed{OK: true, Fresh: true})
		}, want{result: notRun}, wire.Stage_STAGE_FREE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(booking())
			test.run(g)
			g.check(t, test.want)
			if got, want := find[dispatcher.Settle](g).Stage, test.stage; got != want {
				t.Errorf("claim: got %v, want %v", got, want)
			}
			if !g.machine.Over() {
				t.Error("got a machine that waits, want it over")
			}
		})
	}
}

// Guards against an idempotent call that is not repeated, or repeated without
// budget or at the same server.
func TestLookup(t *testing.T) {
	done, failed := dispatcher.Done, dispatcher.MayHaveRun
	tests := map[string]struct {
		run  func(g *rig)
		want want
	}{
		"answered": {func(g *rig) { g.running().answer("r.1") }, want{result: done, status: 201, run: 1}},
		"repeated at another server": {func(g *rig) {
			g.running().lose("r.1")
			g.step(dispatcher.Granted{ID: "r.3"}, dispatcher.Answered{ID: "r.1", Status: 500})
			g.answer("r.3")
		}, want{result: done, status: 201, run: 2}},
		"budget used up": {func(g *rig) {
			g.fleet.budget = 0
			g.running().lose("r.1")
		}, want{result: failed, status: 502, run: 1}},
		"no other server": {func(g *rig) {
			g.fleet.servers[wire.Phase_PHASE_PLAIN] = []string{"s1"}
			g.running().lose("r.1")
		}, want{result: failed, status: 502, run: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(lookup())
			test.run(g)
			g.check(t, test.want)
		})
	}
}
