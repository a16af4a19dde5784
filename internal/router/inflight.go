package router

import (
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// inflight is one request in flight. It drives the request's state machine and
// carries out the actions that the machine returns.
type inflight struct {
	r         *Router
	request   dispatcher.Request
	rank      *wire.Rank // nil if no rank is configured
	query     admitter.Query
	digest    string        // of method, path and body, only for a claimed call
	retention time.Duration // of the claim
	emit      func(text string, tokens int64)
	started   time.Time

	mu             sync.Mutex
	machine        *dispatcher.Machine
	attempts       map[string]*attempt
	stopTimers     []func()
	firstToken     time.Time // zero before the first token
	lastToken      time.Time
	tokens         int64
	computedTokens int64  // prompt tokens computed for this request
	server         string // of the last dispatch
	closed         bool
	outcome        dispatcher.Outcome
	finished       chan struct{} // closed when outcome is set
	answer         answerHold
}

// answerHold is the memory of the large messages that a request has received.
type answerHold struct {
	mu       sync.Mutex
	bytes    int64
	released bool
}

// keepAnswer keeps memory for a message until releaseAnswer.
func (f *inflight) keepAnswer(n int64) {
	f.answer.mu.Lock()
	defer f.answer.mu.Unlock()
	if f.answer.released {
		f.r.answers.Release(n)

		return
	}
	f.answer.bytes += n
}

// releaseAnswer frees the memory of the request's messages. Those that arrive later are
// discarded.
func (f *inflight) releaseAnswer() {
	f.answer.mu.Lock()
	defer f.answer.mu.Unlock()
	f.r.answers.Release(f.answer.bytes)
	f.answer.bytes, f.answer.released = 0, true
}

// step passes one event to the state machine and carries out the resulting actions.
func (f *inflight) step(e dispatcher.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	now := f.r.timers.Now()
	if p, ok := e.(dispatcher.Prefilled); ok {
		f.computedTokens += max(p.Tokens-p.Cached, 0)
	}
	for _, a := range f.machine.Step(now, e) {
		f.perform(now, a)
	}
	if f.machine.Finished() {
		f.close()
	}
}

// limit makes the request end before the process does if that is stopping.
func (f *inflight) limit() {
	if left, stopping := f.r.drainer.Left(); stopping {
		f.step(dispatcher.Stopping{End: f.r.timers.Now().Add(left)})
	}
}

// perform carries out an action without blocking. The caller holds f.mu.
func (f *inflight) perform(now time.Time, action dispatcher.Action) {
	switch a := action.(type) {
	case dispatcher.Ask:
		f.newAttempt(a.ID, a.Server).send(outgoingCall{call: f.askCall(now, a)})
	case dispatcher.Withdraw:
		if attempt := f.attempts[a.ID]; attempt != nil {
			attempt.withdraw(f.request.Key != "")
		}
	case dispatcher.Emit:
		f.emitChunk(now, a)
	case dispatcher.Finish:
		f.finish(now, a.Outcome)
	case dispatcher.Claim:
		f.proposeClaim()
	case dispatcher.Settle:
		f.proposeSettlement(a)
	case dispatcher.RequestWake:
		f.stopTimers = append(f.stopTimers, f.r.timers.After(max(a.At.Sub(now), 0), func(time.Time) {
			f.step(dispatcher.TimerFired{})
		}))
	case dispatcher.Retried:
		f.r.metrics.retried(f, a)
		f.r.log.Warn().Str("req", f.request.ID).Str("service", f.request.Service).Str("server", a.Server).
			Str("phase", phaseNames[a.Phase]).Str("reason", a.Reason).Msg("retry")
	default:
		id, message := f.dispatchCall(action)
		if attempt := f.attempts[id]; attempt != nil {
			f.server = attempt.server
			f.countCrossRegion(action)
			attempt.send(message)
		}
	}
}

// countCrossRegion counts the bytes or cache tokens that a dispatch sends to another
// region, which are billed.
func (f *inflight) countCrossRegion(action dispatcher.Action) {
	fleet, metrics := f.r.fleet, f.r.metrics
	switch a := action.(type) {
	case dispatcher.Prefill:
		if fleet.regionOf(a.Server) != f.r.settings.Region {
			metrics.addCrossRegionBytes(f, "prompt", len(f.request.Prompt))
		}
	case dispatcher.Run:
		if fleet.regionOf(a.Server) != f.r.settings.Region {
			metrics.addCrossRegionBytes(f, "body", len(f.request.Body))
		}
	case dispatcher.Import:
		if fleet.regionOf(a.Server) != fleet.regionOf(a.From) {
			metrics.addCrossRegionCache(f, a.Tokens)
		}
	}
}

// emitChunk passes a chunk to the caller and records token latencies.
func (f *inflight) emitChunk(now time.Time, a dispatcher.Emit) {
	if f.firstToken.IsZero() {
		f.firstToken = now
		f.r.metrics.firstToken(f, now.Sub(f.started))
	} else if a.Tokens > 0 {
		f.r.metrics.tokenGap(f, now.Sub(f.lastToken)/time.Duration(a.Tokens))
	}
	f.lastToken = now
	f.tokens += a.Tokens
	f.emit(a.Text, a.Tokens)
}

// finish publishes the final outcome. The state machine may go on afterwards to
// settle a claim.
func (f *inflight) finish(now time.Time, o dispatcher.Outcome) {
	f.outcome = o
	f.r.fleet.requestDone(now, f.query)
	if o.Result == dispatcher.Done && f.server != "" {
		f.r.fleet.recordSuccess(f.server)
	}
	f.r.metrics.ended(f, now, o)
	f.r.logOutcome(f.request, o, now.Sub(f.started), f.server)
	close(f.finished)
}

// close stops the timers and attempts and removes the request from its shard. The
// caller holds f.mu.
func (f *inflight) close() {
	f.closed = true
	for _, stop := range f.stopTimers {
		stop()
	}
	for _, a := range f.attempts {
		a.close()
	}
	f.r.shard(f.request.ID).remove(f.request.ID)
	f.r.background.Done()
}

// metLatencyTargets reports whether the request met the targets of its rank for the
// first token and for the mean time between tokens.
func (f *inflight) metLatencyTargets() bool {
	if f.rank == nil {
		return true
	}
	if firstToken := milliseconds(f.rank.GetFirst()); firstToken > 0 && f.firstToken.Sub(f.started) > firstToken {
		return false
	}
	gap := milliseconds(f.rank.GetGap())

	return gap <= 0 || f.tokens < 2 || f.lastToken.Sub(f.firstToken)/time.Duration(f.tokens-1) <= gap
}
