package admitter

import "time"

// windowSlots is the number of parts of a window in which sends are counted together.
const windowSlots = 100

// Window limits the repeated sends of a service's requests in every window of a length to a
// fraction of the first sends in it and a fixed number. Unlike a Budget it counts the sends of
// exactly one window, so that the limit can be used up without exceeding it. It answers a load in
// which many servers refuse requests within a few seconds. It is not safe for concurrent use.
type Window struct {
	fraction, slack float64
	slot            time.Duration
	first, extra    [windowSlots + 1]float64 // by slot; one is partly outside the window
	latest          int64                    // number of the latest slot
}

// NewWindow returns a window of a length in which nothing was sent.
func NewWindow(length time.Duration) *Window {
	return &Window{slot: max(length/windowSlots, time.Millisecond)}
}

// Configure sets the fraction of the first sends and the number of further sends.
func (w *Window) Configure(fraction, slack float64) { w.fraction, w.slack = fraction, slack }

// First counts the first send of a request.
func (w *Window) First(now time.Time) { w.first[w.advance(now)]++ }

// CountExtra counts a repeated send without checking the limit.
func (w *Window) CountExtra(now time.Time) { w.extra[w.advance(now)]++ }

// Left reports whether another repeated send is within the limit.
func (w *Window) Left(now time.Time) bool {
	at := w.advance(now)
	first, extra := 0.0, 0.0
	for i := range w.first {
		extra += w.extra[i]
		// The oldest slot is partly outside the window.
		if i != (at+1)%len(w.first) {
			first += w.first[i]
		}
	}

	return extra+1 <= w.fraction*first+w.slack
}

// Refund gives back a repeated send that was counted at the given time.
func (w *Window) Refund(now, taken time.Time) {
	w.advance(now)
	number := taken.UnixNano() / int64(w.slot)
	if i := int(number % int64(len(w.extra))); number > w.latest-int64(len(w.extra)) && number <= w.latest {
		w.extra[i] = max(w.extra[i]-1, 0)
	}
}

// advance clears the slots that are out of the window, and returns the index of the current one.
func (w *Window) advance(now time.Time) int {
	number := max(now.UnixNano()/int64(w.slot), w.latest)
	for n := max(w.latest+1, number-int64(len(w.first))+1); n <= number; n++ {
		i := int(n % int64(len(w.first)))
		w.first[i], w.extra[i] = 0, 0
	}
	w.latest = number

	return int(number % int64(len(w.first)))
}
