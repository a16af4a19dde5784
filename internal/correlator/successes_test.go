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
		want              []string
	}{
		"never completed":               {want: []string{"harmless", "crashing"}},
		"completed":                     {completed: []string{"harmless"}, want: []string{"crashing"}},
		"completed before an old crash": {[]string{"harmless"}, []string{"harmless"}, 3 * time.Second, nil, []string{"harmless", "crashing"}},
		"completed since":               {[]string{"harmless"}, []string{"harmless"}, 3 * time.Second, []string{"harmless"}, []string{"crashing"}},
		"many crashes at a time":        {[]string{"harmless"}, []string{"harmless"}, time.Second, nil, []string{"crashing"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := correlator.NewRecentSuccesses()
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range test.completed {
				s.RecordSuccess(d)
			}
			s.Suspects(start, test.before)
			for _, d := range test.again {
				s.RecordSuccess(d)
			}
			if got := s.Suspects(start.Add(test.pause), []string{"harmless", "crashing"}); !slices.Equal(got, test.want) {
				t.Errorf("suspects: got %v, want %v", got, test.want)
			}
		})
	}
}
