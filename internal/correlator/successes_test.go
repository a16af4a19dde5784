package correlator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/correlator"
)

// Guards against suspecting a request that callers send repeatedly and that completes
// between crashes.
func TestRecentSuccesses(t *testing.T) {
	for name, test := range map[string]struct {
		completed, before []string // before: in flight at a crash after those of completed succeeded
		pause             time.Duration
		again             []string // succeeded after that crash
		after             []string // succeeded after the second crash, before it was noticed
		want              []string
	}{
		"completed after the crash":     {after: []string{"crashing"}, want: []string{"crashing", "harmless"}},
		"never completed":               {want: []string{"crashing", "harmless"}},
		"completed":                     {completed: []string{"harmless"}, want: []string{"crashing"}},
		"completed before an old crash": {[]string{"harmless"}, []string{"harmless"}, 3 * time.Second, nil, nil, []string{"crashing", "harmless"}},
		"completed since":               {[]string{"harmless"}, []string{"harmless"}, 3 * time.Second, []string{"harmless"}, nil, []string{"crashing"}},
		"crash found after the outage":  {[]string{"harmless"}, []string{"harmless"}, 1500 * time.Millisecond, nil, nil, []string{"crashing"}},
		"completed in the outage":       {[]string{"harmless"}, []string{"harmless"}, 500 * time.Millisecond, nil, []string{"harmless"}, []string{"crashing"}},
		"many crashes at a time":        {[]string{"harmless"}, []string{"harmless"}, 0, nil, nil, []string{"crashing"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := correlator.NewRecentSuccesses()
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range test.completed {
				s.RecordSuccess(start, d, nil)
			}
			s.Suspects(start, lostAt(start, test.before...))
			crash := start.Add(test.pause)
			for _, d := range test.again {
				s.RecordSuccess(crash.Add(-time.Millisecond), d, nil)
			}
			for _, d := range test.after {
				s.RecordSuccess(crash.Add(time.Millisecond), d, nil)
			}
			if got := s.Suspects(crash.Add(time.Second), lostAt(crash, "harmless", "crashing")); !slices.Equal(got, test.want) {
				t.Errorf("suspects: got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against an outage of servers that counts against the segments that sound requests share.
func TestSoundSegments(t *testing.T) {
	type event struct {
		at       time.Duration
		answered bool
		foundAt  time.Duration // of a crash
		want     bool          // the crash cannot have been caused by the segment
	}
	answer := func(at time.Duration) event { return event{at: at, answered: true} }
	crash := func(at, foundAt time.Duration, want bool) event { return event{at, false, foundAt, want} }
	const ms, second = time.Millisecond, time.Second
	for name, events := range map[string][]event{
		"never answered":                     {crash(0, 0, false), crash(second, second, false)},
		"answered after the crash":           {answer(second), crash(0, 2*second, false)},
		"outage":                             {answer(0), crash(second, second, true), crash(second, second+100*ms, true)},
		"outage, some are silent":            {answer(0), crash(second, second+100*ms, true), crash(900*ms, 4*second, true)},
		"crash after an outage":              {answer(0), crash(second, second, true), crash(4*second, 4*second, false)},
		"answered after an outage":           {answer(0), crash(second, second, true), answer(3 * second), crash(4*second, 4*second, true)},
		"answered in an outage":              {answer(0), crash(second, second, true), answer(second + 500*ms), crash(second, second+600*ms, true)},
		"answered in an outage, crash later": {answer(0), crash(second, second, true), answer(4 * second), crash(3500*ms, 5*second, false)},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := correlator.NewRecentSuccesses()
			if err != nil {
				t.Fatal(err)
			}
			for n, e := range events {
				if e.answered {
					s.RecordSuccess(start.Add(e.at), "", []string{"a"})

					continue
				}
				lost := []correlator.Lost{
					{Work: correlator.Work{Segments: []string{"a", "b"}}, At: start.Add(e.at)},
					{Work: correlator.Work{Segments: []string{"a"}}, At: start.Add(e.at - 100*ms)},
				}
				if got := slices.Equal(s.SoundSegments(start.Add(e.foundAt), lost), []string{"a"}); got != e.want {
					t.Errorf("sound at event %d: got %v, want %v", n, got, e.want)
				}
			}
		})
	}
}

// lostAt returns requests that were lost at a time.
func lostAt(at time.Time, digests ...string) []correlator.Lost {
	var out []correlator.Lost
	for _, d := range digests {
		out = append(out, correlator.Lost{Work: correlator.Work{Digest: d}, At: at})
	}

	return out
}
