package correlator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/correlator"
)

var server = correlator.Server{ID: "s", Addr: "a:1"}

// trackerStep is one event at a time after start.
type trackerStep struct {
	at time.Duration
	do func(now time.Time, t *correlator.Tracker, sends map[string]*correlator.Send)
}

func sent(digest string) func(time.Time, *correlator.Tracker, map[string]*correlator.Send) {
	return func(now time.Time, t *correlator.Tracker, sends map[string]*correlator.Send) {
		sends[digest] = t.Start(now, server, correlator.Work{Digest: digest, ID: digest})
	}
}

func broken(digest string) func(time.Time, *correlator.Tracker, map[string]*correlator.Send) {
	return func(now time.Time, t *correlator.Tracker, sends map[string]*correlator.Send) {
		t.Break(now, sends[digest])
	}
}

func abandoned(digest string) func(time.Time, *correlator.Tracker, map[string]*correlator.Send) {
	return func(now time.Time, t *correlator.Tracker, sends map[string]*correlator.Send) {
		t.Abandon(now, sends[digest])
	}
}

func answered(digest string) func(time.Time, *correlator.Tracker, map[string]*correlator.Send) {
	return func(now time.Time, t *correlator.Tracker, sends map[string]*correlator.Send) {
		t.Answered(now, sends[digest])
	}
}

func heard(digest string) func(time.Time, *correlator.Tracker, map[string]*correlator.Send) {
	return func(now time.Time, _ *correlator.Tracker, sends map[string]*correlator.Send) {
		sends[digest].Heard(now)
	}
}

// Guards against a crash that no check finds, and against losing requests of a sound server.
func TestTracker(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		steps     []trackerStep
		check     time.Duration // when a check is due, 0 for never
		gone      []string      // lost if the server is gone at the check
		restarted []string      // lost if it has started 150 ms after the start
	}{
		"answered":     {steps: []trackerStep{{0, sent("a")}, {10 * ms, answered("a")}}},
		"broken":       {[]trackerStep{{0, sent("a")}, {200 * ms, broken("a")}}, 300 * ms, []string{"a"}, []string{"a"}},
		"broken later": {[]trackerStep{{180 * ms, sent("a")}, {200 * ms, broken("a")}}, 300 * ms, []string{"a"}, nil},
		"silent":       {[]trackerStep{{0, sent("a")}}, time.Second, []string{"a"}, []string{"a"}},
		"silent after a part of the answer": {
			[]trackerStep{{0, sent("a")}, {500 * ms, heard("a")}}, 1500 * ms, []string{"a"}, []string{"a"},
		},
		"silent, another answered": {
			[]trackerStep{{0, sent("a")}, {0, sent("b")}, {500 * ms, answered("b")}}, 1500 * ms, []string{"a"}, []string{"a"},
		},
		"abandoned":             {[]trackerStep{{0, sent("a")}, {100 * ms, abandoned("a")}}, time.Second, []string{"a"}, []string{"a"}},
		"abandoned, then heard": {steps: []trackerStep{{0, sent("a")}, {0, sent("b")}, {100 * ms, abandoned("a")}, {200 * ms, answered("b")}}},
		"broken with others": {
			[]trackerStep{{0, sent("a")}, {0, sent("b")}, {100 * ms, sent("c")}, {200 * ms, broken("a")}, {210 * ms, broken("b")}},
			300 * ms,
			[]string{"a", "b", "c"},
			[]string{"a", "b", "c"},
		},
		"answered after a break": {steps: []trackerStep{{0, sent("a")}, {10 * ms, broken("a")}, {20 * ms, answered("a")}}},
	} {
		t.Run(name, func(t *testing.T) {
			for state, want := range map[correlator.State][]string{correlator.Gone: test.gone, correlator.Running: test.restarted} {
				tracker := correlator.NewTracker()
				sends := make(map[string]*correlator.Send)
				due := firstCheck(tracker, test.steps, sends)
				if due != test.check {
					t.Fatalf("check: got one due after %v, want %v", due, test.check)
				}
				if due == 0 {
					continue
				}
				lost := tracker.Resolve(start.Add(due+10*ms), server.ID, state, start.Add(150*ms))
				if got := digestsOf(lost); !slices.Equal(got, want) {
					t.Errorf("lost in state %d: got %v, want %v", state, got, want)
				}
			}
		})
	}
}

// firstCheck carries out steps and returns the time of the first check, in steps of 10 ms.
func firstCheck(tracker *correlator.Tracker, steps []trackerStep, sends map[string]*correlator.Send) time.Duration {
	for after := time.Duration(0); after < 5*time.Second; after += 10 * time.Millisecond {
		for _, s := range steps {
			if s.at == after {
				s.do(start.Add(after), tracker, sends)
			}
		}
		if len(tracker.Due(start.Add(after))) > 0 {
			return after
		}
	}

	return 0
}

func digestsOf(lost []correlator.Lost) []string {
	var out []string
	for _, l := range lost {
		out = append(out, l.Digest)
	}

	return out
}

// Guards against taking one lost status request for a crash.
func TestTrackerSilentServer(t *testing.T) {
	for name, test := range map[string]struct {
		second correlator.State
		want   []string
	}{
		"silent twice": {correlator.Silent, []string{"a"}},
		"answers then": {correlator.Running, nil},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := correlator.NewTracker()
			tracker.Start(start, server, correlator.Work{Digest: "a", ID: "a"})
			now := start.Add(time.Second)
			tracker.Due(now)
			if lost := tracker.Resolve(now, server.ID, correlator.Silent, time.Time{}); len(lost) > 0 {
				t.Errorf("lost after one silent check: got %v, want none", lost)
			}
			if due := tracker.Due(now.Add(100 * time.Millisecond)); len(due) > 0 {
				t.Errorf("checks after 100 ms: got %v, want none", due)
			}
			now = now.Add(time.Second)
			if due := tracker.Due(now); len(due) != 1 {
				t.Fatalf("checks after 1 s: got %v, want one", due)
			}
			if got := digestsOf(tracker.Resolve(now, server.ID, test.second, time.Time{})); !slices.Equal(got, test.want) {
				t.Errorf("lost: got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against counting two checks without an answer as one outage.
func TestTrackerAnswerBetweenSilentChecks(t *testing.T) {
	tracker := correlator.NewTracker()
	tracker.Start(start, server, correlator.Work{Digest: "a", ID: "a"})
	other := tracker.Start(start, server, correlator.Work{Digest: "b", ID: "b"})
	now := start.Add(time.Second)
	tracker.Due(now)
	tracker.Resolve(now, server.ID, correlator.Silent, time.Time{})
	tracker.Answered(now.Add(time.Second), other)
	now = now.Add(3 * time.Second)
	tracker.Due(now)
	if lost := tracker.Resolve(now, server.ID, correlator.Silent, time.Time{}); len(lost) > 0 {
		t.Errorf("lost: got %v, want none", lost)
	}
}

// Guards against checking all servers at the same time when this process is cut off.
func TestTrackerLimitsChecks(t *testing.T) {
	tracker := correlator.NewTracker()
	for n := range 500 {
		tracker.Start(start, correlator.Server{ID: string(rune('A' + n))}, correlator.Work{Digest: "a", ID: "a"})
	}
	if got, want := len(tracker.Due(start.Add(time.Second))), 64; got != want {
		t.Errorf("checks: got %d, want %d", got, want)
	}
}
