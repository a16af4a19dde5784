package attendant

import (
	"time"

	"github.com/damasklever/damasklever/internal/blamer"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/wire"
)

// link is the way back to the entry on one stream. Send never blocks.
type link interface {
	Send(r *wire.Reply)
}

// grantQueue is the part of the granter that a keeper uses.
type grantQueue interface {
	Ask(now time.Time, a granter.Ask) []granter.Decision
	Use(now time.Time, id string) granter.Decision
	Withdraw(now time.Time, id string) []granter.Decision
	Withdrawn(now time.Time, id string) bool
	Release(now time.Time, id string) []granter.Decision
	Keep(now time.Time, id string) []granter.Decision
	Renew(now time.Time, entry string)
	Tick(now time.Time) []granter.Decision
	Load(now time.Time) granter.Load
}

// stage is the state of an attempt.
type stage string

const (
	stageQueued     stage = "queued"     // waits for its grant
	stageGranted    stage = "granted"    // waits for a dispatch
	stageHeld       stage = "held"       // dispatched, waits for promised memory
	stageRunning    stage = "running"    // prefill, transfer or plain call runs
	stageReady      stage = "ready"      // prefilled or imported, waits for the entry
	stageDecoding   stage = "decoding"   // the stream runs
	stageCancelling stage = "cancelling" // waits for the backend server's confirmation
	stageOver       stage = "over"       // kept for an entry that lost its stream
)

// attempt is one Ask and all that follows from it.
type attempt struct {
	id, request, caller, service, digest string
	entry                                string // lease: name and epoch of the entry
	phase                                wire.Phase
	rank                                 int32
	pieces                               int64
	stage                                stage
	began, since                         time.Time
	link                                 link
	suspect                              bool          // was in flight at a crash
	sent                                 bool          // work was handed to the backend server
	crashed                              bool          // the service crashed while the plain call ran
	call                                 *wire.Call    // dispatch that is held or runs
	chunks                               []*wire.Reply // of the answer so far
	step                                 *wire.Reply   // Granted, Prefilled or Imported, for repeats
	final                                *wire.Reply   // Ended, Answer or Refused, for repeats
	withdrawer                           link          // waits for Withdrawn
}

// active reports whether the attempt keeps the agent from ending.
func (a *attempt) active() bool { return a.stage != stageOver }

// kind of an action.
type kind int

const (
	// actStart hands the attempt's call to the backend server.
	actStart kind = iota + 1
	// actStop ends what runs, has the backend server cancel the attempt, and
	// then reports cancelled.
	actStop
	// actDrop ends what runs without a call to the backend server.
	actDrop
	// actBlame reports digests after a crash.
	actBlame
)

// action is what the keeper wants done. Replies go to the links directly.
type action struct {
	kind    kind
	id      string
	call    *wire.Call
	offset  int64
	pieces  int64
	rank    int32
	digests []string
}

// keeperSettings are the times and names a keeper works with.
type keeperSettings struct {
	epoch   uint64
	plain   bool
	lease   time.Duration
	linger  time.Duration
	isolate time.Duration // longest wait of a suspect for an idle server
}

// keeper is the state machine of one agent: it owns every attempt, from its Ask
// to the confirmation that the backend server has freed it. It takes events with
// the time and returns actions, and is not safe for concurrent use.
type keeper struct {
	s        keeperSettings
	queue    grantQueue
	blamer   *blamer.Blamer
	blocked  func(digest string, now time.Time) bool
	attempts map[string]*attempt
	leases   map[string]time.Time // last sign of life of an entry
	epochs   map[string]uint64    // highest epoch of each entry name
	past     map[string]past
	order    []string // ids in past, the oldest first
	began    time.Time
	up       bool
	leaving  string // reason, empty while the agent stays
	solo     string // attempt that runs alone
	deferred []*deferredAsk
	out      []action
	observe  observer
}

// observer receives what the metrics count.
type observer interface {
	Asked(a *attempt)
	Refused(rank int32, reason string)
	Ended(a *attempt, status string, age time.Duration)
	Crashed()
}

func newKeeper(now time.Time, s keeperSettings, q grantQueue, b *blamer.Blamer, o observer) *keeper {
	return &keeper{
		s: s, queue: q, blamer: b, observe: o, began: now,
		blocked:  func(string, time.Time) bool { return false },
		attempts: make(map[string]*attempt), leases: make(map[string]time.Time),
		epochs: make(map[string]uint64), past: make(map[string]past),
	}
}

func (k *keeper) do(a action) { k.out = append(k.out, a) }

func (k *keeper) take() []action {
	out := k.out
	k.out = nil

	return out
}

// Ask queues a request for memory or a call slot. A repeated Ask is answered
// again.
func (k *keeper) Ask(now time.Time, l link, ask *wire.Ask) []action {
	id, entry := ask.GetId(), leaseName(ask.GetEntry(), ask.GetEpoch())
	if a := k.attempts[id]; a != nil {
		a.link = l
		k.repeat(a)

		return k.take()
	}
	if p := k.findDeferred(id); p != nil {
		p.link = l

		return k.take()
	}
	if reason, after := k.reject(now, ask); reason != "" {
		k.refuse(l, id, reason, after)
		k.remember(now, id, false)
		k.observe.Refused(ask.GetRank(), reason)

		return k.take()
	}
	k.leases[entry] = now
	k.enter(now, l, ask)

	return k.take()
}

