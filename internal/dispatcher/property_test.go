package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/testrunner"
	"github.com/damasklever/damasklever/internal/wire"
)

// TestMain sets the seed of the random schedules.
func TestMain(m *testing.M) { testrunner.Run(m, nil) }

const fullAnswer = "abcdef"

// randomEvent draws an event for one of the first attempts, or lets time pass. Chunks
// carry the same answer from every server.
func randomEvent(t *rapid.T, h *harness) dispatcher.Event {
	id := fmt.Sprintf("r.%d", rapid.IntRange(1, 12).Draw(t, "attempt"))
	status := rapid.SampledFrom([]wire.Status{
		wire.Status_STATUS_DONE, wire.Status_STATUS_FAILED, wire.Status_STATUS_CRASHED,
		wire.Status_STATUS_REVOKED, wire.Status_STATUS_EVICTED, wire.Status_STATUS_CANCELLED,
	}).Draw(t, "status")
	reason := rapid.SampledFrom([]string{"", "stalled"}).Draw(t, "reason")
	switch rapid.IntRange(0, 15).Draw(t, "event") {
	case 0, 1, 2:
		return dispatcher.Granted{ID: id}
	case 3:
		return dispatcher.Refused{ID: id, After: time.Second}
	case 4:
		return dispatcher.Prefilled{ID: id, Handle: "h"}
	case 5:
		return dispatcher.Imported{ID: id}
	case 6, 7, 8:
		return h.chunk(id, rapid.Int64Range(0, int64(len(fullAnswer))-1).Draw(t, "seq"))
	case 9:
		return dispatcher.Ended{ID: id, Status: status, Chunks: int64(len(fullAnswer)), Reason: reason}
	case 10:
		return dispatcher.ResponseReceived{ID: id, Status: 200}
	case 11:
		return dispatcher.Withdrawn{ID: id, Ran: rapid.Bool().Draw(t, "ran")}
	case 12:
		return dispatcher.ConnectionLost{ID: id}
	case 13:
		return dispatcher.Claimed{OK: rapid.Bool().Draw(t, "ok"), Fresh: rapid.Bool().Draw(t, "fresh")}
	case 14:
		return dispatcher.Stopping{End: h.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "left")))}
	default:
		h.now = h.now.Add(time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "wait")))

		return dispatcher.TimerFired{}
	}
}

// endsAttempt reports whether the agent no longer holds the attempt after the event.
func endsAttempt(e dispatcher.Event) (id string, ends bool) {
	switch e := e.(type) {
	case dispatcher.Ended:
		return e.ID, true
	case dispatcher.Withdrawn:
		return e.ID, true
	case dispatcher.ResponseReceived:
		return e.ID, true
	case dispatcher.Refused:
		return e.ID, true
	}

	return "", false
}

// TestRandomEvents checks random orders of events, including late, repeated and missing
// ones. None may lead to two final answers, a wrong text, a grant that is never
// withdrawn, a second dispatch of a booking, "not run" for a booking that may have run,
// a second import of one attempt, or work for a withdrawn attempt.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := rapid.SampledFrom([]dispatcher.Request{model(), booking(), lookup()}).Draw(t, "request")
		h := newHarness(request)
		h.fleet.retries = rapid.IntRange(0, 3).Draw(t, "budget")
		if request.Kind == wire.Kind_KIND_MODEL && rapid.Bool().Draw(t, "stalled") {
			h.importing().stallTransfer()
		} else {
			h.step(dispatcher.Started{})
		}
		confirmed := make(map[string]bool)
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			e := randomEvent(t, h)
			if id, ends := endsAttempt(e); ends {
				delete(h.open, id)
			}
			if w, ok := e.(dispatcher.Withdrawn); ok && !w.Ran {
				confirmed[w.ID] = true
			}
			before := len(h.final)
			h.step(e)
			if len(h.final) > before {
				checkFinal(t, h, request, confirmed)
			}
			if !strings.HasPrefix(fullAnswer, h.text) {
				t.Fatalf("text: got %q, want a prefix of %q", h.text, fullAnswer)
			}
		}
		h.now = h.now.Add(time.Hour)
		h.step(dispatcher.TimerFired{})
		h.now = h.now.Add(time.Hour)
		h.step(dispatcher.TimerFired{})
		if got, want := len(h.final), 1; got != want {
			t.Fatalf("final answers: got %d, want %d", got, want)
		}
		if len(h.open) > 0 || !h.machine.Finished() {
			t.Fatalf("at the end: got open %v, finished %v, want none and true", h.open, h.machine.Finished())
		}
		if len(h.invalid) > 0 {
			t.Fatalf("got %+v, want no dispatch that an agent rejects", h.invalid)
		}
		if request.Key != "" && h.dispatches["run"] > 1 {
			t.Fatalf("dispatches of a booking: got %d, want at most 1", h.dispatches["run"])
		}
	})
}

func checkFinal(t *rapid.T, h *harness, request dispatcher.Request, confirmed map[string]bool) {
	final := h.final[len(h.final)-1]
	if final.Result == dispatcher.Done && request.Kind == wire.Kind_KIND_MODEL && h.text != fullAnswer {
		t.Fatalf("answer reported as done: got %q, want %q", h.text, fullAnswer)
	}
	run := lastAction[dispatcher.Run](h)
	if request.Key != "" && run.ID != "" && final.Result == dispatcher.NotRun && !confirmed[run.ID] {
		t.Fatalf("booking with an unconfirmed dispatch: got %+v, want may-have-run", final)
	}
}
