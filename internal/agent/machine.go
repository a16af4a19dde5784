package agent

import (
	"time"

	"github.com/damasklever/damasklever/internal/correlator"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/wire"
)

// stream sends replies to an entry on one stream. Send never blocks.
type stream interface {
	Send(r *wire.Reply)
}

// grantQueue is the subset of granter.Granter that a machine uses.
type grantQueue interface {
	Ask(now time.Time, a granter.Ask) []granter.Decision
	Confirm(now time.Time, id string) granter.Decision
	Withdraw(now time.Time, id string) []granter.Decision
	Withdrawn(now time.Time, id string) bool
	Release(now time.Time, id string) []granter.Decision
	ReleaseSlot(now time.Time, id string) []granter.Decision
	Renew(now time.Time, entry string)
	Tick(now time.Time) []granter.Decision
	Load(now time.Time) granter.Load
}

// stage is the state of an attempt. Its values are shown in Dump.
type stage string

const (
	stageQueued     stage = "queued"     // waits for its grant
	stageGranted    stage = "granted"    // granted, waits for a dispatch of the entry
	stageHeld       stage = "held"       // dispatched, waits until the promised units are free
	stageRunning    stage = "running"    // a prefill, transfer or plain call is running
	stageReady      stage = "ready"      // prefilled or imported, waits for the entry's next call
	stageDecoding   stage = "decoding"   // the answer is streaming
	stageCancelling stage = "cancelling" // waits until the backend server has confirmed the cancellation
	stageOver       stage = "over"       // finished, kept for an entry that lost its stream
)

// attempt is the state of one Ask and of the work done for it.
type attempt struct {
	id, request, caller, service, digest string
	leaseID                              string // lease of the entry process, see newLeaseID
	phase                                wire.Phase
	rank                                 int32
	units                                int64
	cost                                 time.Duration // expected time on the backend server
	stage                                stage
	createdAt, stageSince                time.Time
	stream                               stream
	suspect                              bool          // its digest was in flight at a crash
	sent                                 bool          // work was sent to the backend server
	crashed                              bool          // the service crashed during the plain call
	call                                 *wire.Call    // dispatch that is held or running
	chunks                               []*wire.Reply // chunks of the answer so far, for an entry that resumes the stream
	progress                             *wire.Reply   // last Granted, Prefilled or Imported, resent on request
	finalReply                           *wire.Reply   // Ended or Answer, resent on request
	resultBytes                          int64         // size of the answer in finalReply
	withdrawStream                       stream        // stream that waits for Withdrawn
}

// active reports whether the attempt is unfinished.
func (a *attempt) active() bool { return a.stage != stageOver }

// kind is the kind of an action.
type kind int

const (
	// actStart sends the attempt's call to the backend server.
	actStart kind = iota + 1
	// actCancel aborts the running operation, cancels the attempt at the backend
	// server and then reports Cancelled to the machine.
	actCancel
	// actAbort aborts the running operation without a call to the backend server.
	actAbort
	// actReportCrash reports the digests in flight at a crash to control.
	actReportCrash
)

// action is a side effect requested by a machine. Replies are not actions; the machine
// sends them directly on the streams.
type action struct {
	kind    kind
	id      string
	call    *wire.Call
	offset  int64
	units   int64
	rank    int32
	digests []string
}

// machineSettings configures a machine.
type machineSettings struct {
	epoch           uint64
	plain           bool
	leaseTimeout    time.Duration
	resultRetention time.Duration
	resultBytes     int64         // maximum size of all kept answers, 0 for no limit
	isolateTimeout  time.Duration // maximum time that a suspect waits for an idle server
}

