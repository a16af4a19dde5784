// Package granter allocates the memory blocks or call slots of one backend server.
// Requests for them wait in one queue per priority rank. Each server has exactly one
// Granter, which alone decides who may use the server.
package granter

import (
	"math"
	"time"
)

// Kind is the type of a Decision.
type Kind int

const (
	// Granted allocates the units that were asked for. With Ask.Hold the grant is a
	// reservation until Confirm confirms it.
	Granted Kind = iota + 1
	// Refused ends an ask without a grant.
	Refused
	// Revoked ends a grant because its lease expired.
	Revoked
	// Confirmed confirms that the units of a reservation are free and that the work may
	// be dispatched. It is the result of Confirm, or follows one that was Waiting.
	Confirmed
	// Waiting is the result of Confirm if the units are not free yet. Confirmed follows.
	Waiting
)

// Reasons of Refused and Revoked decisions.
const (
	ReasonDeadline  = "deadline"  // the grant would come after Ask.Due
	ReasonSize      = "size"      // more memory blocks than the server has
	ReasonDrain     = "drain"     // the server is leaving
	ReasonWithdrawn = "withdrawn" // the id was withdrawn before
	ReasonDuplicate = "duplicate" // the id is already waiting or granted
	ReasonInvalid   = "invalid"   // missing id, unknown rank, or a size or duration out of range
	ReasonLease     = "lease"     // the entry's lease expired
	ReasonQueue     = "queue"     // the rank's queue has reached Settings.MaxQueuedWork
)

// Ask requests units of the server for one attempt.
type Ask struct {
	ID      string // of the attempt
	Entry   string // name and epoch of the entry process, for the lease
	Caller  string
	Weight  float64 // of the caller in its rank with Settings.FairWindow, 0 for 1
	Service string
	Rank    int           // 0 is the most urgent
	Due     time.Time     // the grant is useless after this time
	Pieces  int           // memory blocks; call slots on a plain service
	Cost    time.Duration // expected processing time on the server
	Hold    time.Duration // time between grant and dispatch, 0 if dispatched at once
}

// Decision is the result of an ask, or a change of the grant, with the given ID.
// The decision on an ask that has to wait is returned by a later call.
type Decision struct {
	ID     string
	Entry  string
	Kind   Kind
	Reason string
	After  time.Duration // after a refusal: time until a new ask can succeed, 0 if unknown
}

// Load is the state of the queue. Waits and Queued are indexed by rank.
type Load struct {
	Total  int             // memory blocks or call slots
	Free   int             // neither in use nor reserved
	Queued []int           // number of waiting asks
	Waits  []time.Duration // expected wait of a new ask of one unit
}

// Granter is the grant queue of one server. It is not safe for concurrent use.
type Granter struct {
	s         Settings
	attempts  map[string]*attempt
	grants    []*attempt           // in order of grant
	kept      map[string]int       // memory blocks of results that outlive their grant
	queues    []*rankQueue         // by rank
	lastSeen  map[string]time.Time // by entry, for the leases
	withdrawn withdrawnIDs
	draining  bool
	inUse     int // units of grants that are not reservations
	durations durationHistogram
	decisions []Decision // not yet returned to the caller
	releases  []release  // scratch buffer of updateReleases
}

// New returns a Granter whose units are all free. It fails if the settings are
// invalid.
func New(s Settings) (*Granter, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g := &Granter{
		s: s, attempts: map[string]*attempt{}, lastSeen: map[string]time.Time{}, kept: map[string]int{},
		withdrawn: withdrawnIDs{withdrawnAt: map[string]time.Time{}},
	}
	g.applyRanks()

	return g, nil
}

// Configure replaces the settings at run time. Existing grants remain, and waiting
// asks of a rank that no longer exists move to the last one. If the settings are
// invalid, it returns an error and changes nothing.
func (g *Granter) Configure(now time.Time, s Settings) ([]Decision, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g.s = s
	g.applyRanks()
	g.grantWaiting(now)

	return g.takeDecisions(), nil
}

