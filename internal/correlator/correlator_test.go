package correlator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/correlator"
)

var start = time.Unix(1000, 0)

func newBlamer(t *testing.T) *correlator.Correlator {
	t.Helper()
	b, err := correlator.New(correlator.Defaults())
	if err != nil {
		t.Fatal(err)
	}

	return b
}

// crashWith starts the digests and records a crash while they are in flight.
func crashWith(b *correlator.Correlator, at time.Duration, digests ...string) []string {
	for _, d := range digests {
		b.Start(start.Add(at), d, false)
	}

	return b.RecordCrash(start.Add(at))
}

// Guards against reporting a digest for a second crash although another digest was
// in flight at both crashes.
func TestCrash(t *testing.T) {
	tests := map[string]struct {
		run  func(b *correlator.Correlator) []string
		want []string
	}{
		"alone": {func(b *correlator.Correlator) []string { return crashWith(b, 0, "p") }, []string{"p"}},
		"together": {func(b *correlator.Correlator) []string {
			return crashWith(b, 0, "p", "i")
		}, []string{"i", "p"}},
		"repeated": {func(b *correlator.Correlator) []string {
			crashWith(b, 0, "p", "i")

			return crashWith(b, time.Second, "p", "j", "k")
		}, []string{"p"}},
		"ended before": {func(b *correlator.Correlator) []string {
			b.Start(start, "i", false)
			b.End("i", false)

			return crashWith(b, 0, "p")
		}, []string{"p"}},
		"twice in flight, one ended": {func(b *correlator.Correlator) []string {
			b.Start(start, "i", false)
			b.Start(start, "i", false)
			b.End("i", false)

			return crashWith(b, 0, "p")
		}, []string{"i", "p"}},
		"cleared": {func(b *correlator.Correlator) []string {
			crashWith(b, 0, "p", "i")
			b.Start(start, "i", false)
			b.End("i", true)

			return crashWith(b, time.Second, "i", "p")
		}, []string{"p"}},
		"record expired": {func(b *correlator.Correlator) []string {
			crashWith(b, 0, "p", "i")

			return crashWith(b, 2*time.Hour, "p", "j")
		}, []string{"j", "p"}},
		"suspect of another server": {func(b *correlator.Correlator) []string {
			b.Start(start, "p", true)

			return crashWith(b, 0, "i", "j")
		}, []string{"p"}},
		"suspect cleared before": {func(b *correlator.Correlator) []string {
			b.Start(start, "i", true)
			b.End("i", true)

			return crashWith(b, 0, "i", "p")
		}, []string{"i", "p"}},
		"nothing in flight": {func(b *correlator.Correlator) []string { return crashWith(b, 0) }, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.run(newBlamer(t)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a suspect that may run concurrently with others, and against one
// that remains a suspect forever.
func TestSuspect(t *testing.T) {
	b := newBlamer(t)
	crashWith(b, 0, "p", "i")
	if !b.IsSuspect(start.Add(time.Second), "i") || b.IsSuspect(start, "other") {
		t.Error("wrong suspects, want only the digests in flight at the crash")
	}
	b.Start(start, "i", false)
	b.End("i", true)
	if got, want := b.Suspects(start.Add(time.Second)), []string{"p"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}
	if b.IsSuspect(start.Add(time.Hour), "p") {
		t.Error("p is still a suspect after an hour")
	}
}

// Guards against unbounded growth of the crash records.
func TestLimit(t *testing.T) {
	s := correlator.Defaults()
	s.MaxDigests = 2
	b, err := correlator.New(s)
	if err != nil {
		t.Fatal(err)
	}
	for i, d := range []string{"a", "b", "c"} {
		crashWith(b, time.Duration(i)*time.Second, d)
	}
	if got, want := b.Suspects(start.Add(3*time.Second)), []string{"b", "c"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}
}
