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
		"never completed":               {want: []string{"innocent", "poison"}},
		"completed":                     {completed: []string{"innocent"}, want: []string{"poison"}},
		"completed before an old crash": {[]string{"innocent"}, []string{"innocent"}, 3 * time.Second, nil, []string{"innocent", "poison"}},
		"completed since":               {[]string{"innocent"}, []string{"innocent"}, 3 * time.Second, []string{"innocent"}, []string{"poison"}},
		"many crashes at a time":        {[]string{"innocent"}, []string{"innocent"}, time.Second, nil, []string{"poison"}},
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
			if got := s.Suspects(start.Add(test.pause), []string{"innocent", "poison"}); !slices.Equal(got, test.want) {
				t.Errorf("suspects: got %v, want %v", got, test.want)
			}
		})
	}
}
