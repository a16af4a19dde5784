// Package admitter decides at the entry whether a request is worth starting:
// early refusal by estimated latency, per-caller shares, and a retry budget.
package admitter

import (
	"time"
)

// Reasons of a refusal.
const (
	ReasonFirst  = "first token" // estimated first token over the rank's target
	ReasonGap    = "gap"         // estimated time between tokens over the rank's target
	ReasonShare  = "share"       // the caller is over its share while others wait
	ReasonServer = "no server"   // no server of a needed phase is known
	ReasonRank   = "rank"        // unknown rank
)

// Query describes one request at its arrival.
type Query struct {
	Service string
	Caller  string
	Rank    int
	Tokens  int // prompt tokens
	Cached  int // prompt tokens believed to be in the prefix cache of a candidate
	Limit   int // most output tokens
	Pieces  int // decode memory needed
	Plain   bool
}

// Verdict on a request. After is set when OK is false: a new try can succeed
// after this time.
type Verdict struct {
	OK     bool
	Reason string
	After  time.Duration
}

// Load is the state of one server, as last reported.
type Load struct {
	Service string
	Phase   string // prefill, decode or plain
	Total   int
	Free    int
	Waits   []time.Duration // expected wait by rank
	Gap     time.Duration   // decode: time between tokens now, 0 if unknown
	Rate    float64         // prefill: tokens a second, 0 if unknown
	Gone    bool            // leaving or failed
}

// Admitter decides for one entry. It is not safe for concurrent use.
type Admitter struct {
	s        Settings
	services map[string]*service
	servers  map[string]*server
}

// New returns an admitter that knows no servers. It returns the error of
// Settings.Validate.
func New(s Settings) (*Admitter, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Admitter{s: s, services: map[string]*service{}, servers: map[string]*server{}}, nil
}

// Configure replaces the settings at run time. It returns the error of
// Settings.Validate and then changes nothing.
func (a *Admitter) Configure(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	a.s = s
	for _, sv := range a.services {
		sv.retries.fraction, sv.retries.spare, sv.retries.window = s.Retries, s.Spare, s.Window
		sv.resize(len(s.Ranks))
	}

	return nil
}

// Observe takes the load report of one server.
func (a *Admitter) Observe(now time.Time, name string, l Load) {
	if old := a.servers[name]; old != nil {
		a.service(old.load.Service).phase(old.load.Phase).count(old.load, -1)
		delete(a.servers, name)
	}
	if l.Gone {
		return
	}
	a.servers[name] = &server{load: l}
	sv := a.service(l.Service)
	sv.phase(l.Phase).count(l, 1)
	sv.settle(now, l.Phase)
}

// Forget removes a server that left the view.
func (a *Admitter) Forget(now time.Time, name string) {
	a.Observe(now, name, Load{Gone: true})
}

// Admit decides on a request at its arrival. Each OK must be followed by one
// Done with the same query.
func (a *Admitter) Admit(now time.Time, q Query) Verdict {
	if q.Rank < 0 || q.Rank >= len(a.s.Ranks) {
		return Verdict{Reason: ReasonRank}
	}
	sv := a.service(q.Service)
	sv.retries.First(now)
	rank := a.s.Ranks[q.Rank]
	first, gap, ok := sv.estimate(now, q, a.s)
	if !ok {
		return Verdict{Reason: ReasonServer, After: a.s.Unknown}
	}
	u := sv.ranks[q.Rank]
	if first > time.Duration(float64(rank.First)*crowded) && u.over(now, q.Caller, rank.Share, a.s.Window) {
		return Verdict{Reason: ReasonShare, After: max(first, a.s.Unknown)}
	}
	if u.refuse(first, rank.First) {
		return Verdict{Reason: ReasonFirst, After: max(first-rank.First, a.s.Unknown)}
	}
	if gap > rank.Gap && rank.Gap > 0 {
		return Verdict{Reason: ReasonGap, After: a.s.Unknown}
	}
	u.admit(now, q, a.s.Window)
	sv.sent(q)

	return Verdict{OK: true}
}

// Done ends an admitted request.
func (a *Admitter) Done(_ time.Time, q Query) {
	if q.Rank < 0 || q.Rank >= len(a.s.Ranks) {
		return
	}
	a.service(q.Service).ranks[q.Rank].done(q)
}

// Running is the number of admitted requests of a service and rank that have
// not ended, for metrics and dumps.
func (a *Admitter) Running(service string, rank int) int {
	if sv := a.services[service]; sv != nil && rank >= 0 && rank < len(sv.ranks) {
		return sv.ranks[rank].running
	}

	return 0
}

// Retry consumes one retry from the service's budget and tells whether there
// was one.
func (a *Admitter) Retry(now time.Time, service string) bool {
	return a.service(service).retries.Repeat(now)
}

func (a *Admitter) budget() *Budget { return NewBudget(a.s.Retries, a.s.Spare, a.s.Window) }

func (a *Admitter) service(name string) *service {
	sv := a.services[name]
	if sv == nil {
		sv = &service{phases: map[string]*phase{}, retries: a.budget()}
		sv.resize(len(a.s.Ranks))
		a.services[name] = sv
	}

	return sv
}