// machine is the state machine of an agent. It tracks each attempt from its Ask until
// the backend server has confirmed that its units are free. Its methods handle one
// event at a given time and return the actions to perform. It does no I/O apart from
// sending replies and is not safe for concurrent use.
type machine struct {
	settings    machineSettings
	queue       grantQueue
	correlator  *correlator.Correlator
	blocked     func(digest string, now time.Time) bool
	fits        func(expected time.Duration) bool // whether work can end before the agent stops
	attempts    map[string]*attempt
	leases      map[string]time.Time // time of the last renewal by lease ID
	entryEpochs map[string]uint64    // highest epoch seen by name of the entry
	ended       map[string]ended
	endedOrder  []string // ids in ended, oldest first
	results     resultHolder
	startedAt   time.Time
	backendUp   bool
	drainReason string // empty unless the agent is leaving
	isolatedID  string // id of the attempt that runs alone, or empty
	deferred    []*deferredAsk
	actions     []action
	metrics     recorder
}

// recorder records metrics of attempts and crashes.
type recorder interface {
	Asked(a *attempt)
	Refused(rank int32, reason string)
	Ended(a *attempt, status string, age time.Duration)
	Crashed()
}

func newMachine(now time.Time, settings machineSettings, q grantQueue, c *correlator.Correlator, r recorder) *machine {
	return &machine{
		settings: settings, queue: q, correlator: c, metrics: r, startedAt: now,
		blocked:  func(string, time.Time) bool { return false },
		fits:     func(time.Duration) bool { return true },
		attempts: make(map[string]*attempt), leases: make(map[string]time.Time),
		entryEpochs: make(map[string]uint64), ended: make(map[string]ended),
	}
}

func (m *machine) addAction(a action) { m.actions = append(m.actions, a) }

func (m *machine) takeActions() []action {
	actions := m.actions
	m.actions = nil

	return actions
}

// Ask queues a request for KV cache blocks or a call slot. If the id is known, it
// resends the last reply on the new stream.
func (m *machine) Ask(now time.Time, s stream, ask *wire.Ask) []action {
	id, entry := ask.GetId(), newLeaseID(ask.GetEntry(), ask.GetEpoch())
	if a := m.attempts[id]; a != nil {
		a.stream = s
		m.resendState(a)

		return m.takeActions()
	}
	if d := m.findDeferred(id); d != nil {
		d.stream = s

		return m.takeActions()
	}
	if reason, after := m.rejectReason(now, ask); reason != "" {
		m.sendRefused(s, id, reason, after)
		m.rememberEnded(now, id, false)
		m.metrics.Refused(ask.GetRank(), reason)

		return m.takeActions()
	}
	m.leases[entry] = now
	m.admitOrDefer(now, s, ask)

	return m.takeActions()
}

// Reasons of refusals by the agent. Refusals by the grant queue have the reasons of
// package granter.
const (
	reasonDown      = "down"      // the backend server is down or not yet reconciled
	reasonLeaving   = "leaving"   // the agent is leaving; followed by the cause
	reasonBlocked   = "blocked"   // requests with the digest have crashed servers
	reasonOld       = "old"       // the entry process has been replaced by a newer one
	reasonPhase     = "phase"     // the phase or call does not fit the backend server or the attempt
	reasonCrashed   = "crashed"   // the backend server crashed before the dispatch
	reasonUnknown   = "unknown"   // no such grant
	reasonBusy      = "busy"      // deferred because of a suspect until the deadline
	reasonRunning   = "running"   // another dispatch of the attempt is running
	reasonWithdrawn = "withdrawn" // the attempt was withdrawn
	reasonMemory    = "memory"    // the engine has less free memory than the agent has granted
)

const (
	// backendDownRetry is the retry time sent while the backend server is down.
	backendDownRetry = time.Second
	// isolateRetry is the retry time sent for an ask that was deferred too long.
	isolateRetry = time.Second
)

// rejectReason returns why an ask is refused without being queued, and the time after
// which a retry can succeed. The reason is empty if the ask is accepted.
func (m *machine) rejectReason(now time.Time, ask *wire.Ask) (reason string, after time.Duration) {
	switch {
	case m.drainReason != "":
		return reasonLeaving + ": " + m.drainReason, 0
	case !m.backendUp:
		return reasonDown, backendDownRetry
	case ask.GetEpoch() < m.entryEpochs[ask.GetEntry()]:
		return reasonOld, 0
	case m.settings.plain != (ask.GetPhase() == wire.Phase_PHASE_PLAIN):
		return reasonPhase, 0
	case ask.GetDigest() != "" && m.blocked(ask.GetDigest(), now):
		return reasonBlocked, 0
	}
	if _, ok := m.ended[ask.GetId()]; ok || m.queue.Withdrawn(now, ask.GetId()) {
		return reasonWithdrawn, 0
	}

	return "", 0
}

