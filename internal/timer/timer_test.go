package timer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/timer"
)

// Guards against callbacks that run out of order or after they were cancelled.
func TestManualOrder(t *testing.T) {
	m := timer.NewManual(time.Unix(0, 0))
	var got []string
	add := func(name string) func(time.Time) {
		return func(time.Time) { got = append(got, name) }
	}
	m.After(2*time.Second, add("b"))
	m.After(time.Second, add("a"))
	stop := m.After(time.Second, add("stopped"))
	stop()
	stop()
	every := m.Every(time.Second, add("tick"))
	m.Advance(2 * time.Second)
	every()
	m.Advance(5 * time.Second)
	want := []string{"a", "tick", "b", "tick"}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against a Real service that does not run a job on time if it was added while the
// service slept until a later job.
func TestRealRunsEarlierJobAddedLater(_ *testing.T) {
	r := timer.New()
	defer r.Close()
	ran := make(chan struct{})
	r.After(time.Hour, func(time.Time) {})
	r.After(time.Millisecond, func(time.Time) { close(ran) })
	<-ran
}
