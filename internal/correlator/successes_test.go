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
		"many crashes at a time":        {[]string{"harmless"}, []string{"harmless"}, 0, nil, nil, []string{"crashing"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := correlator.NewRecentSuccesses()
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range test.completed {
				s.RecordSuccess(start, d)
			}
			s.Suspects(start, lostAt(start, test.before...))
			crash := start.Add(test.pause)
			for _, d := range test.again {
				s.RecordSuccess(crash.Add(-time.Millisecond), d)
			}
			for _, d := range test.after {
				s.RecordSuccess(crash.Add(time.Millisecond), d)
			}
			if got := s.Suspects(crash.Add(time.Second), lostAt(crash, "harmless", "crashing")); !slices.Equal(got, test.want) {
				t.Errorf("suspects: got %v, want %v", got, test.want)
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