// Ask queues an ask and grants what is possible. The decisions may concern other
// ids too. An ask whose grant is expected to come after Ask.Due is refused at once.
func (g *Granter) Ask(now time.Time, a Ask) []Decision {
	g.withdrawn.prune(now, g.s)
	if reason := g.refusalReason(a); reason != "" {
		return []Decision{{ID: a.ID, Entry: a.Entry, Kind: Refused, Reason: reason}}
	}
	g.lastSeen[a.Entry] = now
	att := &attempt{Ask: a, units: a.Pieces}
	if g.s.Slots > 0 {
		att.units = 1
	}
	att.work = a.Cost.Seconds()
	if !g.s.Serial {
		att.work *= float64(att.units)
	}
	expectedWait := g.expectedWait(now, att)
	if now.Add(expectedWait).After(a.Due.Add(a.Hold)) {
		return []Decision{g.refuseLate(now, att, expectedWait)}
	}
	q := g.queues[a.Rank]
	q.lastAsk = now
	if q.work+att.work > g.s.MaxQueuedWork.Seconds()*g.s.workRate() && !g.evictOverShare(now, att) {
		return []Decision{{ID: a.ID, Entry: a.Entry, Kind: Refused, Reason: ReasonQueue, After: max(expectedWait, minRetryAfter)}}
	}
	g.attempts[a.ID] = att
	q.add(att)
	g.grantWaiting(now)

	return g.takeDecisions()
}

// Confirm confirms a reservation when its work is about to be dispatched. It returns
// Confirmed if the units are free and the work may be dispatched, Waiting if a Confirmed
// decision follows, and Refused if the id has no grant: the work must then be discarded.
// A grant without Ask.Hold needs no confirmation, and the result for it is always
// Confirmed.
func (g *Granter) Confirm(now time.Time, id string) Decision {
	att := g.attempts[id]
	if att == nil || att.state == waiting {
		return Decision{ID: id, Kind: Refused, Reason: ReasonWithdrawn}
	}
	d := Decision{ID: id, Entry: att.Entry, Kind: Confirmed}
	switch {
	case att.state == inUse:
	case att.units <= g.s.units()-g.inUse:
		g.occupy(now, att)
	default:
		att.state, att.startTime, d.Kind = awaitingUnits, now, Waiting
	}

	return d
}

// Withdraw cancels the ask or grant with the id. It remembers the id, so that a late
// Ask or dispatch of it is discarded.
func (g *Granter) Withdraw(now time.Time, id string) []Decision {
	g.withdrawn.add(now, id, g.s)
	if att := g.attempts[id]; att != nil && att.state != waiting && g.s.FairWindow > 0 {
		g.queues[att.Rank].sharer.Return(now, att.share(), now.Sub(att.grantedAt))
	}
	if g.deleteID(now, id) {
		g.grantWaiting(now)
	}

	return g.takeDecisions()
}

// deleteID removes the ask, grant or kept result with the id. It reports whether
// there was one.
func (g *Granter) deleteID(now time.Time, id string) bool {
	_, kept := g.kept[id]
	delete(g.kept, id)
	att := g.attempts[id]
	if att != nil {
		g.deleteAttempt(now, att)
	}

	return kept || att != nil
}

// Withdrawn reports whether the id was withdrawn within the retention.
func (g *Granter) Withdrawn(now time.Time, id string) bool {
	g.withdrawn.prune(now, g.s)
	_, ok := g.withdrawn.withdrawnAt[id]

	return ok
}

// Release frees the units of the grant with the id after its work has ended, and the
// memory of its result.
func (g *Granter) Release(now time.Time, id string) []Decision {
	g.recordDuration(now, id)
	if g.deleteID(now, id) {
		g.grantWaiting(now)
	}

	return g.takeDecisions()
}

// ReleaseSlot frees the slot of the grant with the id after its work has ended, while the
// result still occupies memory blocks of Settings.MemoryBlocks. Release or Withdraw frees
// these. Without Settings.Slots the units are the memory blocks themselves, so the
// grant remains unchanged.
func (g *Granter) ReleaseSlot(now time.Time, id string) []Decision {
	att := g.attempts[id]
	if att == nil || att.state != inUse || g.s.Slots == 0 {
		return g.takeDecisions()
	}
	g.recordDuration(now, id)
	g.deleteAttempt(now, att)
	g.kept[id] = att.Pieces
	g.grantWaiting(now)

	return g.takeDecisions()
}

