package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// blockTokens is the number of tokens in a KV cache block of an engine.
	blockTokens = 2048
	// minRetryAfter is announced if no agent named a delay. It is a second because
	// the Retry-After header has a resolution of one second.
	minRetryAfter = time.Second
	// maxCrashes is the number of crashed servers after which a request is no longer
	// retried.
	maxCrashes = 2

	statusOK                  = 200
	statusConflict            = 409
	statusUnprocessableEntity = 422
	statusTooManyRequests     = 429
	statusBadGateway          = 502
	statusUnavailable         = 503
	statusGatewayTimeout      = 504
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	req           *Request
	policy        Policy
	limits        Limits
	now           time.Time
	grantDeadline time.Time
	deadline      time.Time
	startedAt     time.Time
	stopBy        time.Time // end of the process, zero unless it is stopping
	actions       []Action
	nextWake      time.Time

	attempts int // number of attempts so far
	open     map[string]*attempt
	// unconfirmed holds the attempts with dispatched work that no agent has confirmed
	// as not run.
	unconfirmed map[string]bool
	crashes     int
	retries     int

	decode       track
	prefill      track
	run          track
	handle       Prefilled
	transfers    int       // transfers started for the current handle
	handleExpiry time.Time // by then the engine has evicted the current handle
	stream       stream
	// restartDeadline ends the wait for a server after a restart of the work.
	restartDeadline time.Time
	claim           claim
	finished        bool
	outcome         Outcome
}

// New returns a machine that is started by the Started event.
func New(r Request, p Policy) *Machine {
	m := &Machine{
		req: &r, policy: p, limits: r.Limits.withDefaults(),
		open: make(map[string]*attempt), unconfirmed: make(map[string]bool),
		decode:  track{phase: wire.Phase_PHASE_DECODE},
		prefill: track{phase: wire.Phase_PHASE_PREFILL},
		run:     track{phase: wire.Phase_PHASE_PLAIN},
	}
	m.stream.reset()

	return m
}

// Step handles one event and returns the actions to carry out, in order. Events of
// attempts that the request no longer uses have no effect.
func (m *Machine) Step(now time.Time, e Event) []Action {
	if now.After(m.now) {
		m.now = now
	}
	m.actions = nil
	switch {
	case m.finished:
		m.handleAfterFinish(e)
	case m.startedAt.IsZero():
		m.start(e)
	default:
		m.handleEvent(e)
	}
	m.scheduleWake()

	return m.actions
}

// Finished reports whether Finish has been returned and no more events are needed.
func (m *Machine) Finished() bool { return m.finished && !m.claim.waiting }

// start handles events until the first Started or CallerGone and ignores all others.
func (m *Machine) start(e Event) {
	switch e := e.(type) {
	case Started:
	case Stopping:
		m.stopBy = e.End

		return
	case CallerGone:
		m.startedAt = m.now
		m.callerDisconnected()

		return
	default:
		return
	}
	m.startedAt = m.now
	m.deadline = m.req.Deadline
	if m.deadline.IsZero() {
		m.deadline = m.now.Add(m.limits.Total)
	}
	m.grantDeadline = m.req.GrantDeadline
	if m.grantDeadline.IsZero() || m.grantDeadline.After(m.deadline) {
		m.grantDeadline = m.deadline
	}
	m.limitToShutdown()
	switch {
	case m.lacksTime():
		m.refuseForShutdown()
	case m.req.Kind != wire.Kind_KIND_PLAIN:
		m.ask(&m.decode, "")
	case m.req.Idempotent:
		m.ask(&m.run, "")
	default:
		m.requestClaim()
	}
}

func (m *Machine) handleEvent(e Event) {
	switch e := e.(type) {
	case CallerGone:
		m.callerDisconnected()
	case Stopping:
		m.stopBy = e.End
		m.limitToShutdown()
		m.checkDeadlines()
	case TimerFired:
		m.checkDeadlines()
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
	case ChunkReceived:
		m.chunkReceived(e)
	case Ended:
		m.ended(e)
	case ResponseReceived:
		m.responseReceived(e)
	case Withdrawn:
		m.withdrawnByAgent(e)
	case ConnectionLost:
		m.connectionLost(e)
	}
}

