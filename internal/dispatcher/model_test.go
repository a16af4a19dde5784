package dispatcher_test

import (
	"maps"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// want is the expected end of a table case.
type want struct {
	text    string
	result  dispatcher.Result // 0: not finished
	status  int
	prefill int // dispatched
	resume  int
	run     int
}

func (g *rig) check(t *testing.T, w want) {
	t.Helper()
	got := want{
		text: g.text, prefill: g.sent["prefill"], resume: g.sent["resume"], run: g.sent["run"],
	}
	if len(g.final) > 1 {
		t.Errorf("final answers: got %v, want one", g.final)
	}
	if len(g.final) > 0 {
		got.result, got.status = g.final[0].Result, g.final[0].Status
	}
	if got != w {
		t.Errorf("got %+v, want %+v", got, w)
	}
	if len(g.misuse) > 0 {
		t.Errorf("got %+v, want no dispatch that an agent rejects", g.misuse)
	}
	if len(g.final) > 0 && len(g.open) > 0 {
		t.Errorf("open attempts after the final answer: got %v, want none", g.open)
	}
}

// closed tells the rig that the agent itself ended an attempt.
func (g *rig) closed(id string) *rig {
	delete(g.open, id)

	return g
}

func (g *rig) end(id string, s wire.Status, chunks int64) {
	g.closed(id).step(dispatcher.Ended{ID: id, Status: s, Chunks: chunks})
}

func (g *rig) done(id string, chunks int64) { g.end(id, wire.Status_STATUS_DONE, chunks) }

func (g *rig) lose(id string) { g.step(dispatcher.Lost{ID: id, Reason: "connection reset"}) }

// again answers the asks of a whole new try with the given ids, up to its
// import.
func (g *rig) again(decode, prefill string) {
	g.step(dispatcher.Granted{ID: decode}, dispatcher.Granted{ID: prefill},
		dispatcher.Prefilled{ID: prefill, Handle: "h2"}, dispatcher.Imported{ID: decode})
}

// refuseAll answers the asks for decode memory until no more are sent.
func (g *rig) refuseAll() {
	for id := g.newest(wire.Phase_PHASE_DECODE); g.open[id] != ""; id = g.newest(wire.Phase_PHASE_DECODE) {
		for _, a := range g.all {
			if ask, ok := a.(dispatcher.Ask); ok && ask.Phase == wire.Phase_PHASE_DECODE && g.open[ask.ID] != "" {
				g.closed(ask.ID).step(dispatcher.Refused{ID: ask.ID, After: time.Second})
			}
		}
	}
}

// newest returns the id of the last ask of a phase.
func (g *rig) newest(phase wire.Phase) (id string) {
	for _, a := range g.all {
		if ask, ok := a.(dispatcher.Ask); ok && ask.Phase == phase {
			id = ask.ID
		}
	}

	return id
}

// Guards against a failure of one part of a model request that loses, repeats,
// mixes or shortens the answer, or repeats work without need.
func TestModelFailures(t *testing.T) {
	done, failed, notRun := dispatcher.Done, dispatcher.MayHaveRun, dispatcher.NotRun
	tests := map[string]struct {
		run  func(g *rig)
		want want
	}{
		"reordered chunks": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 2), g.chunk("r.1", 0), g.chunk("r.1", 1))
			g.done("r.1", 3)
		}, want{text: "abc", result: done, status: 200, prefill: 1}},
		"repeated chunks": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0), g.chunk("r.1", 0), g.chunk("r.1", 1), g.chunk("r.1", 0))
			g.done("r.1", 2)
		}, want{text: "ab", result: done, status: 200, prefill: 1}},
		"end marker before the last chunk": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 1))
			g.done("r.1", 2)
			g.step(g.chunk("r.1", 0))
		}, want{text: "ab", result: done, status: 200, prefill: 1}},
		"late chunk after the final answer": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0))
			g.done("r.1", 1)
			g.step(g.chunk("r.1", 1), dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_DONE, Chunks: 2})
		}, want{text: "a", result: done, status: 200, prefill: 1}},
		"stream cut and resumed at the missing chunk": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0))
			g.lose("r.1")
			g.step(g.chunk("r.1", 1))
			g.done("r.1", 2)
		}, want{text: "ab", result: done, status: 200, prefill: 1, resume: 1}},
		"silent stream is resumed": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0))
			g.wait(3 * time.Second)
			g.step(g.chunk("r.1", 1))
			g.done("r.1", 2)
		}, want{text: "ab", result: done, status: 200, prefill: 1, resume: 1}},
		"answer cut short after a byte, no retry left": {func(g *rig) {
			g.fleet.budget = 0
			g.decoding().step(g.chunk("r.1", 0))
			for range 3 {
				g.lose("r.1")
			}
		}, want{text: "a", result: failed, status: 502, prefill: 1, resume: 2}},
		"end marker without its chunks, no retry left": {func(g *rig) {
			g.fleet.budget = 0
			g.decoding().step(g.chunk("r.1", 0))
			for range 3 {
				g.done("r.1", 2)
				g.wait(3 * time.Second)
			}
		}, want{text: "a", result: failed, status: 502, prefill: 1, resume: 2}},
		"more chunks than the end marker says": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0), g.chunk("r.1", 1))
			g.done("r.1", 1)
		}, want{text: "ab", result: failed, status: 502, prefill: 1}},
		"answer continued by a second run": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0))
			g.end("r.1", wire.Status_STATUS_FAILED, 0)
			g.again("r.5", "r.7")
			g.step(g.chunk("r.5", 1), g.chunk("r.1", 1), g.chunk("r.5", 0))
			g.lose("r.5")
			g.step(g.chunk("r.5", 2))
			g.done("r.5", 3)
		}, want{text: "abc", result: done, status: 200, prefill: 2, resume: 1}},
		"second run gives another text": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0))
			g.end("r.1", wire.Status_STATUS_FAILED, 0)
			g.again("r.5", "r.7")
			g.step(dispatcher.Arrived{ID: "r.5", Seq: 1, Text: "b"}, dispatcher.Arrived{ID: "r.5", Seq: 0, Text: "z"})
		}, want{text: "a", result: failed, status: 502, prefill: 2}},
		"second run is shorter": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0), g.chunk("r.1", 1))
			g.end("r.1", wire.Status_STATUS_FAILED, 0)
			g.again("r.5", "r.7")
			g.step(g.chunk("r.5", 0))
			g.done("r.5", 1)
		}, want{text: "ab", result: failed, status: 502, prefill: 2}},
		"no server for a moment after a byte": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0))
			g.end("r.1", wire.Status_STATUS_FAILED, 0)
			g.refuseAll()
			g.wait(time.Second)
			g.step(dispatcher.Granted{ID: g.newest(wire.Phase_PHASE_DECODE)})
			prefill := g.newest(wire.Phase_PHASE_PREFILL)
			g.step(dispatcher.Granted{ID: prefill}, dispatcher.Prefilled{ID: prefill, Handle: "h2"})
			decode := find[dispatcher.Import](g).ID
			g.step(dispatcher.Imported{ID: decode}, g.chunk(decode, 0), g.chunk(decode, 1))
			g.done(decode, 2)
		}, want{text: "ab", result: done, status: 200, prefill: 2}},
		"only server failed before the first byte": {func(g *rig) {
			g.fleet.servers[wire.Phase_PHASE_PREFILL] = []string{"p1"}
			g.step(dispatcher.Begin{}, dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.3"})
			g.end("r.3", wire.Status_STATUS_FAILED, 0)
			g.wait(time.Second)
			prefill := g.newest(wire.Phase_PHASE_PREFILL)
			g.step(dispatcher.Granted{ID: prefill}, dispatcher.Prefilled{ID: prefill, Handle: "h2"},
				dispatcher.Imported{ID: "r.1"}, g.chunk("r.1", 0))
			g.done("r.1", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"no server for too long after a byte": {func(g *rig) {
			g.decoding().step(g.chunk("r.1", 0))
			g.end("r.1", wire.Status_STATUS_FAILED, 0)
			for range 4 {
				g.refuseAll()
				g.wait(time.Second)
			}
			g.refuseAll()
		}, want{text: "a", result: failed, status: 502, prefill: 1}},
		"overlapping second try": {func(g *rig) {
			g.decoding()
			for range 3 {
				g.lose("r.1")
			}
			g.again("r.5", "r.7")
			g.step(g.chunk("r.1", 0), g.chunk("r.5", 0), g.chunk("r.1", 1))
			g.step(dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_DONE, Chunks: 2})
			g.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2, resume: 2}},
		"retry budget used up": {func(g *rig) {
			g.fleet.budget = 0
			g.prefilling().end("r.3", wire.Status_STATUS_FAILED, 0)
		}, want{result: failed, status: 502, prefill: 1}},
		"second failure after the one retry in the budget": {func(g *rig) {
			g.prefilling().end("r.3", wire.Status_STATUS_FAILED, 0)
			g.step(dispatcher.Granted{ID: "r.5"})
			g.end("r.5", wire.Status_STATUS_FAILED, 0)
		}, want{result: failed, status: 502, prefill: 2}},
		"prefill lost": {func(g *rig) {
			g.prefilling().lose("r.3")
			g.step(dispatcher.Granted{ID: "r.5"}, dispatcher.Prefilled{ID: "r.5", Handle: "h"},
				dispatcher.Imported{ID: "r.1"}, g.chunk("r.1", 0))
			g.done("r.1", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"late prefill of a withdrawn attempt": {func(g *rig) {
			g.prefilling().lose("r.3")
			g.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Imported{ID: "r.1"})
		}, want{prefill: 1}},
		"crash once": {func(g *rig) {
			g.decoding().end("r.1", wire.Status_STATUS_CRASHED, 0)
			g.again("r.5", "r.7")
			g.step(g.chunk("r.5", 0))
			g.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"crash twice": {func(g *rig) {
			g.fleet.budget = 10
			g.decoding().end("r.1", wire.Status_STATUS_CRASHED, 0)
			g.again("r.5", "r.7")
			g.end("r.5", wire.Status_STATUS_CRASHED, 0)
		}, want{result: failed, status: 502, prefill: 2}},
		"KV cache evicted before the import": {func(g *rig) {
			g.importing().end("r.1", wire.Status_STATUS_EVICTED, 0)
			g.again("r.5", "r.7")
			g.step(g.chunk("r.5", 0))
			g.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 2}},
		"reservation revoked during the prefill": {func(g *rig) {
			g.prefilling().end("r.1", wire.Status_STATUS_REVOKED, 0)
			g.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Granted{ID: "r.5"},
				dispatcher.Imported{ID: "r.5"}, g.chunk("r.5", 0))
			g.done("r.5", 1)
		}, want{text: "a", result: done, status: 200, prefill: 1}},
		"no decode memory": {func(g *rig) {
			g.step(dispatcher.Begin{})
			for _, id := range []string{"r.1", "r.2", "r.3", "r.4"} {
				g.closed(id).step(dispatcher.Refused{ID: id, Reason: "queue", After: 3 * time.Second})
			}
		}, want{result: notRun, status: 429}},
		"no server": {func(g *rig) {
			g.fleet.servers = nil
			g.step(dispatcher.Begin{})
		}, want{result: notRun, status: 503}},
		"dispatch discarded by the agent": {func(g *rig) {
			g.fleet.budget = 0
			g.prefilling().closed("r.3").step(dispatcher.Withdrawn{ID: "r.3"})
		}, want{result: notRun, status: 503, prefill: 1}},
		"deadline before the dispatch": {func(g *rig) {
			g.step(dispatcher.Begin{})
			g.wait(time.Hour)
		}, want{result: notRun, status: 503}},
		"deadline after the dispatch": {func(g *rig) {
			g.prefilling().wait(time.Hour)
		}, want{result: failed, status: 504, prefill: 1}},
		"grant lost before the import": {func(g *rig) {
			g.prefilling().lose("r.1")
			g.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Imported{ID: "r.1"}, g.chunk("r.1", 0))
			g.done("r.1", 1)
		}, want{text: "a", result: done, status: 200, prefill: 1}},
		"resumed stream is unknown after a restart of the agent, no retry left": {func(g *rig) {
			g.fleet.budget = 0
			g.decoding().step(g.chunk("r.1", 0))
			g.lose("r.1")
			g.step(dispatcher.Refused{ID: "r.1", Reason: "unknown"})
		}, want{text: "a", result: failed, status: 502, prefill: 1, resume: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(model())
			test.run(g)
			g.check(t, test.want)
		})
	}
}

// Guards against engine memory that stays allocated, or work that goes on,
// after the caller disconnected.
func TestCallerGone(t *testing.T) {
	tests := map[string]struct {
		request dispatcher.Request
		before  func(g *rig)
		want    dispatcher.Result
	}{
		"before the start": {model(), func(*rig) {}, dispatcher.NotRun},
		"reserve":          {model(), func(g *rig) { g.step(dispatcher.Begin{}) }, dispatcher.NotRun},
		"queue": {model(), func(g *rig) {
			g.step(dispatcher.Begin{}, dispatcher.Granted{ID: "r.1"})
		}, dispatcher.NotRun},
		"prefill":  {model(), func(g *rig) { g.prefilling() }, dispatcher.MayHaveRun},
		"transfer": {model(), func(g *rig) { g.importing() }, dispatcher.MayHaveRun},
		"stalled":  {model(), func(g *rig) { g.importing().stall() }, dispatcher.MayHaveRun},
		"repeat":   {model(), func(g *rig) { g.repeating() }, dispatcher.MayHaveRun},
		"decode":   {model(), func(g *rig) { g.decoding() }, dispatcher.MayHaveRun},
		"resume":   {model(), func(g *rig) { g.decoding().lose("r.1") }, dispatcher.MayHaveRun},
		"retry":    {model(), func(g *rig) { g.prefilling().lose("r.3") }, dispatcher.MayHaveRun},
		"ask":      {lookup(), func(g *rig) { g.step(dispatcher.Begin{}) }, dispatcher.NotRun},
		"claim":    {booking(), func(g *rig) { g.step(dispatcher.Begin{}) }, dispatcher.NotRun},
		"run":      {booking(), func(g *rig) { g.running() }, dispatcher.MayHaveRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(test.request)
			test.before(g)
			g.step(dispatcher.Gone{})
			dispatched := maps.Clone(g.sent)
			g.step(dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.2"}, dispatcher.Granted{ID: "r.5"},
				dispatcher.Imported{ID: "r.1"}, dispatcher.Imported{ID: "r.5"},
				dispatcher.Claimed{OK: true, Fresh: true}, g.chunk("r.1", 0))
			if got, want := len(g.final), 1; got != want {
				t.Fatalf("final answers: got %d, want %d", got, want)
			}
			if got, want := g.final[0].Result, test.want; got != want || !g.final[0].Gone {
				t.Errorf("outcome: got %+v, want %v and gone", g.final[0], want)
			}
			if len(g.open) > 0 || g.text != "" || !maps.Equal(g.sent, dispatched) {
				t.Errorf("after the disconnection: got open %v, text %q, sent %v, want none", g.open, g.text, g.sent)
			}
		})
	}
}

// Guards against asks that stay in the queues of other servers, or a prefill
// server that keeps the KV cache, while the request goes on.
func TestLosersAreWithdrawn(t *testing.T) {
	g := newRig(model()).prefilling()
	if got, want := g.open, map[string]string{"r.1": "d1", "r.3": "p1"}; !maps.Equal(got, want) {
		t.Errorf("during the prefill: got %v, want %v", got, want)
	}
	g.step(dispatcher.Prefilled{ID: "r.3", Handle: "h"}, dispatcher.Imported{ID: "r.1"})
	if got, want := g.open, map[string]string{"r.1": "d1"}; !maps.Equal(got, want) {
		t.Errorf("while decoding: got %v, want %v", got, want)
	}
}

// Guards against a retry at the server that failed, and against a request that
// keeps asking servers that refuse.
func TestRetryGoesElsewhere(t *testing.T) {
	g := newRig(model())
	g.fleet.servers[wire.Phase_PHASE_PREFILL] = []string{"p1", "p2"}
	g.prefilling().end("r.3", wire.Status_STATUS_FAILED, 0)
	if got, want := find[dispatcher.Ask](g).Server, "p2"; got != want {
		t.Errorf("second prefill: got %s, want %s", got, want)
	}
	g.step(dispatcher.Refused{ID: "r.5", After: time.Second})
	g.closed("r.5").check(t, want{result: dispatcher.MayHaveRun, status: 502, prefill: 1})
}

// Guards against a final answer without the time to retry, and against one that
// invites a request to crash a third server.
func TestRetryAfter(t *testing.T) {
	g := newRig(model())
	g.step(dispatcher.Begin{}, dispatcher.Refused{ID: "r.1", After: 7 * time.Second},
		dispatcher.Refused{ID: "r.2", After: 5 * time.Second},
		dispatcher.Refused{ID: "r.3"}, dispatcher.Refused{ID: "r.4"})
	if got, want := g.final[0].After, 5*time.Second; got != want {
		t.Errorf("after refusals: got %v, want %v", got, want)
	}
	g = newRig(model())
	g.decoding().end("r.1", wire.Status_STATUS_CRASHED, 0)
	g.again("r.5", "r.7")
	g.end("r.5", wire.Status_STATUS_CRASHED, 0)
	if got, want := g.final[0].After, time.Duration(0); got != want {
		t.Errorf("after two crashes: got %v, want %v", got, want)
	}
}
