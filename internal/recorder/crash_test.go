package recorder_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/testrunner"
	"github.com/damasklever/damasklever/internal/wire"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { testrunner.Run(m, map[string]string{"rapid.checks": "300"}) }

// model is the expected state of the recorder after each call that succeeded.
type model struct {
	state recorder.State
	term  uint64
}

func (m *model) last() uint64 { return m.state.Snapshot.GetIndex() + uint64(len(m.state.Entries)) }

// drawCall draws a random call and returns it with the expected state after it.
func (m *model) drawCall(rt *rapid.T) (call func(*recorder.Recorder) error, after recorder.State) {
	after = m.state
	switch rapid.SampledFrom([]string{"save", "save", "vote", "snapshot", "install"}).Draw(rt, "call") {
	case "vote":
		m.term++
		v := &wire.Vote{Term: m.term, Vote: rapid.Uint64Range(0, 3).Draw(rt, "vote")}
		after.Vote = v

		return func(r *recorder.Recorder) error { return r.Save(v, nil) }, after
	case "snapshot":
		if len(m.state.Entries) == 0 {
			rt.Skip("no entries")
		}
		i := rapid.IntRange(0, len(m.state.Entries)-1).Draw(rt, "at")
		e := m.state.Entries[i]
		after.Snapshot = &wire.Snapshot{Index: e.GetIndex(), Term: e.GetTerm(), Data: []byte("own")}
		after.Entries = m.state.Entries[i+1:]
	case "install":
		index := m.last() + rapid.Uint64Range(1, 5).Draw(rt, "gap")
		after.Snapshot = &wire.Snapshot{Index: index, Term: m.term, Data: []byte("from the leader")}
		after.Entries = nil
	default:
		back := rapid.IntRange(0, len(m.state.Entries)).Draw(rt, "back")
		kept := m.state.Entries[:len(m.state.Entries)-back]
		list := entries(m.last()-uint64(back)+1, m.term, rapid.IntRange(1, 4).Draw(rt, "entries"))
		after.Entries = append(append([]*wire.Entry(nil), kept...), list...)

		return func(r *recorder.Recorder) error { return r.Save(nil, list) }, after
	}
	s := after.Snapshot
	if rapid.Bool().Draw(rt, "staged") {
		return func(r *recorder.Recorder) error {
			if err := r.StageSnapshot(s); err != nil {
				return err
			}

			return r.InstallStaged(s)
		}, after
	}

	return func(r *recorder.Recorder) error { return r.Snapshot(s) }, after
}

// Guards against a crash, at any write, that loses data of a call which had
// already returned, or that leaves a mixture of the states before and after a
// call.
func TestCrashKeepsWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		d := newDisk()
		m := &model{state: recorder.State{Vote: &wire.Vote{}}}
		r := open(rt, d)
		for range rapid.IntRange(1, 30).Draw(rt, "calls") {
			call, after := m.drawCall(rt)
			if rapid.IntRange(0, 2).Draw(rt, "crash") == 0 {
				d.stepsToCrash = rapid.IntRange(0, 12).Draw(rt, "steps")
			}
			err := call(r)
			if err == nil {
				m.state = after
			}
			if err == nil && d.stepsToCrash < 0 {
				continue
			}
			d = d.crash(random)
			// The host may crash again while it opens the directory.
			d.stepsToCrash = rapid.IntRange(0, 8).Draw(rt, "steps of open")
			if r, err := recorder.Open("data", recorder.Settings{Files: d}); err == nil {
				_ = r.Close()
			} else if !errors.Is(err, errCrash) {
				rt.Fatalf("open: %v", err)
			}
			d = d.crash(random)
			r = open(rt, d)
			state, err2 := r.Load()
			if err2 != nil {
				rt.Fatal(err2)
			}
			got := describe(state)
			if got != describe(m.state) && (err == nil || got != describe(after)) {
				rt.Fatalf("after a crash (%v):\n got %s\nwant %s\n  or %s", err, got, describe(m.state), describe(after))
			}
			m.state, m.term = state, state.Vote.GetTerm()
		}
	})
}

func open(rt *rapid.T, d *disk) *recorder.Recorder {
	r, err := recorder.Open("data", recorder.Settings{Files: d, NewIdentity: func() uint64 { return 1 }})
	if err != nil {
		rt.Fatal(fmt.Errorf("open: %w", err))
	}

	return r
}
