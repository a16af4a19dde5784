package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// attempt is one Ask and the work that follows from it on one server.
type attempt struct {
	id      string
	server  string
	granted bool
	// dispatched is true once work was dispatched to the server.
	dispatched bool
}

// step is the progress of a track.
type step int

const (
	stepIdle       step = iota // no server asked
	stepWaiting                // no server available, asks again soon
	stepAsked                  // waiting for a grant
	stepGranted                // grant held, no work dispatched
	stepDispatched             // prefill, import or call dispatched
	stepReady                  // prefilled, or decoding
	stepDone                   // no longer needed
)

// track holds the attempts of one phase. At most one of them holds a grant that the
// request uses; the others are withdrawn immediately.
type track struct {
	phase   wire.Phase
	step    step
	asks    []*attempt
	current *attempt
	// tried lists the servers that refused, failed or are in use. failed lists only
	// those on which dispatched work failed.
	tried      []string
	failed     []string
	rounds     int
	retryAfter time.Duration // shortest retry delay that an agent named
	reason     string        // reason of the last refusal
	expiry     time.Time     // time at which the step times out; zero: never
	// repeatingTransfer is true while only the server of the stalled transfer is
	// asked.
	repeatingTransfer bool
}

// removeAsk removes and returns the pending ask with this ID, nil if there is none.
func (t *track) removeAsk(id string) *attempt {
	for i, a := range t.asks {
		if a.id == id {
			t.asks = append(t.asks[:i], t.asks[i+1:]...)

			return a
		}
	}

	return nil
}

func (t *track) isCurrent(id string) bool { return t.current != nil && t.current.id == id }

// server returns the server that runs the track's work or was asked first.
func (t *track) server() string {
	switch {
	case t.current != nil:
		return t.current.server
	case len(t.asks) > 0:
		return t.asks[0].server
	default:
		return ""
	}
}

// ask requests grants from the next candidates. peer is the server at the other end of
// the KV cache transfer, or empty. See noGrant for what happens if there are
// none left.
func (m *Machine) ask(t *track, peer string) {
	if m.lacksTime() {
		m.refuseForShutdown()

		return
	}
	if t.rounds >= m.limits.MaxRounds {
		m.noGrant(t)

		return
	}
	t.rounds++
	t.repeatingTransfer = false
	servers := m.policy.Pick(m.now, m.req, Selection{
		Phase: t.phase, KVCachePeer: peer, Exclude: t.tried, Crashes: m.crashes, Count: m.limits.ParallelAsks,
	})
	if len(servers) == 0 {
		m.noGrant(t)

		return
	}
	t.step = stepAsked
	t.expiry = m.nextGrantDeadline()
	if m.isForTransfer(t) && m.handleExpiry.Before(t.expiry) {
		t.expiry = m.handleExpiry
	}
	for _, server := range servers {
		t.tried = append(t.tried, server)
		m.askServer(t, server)
	}
}

// askServer requests a grant for a new attempt.
func (m *Machine) askServer(t *track, server string) {
	m.attempts++
	a := &attempt{id: m.req.ID + "." + strconv.Itoa(m.attempts), server: server}
	t.asks = append(t.asks, a)
	m.open[a.id] = a
	m.addAction(m.newAsk(t, a))
}

func (m *Machine) newAsk(t *track, a *attempt) Ask {
	ask := Ask{ID: a.id, Server: a.server, Phase: t.phase, Due: m.nextGrantDeadline(), Cost: m.req.DecodeTime, Alone: m.crashes > 0}
	switch t.phase {
	case wire.Phase_PHASE_DECODE:
		ask.Pieces = m.req.Pieces
		if m.prefill.step < stepReady {
			ask.Hold = m.req.WorkTime
		}
	case wire.Phase_PHASE_PREFILL:
		ask.Cost = m.req.WorkTime
		ask.Pieces = max((m.req.Tokens+blockTokens-1)/blockTokens, 1)
	default:
		ask.Pieces = 1
		ask.Cost = m.req.WorkTime
	}

	return ask
}