// Reasons of the agent's own refusals.
const (
	reasonDown      = "down"      // the backend server is down or not yet reconciled
	reasonLeaving   = "leaving"   // followed by the cause
	reasonBlocked   = "blocked"   // the digest crashed servers
	reasonOld       = "old"       // the entry process has restarted since
	reasonPhase     = "phase"     // wrong kind of backend server
	reasonCrashed   = "crashed"   // the backend server crashed before the dispatch
	reasonUnknown   = "unknown"   // no such grant
	reasonBusy      = "busy"      // a suspect found no idle server
	reasonRunning   = "running"   // the attempt has another dispatch running
	reasonWithdrawn = "withdrawn" // the attempt was withdrawn
	reasonMemory    = "memory"    // the engine has less memory than it should
)

const (
	// retryDown is the time to retry while the backend server is down.
	retryDown = time.Second
	// retryBusy is the time to retry for a suspect.
	retryBusy = time.Second
)

func (k *keeper) reject(now time.Time, ask *wire.Ask) (reason string, after time.Duration) {
	switch {
	case k.leaving != "":
		return reasonLeaving + ": " + k.leaving, 0
	case !k.up:
		return reasonDown, retryDown
	case ask.GetEpoch() < k.epochs[ask.GetEntry()]:
		return reasonOld, 0
	case k.s.plain != (ask.GetPhase() == wire.Phase_PHASE_PLAIN):
		return reasonPhase, 0
	case ask.GetDigest() != "" && k.blocked(ask.GetDigest(), now):
		return reasonBlocked, 0
	}
	if _, ok := k.past[ask.GetId()]; ok || k.queue.Withdrawn(now, ask.GetId()) {
		return reasonWithdrawn, 0
	}

	return "", 0
}

// submit passes an ask on to the grant queue.
func (k *keeper) submit(now time.Time, l link, ask *wire.Ask, due time.Time, suspect bool) {
	a := &attempt{
		id: ask.GetId(), request: ask.GetRequest(), caller: ask.GetCaller(),
		service: ask.GetService(), digest: ask.GetDigest(),
		entry: leaseName(ask.GetEntry(), ask.GetEpoch()),
		phase: ask.GetPhase(), rank: ask.GetRank(), pieces: ask.GetPieces(),
		stage: stageQueued, began: now, since: now, link: l, suspect: suspect,
	}
	if k.s.plain {
		a.pieces = 1
	}
	k.attempts[a.id] = a
	k.observe.Asked(a)
	k.decide(now, k.queue.Ask(now, granter.Ask{
		ID: a.id, Entry: a.entry, Caller: a.caller, Service: a.service,
		Rank: int(a.rank), Due: due, Pieces: int(a.pieces),
		Cost: time.Duration(ask.GetCost()) * time.Microsecond,
		Hold: time.Duration(ask.GetHold()) * time.Microsecond,
	}))
}

// decide applies the decisions of the grant queue.
func (k *keeper) decide(now time.Time, decisions []granter.Decision) {
	for _, d := range decisions {
		a := k.attempts[d.ID]
		if a == nil {
			continue
		}
		switch d.Kind {
		case granter.Granted:
			k.move(now, a, stageGranted)
			k.reply(a, grantedReply(a.id, k.s.epoch))
		case granter.Firm:
			if a.stage == stageHeld {
				k.start(now, a)
			}
		case granter.Refused:
			k.forgetRefused(now, a, d.Reason, d.After)
		case granter.Revoked:
			k.revoke(now, a, d.Reason)
		default:
		}
	}
}

// forgetRefused drops an attempt whose ask was refused.
func (k *keeper) forgetRefused(now time.Time, a *attempt, reason string, after time.Duration) {
	k.refuse(a.link, a.id, reason, after)
	k.observe.Refused(a.rank, reason)
	k.forget(now, a)
}

func (k *keeper) forget(now time.Time, a *attempt) {
	k.remember(now, a.id, a.sent)
	delete(k.attempts, a.id)
	if k.solo == a.id {
		k.solo = ""
	}
}

func (k *keeper) move(now time.Time, a *attempt, to stage) { a.stage, a.since = to, now }

// reply sends the state that an entry may have to hear again.
func (k *keeper) reply(a *attempt, r *wire.Reply) {
	a.step = r
	if a.link != nil {
		a.link.Send(r)
	}
}

func (k *keeper) refuse(l link, id, reason string, after time.Duration) {
	if l == nil {
		return
	}
	l.Send(&wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Refused{
		Id: id, Reason: reason, After: after.Milliseconds(),
	}}})
}

// repeat tells an entry on a new stream where its attempt stands.
func (k *keeper) repeat(a *attempt) {
	switch {
	case a.link == nil:
	case a.final != nil:
		a.link.Send(a.final)
	case a.step != nil:
		a.link.Send(a.step)
	}
}
