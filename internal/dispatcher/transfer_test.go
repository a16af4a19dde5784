package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// imported names the servers that were told to import, in order.
func imported(g *rig) (out []string) {
	for _, a := range g.all {
		if a, ok := a.(dispatcher.Import); ok {
			out = append(out, a.Server)
		}
	}

	return out
}

// Guards against a stalled transfer that wastes its prefill although the decode
// server still has memory or another path is open, against a late reply of an
// abandoned transfer that is taken for one of its successor, and against waiting
// for a path after the prefill result was evicted.
func TestStalledTransfer(t *testing.T) {
	const wait = 50 * time.Millisecond // within which a repetition is granted
	answer := func(g *rig, id string) {
		g.step(dispatcher.Imported{ID: id}, g.chunk(id, 0))
		g.done(id, 1)
	}
	tests := map[string]struct {
		run     func(g *rig)
		imports []string
		prefill int
	}{
		"repeated on the same server": {func(g *rig) {
			g.repeating()
			answer(g, "r.5")
		}, []string{"d1", "d1"}, 1},
		"ended as stalled by the agent": {func(g *rig) {
			g.importing().closed("r.1").step(dispatcher.Ended{
				ID: "r.1", Status: wire.Status_STATUS_FAILED, Reason: "stalled",
			}, dispatcher.Granted{ID: "r.5"})
			answer(g, "r.5")
		}, []string{"d1", "d1"}, 1},
		"repetition ended as stalled by the agent": {func(g *rig) {
			g.repeating().closed("r.5").step(dispatcher.Ended{
				ID: "r.5", Status: wire.Status_STATUS_FAILED, Reason: "stalled",
			}, dispatcher.Granted{ID: "r.6"})
			answer(g, "r.6")
		}, []string{"d1", "d1", "d2"}, 1},
		"failed without a stall": {func(g *rig) {
			g.importing().end("r.1", wire.Status_STATUS_FAILED, 0)
			g.step(dispatcher.Granted{ID: "r.5"})
			answer(g, "r.5")
		}, []string{"d1", "d2"}, 1},
		"late import of the first transfer before the new grant": {func(g *rig) {
			g.importing().stall()
			g.step(dispatcher.Imported{ID: "r.1"}, g.chunk("r.1", 0), dispatcher.Granted{ID: "r.5"})
			answer(g, "r.5")
		}, []string{"d1", "d1"}, 1},
		"late import of the first transfer during the second": {func(g *rig) {
			g.repeating().step(dispatcher.Imported{ID: "r.1"}, g.chunk("r.1", 0),
				dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_FAILED}, dispatcher.Lost{ID: "r.1"},
				dispatcher.Withdrawn{ID: "r.1", Ran: true})
			answer(g, "r.5")
		}, []string{"d1", "d1"}, 1},
		"second path after the repetition": {func(g *rig) {
			g.repeating().stall()
			g.step(dispatcher.Granted{ID: "r.6"}, dispatcher.Imported{ID: "r.5"})
			answer(g, "r.6")
		}, []string{"d1", "d1", "d2"}, 1},
		"repetition refused": {func(g *rig) {
			g.importing().stall()
			g.closed("r.5").step(dispatcher.Refused{ID: "r.5", Reason: "deadline"}, dispatcher.Granted{ID: "r.6"})
			answer(g, "r.6")
		}, []string{"d1", "d2"}, 1},
		"exchange of the repetition lost": {func(g *rig) {
			g.importing().stall()
			g.lose("r.5")
			g.step(dispatcher.Granted{ID: "r.6"})
			answer(g, "r.6")
		}, []string{"d1", "d2"}, 1},
		"memory goes to another request": {func(g *rig) {
			g.importing().stall()
			g.wait(wait)
			g.step(dispatcher.Granted{ID: "r.6"})
			answer(g, "r.6")
		}, []string{"d1", "d2"}, 1},
		"late grant of the repetition": {func(g *rig) {
			g.importing().stall()
			g.wait(wait)
			g.step(dispatcher.Granted{ID: "r.5"})
			answer(g, "r.5")
		}, []string{"d1", "d1"}, 1},
		"no grant before the eviction": {func(g *rig) {
			g.importing().stall()
			g.wait(wait)
			g.wait(time.Second)
			g.step(dispatcher.Granted{ID: "r.5"}, dispatcher.Granted{ID: "r.6"})
			g.again("r.8", "r.10")
			answer(g, "r.8")
		}, []string{"d1", "d1"}, 2},
		"evicted before the repetition": {func(g *rig) {
			g.repeating().end("r.5", wire.Status_STATUS_EVICTED, 0)
			g.again("r.6", "r.8")
			answer(g, "r.6")
		}, []string{"d1", "d1", "d1"}, 2},
		"every path stalls": {func(g *rig) {
			g.repeating().stall()
			g.step(dispatcher.Granted{ID: "r.6"})
			g.stall()
			g.again("r.8", "r.10")
			answer(g, "r.8")
		}, []string{"d1", "d1", "d2", "d1"}, 2},
		"repetition stalls and there is no second path": {func(g *rig) {
			g.fleet.servers[wire.Phase_PHASE_DECODE] = []string{"d1"}
			g.step(dispatcher.Begin{}, dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.2"},
				dispatcher.Prefilled{ID: "r.2", Handle: "h"})
			g.stall()
			g.step(dispatcher.Granted{ID: "r.4"})
			g.stall()
			g.again("r.5", "r.6")
			answer(g, "r.5")
		}, []string{"d1", "d1", "d1"}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRig(model())
			test.run(g)
			g.check(t, want{text: "a", result: dispatcher.Done, status: 200, prefill: test.prefill})
			if got, want := imported(g), test.imports; !slices.Equal(got, want) {
				t.Errorf("imports: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against memory that another request gets before the repetition is in
// the queue, against a grant that the queue refuses because the first token is
// late, and against a decode server that is avoided for a fault of the path.
func TestRepetition(t *testing.T) {
	r := model()
	r.Start = time.Unix(1000, 0).Add(time.Millisecond)
	g := newRig(r).importing()
	before := len(g.all)
	g.stall()
	var kinds []string
	for _, a := range g.all[before:] {
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
	if got, want := len(g.fleet.failed), 0; got != want {
		t.Errorf("got failures of %v, want none", g.fleet.failed)
	}
}

// Guards against a second prefill at the server whose transfers stalled, and
// against decode servers that are held responsible for it.
func TestStalledSource(t *testing.T) {
	g := newRig(model())
	g.fleet.servers[wire.Phase_PHASE_DECODE] = []string{"d1", "d2"}
	g.repeating().stall()
	g.step(dispatcher.Granted{ID: "r.6"})
	g.stall()
	g.step(dispatcher.Granted{ID: "r.7"})
	if got, want := find[dispatcher.Ask](g).Server, "p3"; got != want {
		t.Errorf("second prefill: got %s asked last, want %s and not p1", got, want)
	}
	if got := find[dispatcher.Finish](g); got.Outcome.Result != 0 {
		t.Errorf("got %+v, want the request to go on", got)
	}
}
