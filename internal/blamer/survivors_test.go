package blamer_test

import (
	"slices"
	"testing"

	"github.com/damasklever/damasklever/internal/blamer"
)

// Guards against blame for a request that callers send over and over, and which runs well
// between the crashes.
func TestSurvivors(t *testing.T) {
	for name, test := range map[string]struct {
		ran, before []string // before: in flight at an earlier crash, after ran
		want        []string
	}{
		"never ran":            {nil, nil, []string{"innocent", "poison"}},
		"ran":                  {[]string{"innocent"}, nil, []string{"poison"}},
		"ran before the crash": {[]string{"innocent"}, []string{"innocent"}, []string{"innocent", "poison"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := blamer.NewSurvivors()
			if err != nil {
				t.Fatal(err)
			}
			for _, d := range test.ran {
				s.Ran(d)
			}
			s.Suspects(test.before)
			if got := s.Suspects([]string{"innocent", "poison"}); !slices.Equal(got, test.want) {
				t.Errorf("suspects: got %v, want %v", got, test.want)
			}
		})
	}
}
