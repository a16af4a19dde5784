package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// importServers returns the servers that were told to import, in order.
func importServers(h *harness) (out []string) {
	for _, a := range h.actions {
		if a, ok := a.(dispatcher.Import); ok {
			out = append(out, a.Server)
		}
	}

	return out
}

// TestStalledTransfer checks three things. A stalled transfer does not waste its prefill
// while the decode server still has memory or another one can import. A late reply of
// an abandoned transfer is not taken for a reply of its successor. Nothing waits for
// another transfer after the prefill result was evicted.
func TestStalledTransfer(t *testing.T) {
	const wait = 50 * time.Millisecond // within which the grant for a repetition is expected
	answer := func(h *harness, id string) {
		h.step(dispatcher.Imported{ID: id}, h.chunk(id, 0))
		h.done(id, 1)
	}
	tests := map[string]struct {
		run     func(h *harness)
		imports []string
		prefill int
	}{
		"repeated on the same server": {func(h *harness) {
			h.repeating()
			answer(h, "r.5")
		}, []string{"d1", "d1"}, 1},
		"ended as stalled by the agent": {func(h *harness) {
			h.importing().endedByAgent("r.1").step(dispatcher.Ended{
				ID: "r.1", Status: wire.Status_STATUS_FAILED, Reason: "stalled",
			}, dispatcher.Granted{ID: "r.5"})
			answer(h, "r.5")
		}, []string{"d1", "d1"}, 1},
		"repetition ended as stalled by the agent": {func(h *harness) {
			h.repeating().endedByAgent("r.5").step(dispatcher.Ended{
				ID: "r.5", Status: wire.Status_STATUS_FAILED, Reason: "stalled",
			}, dispatcher.Granted{ID: "r.6"})
			answer(h, "r.6")
		}, []string{"d1", "d1", "d2"}, 1},
		"failed without a stall": {func(h *harness) {
			h.importing().end("r.1", wire.Status_STATUS_FAILED, 0)
			h.step(dispatcher.Granted{ID: "r.5"})
			answer(h, "r.5")
		}, []string{"d1", "d2"}, 1},
		"late import of the first transfer before the new grant": {func(h *harness) {
			h.importing().stallTransfer()
			h.step(dispatcher.Imported{ID: "r.1"}, h.chunk("r.1", 0), dispatcher.Granted{ID: "r.5"})
			answer(h, "r.5")
		}, []string{"d1", "d1"}, 1},
		"late import of the first transfer during the second": {func(h *harness) {
			h.repeating().step(dispatcher.Imported{ID: "r.1"}, h.chunk("r.1", 0),
				dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_FAILED}, dispatcher.ConnectionLost{ID: "r.1"},
				dispatcher.Withdrawn{ID: "r.1", Ran: true})
			answer(h, "r.5")
		}, []string{"d1", "d1"}, 1},
		"second decode server after the repetition": {func(h *harness) {
			h.repeating().stallTransfer()
			h.step(dispatcher.Granted{ID: "r.6"}, dispatcher.Imported{ID: "r.5"})
			answer(h, "r.6")
		}, []string{"d1", "d1", "d2"}, 1},
		"repetition refused": {func(h *harness) {
			h.importing().stallTransfer()
			h.endedByAgent("r.5").step(dispatcher.Refused{ID: "r.5", Reason: "deadline"}, dispatcher.Granted{ID: "r.6"})
			answer(h, "r.6")
		}, []string{"d1", "d2"}, 1},
		"connection of the repetition lost": {func(h *harness) {
			h.importing().stallTransfer()
			h.loseConnection("r.5")
			h.step(dispatcher.Granted{ID: "r.6"})
			answer(h, "r.6")
		}, []string{"d1", "d2"}, 1},
		"memory goes to another request": {func(h *harness) {
			h.importing().stallTransfer()
			h.wait(wait)
			h.step(dispatcher.Granted{ID: "r.6"})
			answer(h, "r.6")
		}, []string{"d1", "d2"}, 1},
		"late grant of the repetition": {func(h *harness) {
			h.importing().stallTransfer()
			h.wait(wait)
			h.step(dispatcher.Granted{ID: "r.5"})
			answer(h, "r.5")
		}, []string{"d1", "d1"}, 1},
		"no grant before the eviction": {func(h *harness) {
			h.importing().stallTransfer()
			h.wait(wait)
			h.wait(time.Second)
			h.step(dispatcher.Granted{ID: "r.5"}, dispatcher.Granted{ID: "r.6"})
			h.retryUntilImport("r.8", "r.10")
			answer(h, "r.8")
		}, []string{"d1", "d1"}, 2},
		"evicted before the repetition": {func(h *harness) {
			h.repeating().end("r.5", wire.Status_STATUS_EVICTED, 0)
			h.retryUntilImport("r.6", "r.8")
			answer(h, "r.6")
		}, []string{"d1", "d1", "d1"}, 2},
		"every transfer stalls": {func(h *harness) {
			h.repeating().stallTransfer()
			h.step(dispatcher.Granted{ID: "r.6"})
			h.stallTransfer()
			h.retryUntilImport("r.8", "r.10")
			answer(h, "r.8")
		}, []string{"d1", "d1", "d2", "d1"}, 2},
		"repetition stalls and there is no second decode server": {func(h *harness) {
			h.fleet.servers[wire.Phase_PHASE_DECODE] = []string{"d1"}
			h.step(dispatcher.Started{}, dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.2"},
				dispatcher.Prefilled{ID: "r.2", Handle: "h"})
			h.stallTransfer()
			h.step(dispatcher.Granted{ID: "r.4"})
			h.stallTransfer()
			h.retryUntilImport("r.5", "r.6")
			answer(h, "r.5")
		}, []string{"d1", "d1", "d1"}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(model())
			test.run(h)
			h.check(t, want{text: "a", result: dispatcher.Done, status: 200, prefill: test.prefill})
			if got, want := importServers(h), test.imports; !slices.Equal(got, want) {
				t.Errorf("imports: got %v, want %v", got, want)
			}
		})
	}
}

