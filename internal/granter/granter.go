// Package granter is the grant queue of one backend server. It is the sole
// authority for the server's memory pieces or call slots.
package granter

import (
	"math"
	"time"
)

// Kind is what a Decision says about an ask.
type Kind int

const (
	// Granted gives the units to the ask. With Ask.Hold the grant is a promise
	// until Use confirms it.
	Granted Kind = iota + 1
	// Refused ends an ask that was never granted.
	Refused
	// Revoked ends a grant: its lease expired.
	Revoked
	// Firm follows a Use that could not be confirmed at once: the units are now
	// free and the grant may be dispatched.
	Firm
	// Waiting answers a Use whose units are not free yet; Firm follows.
	Waiting
)

// Reasons of refused and revoked asks.
const (
	ReasonDeadline  = "deadline"  // the grant would come after Ask.Due
	ReasonSize      = "size"      // more pieces than the server has
	ReasonDrain     = "drain"     // the server is leaving
	ReasonWithdrawn = "withdrawn" // the id was withdrawn before
	ReasonDuplicate = "duplicate" // the id is already waiting or granted
	ReasonInvalid   = "invalid"   // no id, unknown rank or no pieces
	ReasonLease     = "lease"     // the entry's lease expired
	ReasonQueue     = "queue"     // the work waiting in the rank is at its bound
)

// Ask requests units of the server for one attempt.
type Ask struct {
	ID      string // of the attempt
	Entry   string // name and epoch of the entry process, for the lease
	Caller  string
	Service string
	Rank    int           // 0 is the most urgent
	Due     time.Time     // the grant is useless after this time
	Pieces  int           // memory pieces; call slots on a plain service
	Cost    time.Duration // expected time on the server once dispatched
	Hold    time.Duration // time until the grant is dispatched, 0 for at once
}

// Decision tells what became of the ask or grant ID. Waiting asks get theirs
// later, from another call.
type Decision struct {
	ID     string
	Entry  string
	Kind   Kind
	Reason string
	After  time.Duration // of a refusal: a new ask can succeed after this, 0 if unknown
}

// Load is the state of the queue. Waits and Queued are indexed by rank.
type Load struct {
	Total  int             // pieces or call slots
	Free   int             // neither in use nor promised
	Queued []int           // asks waiting
	Waits  []time.Duration // expected wait of a new ask of one unit
}

// Granter is the grant queue of one server. It is not safe for concurrent use.
type Granter struct {
	s        Settings
	items    map[string]*item
	held     []*item        // granted, in order of grant
	kept     map[string]int // pieces of results that outlive their grant
	classes  []*class
	entries  map[string]time.Time // last sign of life
	gone     memory
	draining bool
	used     int // units occupied
	life     lifetime
	out      []Decision
	events   []event // scratch space of until
}

// New returns a granter with everything free. It returns the error of
// Settings.Validate.
func New(s Settings) (*Granter, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g := &Granter{
		s: s, items: map[string]*item{}, entries: map[string]time.Time{}, kept: map[string]int{},
		gone: memory{since: map[string]time.Time{}},
	}
	g.resize()

	return g, nil
}

// Configure replaces the settings at run time. Grants stay; the queue follows
// the new ranks, and asks of a rank that is gone join the last one. It returns
// the error of Settings.Validate and then changes nothing.
func (g *Granter) Configure(now time.Time, s Settings) ([]Decision, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g.s = s
	g.resize()
	g.serve(now)

	return g.take(), nil
}

// Ask queues an ask and decides what it can. The decisions may concern other
// ids too. An ask that would be granted after its due time is refused at once.
func (g *Granter) Ask(now time.Time, a Ask) []Decision {
	g.gone.prune(now, g.s)
	if reason := g.invalid(a); reason != "" {
		return []Decision{{ID: a.ID, Entry: a.Entry, Kind: Refused, Reason: reason}}
	}
	g.entries[a.Entry] = now
	it := &item{Ask: a, units: a.Pieces}
	if g.s.Slots > 0 {
		it.units = 1
	}
	it.work = a.Cost.Seconds()
	if !g.s.Serial {
		it.work *= float64(it.units)
	}
	wait := g.wait(now, it)
	if now.Add(wait).After(a.Due.Add(a.Hold)) {
		return []Decision{g.late(now, it, wait)}
	}
	c := g.classes[a.Rank]
	c.asked = now
	if c.work+it.work > g.s.Queue.Seconds()*g.s.rate() && !g.evict(now, it) {
		return []Decision{{ID: a.ID, Entry: a.Entry, Kind: Refused, Reason: ReasonQueue, After: max(wait, shortest)}}
	}
	g.items[a.ID] = it
	c.add(it)
	g.serve(now)

	return g.take()
}

// Use confirms at dispatch that the units of a grant are free. It returns Firm
// if the work may be dispatched, Waiting if a Firm decision follows, and
// Refused if the id has no grant: the dispatch must then be discarded. A grant
// without Hold is firm from the start.
func (g *Granter) Use(now time.Time, id string) Decision {
	it := g.items[id]
	if it == nil || it.state == waiting {
		return Decision{ID: id, Kind: Refused, Reason: ReasonWithdrawn}
	}
	d := Decision{ID: id, Entry: it.Entry, Kind: Firm}
	switch {
	case it.state == used:
	case it.units <= g.s.units()-g.used:
		g.occupy(now, it)
	default:
		it.state, it.firm, d.Kind = wanted, now, Waiting
	}

	return d
}

