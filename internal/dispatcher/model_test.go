package dispatcher_test

import (
	"maps"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// want is the expected state at the end of a test case.
type want struct {
	text    string
	result  dispatcher.Result // 0: not finished
	status  int
	prefill int // number of dispatches, like the next two
	resume  int
	run     int
}

func (h *harness) check(t *testing.T, w want) {
	t.Helper()
	got := want{
		text: h.text, prefill: h.dispatches["prefill"], resume: h.dispatches["resume"], run: h.dispatches["run"],
	}
	if len(h.final) > 1 {
		t.Errorf("final answers: got %v, want one", h.final)
	}
	if len(h.final) > 0 {
		got.result, got.status = h.final[0].Result, h.final[0].Status
	}
	if got != w {
		t.Errorf("got %+v, want %+v", got, w)
	}
	if len(h.invalid) > 0 {
		t.Errorf("got %+v, want no dispatch that an agent rejects", h.invalid)
	}
	if len(h.final) > 0 && len(h.open) > 0 {
		t.Errorf("open attempts after the final answer: got %v, want none", h.open)
	}
}

// endedByAgent records that the agent itself ended an attempt.
func (h *harness) endedByAgent(id string) *harness {
	delete(h.open, id)

	return h
}

func (h *harness) end(id string, s wire.Status, chunks int64) {
	h.endedByAgent(id).step(dispatcher.Ended{ID: id, Status: s, Chunks: chunks})
}

func (h *harness) done(id string, chunks int64) { h.end(id, wire.Status_STATUS_DONE, chunks) }

func (h *harness) loseConnection(id string) {
	h.step(dispatcher.ConnectionLost{ID: id, Reason: "connection reset"})
}

// retryUntilImport answers the asks of a complete retry with the given IDs, up to and
// including the import.
func (h *harness) retryUntilImport(decode, prefill string) {
	h.step(dispatcher.Granted{ID: decode}, dispatcher.Granted{ID: prefill},
		dispatcher.Prefilled{ID: prefill, Handle: "h2"}, dispatcher.Imported{ID: decode})
}

// refuseAll refuses all asks for decode memory until no more are sent.
func (h *harness) refuseAll() {
	for id := h.lastAskID(wire.Phase_PHASE_DECODE); h.open[id] != ""; id = h.lastAskID(wire.Phase_PHASE_DECODE) {
		for _, a := range h.actions {
			if ask, ok := a.(dispatcher.Ask); ok && ask.Phase == wire.Phase_PHASE_DECODE && h.open[ask.ID] != "" {
				h.endedByAgent(ask.ID).step(dispatcher.Refused{ID: ask.ID, After: time.Second})
			}
		}
	}
}

// lastAskID returns the ID of the last ask for a phase.
func (h *harness) lastAskID(phase wire.Phase) (id string) {
	for _, a := range h.actions {
		if ask, ok := a.(dispatcher.Ask); ok && ask.Phase == phase {
			id = ask.ID
		}
	}

	return id
}

// TestModelFailures checks that no failure of one part of a model request loses,
// repeats, mixes up or truncates the answer, or repeats work without need.
func TestModelFailures(t *testing.T) {
	done, failed, notRun := dispatcher.Done, dispatcher.MayHaveRun, dispatcher.NotRun
	tests := map[string]struct {
		run  func(h *harness)
		want want
	}{
		"reordered chunks": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 2), h.chunk("r.1", 0), h.chunk("r.1", 1))
			h.done("r.1", 3)
		}, want{text: "abc", result: done, status: 200, prefill: 1}},
		"repeated chunks": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0), h.chunk("r.1", 0), h.chunk("r.1", 1), h.chunk("r.1", 0))
			h.done("r.1", 2)
		}, want{text: "ab", result: done, status: 200, prefill: 1}},
		"end marker before the last chunk": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 1))
			h.done("r.1", 2)
			h.step(h.chunk("r.1", 0))
		}, want{text: "ab", result: done, status: 200, prefill: 1}},
		"late chunk after the final answer": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0))
			h.done("r.1", 1)
			h.step(h.chunk("r.1", 1), dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_DONE, Chunks: 2})
		}, want{text: "a", result: done, status: 200, prefill: 1}},
		"stream cut and resumed at the missing chunk": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0))
			h.loseConnection("r.1")
			h.step(h.chunk("r.1", 1))
			h.done("r.1", 2)
		}, want{text: "ab", result: done, status: 200, prefill: 1, resume: 1}},
		"silent stream is resumed": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0))
			h.wait(3 * time.Second)
			h.step(h.chunk("r.1", 1))
			h.done("r.1", 2)
		}, want{text: "ab", result: done, status: 200, prefill: 1, resume: 1}},
		"answer cut short after a byte, no retry left": {func(h *harness) {
			h.fleet.retries = 0
			h.decoding().step(h.chunk("r.1", 0))
			for range 3 {
				h.loseConnection("r.1")
			}
		}, want{text: "a", result: failed, status: 502, prefill: 1, resume: 2}},
		"end marker without its chunks, no retry left": {func(h *harness) {
			h.fleet.retries = 0
			h.decoding().step(h.chunk("r.1", 0))
			for range 3 {
				h.done("r.1", 2)
				h.wait(3 * time.Second)
			}
		}, want{text: "a", result: failed, status: 502, prefill: 1, resume: 2}},
		"more chunks than the end marker says": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0), h.chunk("r.1", 1))
			h.done("r.1", 1)
		}, want{text: "ab", result: failed, status: 502, prefill: 1}},
		"answer continued by a second run": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0))
			h.end("r.1", wire.Status_STATUS_FAILED, 0)
			h.retryUntilImport("r.5", "r.7")
			h.step(h.chunk("r.5", 1), h.chunk("r.1", 1), h.chunk("r.5", 0))
			h.loseConnection("r.5")
			h.step(h.chunk("r.5", 2))
			h.done("r.5", 3)
		}, want{text: "abc", result: done, status: 200, prefill: 2, resume: 1}},
		"second run gives another text": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0))
			h.end("r.1", wire.Status_STATUS_FAILED, 0)
			h.retryUntilImport("r.5", "r.7")
			h.step(dispatcher.ChunkReceived{ID: "r.5", Seq: 1, Text: "b"}, dispatcher.ChunkReceived{ID: "r.5", Seq: 0, Text: "z"})
		}, want{text: "a", result: failed, status: 502, prefill: 2}},
		"second run is shorter": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0), h.chunk("r.1", 1))
			h.end("r.1", wire.Status_STATUS_FAILED, 0)
			h.retryUntilImport("r.5", "r.7")
			h.step(h.chunk("r.5", 0))
			h.done("r.5", 1)
		}, want{text: "ab", result: failed, status: 502, prefill: 2}},
		"no server for a moment after a byte": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0))
			h.end("r.1", wire.Status_STATUS_FAILED, 0)
			h.refuseAll()
			h.wait(time.Second)
			h.step(dispatcher.Granted{ID: h.lastAskID(wire.Phase_PHASE_DECODE)})
			prefill := h.lastAskID(wire.Phase_PHASE_PREFILL)
			h.step(dispatcher.Granted{ID: prefill}, dispatcher.Prefilled{ID: prefill, Handle: "h2"})
			decode := lastAction[dispatcher.Import](h).ID
			h.step(dispatcher.Imported{ID: decode}, h.chunk(decode, 0), h.chunk(decode, 1))
			h.done(decode, 2)
		}, want{text: "ab", result: done, status: 200, prefill: 2}},
		"only server failed before the first byte": {func(h *harness) {
			h.fleet.servers[wire.Phase_PHASE_PREFILL] = []string{"p1"}
			h.step(dispatcher.Started{}, dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.3"})
			h.end("r.3", wire.Status_STATUS_FAILED, 0)
			h.wait(time.Second)
			prefill := h.lastAskID(wire.Phase_PHASE_PREFILL)
			h.step(dispatcher.Granted{ID: prefill}, dispatcher.Prefilled{ID: prefill, Handle: "h2"},
				dispatcher.Imported{ID: "r.1"}, h.chunk("r.1", 0))
			h.done("r.1", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"no server for too long after a byte": {func(h *harness) {
			h.decoding().step(h.chunk("r.1", 0))
			h.end("r.1", wire.Status_STATUS_FAILED, 0)
			for range 4 {
				h.refuseAll()
				h.wait(time.Second)
			}
			h.refuseAll()
		}, want{text: "a", result: failed, status: 502, prefill: 1}},
		"overlapping second try": {func(h *harness) {
			h.decoding()
			for range 3 {
				h.loseConnection("r.1")
			}
			h.retryUntilImport("r.5", "r.7")
			h.step(h.chunk("r.1", 0), h.chunk("r.5", 0), h.chunk("r.1", 1))
			h.step(dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_DONE, Chunks: 2})
			h.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2, resume: 2}},
		"retry budget used up": {func(h *harness) {
			h.fleet.retries = 0
			h.prefilling().end("r.3", wire.Status_STATUS_FAILED, 0)
		}, want{result: failed, status: 502, prefill: 1}},
		"second failure after the one retry in the budget": {func(h *harness) {
			h.prefilling().end("r.3", wire.Status_STATUS_FAILED, 0)
			h.step(dispatcher.Granted{ID: "r.5"})
			h.end("r.5", wire.Status_STATUS_FAILED, 0)
		}, want{result: failed, status: 502, prefill: 2}},
		"prefill lost": {func(h *harness) {
			h.prefilling().loseConnection("r.3")
			h.step(dispatcher.Granted{ID: "r.5"}, dispatcher.Prefilled{ID: "r.5", Handle: "h"},
				dispatcher.Imported{ID: "r.1"}, h.chunk("r.1", 0))
			h.done("r.1", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"late prefill of a withdrawn attempt": {func(h *harness) {
			h.prefilling().loseConnection("r.3")
			h.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Imported{ID: "r.1"})
		}, want{prefill: 1}},
		"crash once": {func(h *harness) {
			h.decoding().end("r.1", wire.Status_STATUS_CRASHED, 0)
			h.retryUntilImport("r.5", "r.7")
			h.step(h.chunk("r.5", 0))
			h.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"crash twice": {func(h *harness) {
			h.fleet.retries = 10
			h.decoding().end("r.1", wire.Status_STATUS_CRASHED, 0)
			h.retryUntilImport("r.5", "r.7")
			h.end("r.5", wire.Status_STATUS_CRASHED, 0)
		}, want{result: failed, status: 502, prefill: 2}},
		"KV cache evicted before the import": {func(h *harness) {
			h.importing().end("r.1", wire.Status_STATUS_EVICTED, 0)
			h.retryUntilImport("r.5", "r.7")
			h.step(h.chunk("r.5", 0))
			h.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"reservation revoked during the prefill": {func(h *harness) {
			h.prefilling().end("r.1", wire.Status_STATUS_REVOKED, 0)
			h.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Granted{ID: "r.5"},
				dispatcher.Imported{ID: "r.5"}, h.chunk("r.5", 0))
			h.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 1}},
		"no decode memory": {func(h *harness) {
			h.step(dispatcher.Started{})
			for _, id := range []string{"r.1", "r.2", "r.3", "r.4"} {
				h.endedByAgent(id).step(dispatcher.Refused{ID: id, Reason: "queue", After: 3 * time.Second})
			}
		}, want{result: notRun, status: 429}},
		"no server": {func(h *harness) {
			h.fleet.servers = nil
			h.step(dispatcher.Started{})
		}, want{result: notRun, status: 503}},
		"dispatch discarded by the agent": {func(h *harness) {
			h.fleet.retries = 0
			h.prefilling().endedByAgent("r.3").step(dispatcher.Withdrawn{ID: "r.3"})
		}, want{result: notRun, status: 503, prefill: 1}},
		"deadline before the dispatch": {func(h *harness) {
			h.step(dispatcher.Started{})
			h.wait(time.Hour)
		}, want{result: notRun, status: 503}},
		"deadline after the dispatch": {func(h *harness) {
			h.prefilling().wait(time.Hour)
		}, want{result: failed, status: 504, prefill: 1}},
		"grant lost before the import": {func(h *harness) {
			h.prefilling().loseConnection("r.1")
			h.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Imported{ID: "r.1"}, h.chunk("r.1", 0))
			h.done("r.1", 1)
		}, want{text: "a", result: done, status: 200, prefill: 1}},
		"resumed stream is unknown after a restart of the agent, no retry left": {func(h *harness) {
			h.fleet.retries = 0
			h.decoding().step(h.chunk("r.1", 0))
			h.loseConnection("r.1")
			h.step(dispatcher.Refused{ID: "r.1", Reason: "unknown"})
		}, want{text: "a", result: failed, status: 502, prefill: 1, resume: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(model())
			test.run(h)
			h.check(t, test.want)
		})
	}
}

// TestCallerGone checks that no engine memory stays allocated and no work goes on
// after the caller disconnected.
func TestCallerGone(t *testing.T) {
	tests := map[string]struct {
		request dispatcher.Request
		before  func(h *harness)
		want    dispatcher.Result
	}{
		"before the start": {model(), func(*harness) {}, dispatcher.NotRun},
		"reserve":          {model(), func(h *harness) { h.step(dispatcher.Started{}) }, dispatcher.NotRun},
		"queue": {model(), func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Granted{ID: "r.1"})
		}, dispatcher.NotRun},
		"prefill":  {model(), func(h *harness) { h.prefilling() }, dispatcher.MayHaveRun},
		"transfer": {model(), func(h *harness) { h.importing() }, dispatcher.MayHaveRun},
		"stalled":  {model(), func(h *harness) { h.importing().stallTransfer() }, dispatcher.MayHaveRun},
		"repeat":   {model(), func(h *harness) { h.repeating() }, dispatcher.MayHaveRun},
		"decode":   {model(), func(h *harness) { h.decoding() }, dispatcher.MayHaveRun},
		"resume":   {model(), func(h *harness) { h.decoding().loseConnection("r.1") }, dispatcher.MayHaveRun},
		"retry":    {model(), func(h *harness) { h.prefilling().loseConnection("r.3") }, dispatcher.MayHaveRun},
		"ask":      {lookup(), func(h *harness) { h.step(dispatcher.Started{}) }, dispatcher.NotRun},
		"claim":    {booking(), func(h *harness) { h.step(dispatcher.Started{}) }, dispatcher.NotRun},
		"run":      {booking(), func(h *harness) { h.running() }, dispatcher.MayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(test.request)
			test.before(h)
			h.step(dispatcher.CallerGone{})
			dispatched := maps.Clone(h.dispatches)
			h.step(dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.2"}, dispatcher.Granted{ID: "r.5"},
				dispatcher.Imported{ID: "r.1"}, dispatcher.Imported{ID: "r.5"},
				dispatcher.Claimed{OK: true, Fresh: true}, h.chunk("r.1", 0))
			if got, want := len(h.final), 1; got != want {
				t.Fatalf("final answers: got %d, want %d", got, want)
			}
			if got, want := h.final[0].Result, test.want; got != want || !h.final[0].CallerGone {
				t.Errorf("outcome: got %+v, want %v and CallerGone", h.final[0], want)
			}
			if len(h.open) > 0 || h.text != "" || !maps.Equal(h.dispatches, dispatched) {
				t.Errorf("after the disconnection: got open %v, text %q, dispatches %v, want none and no new dispatch", h.open, h.text, h.dispatches)
			}
		})
	}
}

// TestUnusedAttemptsWithdrawn checks that, while a request goes on, its other asks do not
// stay in the queues and the prefill server does not keep the KV cache.
func TestUnusedAttemptsWithdrawn(t *testing.T) {
	h := newHarness(model()).prefilling()
	if got, want := h.open, map[string]string{"r.1": "d1", "r.3": "p1"}; !maps.Equal(got, want) {
		t.Errorf("during the prefill: got %v, want %v", got, want)
	}
	h.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Imported{ID: "r.1"})
	if got, want := h.open, map[string]string{"r.1": "d1"}; !maps.Equal(got, want) {
		t.Errorf("while decoding: got %v, want %v", got, want)
	}
}

// TestRetryGoesElsewhere checks that a retry avoids the server that failed, and that a
// request does not ask servers that refuse over and over.
func TestRetryGoesElsewhere(t *testing.T) {
	h := newHarness(model())
	h.fleet.servers[wire.Phase_PHASE_PREFILL] = []string{"p1", "p2"}
	h.prefilling().end("r.3", wire.Status_STATUS_FAILED, 0)
	if got, want := lastAction[dispatcher.Ask](h).Server, "p2"; got != want {
		t.Errorf("second prefill: got %s, want %s", got, want)
	}
	h.step(dispatcher.Refused{ID: "r.5", After: time.Second})
	h.endedByAgent("r.5").check(t, want{result: dispatcher.MayHaveRun, status: 502, prefill: 1})
}

// TestRetryAfter checks that a refusal announces a retry delay, and that a request
// that crashed two servers gets none, so that it does not crash a third.
func TestRetryAfter(t *testing.T) {
	h := newHarness(model())
	h.step(dispatcher.Started{}, dispatcher.Refused{ID: "r.1", After: 7 * time.Second},
		dispatcher.Refused{ID: "r.2", After: 5 * time.Second},
		dispatcher.Refused{ID: "r.3"}, dispatcher.Refused{ID: "r.4"})
	if got, want := h.final[0].After, 5*time.Second; got != want {
		t.Errorf("after refusals: got %v, want %v", got, want)
	}
	h = newHarness(model())
	h.decoding().end("r.1", wire.Status_STATUS_CRASHED, 0)
	h.retryUntilImport("r.5", "r.7")
	h.end("r.5", wire.Status_STATUS_CRASHED, 0)
	if got, want := h.final[0].After, time.Duration(0); got != want {
		t.Errorf("after two crashes: got %v, want %v", got, want)
	}
}