func (m *Machine) addAction(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) isPlain() bool { return m.req.Kind == wire.Kind_KIND_PLAIN }

// tracks returns the tracks in use.
func (m *Machine) tracks() []*track {
	if m.isPlain() {
		return []*track{&m.run}
	}

	return []*track{&m.decode, &m.prefill}
}

func (m *Machine) trackOf(id string) *track {
	for _, t := range m.tracks() {
		if t.isCurrent(id) {
			return t
		}
	}

	return nil
}

func (m *Machine) granted(e Granted) {
	for _, t := range m.tracks() {
		if a := t.removeAsk(e.ID); a != nil {
			m.useGrant(t, a)
			if m.lacksTime() {
				m.refuseForShutdown()

				return
			}
			m.advance()

			return
		}
	}
}

func (m *Machine) refused(e Refused) {
	for _, t := range m.tracks() {
		a := t.removeAsk(e.ID)
		if a == nil {
			continue
		}
		delete(m.open, a.id)
		t.reason = e.Reason
		if e.After > 0 && (t.retryAfter == 0 || e.After < t.retryAfter) {
			t.retryAfter = e.After
		}
		m.askAgain(t)

		return
	}
	// The agent no longer knows an attempt that it had granted. If work was
	// dispatched, only the confirmation of a Withdraw tells whether it ran.
	if t := m.trackOf(e.ID); t != nil {
		m.attemptFailed(t, e.Reason, !t.current.dispatched)
	}
}

// askAgain asks further candidates once all earlier ones have refused.
func (m *Machine) askAgain(t *track) {
	if len(t.asks) == 0 && t.current == nil {
		t.step = stepIdle
		m.advance()
	}
}

// withdrawnByAgent handles a withdrawal that the agent decided on, for example
// because its host is shutting down.
func (m *Machine) withdrawnByAgent(e Withdrawn) {
	if !e.Ran {
		delete(m.unconfirmed, e.ID)
	}
	for _, t := range m.tracks() {
		if a := t.removeAsk(e.ID); a != nil {
			delete(m.open, a.id)
			m.askAgain(t)

			return
		}
	}
	if t := m.trackOf(e.ID); t != nil {
		delete(m.open, e.ID)
		m.attemptFailed(t, "withdrawn by the agent", true)
	}
}

