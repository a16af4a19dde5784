package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/wire"
)

// reasonStopping is the reason of a refusal by a gateway that is shutting down.
const reasonStopping = "shutting down"

// fits reports whether the answer to a request that is sent now is expected before the end of
// the shutdown.
func (f *forwarder) fits() bool { return f.fitsFrom(false) }

// fitsFrom is like fits. promptRead states that the prompt has been processed.
func (f *forwarder) fitsFrom(promptRead bool) bool {
	return !f.g.s.Drainer.Stopping() || f.g.s.Drainer.Fits(f.expectedTime(promptRead))
}

// endCause returns why the request must not be sent any more, nil if it may be. promptRead
// states that its prompt has been processed.
func (f *forwarder) endCause(promptRead bool) error {
	if cause := context.Cause(f.ctx); cause != nil {
		return cause //nolint:wrapcheck // the cause is compared
	}
	if !f.fitsFrom(promptRead) {
		return drainer.ErrStopping
	}

	return nil
}

// expectedTime returns the time in which the answer is expected to be complete once the request
// is sent, at least minRetryTime and at most until its deadline. promptRead states that its
// prompt has been processed.
func (f *forwarder) expectedTime(promptRead bool) time.Duration {
	var expected time.Duration
	switch {
	case f.hints.MaxOutputTokens == 0:
		expected = f.g.answerTimes.expected(f.path.GetName())
	case promptRead:
		expected = firstEventOverhead + f.expectedDuration()
	default:
		expected = f.timeToFirstEvent() + f.expectedDuration()
	}

	return min(max(expected, minRetryTime), f.timeLeft())
}

const (
	// answerTimesKept is the number of recent answers of a path from which the time of the next
	// one is estimated.
	answerTimesKept = 64
	// answerTimeQuantile is the fraction of answers that took no longer than the estimate.
	answerTimeQuantile = 0.95
)

// answerTimes estimates how long answers take, by path.
type answerTimes struct {
	mu     sync.Mutex
	recent map[string]*recentTimes
}

// recentTimes is a ring of the most recent times.
type recentTimes struct {
	times []time.Duration
	next  int
}

func newAnswerTimes() *answerTimes { return &answerTimes{recent: make(map[string]*recentTimes)} }

// record adds the time of one answer.
func (a *answerTimes) record(path string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.recent[path]
	if r == nil {
		r = &recentTimes{}
		a.recent[path] = r
	}
	if len(r.times) < answerTimesKept {
		r.times = append(r.times, took)

		return
	}
	r.times[r.next] = took
	r.next = (r.next + 1) % answerTimesKept
}

// expected returns the time of the next answer, 0 if there was none yet.
func (a *answerTimes) expected(path string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.recent[path]
	if r == nil {
		return 0
	}
	times := slices.Sorted(slices.Values(r.times))

	return times[int(answerTimeQuantile*float64(len(times)-1))]
}

// retain forgets all paths but those of a plan.
func (a *answerTimes) retain(paths []*wire.Path) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := make(map[string]*recentTimes, len(a.recent))
	for _, path := range paths {
		if r := a.recent[path.GetName()]; r != nil {
			kept[path.GetName()] = r
		}
	}
	a.recent = kept
}