// submitAsk creates an attempt for an ask and adds it to the grant queue.
func (m *machine) submitAsk(now time.Time, s stream, ask *wire.Ask, deadline time.Time, suspect bool) {
	a := &attempt{
		id: ask.GetId(), request: ask.GetRequest(), caller: ask.GetCaller(),
		service: ask.GetService(), digest: ask.GetDigest(),
		leaseID: newLeaseID(ask.GetEntry(), ask.GetEpoch()),
		phase:   ask.GetPhase(), rank: ask.GetRank(), units: ask.GetPieces(),
		cost:  time.Duration(ask.GetCost()) * time.Microsecond,
		stage: stageQueued, createdAt: now, stageSince: now, stream: s, suspect: suspect,
	}
	if m.settings.plain {
		a.units = 1
	}
	m.attempts[a.id] = a
	m.metrics.Asked(a)
	m.applyDecisions(now, m.queue.Ask(now, granter.Ask{
		ID: a.id, Entry: a.leaseID, Caller: a.caller, Service: a.service,
		Rank: int(a.rank), Due: deadline, Pieces: int(a.units),
		Cost: a.cost,
		Hold: time.Duration(ask.GetHold()) * time.Microsecond,
	}))
}

// applyDecisions applies the decisions of the grant queue.
func (m *machine) applyDecisions(now time.Time, decisions []granter.Decision) {
	for _, d := range decisions {
		a := m.attempts[d.ID]
		if a == nil {
			continue
		}
		switch d.Kind {
		case granter.Granted:
			m.setStage(now, a, stageGranted)
			m.sendProgress(a, grantedReply(a.id, m.settings.epoch))
		case granter.Confirmed:
			if a.stage == stageHeld {
				m.startWork(now, a)
			}
		case granter.Refused:
			m.refuseAttempt(now, a, d.Reason, d.After)
		case granter.Revoked:
			m.revoke(now, a, d.Reason)
		default:
		}
	}
}

// refuseAttempt sends a refusal to the entry and removes the attempt.
func (m *machine) refuseAttempt(now time.Time, a *attempt, reason string, after time.Duration) {
	m.sendRefused(a.stream, a.id, reason, after)
	m.metrics.Refused(a.rank, reason)
	m.removeAttempt(now, a)
}

// removeAttempt removes an attempt but remembers whether it has run.
func (m *machine) removeAttempt(now time.Time, a *attempt) {
	m.rememberEnded(now, a.id, a.sent)
	delete(m.attempts, a.id)
	m.forgetResult(a)
	if m.isolatedID == a.id {
		m.isolatedID = ""
	}
}

func (m *machine) setStage(now time.Time, a *attempt, to stage) { a.stage, a.stageSince = to, now }

// sendProgress sends a reply and keeps it, to be resent if the entry repeats its
// request.
func (m *machine) sendProgress(a *attempt, r *wire.Reply) {
	a.progress = r
	if a.stream != nil {
		a.stream.Send(r)
	}
}

func (m *machine) sendRefused(s stream, id, reason string, after time.Duration) {
	if s == nil {
		return
	}
	s.Send(&wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Refused{
		Id: id, Reason: reason, After: after.Milliseconds(),
	}}})
}

// resendState resends the last reply of an attempt to an entry that repeated its
// request, possibly on a new stream.
func (m *machine) resendState(a *attempt) {
	switch {
	case a.stream == nil:
	case a.finalReply != nil:
		a.stream.Send(a.finalReply)
	case a.progress != nil:
		a.stream.Send(a.progress)
	}
}
