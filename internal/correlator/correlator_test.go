package correlator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/correlator"
)

var start = time.Unix(1000, 0)

func newCorrelator(t *testing.T) *correlator.Correlator {
	t.Helper()
	c, err := correlator.New(correlator.Defaults())
	if err != nil {
		t.Fatal(err)
	}

	return c
}

// crashWith starts the digests and records a crash while they are in flight.
func crashWith(c *correlator.Correlator, at time.Duration, digests ...string) []string {
	for _, d := range digests {
		c.Start(start.Add(at), d, false)
	}

	return c.RecordCrash(start.Add(at))
}

// Guards against reporting a digest for a second crash although another digest was
// in flight at both crashes. Digest p crashes the server; i, j and k are harmless.
func TestRecordCrash(t *testing.T) {
	tests := map[string]struct {
		run  func(c *correlator.Correlator) []string
		want []string
	}{
		"alone": {func(c *correlator.Correlator) []string { return crashWith(c, 0, "p") }, []string{"p"}},
		"together": {func(c *correlator.Correlator) []string {
			return crashWith(c, 0, "p", "i")
		}, []string{"i", "p"}},
		"repeated": {func(c *correlator.Correlator) []string {
			crashWith(c, 0, "p", "i")

			return crashWith(c, time.Second, "p", "j", "k")
		}, []string{"p"}},
		"ended before": {func(c *correlator.Correlator) []string {
			c.Start(start, "i", false)
			c.End("i", false)

			return crashWith(c, 0, "p")
		}, []string{"p"}},
		"twice in flight, one ended": {func(c *correlator.Correlator) []string {
			c.Start(start, "i", false)
			c.Start(start, "i", false)
			c.End("i", false)

			return crashWith(c, 0, "p")
		}, []string{"i", "p"}},
		"cleared": {func(c *correlator.Correlator) []string {
			crashWith(c, 0, "p", "i")
			c.Start(start, "i", false)
			c.End("i", true)

			return crashWith(c, time.Second, "i", "p")
		}, []string{"p"}},
		"record expired": {func(c *correlator.Correlator) []string {
			crashWith(c, 0, "p", "i")

			return crashWith(c, 2*time.Hour, "p", "j")
		}, []string{"j", "p"}},
		"suspect of another server": {func(c *correlator.Correlator) []string {
			c.Start(start, "p", true)

			return crashWith(c, 0, "i", "j")
		}, []string{"p"}},
		"suspect cleared before": {func(c *correlator.Correlator) []string {
			c.Start(start, "i", true)
			c.End("i", true)

			return crashWith(c, 0, "i", "p")
		}, []string{"i", "p"}},
		"nothing in flight": {func(c *correlator.Correlator) []string { return crashWith(c, 0) }, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.run(newCorrelator(t)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a suspect that may run concurrently with others, and against one
// that remains a suspect forever.
func TestSuspect(t *testing.T) {
	c := newCorrelator(t)
	crashWith(c, 0, "p", "i")
	if !c.IsSuspect(start.Add(time.Second), "i") || c.IsSuspect(start, "other") {
		t.Error("wrong suspects, want only the digests in flight at the crash")
	}
	c.Start(start, "i", false)
	c.End("i", true)
	if got, want := c.Suspects(start.Add(time.Second)), []string{"p"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}
	if c.IsSuspect(start.Add(time.Hour), "p") {
		t.Error("p is still a suspect after an hour")
	}
}

// Guards against unbounded growth of the crash records.
func TestLimit(t *testing.T) {
	s := correlator.Defaults()
	s.MaxDigests = 2
	c, err := correlator.New(s)
	if err != nil {
		t.Fatal(err)
	}
	for i, d := range []string{"a", "b", "c"} {
		crashWith(c, time.Duration(i)*time.Second, d)
	}
	if got, want := c.Suspects(start.Add(3*time.Second)), []string{"b", "c"}; !slices.Equal(got, want) {
		t.Errorf("suspects: got %v, want %v", got, want)
	}
}