// recordDuration adds the time that a grant was in use to the histogram from which
// durations are estimated.
func (g *Granter) recordDuration(now time.Time, id string) {
	if att := g.attempts[id]; att != nil && att.state == inUse && att.Cost > 0 {
		g.durations.add(float64(now.Sub(att.startTime)) / float64(att.Cost))
	}
}

// Renew renews the leases of all grants of an entry process.
func (g *Granter) Renew(now time.Time, entry string) {
	if _, ok := g.lastSeen[entry]; ok {
		g.lastSeen[entry] = now
	}
}

// Tick ends expired leases, refuses asks past their due time and drops expired
// withdrawn ids. It must be called about every 100 ms.
func (g *Granter) Tick(now time.Time) []Decision {
	g.withdrawn.prune(now, g.s)
	g.expireLeases(now)
	for _, q := range g.queues {
		q.sharer.DropIdle(now)
	}
	g.grantWaiting(now)

	return g.takeDecisions()
}

// Drain refuses all waiting and all future asks. Existing grants remain.
func (g *Granter) Drain(now time.Time) []Decision {
	g.draining = true
	for _, q := range g.queues {
		for len(q.waiting) > 0 {
			att := q.waiting[0]
			g.deleteAttempt(now, att)
			g.decide(att, Refused, ReasonDrain, 0)
		}
	}

	return g.takeDecisions()
}

// Load returns the current load of the server and the state of the queues.
func (g *Granter) Load(now time.Time) Load {
	l := g.pacedLoad(now, Load{Total: g.s.units(), Free: g.freeUnits()})
	for r, q := range g.queues {
		l.Queued = append(l.Queued, len(q.waiting))
		l.Waits = append(l.Waits, g.expectedWait(now, &attempt{Ask: Ask{Rank: r, Due: now.Add(math.MaxInt64), Hold: 1}, units: 1}))
	}

	return l
}

// Grants returns the ids that have a grant, in the order in which they were granted.
func (g *Granter) Grants() []string {
	ids := make([]string, 0, len(g.grants))
	for _, att := range g.grants {
		ids = append(ids, att.ID)
	}

	return ids
}

// refusalReason returns why an ask must be refused regardless of the load, or "".
func (g *Granter) refusalReason(a Ask) string {
	units := a.Pieces
	if g.s.Slots > 0 {
		units = 1
	}
	_, withdrawn := g.withdrawn.withdrawnAt[a.ID]
	switch {
	case a.ID == "" || a.Rank < 0 || a.Rank >= len(g.queues) || a.Pieces <= 0 || a.Cost < 0 || a.Hold < 0:
		return ReasonInvalid
	case withdrawn:
		return ReasonWithdrawn
	case g.attempts[a.ID] != nil || g.kept[a.ID] > 0:
		return ReasonDuplicate
	case g.draining:
		return ReasonDrain
	case units > g.s.units() || g.s.Slots > 0 && g.s.MemoryBlocks > 0 && a.Pieces > g.s.MemoryBlocks:
		return ReasonSize
	}

	return ""
}

// refuseLate refuses an ask whose expected wait exceeds its due time. A retry succeeds
// once the expected wait has shrunk to the time that the ask has until it is due.
func (g *Granter) refuseLate(now time.Time, att *attempt, wait time.Duration) Decision {
	after := max(wait-max(att.Due.Sub(now), 0), minRetryAfter)

	return Decision{ID: att.ID, Entry: att.Entry, Kind: Refused, Reason: ReasonDeadline, After: after}
}

// decide adds a decision to those that the current call returns.
func (g *Granter) decide(att *attempt, k Kind, reason string, after time.Duration) {
	g.decisions = append(g.decisions, Decision{ID: att.ID, Entry: att.Entry, Kind: k, Reason: reason, After: after})
}

// takeDecisions returns and clears the pending decisions.
func (g *Granter) takeDecisions() []Decision {
	decisions := g.decisions
	g.decisions = nil

	return decisions
}