func (m *Machine) connectionLost(e ConnectionLost) {
	for _, t := range m.tracks() {
		if a := t.removeAsk(e.ID); a != nil {
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
		// The agent keeps the grant until its lease ends, and the next message of
		// the attempt opens a new connection.
	case t == &m.prefill && t.step == stepReady:
		// The handle may still be valid. If it is not, the import reports it.
	case t == &m.decode && t.step == stepReady:
		m.resumeStream(e.Reason)
	default:
		m.attemptFailed(t, e.Reason, false)
	}
}

// attemptFailed handles the failure of a track's current attempt. closed means that
// the agent has already ended the attempt.
func (m *Machine) attemptFailed(t *track, reason string, closed bool) {
	a := t.current
	if closed {
		delete(m.open, a.id)
	} else {
		m.policy.Fail(m.now, a.server)
	}
	if m.isPlain() {
		m.callAttemptFailed(reason)

		return
	}
	m.modelAttemptFailed(t, reason)
}

// ended handles an attempt or stream that the agent ended.
func (m *Machine) ended(e Ended) {
	for _, t := range m.tracks() {
		if a := t.removeAsk(e.ID); a != nil {
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
	if e.Status == wire.Status_STATUS_CRASHED && t.current.dispatched {
		m.crashed(t, reason)

		return
	}
	if m.canRepeatTransfer(t) && e.Status == wire.Status_STATUS_FAILED && e.Reason == reasonStalled {
		delete(m.open, e.ID)
		m.repeatTransfer(reason)

		return
	}
	if e.Status == wire.Status_STATUS_FAILED {
		m.policy.Fail(m.now, t.current.server)
	}
	switch {
	case t == &m.prefill && t.step == stepReady && m.decode.step == stepDispatched,
		t == &m.prefill && t.step == stepReady && e.Status == wire.Status_STATUS_DONE:
		// The import reports whether the KV cache was still there.
		delete(m.open, e.ID)
	case t == &m.decode && t.step == stepDispatched && e.Status == wire.Status_STATUS_EVICTED:
		// The prefill server no longer holds the KV cache, so another transfer cannot
		// succeed.
		delete(m.open, e.ID)
		m.restartPrefill(t, reason, true)
	default:
		m.attemptFailed(t, reason, true)
	}
}

// crashed handles a server crash during dispatched work. After the first one the
// request may be tried once more.
func (m *Machine) crashed(t *track, reason string) {
	m.crashes++
	m.policy.Fail(m.now, t.current.server)
	delete(m.open, t.current.id)
	if m.crashes >= maxCrashes {
		// No Retry-After is announced, because the request must not be sent again.
		m.finish(Outcome{
			Result: MayHaveRun, Status: statusBadGateway,
			Reason: "the request crashed two servers and must not be sent again",
		})

		return
	}
	if m.isPlain() {
		m.callAttemptFailed(reason)

		return
	}
	m.restartPrefill(t, reason, false)
}

// takeRetry takes one retry from the budget. If none is left, it ends the request
// and returns false.
func (m *Machine) takeRetry(server string, phase wire.Phase, reason string) bool {
	if !m.policy.TakeRetry(m.now, m.req.Service) {
		m.fail(statusBadGateway, reason+"; the retry budget is used up", minRetryAfter)

		return false
	}
	m.retries++
	m.addAction(Retried{Server: server, Phase: phase, Reason: reason})

	return true
}

// scheduleWake requests a TimerFired event at the earliest deadline.
func (m *Machine) scheduleWake() {
	var at time.Time
	earliest := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if m.claim.waiting {
		earliest(m.claim.expiry)
	}
	if !m.finished {
		earliest(m.deadline)
		if m.claim.waiting {
			earliest(m.lastDispatch())
		}
		for _, t := range m.tracks() {
			earliest(t.expiry)
		}
	}
	if at.IsZero() {
		return
	}
	if !m.nextWake.IsZero() && m.nextWake.After(m.now) && !at.Before(m.nextWake) {
		return // an earlier wake-up is pending
	}
	m.nextWake = at
	m.addAction(RequestWake{At: at})
}

// callerDisconnected ends a request whose caller disconnected.
func (m *Machine) callerDisconnected() {
	m.finish(Outcome{Result: m.failureResult(), Reason: "the caller disconnected", CallerGone: true})
}

// fail ends the request with a failure. It adjusts the status to whether work may
// have run: 502 and 504 are used only if dispatched work may have run, 429 and 503
// only if none can have.
func (m *Machine) fail(status int, reason string, after time.Duration) {
	result := m.failureResult()
	if result == NotRun && (status == statusBadGateway || status == statusGatewayTimeout) {
		status = statusUnavailable
	}
	if result == NotRun {
		after = max(after, minRetryAfter)
	}
	if result == MayHaveRun && (status == statusTooManyRequests || status == statusUnavailable) {
		status = statusBadGateway
	}
	m.finish(Outcome{Result: result, Status: status, Reason: reason, After: after})
}

// failureResult returns MayHaveRun if dispatched work may have run, else NotRun.
func (m *Machine) failureResult() Result {
	if len(m.unconfirmed) > 0 {
		return MayHaveRun
	}

	return NotRun
}

// finish returns the outcome and withdraws every open attempt, without waiting for
// confirmations.
func (m *Machine) finish(o Outcome) {
	if m.finished {
		return
	}
	m.finished = true
	m.outcome = o
	m.addAction(Finish{Outcome: o})
	m.settleClaim(o)
	for _, t := range m.tracks() {
		m.resetTrack(t)
		t.step = stepDone
	}
	for _, id := range slices.Sorted(maps.Keys(m.open)) {
		m.withdraw(m.open[id])
	}
}