// useGrant makes a granted ask the current attempt and withdraws the others.
func (m *Machine) useGrant(t *track, a *attempt) {
	a.granted = true
	t.current = a
	t.step = stepGranted
	t.repeatingTransfer = false
	t.expiry = time.Time{}
	for _, other := range t.asks {
		m.withdraw(other)
		// This server neither refused nor failed, so a later round may ask it again.
		t.tried = slices.DeleteFunc(t.tried, func(s string) bool { return s == other.server })
	}
	t.asks = nil
}

// nextGrantDeadline returns the time after which a grant is useless. A retry after a
// failed dispatch or transfer misses its target anyway, so only the deadline of the
// request counts.
func (m *Machine) nextGrantDeadline() time.Time {
	deadline := m.grantDeadline
	if m.retries > 0 || m.transfers > 0 {
		deadline = m.deadline
	}
	if last := m.lastDispatch(); !last.IsZero() && last.Before(deadline) {
		return last
	}

	return deadline
}

// resetTrack withdraws all attempts of a track, so that it can ask again.
func (m *Machine) resetTrack(t *track) {
	if t.current != nil {
		m.withdraw(t.current)
	}
	for _, a := range t.asks {
		m.withdraw(a)
	}
	t.current, t.asks = nil, nil
	t.step = stepIdle
	t.repeatingTransfer = false
	t.expiry = time.Time{}
}

// withdraw ends an attempt, unless it has ended already.
func (m *Machine) withdraw(a *attempt) {
	if _, ok := m.open[a.id]; !ok {
		return
	}
	delete(m.open, a.id)
	m.addAction(Withdraw{ID: a.id, Server: a.server})
}

// noGrant handles a track that found no server: it runs a new prefill if the transfer
// cannot be repeated elsewhere, waits if the request may wait, and else ends the
// request without taking a retry.
func (m *Machine) noGrant(t *track) {
	if m.isForTransfer(t) {
		// No other decode server can import the result, so a second prefill is needed.
		m.restartPrefill(t, t.reason, true)

		return
	}
	if m.waitAndRetry(t) {
		return
	}
	status, reason := statusUnavailable, "no server can take the request"
	if t.reason != "" {
		reason += ": " + t.reason
	}
	if t.retryAfter > 0 {
		status = statusTooManyRequests
	}
	m.fail(status, reason, max(t.retryAfter, minRetryAfter))
}

// resetRounds allows new rounds after a retry. Servers that refused earlier may have
// room by now; those that failed are not asked again.
func (t *track) resetRounds() {
	t.rounds = 0
	t.tried = slices.Clone(t.failed)
	if t.current != nil {
		t.tried = append(t.tried, t.current.server)
	}
	for _, a := range t.asks {
		t.tried = append(t.tried, a.server)
	}
}

// askRetryInterval is the time between two attempts to find a server for a restarted
// request. It is as long as the picker's first back-off, during which a failed server
// is left alone.
const askRetryInterval = 250 * time.Millisecond

// waitAndRetry waits for a server instead of ending the request, and returns true, in
// two cases: the caller already has a part of the answer, or the request was restarted
// and found only servers that had failed. One of those may be the only one and be back
// soon. All other requests end immediately: their callers lose nothing by trying again
// later, and busy servers are not asked over and over.
func (m *Machine) waitAndRetry(t *track) bool {
	if m.isPlain() || m.stream.emitted() == 0 && (m.retries == 0 || t.retryAfter > 0) {
		return false
	}
	if m.restartDeadline.IsZero() {
		m.restartDeadline = m.now.Add(m.limits.RestartTimeout)
	}
	if !m.now.Before(m.restartDeadline) {
		return false
	}
	t.step, t.expiry = stepWaiting, m.now.Add(askRetryInterval)

	return true
}

// askAfterWait asks all servers again, since one that failed may be back by now.
func (m *Machine) askAfterWait(t *track) {
	t.step, t.rounds, t.tried = stepIdle, 0, nil
	m.advance()
}