// Withdraw ends the ask or grant id and remembers it, so that a late Ask or
// dispatch of it is discarded.
func (g *Granter) Withdraw(now time.Time, id string) []Decision {
	g.gone.add(now, id, g.s)
	if g.discard(now, id) {
		g.serve(now)
	}

	return g.take()
}

// discard forgets an ask, a grant or a kept result and reports whether there
// was one.
func (g *Granter) discard(now time.Time, id string) bool {
	_, kept := g.kept[id]
	delete(g.kept, id)
	it := g.items[id]
	if it != nil {
		g.drop(now, it)
	}

	return kept || it != nil
}

// Withdrawn tells whether id was withdrawn and is still remembered.
func (g *Granter) Withdrawn(now time.Time, id string) bool {
	g.gone.prune(now, g.s)
	_, ok := g.gone.since[id]

	return ok
}

// Release frees the units of id after its work has ended, and the pieces of its
// result.
func (g *Granter) Release(now time.Time, id string) []Decision {
	g.learn(now, id)
	if g.discard(now, id) {
		g.serve(now)
	}

	return g.take()
}

// Keep frees the slot of id after its work has ended, while its result still
// holds its pieces of Settings.Memory. Release or Withdraw frees those. Without
// Slots the units are the pieces, and the grant stays as it is.
func (g *Granter) Keep(now time.Time, id string) []Decision {
	it := g.items[id]
	if it == nil || it.state != used || g.s.Slots == 0 {
		return g.take()
	}
	g.learn(now, id)
	g.drop(now, it)
	g.kept[id] = it.Pieces
	g.serve(now)

	return g.take()
}

// learn takes the time that a grant was in use into account for estimates.
func (g *Granter) learn(now time.Time, id string) {
	if it := g.items[id]; it != nil && it.state == used && it.Cost > 0 {
		g.life.add(float64(now.Sub(it.firm)) / float64(it.Cost))
	}
}

// Renew renews the lease on every grant of entry.
func (g *Granter) Renew(now time.Time, entry string) {
	if _, ok := g.entries[entry]; ok {
		g.entries[entry] = now
	}
}

// Tick ends what has expired: leases, asks past their due time, remembered ids.
// Call it about every 100 ms.
func (g *Granter) Tick(now time.Time) []Decision {
	g.gone.prune(now, g.s)
	g.expire(now)
	for _, c := range g.classes {
		c.forget(now, g.decay)
	}
	g.serve(now)

	return g.take()
}

// Drain refuses all waiting asks and every new one. Grants keep running.
func (g *Granter) Drain(now time.Time) []Decision {
	g.draining = true
	for _, c := range g.classes {
		for len(c.waiting) > 0 {
			it := c.waiting[0]
			g.drop(now, it)
			g.say(it, Refused, ReasonDrain, 0)
		}
	}

	return g.take()
}

// Load reports the state of the queue.
func (g *Granter) Load(now time.Time) Load {
	l := Load{Total: g.s.units(), Free: g.free()}
	for r, c := range g.classes {
		l.Queued = append(l.Queued, len(c.waiting))
		l.Waits = append(l.Waits, g.wait(now, &item{Ask: Ask{Rank: r, Due: now.Add(math.MaxInt64), Hold: 1}, units: 1}))
	}

	return l
}

// Grants returns the ids that hold a grant, in order of grant.
func (g *Granter) Grants() []string {
	ids := make([]string, 0, len(g.held))
	for _, it := range g.held {
		ids = append(ids, it.ID)
	}

	return ids
}

func (g *Granter) invalid(a Ask) string {
	units := a.Pieces
	if g.s.Slots > 0 {
		units = 1
	}
	_, gone := g.gone.since[a.ID]
	switch {
	case a.ID == "" || a.Rank < 0 || a.Rank >= len(g.classes) || a.Pieces <= 0 || a.Cost < 0 || a.Hold < 0:
		return ReasonInvalid
	case gone:
		return ReasonWithdrawn
	case g.items[a.ID] != nil || g.kept[a.ID] > 0:
		return ReasonDuplicate
	case g.draining:
		return ReasonDrain
	case units > g.s.units() || g.s.Slots > 0 && g.s.Memory > 0 && a.Pieces > g.s.Memory:
		return ReasonSize
	}

	return ""
}

// late refuses an ask that would be granted only after wait. A later try
// succeeds once the queue is short enough for the slack that the ask has.
func (g *Granter) late(now time.Time, it *item, wait time.Duration) Decision {
	after := max(wait-max(it.Due.Sub(now), 0), shortest)

	return Decision{ID: it.ID, Entry: it.Entry, Kind: Refused, Reason: ReasonDeadline, After: after}
}

func (g *Granter) say(it *item, k Kind, reason string, after time.Duration) {
	g.out = append(g.out, Decision{ID: it.ID, Entry: it.Entry, Kind: k, Reason: reason, After: after})
}

func (g *Granter) take() []Decision {
	out := g.out
	g.out = nil

	return out
}
