package dispatcher_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
)

// slowModel returns a request whose prefill and decode are expected to take 2 s and 3 s.
func slowModel() dispatcher.Request {
	r := model()
	r.WorkTime, r.DecodeTime = 2*time.Second, 3*time.Second

	return r
}

func timed(r dispatcher.Request) dispatcher.Request {
	r.CallTime = time.Second

	return r
}

// Guards against a request without a final status at the end of a shutdown, one that is held
// although it can no longer be served, and one that is cut although it can be.
func TestStopping(t *testing.T) {
	const left = 10 * time.Second
	start := func(h *harness) { h.step(dispatcher.Started{}) }
	for name, test := range map[string]struct {
		request dispatcher.Request
		before  func(h *harness)
		end     time.Duration // the final outcome, after the beginning of the shutdown
		result  dispatcher.Result
		status  int
	}{
		"model without memory":     {slowModel(), start, 5 * time.Second, dispatcher.NotRun, 503},
		"model without a prefill":  {slowModel(), func(h *harness) { h.step(dispatcher.Started{}, dispatcher.Granted{ID: "r.1"}) }, 5 * time.Second, dispatcher.NotRun, 503},
		"stalled prefill":          {slowModel(), func(h *harness) { h.prefilling() }, left, dispatcher.MayHaveRun, 504},
		"lookup without a slot":    {timed(lookup()), start, 9 * time.Second, dispatcher.NotRun, 503},
		"lookup held by a server":  {timed(lookup()), func(h *harness) { h.step(dispatcher.Started{}, dispatcher.Granted{ID: "r.1"}) }, left, dispatcher.MayHaveRun, 504},
		"booking without a claim":  {timed(booking()), start, 9 * time.Second, dispatcher.NotRun, 503},
		"booking without a slot":   {timed(booking()), claimed, 9 * time.Second, dispatcher.NotRun, 503},
		"booking held by a server": {timed(booking()), func(h *harness) { claimed(h); h.step(dispatcher.Granted{ID: "r.1"}) }, left, dispatcher.MayHaveRun, 504},
	} {
		t.Run(name, func(t *testing.T) {
			r := test.request
			r.Limits.Claim, r.Limits.Prefill = time.Hour, time.Hour
			h := newHarness(r)
			test.before(h)
			h.step(dispatcher.Stopping{End: h.now.Add(left)})
			h.wait(test.end - time.Millisecond)
			if len(h.final) != 0 {
				t.Fatalf("before the end: got %+v, want no outcome", h.final)
			}
			if got, want := lastAction[dispatcher.RequestWake](h).At, h.now.Add(time.Millisecond); !got.Equal(want) {
				t.Errorf("wake-up: got %v, want %v", got, want)
			}
			h.wait(time.Millisecond)
			if len(h.final) != 1 || h.final[0].Result != test.result || h.final[0].Status != test.status {
				t.Fatalf("got %+v, want %s with status %d", h.final, test.result, test.status)
			}
			if test.result == dispatcher.NotRun && h.final[0].After <= 0 {
				t.Error("got no delay before a retry, want one")
			}
			if len(h.open) > 0 {
				t.Errorf("open attempts: got %v, want none", h.open)
			}
		})
	}
}

// claimed starts a booking whose claim is recorded.
func claimed(h *harness) { h.step(dispatcher.Started{}, dispatcher.Claimed{OK: true, Fresh: true}) }

// Guards against work that is sent to a server although it cannot end before the process does.
func TestStoppingSendsNothingTooLate(t *testing.T) {
	const left = 4 * time.Second
	for name, test := range map[string]struct {
		request dispatcher.Request
		run     func(h *harness)
	}{
		"begins too late": {slowModel(), func(h *harness) {
			h.step(dispatcher.Stopping{End: h.now.Add(left)}, dispatcher.Started{})
		}},
		"granted too late": {slowModel(), func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Granted{ID: "r.1"}, dispatcher.Stopping{End: h.now.Add(2 * left)})
			h.now = h.now.Add(left)
			h.step(dispatcher.Granted{ID: "r.3"})
		}},
		"claimed too late": {timed(booking()), func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Stopping{End: h.now.Add(left)})
			h.now = h.now.Add(left)
			h.step(dispatcher.Claimed{OK: true, Fresh: true})
		}},
		"call granted too late": {timed(lookup()), func(h *harness) {
			h.step(dispatcher.Started{}, dispatcher.Stopping{End: h.now.Add(left)})
			h.now = h.now.Add(left)
			h.step(dispatcher.Granted{ID: "r.1"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(test.request)
			test.run(h)
			if len(h.final) != 1 || h.final[0].Result != dispatcher.NotRun || h.final[0].Status != 503 {
				t.Errorf("got %+v, want not-run with status 503", h.final)
			}
			if len(h.dispatches) > 0 {
				t.Errorf("dispatches: got %v, want none", h.dispatches)
			}
			if len(h.open) > 0 {
				t.Errorf("open attempts: got %v, want none", h.open)
			}
		})
	}
}
