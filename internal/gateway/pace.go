package gateway

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// paced reports whether the servers of the request's pool are loaded gradually after a start
// or a recovery.
func (f *forwarder) paced() bool {
	plan := f.g.s.Plan()

	return plan != nil && plan.Balance(f.pool).GetPace()
}

// unsafe reports whether the request may run only once.
func (f *forwarder) unsafe() bool { return !matcher.Repeatable(f.path) }

// recordAnswer reports to the placer that a server has answered, and in which time.
func (f *forwarder) recordAnswer(id string) {
	now := f.g.s.Timer.Now()
	var took, expected time.Duration
	if f.path.GetNature() != wire.Nature_NATURE_STREAM && f.paced() {
		took, expected = now.Sub(f.attemptAt), f.g.answerTimes.typical(f.path.GetName())
	}
	f.g.s.Placer.RecordAnswer(now, id, took, expected)
}

// typical returns the median time of recent answers, 0 if there was none yet.
func (a *answerTimes) typical(path string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.recent[path]
	if r == nil {
		return 0
	}

	return slices.Sorted(slices.Values(r.times))[len(r.times)/2]
}
