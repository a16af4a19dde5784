package blamer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/blamer"
)

var start = time.Unix(1000, 0)

func newBlamer(t *testing.T) *blamer.Blamer {
	t.Helper()
	b, err := blamer.New(blamer.Defaults())
	if err != nil {
		t.Fatal(err)
	}

	return b
}

// crash runs the digests together until the server crashes.
func crash(b *blamer.Blamer, at time.Duration, digests ...string) []string {
	for _, d := range digests {
		b.Start(d)
	}

	return b.Crash(start.Add(at))
}

// Guards against blame for a neighbour: a digest that is reported at a second
// crash although another one was at both.
func TestCrash(t *testing.T) {
	tests := map[string]struct {
		run  func(b *blamer.Blamer) []string
		want []string
	}{
		"alone": {func(b *blamer.Blamer) []string { return crash(b, 0, "p") }, []string{"p"}},
		"together": {func(b *blamer.Blamer) []string {
			return crash(b, 0, "p", "i")
		}, []string{"i", "p"}},
		"repeated": {func(b *blamer.Blamer) []string {
			crash(b, 0, "p", "i")

			return crash(b, time.Second, "p", "j", "k")
		}, []string{"p"}},
		"ended before": {func(b *blamer.Blamer) []string {
			b.Start("i")
			b.End("i", false)

			return crash(b, 0, "p")
		}, []string{"p"}},
		"twice in flight, one ended": {func(b *blamer.Blamer) []string {
			b.Start("i")
			b.Start("i")
			b.End("i", false)

			return crash(b, 0, "p")
		}, []string{"i", "p"}},
		"cleared": {func(b *blamer.Blamer) []string {
			crash(b, 0, "p", "i")
			b.Start("i")
			b.End("i", true)

			return crash(b, time.Second, "i", "p")
		}, []string{"p"}},
		"forgotten": {func(b *blamer.Blamer) []string {
			crash(b, 0, "p", "i")

			return crash(b, 2*time.Hour, "p", "j")
		}, []string{"j", "p"}},
		"nothing in flight": {func(b *blamer.Blamer) []string { return crash(b, 0) }, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.run(newBlamer(t)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a suspect that runs beside others, and against one that stays
// isolated for ever.
func TestSuspect(t *testing.T) {
	b := newBlamer(t)
	crash(b, 0, "p", "i")
	if !b.Suspect(start.Add(time.Second), "i") || b.Suspect(start, "other") {
		t.Error("got the wrong suspects, want those in flight")
	}
	b.Start("i")
	b.End("i", true)
	if got, want := b.Suspects(start.Add(time.Second)), []string{"p"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}
	if b.Suspect(start.Add(time.Hour), "p") {
		t.Error("got a suspect after an hour, want none")
	}
}

// Guards against a record that grows without limit.
func TestLimit(t *testing.T) {
	s := blamer.Defaults()
	s.Limit = 2
	b, err := blamer.New(s)
	if err != nil {
		t.Fatal(err)
	}
	for i, d := range []string{"a", "b", "c"} {
		crash(b, time.Duration(i)*time.Second, d)
	}
	if got, want := b.Suspects(start.Add(3*time.Second)), []string{"b", "c"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}
}
