package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// pieceTokens is the size of an engine's memory block.
	pieceTokens = 2048
	// minRetryAfter is announced when no agent named a time. The header has a
	// resolution of a second.
	minRetryAfter = time.Second
	// maxCrashes is the number of servers that one request may crash.
	maxCrashes = 2

	statusOK          = 200
	statusConflict    = 409
	statusMismatch    = 422
	statusBusy        = 429
	statusFailed      = 502
	statusUnavailable = 503
	statusDeadline    = 504
)

// Machine is the state machine of one request. It isn't safe for concurrent
// use.
type Machine struct {
	req    *Request
	policy Policy
	limits Limits
	now    time.Time
	start  time.Time
	end    time.Time
	begun  time.Time
	out    []Action
	wake   time.Time

	count int // attempts so far
	open  map[string]*attempt
	// unsure holds the attempts that had work dispatched and that no agent has
	// confirmed as discarded.
	unsure  map[string]bool
	crashes int
	retries int

	decode  track
	prefill track
	run     track
	handle  Prefilled
	paths   int       // transfers tried for the current handle
	kept    time.Time // when the engine has evicted the current handle at the latest
	stream  stream
	// patience is when the wait for a server to continue an answer ends.
	patience time.Time
	claim    claim
	over     bool
	outcome  Outcome
}

// New returns a machine that waits for Begin.
func New(r Request, p Policy) *Machine {
	m := &Machine{
		req: &r, policy: p, limits: r.Limits.filled(),
		open: make(map[string]*attempt), unsure: make(map[string]bool),
		decode:  track{phase: wire.Phase_PHASE_DECODE},
		prefill: track{phase: wire.Phase_PHASE_PREFILL},
		run:     track{phase: wire.Phase_PHASE_PLAIN},
	}
	m.stream.begin()

	return m
}

// Step handles one event and returns the actions that follow, in order. Events
// that concern an attempt the request no longer uses have no effect.
func (m *Machine) Step(now time.Time, e Event) []Action {
	if now.After(m.now) {
		m.now = now
	}
	m.out = nil
	switch {
	case m.over:
		m.after(e)
	case m.begun.IsZero():
		m.begin(e)
	default:
		m.handleEvent(e)
	}
	m.schedule()

	return m.out
}

// Over reports whether Finish has been returned and no event is of use.
func (m *Machine) Over() bool { return m.over && !m.claim.waiting }

func (m *Machine) begin(e Event) {
	switch e.(type) {
	case Begin:
	case Gone:
		m.begun = m.now
		m.leave()

		return
	default:
		return
	}
	m.begun = m.now
	m.end = m.req.End
	if m.end.IsZero() {
		m.end = m.now.Add(m.limits.Total)
	}
	m.start = m.req.Start
	if m.start.IsZero() || m.start.After(m.end) {
		m.start = m.end
	}
	switch {
	case m.req.Kind != wire.Kind_KIND_PLAIN:
		m.ask(&m.decode, "")
	case m.req.Idempotent:
		m.ask(&m.run, "")
	default:
		m.take()
	}
}

func (m *Machine) handleEvent(e Event) {
	switch e := e.(type) {
	case Gone:
		m.leave()
	case Woken:
		m.overdue()
	case Claimed:
		m.claimed(e)
	case Granted:
		m.granted(e)
	case Refused:
		m.refused(e)
	case Prefilled:
		m.prefilled(e)
	case Imported:
		m.imported(e)
	case Arrived:
		m.arrived(e)
	case Ended:
		m.ended(e)
	case Answered:
		m.answered(e)
	case Withdrawn:
		m.discarded(e)
	case Lost:
		m.lost(e)
	}
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) plain() bool { return m.req.Kind == wire.Kind_KIND_PLAIN }

// tracks returns the tracks in use.
func (m *Machine) tracks() []*track {
	if m.plain() {
		return []*track{&m.run}
	}

	return []*track{&m.decode, &m.prefill}
}

func (m *Machine) trackOf(id string) *track {
	for _, t := range m.tracks() {
		if t.is(id) {
			return t
		}
	}

	return nil
}

func (m *Machine) granted(e Granted) {
	for _, t := range m.tracks() {
		if a := t.take(e.ID); a != nil {
			m.win(t, a)
			m.advance()

			return
		}
	}
}

func (m *Machine) refused(e Refused) {
	for _, t := range m.tracks() {
		a := t.take(e.ID)
		if a == nil {
			continue
		}
		delete(m.open, a.id)
		t.reason = e.Reason
		if e.After > 0 && (t.after == 0 || e.After < t.after) {
			t.after = e.After
		}
		m.askAgain(t)

		return
	}
	// The agent no longer knows an attempt that it had granted.
	// If it was dispatched, only the confirmation of a Withdraw tells whether
	// it ran.
	if t := m.trackOf(e.ID); t != nil {
		m.failed(t, e.Reason, !t.cur.sent)
	}
}

// askAgain asks further candidates once every earlier one has said no.
func (m *Machine) askAgain(t *track) {
	if len(t.asks) == 0 && t.cur == nil {
		t.step = stepIdle
		m.advance()
	}
}

// discarded handles a withdrawal that the agent decided on its own, for
// example because its host is leaving.
func (m *Machine) discarded(e Withdrawn) {
	if !e.Ran {
		delete(m.unsure, e.ID)
	}
	for _, t := range m.tracks() {
		if a := t.take(e.ID); a != nil {
			delete(m.open, a.id)
			m.askAgain(t)

			return
		}
	}
	if t := m.trackOf(e.ID); t != nil {
		delete(m.open, e.ID)
		m.failed(t, "withdrawn by the agent", true)
	}
}

