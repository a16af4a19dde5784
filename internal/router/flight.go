package router

import (
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// flight is the record of one request in flight: its state machine and the
// adapters that carry out the machine's actions.
type flight struct {
	r       *Router
	request dispatcher.Request
	rank    *wire.Rank // nil if none is configured
	query   admitter.Query
	digest  string // of the body of a claimed call
	keep    time.Duration
	emit    func(text string, tokens int64)
	began   time.Time

	mu       sync.Mutex
	machine  *dispatcher.Machine
	attempts map[string]*attempt
	stops    []func()
	first    time.Time // of the first token
	last     time.Time // of the latest token
	tokens   int64
	prefills int64 // prompt tokens computed for this request
	server   string
	closed   bool
	outcome  dispatcher.Outcome
	finished chan struct{}
}

// step passes one event to the machine and carries out the actions.
func (f *flight) step(e dispatcher.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	now := f.r.timers.Now()
	if p, ok := e.(dispatcher.Prefilled); ok {
		f.prefills += max(p.Tokens-p.Cached, 0)
	}
	for _, a := range f.machine.Step(now, e) {
		f.perform(now, a)
	}
	if f.machine.Over() {
		f.close()
	}
}

// perform carries out an action without blocking. f.mu is held.
func (f *flight) perform(now time.Time, action dispatcher.Action) {
	switch a := action.(type) {
	case dispatcher.Ask:
		f.newAttempt(a.ID, a.Server).send(frame{call: f.ask(now, a)})
	case dispatcher.Withdraw:
		if attempt := f.attempts[a.ID]; attempt != nil {
			attempt.withdraw(f.request.Key != "")
		}
	case dispatcher.Emit:
		f.emitted(now, a)
	case dispatcher.Finish:
		f.finish(now, a.Outcome)
	case dispatcher.Claim:
		f.claim()
	case dispatcher.Settle:
		f.settle(a)
	case dispatcher.Wake:
		f.stops = append(f.stops, f.r.timers.After(max(a.At.Sub(now), 0), func(time.Time) {
			f.step(dispatcher.Woken{})
		}))
	case dispatcher.Retried:
		f.r.meter.retried(f, a)
		f.r.log.Warn().Str("req", f.request.ID).Str("service", f.request.Service).Str("server", a.Server).
			Str("phase", phases[a.Phase]).Str("reason", a.Reason).Msg("retry")
	default:
		id, c := f.dispatch(action)
		if attempt := f.attempts[id]; attempt != nil {
			f.server = attempt.server
			f.bill(action)
			attempt.send(c)
		}
	}
}

// bill counts what a dispatch sends across regions.
func (f *flight) bill(action dispatcher.Action) {
	fleet, meter := f.r.fleet, f.r.meter
	switch a := action.(type) {
	case dispatcher.Prefill:
		if fleet.regionOf(a.Server) != f.r.settings.Region {
			meter.billed(f, "prompt", len(f.request.Prompt))
		}
	case dispatcher.Run:
		if fleet.regionOf(a.Server) != f.r.settings.Region {
			meter.billed(f, "body", len(f.request.Body))
		}
	case dispatcher.Import:
		if fleet.regionOf(a.Server) != fleet.regionOf(a.From) {
			meter.billedCache(f, a.Tokens)
		}
	}
}

func (f *flight) emitted(now time.Time, a dispatcher.Emit) {
	if f.first.IsZero() {
		f.first = now
		f.r.meter.first(f, now.Sub(f.began))
	} else if a.Tokens > 0 {
		f.r.meter.gap(f, now.Sub(f.last)/time.Duration(a.Tokens))
	}
	f.last = now
	f.tokens += a.Tokens
	f.emit(a.Text, a.Tokens)
}

// finish hands the final answer over. The machine may stay for its claim.
func (f *flight) finish(now time.Time, o dispatcher.Outcome) {
	f.outcome = o
	f.r.fleet.done(now, f.query)
	if o.Result == dispatcher.Done && f.server != "" {
		f.r.fleet.succeed(f.server)
	}
	f.r.meter.ended(f, now, o)
	f.r.logEnd(f.request, o, now.Sub(f.began), f.server)
	close(f.finished)
}

// close forgets the record. f.mu is held.
func (f *flight) close() {
	f.closed = true
	for _, stop := range f.stops {
		stop()
	}
	for _, a := range f.attempts {
		a.close()
	}
	f.r.shard(f.request.ID).remove(f.request.ID)
	f.r.work.Done()
}

// inTime reports whether both latency targets were met.
func (f *flight) inTime() bool {
	if f.rank == nil {
		return true
	}
	if first := milliseconds(f.rank.GetFirst()); first > 0 && f.first.Sub(f.began) > first {
		return false
	}
	gap := milliseconds(f.rank.GetGap())

	return gap <= 0 || f.tokens < 2 || f.last.Sub(f.first)/time.Duration(f.tokens-1) <= gap
}