// TestRepetition checks the ask for a repeated transfer. It must be queued before the
// memory is released, or another request gets the memory. Its due time must not be
// that of the first token, or the queue refuses it as late. And the decode server must
// not be reported as failed, because the fault is in the transfer.
func TestRepetition(t *testing.T) {
	r := model()
	r.GrantDeadline = time.Unix(1000, 0).Add(time.Millisecond)
	h := newHarness(r).importing()
	before := len(h.actions)
	h.stallTransfer()
	var kinds []string
	for _, a := range h.actions[before:] {
		switch a := a.(type) {
		case dispatcher.Ask:
			kinds = append(kinds, "ask "+a.Server)
			if got, want := a.Due, time.Unix(1000, 0).Add(dispatcher.DefaultLimits().Total); !got.Equal(want) || a.Hold != 0 {
				t.Errorf("got due %v and hold %v, want %v and none", got, a.Hold, want)
			}
		case dispatcher.Withdraw:
			kinds = append(kinds, "withdraw "+a.Server)
		}
	}
	if got, want := kinds, []string{"ask d1", "withdraw d1"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := len(h.fleet.failed), 0; got != want {
		t.Errorf("got failures of %v, want none", h.fleet.failed)
	}
}

// TestStalledSource checks that a second prefill avoids the server whose transfers
// stalled, and that the decode servers are not avoided.
func TestStalledSource(t *testing.T) {
	h := newHarness(model())
	h.fleet.servers[wire.Phase_PHASE_DECODE] = []string{"d1", "d2"}
	h.repeating().stallTransfer()
	h.step(dispatcher.Granted{ID: "r.6"})
	h.stallTransfer()
	h.step(dispatcher.Granted{ID: "r.7"})
	if got, want := lastAction[dispatcher.Ask](h).Server, "p3"; got != want {
		t.Errorf("second prefill: got %s asked last, want %s and not p1", got, want)
	}
	if got := lastAction[dispatcher.Finish](h); got.Outcome.Result != 0 {
		t.Errorf("got %+v, want the request to go on", got)
	}
}
