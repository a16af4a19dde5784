package dispatcher_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// running advances a plain call to its dispatch to server s1.
func (h *harness) running() *harness {
	h.step(dispatcher.Started{}, dispatcher.Claimed{OK: true, Fresh: true}, dispatcher.Granted{ID: "r.1"})

	return h
}

func (h *harness) answer(id string) {
	h.endedByAgent(id).step(dispatcher.ResponseReceived{ID: id, Status: 201, Body: []byte("booked")})
}

// TestBooking checks that a booking does not run twice, is not reported as not run
// although it may have run, and that its claim is settled with the right stage.
func TestBooking(t *testing.T) {
	done, failed, notRun := dispatcher.Done, dispatcher.MayHaveRun, dispatcher.NotRun
	tests := map[string]struct {
		run   func(h *harness)
		want  want
		stage wire.Stage
	}{
		"answered": {
			func(h *harness) { h.running().answer("r.1") },
			want{result: done, status: 201, run: 1},
			wire.Stage_STAGE_DONE,
		},
		"no quorum for the claim": {func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Claimed{Text: "no quorum"})
		}, want{result: notRun, status: 503}, wire.Stage_STAGE_UNKNOWN},
		"no result of the claim": {func(h *harness) {
			h.step(dispatcher.Started{})
			h.wait(10 * time.Second)
		}, want{result: notRun, status: 503}, wire.Stage_STAGE_FREE},
		"connections lost before the grant": {func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Claimed{OK: true, Fresh: true})
			for _, id := range []string{"r.1", "r.2", "r.3", "r.4"} {
				h.loseConnection(id)
			}
		}, want{result: notRun, status: 503}, wire.Stage_STAGE_FREE},
		"dispatch lost": {func(h *harness) {
			h.fleet.retries = 10
			h.running().loseConnection("r.1")
			h.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"dispatch lost and discard confirmed": {func(h *harness) {
			h.running().loseConnection("r.1")
			h.step(dispatcher.Withdrawn{ID: "r.1"})
			h.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_FREE},
		"dispatch lost and run confirmed": {func(h *harness) {
			h.running().loseConnection("r.1")
			h.step(dispatcher.Withdrawn{ID: "r.1", Ran: true})
			h.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"acknowledgement lost, answer late": {func(h *harness) {
			h.running().loseConnection("r.1")
			h.answer("r.1")
			h.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_DONE},
		"repeated grant after the withdrawal": {func(h *harness) {
			h.running().step(dispatcher.Granted{ID: "r.2"}, dispatcher.Granted{ID: "r.1"})
			h.answer("r.2")
			h.answer("r.1")
		}, want{result: done, status: 201, run: 1}, wire.Stage_STAGE_DONE},
		"server fails": {func(h *harness) {
			h.running().end("r.1", wire.Status_STATUS_FAILED, 0)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"server crashes": {func(h *harness) {
			h.running().end("r.1", wire.Status_STATUS_CRASHED, 0)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"attempt unknown to the agent": {func(h *harness) {
			h.running().step(dispatcher.Refused{ID: "r.1", Reason: "epoch"})
			h.wait(10 * time.Second)
		}, want{result: failed, status: 502, run: 1}, wire.Stage_STAGE_LOST},
		"discarded by the agent": {func(h *harness) {
			h.running().endedByAgent("r.1").step(dispatcher.Withdrawn{ID: "r.1"})
		}, want{result: notRun, status: 503, run: 1}, wire.Stage_STAGE_FREE},
		"deadline": {func(h *harness) {
			h.running().wait(time.Hour)
			h.wait(10 * time.Second)
		}, want{result: failed, status: 504, run: 1}, wire.Stage_STAGE_LOST},
		"duplicate of a finished call": {func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Claimed{
				OK: true, Stage: wire.Stage_STAGE_DONE, Answer: &wire.Stored{Status: 201},
			})
		}, want{result: done, status: 201}, wire.Stage_STAGE_UNKNOWN},
		"duplicate of a running call": {func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Claimed{OK: true, Stage: wire.Stage_STAGE_RUNNING})
		}, want{result: notRun, status: 409}, wire.Stage_STAGE_UNKNOWN},
		"duplicate of an unknown call": {func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Claimed{OK: true, Stage: wire.Stage_STAGE_LOST})
		}, want{result: notRun, status: 409}, wire.Stage_STAGE_UNKNOWN},
		"key of another body": {func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Claimed{Conflict: true})
		}, want{result: notRun, status: 422}, wire.Stage_STAGE_UNKNOWN},
		"repeated claim result": {func(h *harness) {
			h.running().step(dispatcher.Claimed{OK: true, Fresh: true}, dispatcher.Granted{ID: "r.1"})
			h.answer("r.1")
		}, want{result: done, status: 201, run: 1}, wire.Stage_STAGE_DONE},
		"caller gone before the claim result": {func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.CallerGone{}, dispatcher.Claimed{OK: true, Fresh: true})
		}, want{result: notRun}, wire.Stage_STAGE_FREE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(booking())
			test.run(h)
			h.check(t, test.want)
			if got, want := lastAction[dispatcher.Settle](h).Stage, test.stage; got != want {
				t.Errorf("claim: got %v, want %v", got, want)
			}
			if !h.machine.Finished() {
				t.Error("got a machine that still waits for events, want it finished")
			}
		})
	}
}

// TestLookup checks that an idempotent call is retried, but only within the retry
// budget and on another server.
func TestLookup(t *testing.T) {
	done, failed := dispatcher.Done, dispatcher.MayHaveRun
	tests := map[string]struct {
		run  func(h *harness)
		want want
	}{
		"answered": {func(h *harness) { h.running().answer("r.1") }, want{result: done, status: 201, run: 1}},
		"repeated at another server": {func(h *harness) {
			h.running().loseConnection("r.1")
			h.step(dispatcher.Granted{ID: "r.3"}, dispatcher.ResponseReceived{ID: "r.1", Status: 500})
			h.answer("r.3")
		}, want{result: done, status: 201, run: 2}},
		"budget used up": {func(h *harness) {
			h.fleet.retries = 0
			h.running().loseConnection("r.1")
		}, want{result: failed, status: 502, run: 1}},
		"no other server": {func(h *harness) {
			h.fleet.servers[wire.Phase_PHASE_PLAIN] = []string{"s1"}
			h.running().loseConnection("r.1")
		}, want{result: failed, status: 502, run: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(lookup())
			test.run(h)
			h.check(t, test.want)
		})
	}
}
