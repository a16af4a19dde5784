package drainer_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/timer"
)

func TestDrainer(t *testing.T) {
	const linger, limit = 3 * time.Second, 8 * time.Second
	for name, test := range map[string]struct {
		after         time.Duration // the beginning of the shutdown
		work          time.Duration
		accepts, fits bool
	}{
		"lingering, short":         {time.Second, time.Second, true, true},
		"lingering, until the end": {time.Second, 7 * time.Second, true, true},
		"lingering, too long":      {time.Second, 8 * time.Second, true, false},
		"draining, short":          {4 * time.Second, 4 * time.Second, true, true},
		"draining, too long":       {4 * time.Second, 5 * time.Second, false, false},
		"at the end":               {limit, 0, false, false},
		"after the end":            {2 * limit, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			d := drainer.New(clock)
			if !d.Accepts(time.Hour) || !d.Fits(time.Hour) || d.Stopping() {
				t.Error("before the shutdown: got a limit, want none")
			}
			d.Begin(linger, limit)
			d.Begin(time.Hour, time.Hour)
			clock.Advance(test.after)
			if got, want := d.Accepts(test.work), test.accepts; got != want {
				t.Errorf("accepts: got %v, want %v", got, want)
			}
			if got, want := d.Fits(test.work), test.fits; got != want {
				t.Errorf("fits: got %v, want %v", got, want)
			}
			ended := false
			select {
			case <-d.Done():
				ended = true
			default:
			}
			if got, want := ended, test.after >= limit; got != want {
				t.Errorf("ended: got %v, want %v", got, want)
			}
		})
	}
}

func TestBound(t *testing.T) {
	const limit, expected = 8 * time.Second, 2 * time.Second
	for name, test := range map[string]struct {
		boundAfter time.Duration // -1: before the shutdown
		after      time.Duration
		want       error
	}{
		"before, in time":     {-1, 5 * time.Second, nil},
		"before, too late":    {-1, 6 * time.Second, drainer.ErrStopping},
		"during, in time":     {3 * time.Second, 5 * time.Second, nil},
		"during, too late":    {3 * time.Second, 6 * time.Second, drainer.ErrStopping},
		"bound when too late": {7 * time.Second, 7 * time.Second, drainer.ErrStopping},
		"bound at the end":    {limit, limit, drainer.ErrStopping},
	} {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			d := drainer.New(clock)
			var ctx context.Context
			bind := func() {
				var cancel context.CancelFunc
				ctx, cancel = d.Bound(t.Context(), expected)
				t.Cleanup(cancel)
			}
			if test.boundAfter < 0 {
				bind()
			}
			d.Begin(0, limit)
			if test.boundAfter >= 0 {
				clock.Advance(test.boundAfter)
				bind()
			}
			clock.Advance(test.after - max(test.boundAfter, 0))
			if got := context.Cause(ctx); !errors.Is(got, test.want) {
				t.Errorf("cause: got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against work that goes on after a shutdown without a time limit.
func TestCloseEndsBounds(t *testing.T) {
	d := drainer.New(timer.NewManual(time.Unix(1000, 0)))
	ctx, cancel := d.Bound(t.Context(), 0)
	defer cancel()
	d.Close()
	d.Close()
	<-d.Done()
	if got, want := context.Cause(ctx), drainer.ErrStopping; !errors.Is(got, want) {
		t.Errorf("cause: got %v, want %v", got, want)
	}
	if d.Fits(0) || d.Accepts(0) {
		t.Error("work after the end: got it accepted, want it refused")
	}
}
