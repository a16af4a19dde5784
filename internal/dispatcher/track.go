package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// attempt is one Ask and what follows from it at one server.
type attempt struct {
	id      string
	server  string
	granted bool
	// sent is true once work was dispatched under the grant.
	sent bool
}

// step is how far a track has come.
type step int

const (
	stepIdle    step = iota // nothing asked
	stepPaused              // no server takes it, asks again soon
	stepAsked               // waiting for a grant
	stepGranted             // grant held, nothing dispatched
	stepSent                // prefill, import or call dispatched
	stepReady               // prefilled, or decoding
	stepOver                // no longer needed
)

// track follows the attempts of one phase. At most one attempt holds a grant
// that the request uses; the others are withdrawn at once.
type track struct {
	phase wire.Phase
	step  step
	asks  []*attempt
	cur   *attempt
	// tried names the servers that refused, failed or are in use; failed only
	// those at which dispatched work failed.
	tried  []string
	failed []string
	rounds int
	after  time.Duration // shortest time to retry that an agent named
	reason string        // of the last refusal
	until  time.Time     // when the step is overdue; zero: never
	// repeating says that only the server of the stalled transfer is asked.
	repeating bool
}

// take removes the ask with this id.
func (t *track) take(id string) *attempt {
	for i, a := range t.asks {
		if a.id == id {
			t.asks = append(t.asks[:i], t.asks[i+1:]...)

			return a
		}
	}

	return nil
}

func (t *track) is(id string) bool { return t.cur != nil && t.cur.id == id }

// server names where the track's work is or waits.
func (t *track) server() string {
	switch {
	case t.cur != nil:
		return t.cur.server
	case len(t.asks) > 0:
		return t.asks[0].server
	default:
		return ""
	}
}

// ask requests grants from the next candidates. If there are none left, the
// request ends without a retry of its own.
func (m *Machine) ask(t *track, near string) {
	if t.rounds >= m.limits.Rounds {
		m.refuse(t)

		return
	}
	t.rounds++
	t.repeating = false
	servers := m.policy.Pick(m.now, m.req, Choice{
		Phase: t.phase, Near: near, Avoid: t.tried, Crashes: m.crashes, Count: m.limits.Asks,
	})
	if len(servers) == 0 {
		m.refuse(t)

		return
	}
	t.step = stepAsked
	t.until = m.due()
	if m.transferring(t) && m.kept.Before(t.until) {
		t.until = m.kept
	}
	for _, server := range servers {
		t.tried = append(t.tried, server)
		m.askServer(t, server)
	}
}

// askServer requests a grant for a new attempt.
func (m *Machine) askServer(t *track, server string) {
	m.count++
	a := &attempt{id: m.req.ID + "." + strconv.Itoa(m.count), server: server}
	t.asks = append(t.asks, a)
	m.open[a.id] = a
	m.do(m.askFor(t, a))
}

func (m *Machine) askFor(t *track, a *attempt) Ask {
	ask := Ask{ID: a.id, Server: a.server, Phase: t.phase, Due: m.due(), Cost: m.req.Stream, Alone: m.crashes > 0}
	switch t.phase {
	case wire.Phase_PHASE_DECODE:
		ask.Pieces = m.req.Pieces
		if m.prefill.step < stepReady {
			ask.Hold = m.req.Work
		}
	case wire.Phase_PHASE_PREFILL:
		ask.Cost = m.req.Work
		ask.Pieces = max((m.req.Tokens+pieceTokens-1)/pieceTokens, 1)
	default:
		ask.Pieces = 1
		ask.Cost = m.req.Work
	}

	return ask
}

// win makes a granted ask the current attempt and withdraws the others.
func (m *Machine) win(t *track, a *attempt) {
	a.granted = true
	t.cur = a
	t.step = stepGranted
	t.repeating = false
	t.until = time.Time{}
	for _, other := range t.asks {
		m.withdraw(other)
		// It has neither refused nor failed, so a later round may ask it again.
		t.tried = slices.DeleteFunc(t.tried, func(s string) bool { return s == other.server })
	}
	t.asks = nil
}

// due returns the time after which a grant is useless. A retry after a failed
// dispatch or transfer is late for its target already, so only the deadline
// counts.
func (m *Machine) due() time.Time {
	if m.retries > 0 || m.paths > 0 {
		return m.end
	}

	return m.start
}

// drop withdraws everything of a track, so that it can ask again.
func (m *Machine) drop(t *track) {
	if t.cur != nil {
		m.withdraw(t.cur)
	}
	for _, a := range t.asks {
		m.withdraw(a)
	}
	t.cur, t.asks = nil, nil
	t.step = stepIdle
	t.repeating = false
	t.until = time.Time{}
}

// withdraw ends an attempt unless the agent has already ended it.
func (m *Machine) withdraw(a *attempt) {
	if _, ok := m.open[a.id]; !ok {
		return
	}
	delete(m.open, a.id)
	m.do(Withdraw{ID: a.id, Server: a.server})
}

// refuse ends a request that found no grant.
func (m *Machine) refuse(t *track) {
	if m.transferring(t) {
		// There is no second path, so a second prefill is what remains.
		m.restart(t, t.reason, true)

		return
	}
	if m.pause(t) {
		return
	}
	status, reason := statusUnavailable, "no server can take the request"
	if t.reason != "" {
		reason += ": " + t.reason
	}
	if t.after > 0 {
		status = statusBusy
	}
	m.giveUp(status, reason, max(t.after, minRetryAfter))
}

// retried opens new rounds after a retry. Servers that refused earlier may have
// room now; those that failed aren't asked again.
func (t *track) retried() {
	t.rounds = 0
	t.tried = slices.Clone(t.failed)
	if t.cur != nil {
		t.tried = append(t.tried, t.cur.server)
	}
	for _, a := range t.asks {
		t.tried = append(t.tried, a.server)
	}
}

// askPause is the time between two tries to find a server for a request that was
// started again. It is as long as an agent that is down is left alone.
const askPause = 250 * time.Millisecond

// pause waits for a server instead of ending a request whose caller has a part
// of the answer already, or one that was started again and found only servers
// that had failed: one of them may be the only one, and back soon. All others
// end at once. Their callers lose nothing by coming back, and servers that are
// busy are not asked again and again.
func (m *Machine) pause(t *track) bool {
	if m.plain() || m.stream.emitted() == 0 && (m.retries == 0 || t.after > 0) {
		return false
	}
	if m.patience.IsZero() {
		m.patience = m.now.Add(m.limits.Patience)
	}
	if !m.now.Before(m.patience) {
		return false
	}
	t.step, t.until = stepPaused, m.now.Add(askPause)

	return true
}

// unpause asks again. A server that failed may be back by now.
func (m *Machine) unpause(t *track) {
	t.step, t.rounds, t.tried = stepIdle, 0, nil
	m.advance()
}