func (m *Machine) lost(e Lost) {
	for _, t := range m.tracks() {
		if a := t.take(e.ID); a != nil {
			m.policy.Fail(m.now, a.server)
			m.withdraw(a)
			t.reason = e.Reason
			m.askAgain(t)

			return
		}
	}
	t := m.trackOf(e.ID)
	if t == nil {
		return
	}
	switch {
	case t.step == stepGranted:
		// The agent keeps the grant until the lease ends, and the next message
		// of the attempt opens a new exchange.
	case t == &m.prefill && t.step == stepReady:
		// The handle stays valid; the import tells if it isn't.
	case t == &m.decode && t.step == stepReady:
		m.resume(e.Reason)
	default:
		m.failed(t, e.Reason, false)
	}
}

// failed handles the end of a current attempt. closed says that the agent has
// ended the attempt already.
func (m *Machine) failed(t *track, reason string, closed bool) {
	a := t.cur
	if closed {
		delete(m.open, a.id)
	} else {
		m.policy.Fail(m.now, a.server)
	}
	if m.plain() {
		m.failedRun(reason)

		return
	}
	m.failedModel(t, reason)
}

// ended handles the end of an attempt by the agent.
func (m *Machine) ended(e Ended) {
	for _, t := range m.tracks() {
		if a := t.take(e.ID); a != nil {
			delete(m.open, a.id)
			t.reason = e.Reason
			m.askAgain(t)

			return
		}
	}
	t := m.trackOf(e.ID)
	if t == nil {
		return
	}
	if e.Status == wire.Status_STATUS_DONE && t == &m.decode && t.step == stepReady {
		delete(m.open, e.ID)
		m.stream.ended(e.Chunks)
		m.flush()

		return
	}
	reason := e.Reason
	if reason == "" {
		reason = "the attempt ended with " + e.Status.String()
	}
	if e.Status == wire.Status_STATUS_CRASHED && t.cur.sent {
		m.crashed(t, reason)

		return
	}
	if m.repeatable(t) && e.Status == wire.Status_STATUS_FAILED && e.Reason == reasonStalled {
		delete(m.open, e.ID)
		m.repeat(reason)

		return
	}
	if e.Status == wire.Status_STATUS_FAILED {
		m.policy.Fail(m.now, t.cur.server)
	}
	switch {
	case t == &m.prefill && t.step == stepReady && m.decode.step == stepSent,
		t == &m.prefill && t.step == stepReady && e.Status == wire.Status_STATUS_DONE:
		// The import tells whether the KV cache was still there.
		delete(m.open, e.ID)
	case t == &m.decode && t.step == stepSent && e.Status == wire.Status_STATUS_EVICTED:
		// The prefill server no longer holds the KV cache, so no other path helps.
		delete(m.open, e.ID)
		m.restart(t, reason, true)
	default:
		m.failed(t, reason, true)
	}
}

// crashed allows one more try after the first server crashed.
func (m *Machine) crashed(t *track, reason string) {
	m.crashes++
	m.policy.Fail(m.now, t.cur.server)
	delete(m.open, t.cur.id)
	if m.crashes >= maxCrashes {
		// No time to retry is announced: the request must not be sent again.
		m.finish(Outcome{
			Result: MayHaveRun, Status: statusFailed,
			Reason: "the request crashed two servers and must not be sent again",
		})

		return
	}
	if m.plain() {
		m.failedRun(reason)

		return
	}
	m.restart(t, reason, false)
}

// retry takes one retry from the budget, or ends the request.
func (m *Machine) retry(server string, phase wire.Phase, reason string) bool {
	if !m.policy.Retry(m.now, m.req.Service) {
		m.giveUp(statusFailed, reason+"; the retry budget is used up", minRetryAfter)

		return false
	}
	m.retries++
	m.do(Retried{Server: server, Phase: phase, Reason: reason})

	return true
}

// schedule asks to be woken at the earliest deadline.
func (m *Machine) schedule() {
	var at time.Time
	earliest := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if m.claim.waiting {
		earliest(m.claim.until)
	}
	if !m.over {
		earliest(m.end)
		for _, t := range m.tracks() {
			earliest(t.until)
		}
	}
	if at.IsZero() {
		return
	}
	if !m.wake.IsZero() && m.wake.After(m.now) && !at.Before(m.wake) {
		return // an earlier one is pending
	}
	m.wake = at
	m.do(Wake{At: at})
}

// leave ends a request whose caller disconnected.
func (m *Machine) leave() {
	m.finish(Outcome{Result: m.blame(), Reason: "the caller disconnected", Gone: true})
}

// giveUp ends a request with a failure. A status for work that may have run is
// chosen only if something was dispatched.
func (m *Machine) giveUp(status int, reason string, after time.Duration) {
	result := m.blame()
	if result == NotRun && (status == statusFailed || status == statusDeadline) {
		status = statusUnavailable
	}
	if result == NotRun {
		after = max(after, minRetryAfter)
	}
	if result == MayHaveRun && (status == statusBusy || status == statusUnavailable) {
		status = statusFailed
	}
	m.finish(Outcome{Result: result, Status: status, Reason: reason, After: after})
}

// blame tells whether the request may have run.
func (m *Machine) blame() Result {
	if len(m.unsure) > 0 {
		return MayHaveRun
	}

	return NotRun
}

// finish returns the final answer and withdraws every open attempt. It waits
// for nothing.
func (m *Machine) finish(o Outcome) {
	if m.over {
		return
	}
	m.over = true
	m.outcome = o
	m.do(Finish{Outcome: o})
	m.settle(o)
	for _, t := range m.tracks() {
		m.drop(t)
		t.step = stepOver
	}
	for _, id := range slices.Sorted(maps.Keys(m.open)) {
		m.withdraw(m.open[id])
	}
}
