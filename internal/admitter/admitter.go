// Package admitter implements admission control at the entry: it rejects requests
// whose estimated latency exceeds the target of their rank, limits callers to
// their share, and keeps the retry budget.
package admitter

import (
	"time"
)

// Reasons for rejecting a request.
const (
	ReasonFirstToken  = "first token" // estimated time to first token exceeds the rank's target
	ReasonTokenGap    = "gap"         // estimated time between tokens exceeds the rank's target
	ReasonShare       = "share"       // the caller exceeds its share while others wait
	ReasonNoServer    = "no server"   // no known server for a phase that the request needs
	ReasonUnknownRank = "rank"        // unknown rank
)

// Query describes an arriving request.
type Query struct {
	Service string
	Caller  string
	Rank    int
	Tokens  int // prompt tokens
	Cached  int // prompt tokens expected in the prefix cache of a candidate server
	Limit   int // maximum number of output tokens
	Pieces  int // KV cache blocks needed for decoding
	Plain   bool
}

// Decision is the decision on a request. If OK is false, RetryAfter is how long
// the caller should wait before it tries again.
type Decision struct {
	OK         bool
	Reason     string
	RetryAfter time.Duration
}

// Load is a load report of one server.
type Load struct {
	Service     string
	Phase       string // prefill, decode or plain
	Total       int
	Free        int
	Waits       []time.Duration // expected wait by rank
	TokenGap    time.Duration   // decode: current time between tokens, 0 if unknown
	PrefillRate float64         // prefill: tokens per second, 0 if unknown
	Removed     bool            // the server is shutting down or has failed
}

// Admitter makes the admission decisions of one entry. It is not safe for
// concurrent use.
type Admitter struct {
	settings Settings
	services map[string]*service
	servers  map[string]*server
}

// New returns an admitter that knows no servers. It returns the error of
// Settings.Validate.
func New(settings Settings) (*Admitter, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}

	return &Admitter{settings: settings, services: map[string]*service{}, servers: map[string]*server{}}, nil
}

// Configure replaces the settings at run time. If they are invalid, it returns
// the error of Settings.Validate and keeps the old ones.
func (a *Admitter) Configure(settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	a.settings = settings
	for _, sv := range a.services {
		sv.retryBudget.fraction, sv.retryBudget.minimum, sv.retryBudget.window = settings.RetryRatio, settings.MinRetries, settings.Window
		sv.setRankCount(len(settings.Ranks))
	}

	return nil
}

// Observe replaces the load report of a server with a newer one.
func (a *Admitter) Observe(now time.Time, name string, l Load) {
	if old := a.servers[name]; old != nil {
		a.service(old.load.Service).phaseLoad(old.load.Phase).apply(old.load, -1)
		delete(a.servers, name)
	}
	if l.Removed {
		return
	}
	a.servers[name] = &server{load: l}
	sv := a.service(l.Service)
	sv.phaseLoad(l.Phase).apply(l, 1)
	sv.discountReported(now, l.Phase)
}

// RemoveServer removes a server that is no longer listed.
func (a *Admitter) RemoveServer(now time.Time, name string) {
	a.Observe(now, name, Load{Removed: true})
}

// Admit decides whether to start a request. Every admitted query must be passed
// to Done exactly once.
func (a *Admitter) Admit(now time.Time, q Query) Decision {
	if q.Rank < 0 || q.Rank >= len(a.settings.Ranks) {
		return Decision{Reason: ReasonUnknownRank}
	}
	sv := a.service(q.Service)
	sv.retryBudget.First(now)
	rank := a.settings.Ranks[q.Rank]
	first, gap, ok := sv.estimate(now, q, a.settings)
	if !ok {
		return Decision{Reason: ReasonNoServer, RetryAfter: a.settings.MinRetryAfter}
	}
	u := sv.ranks[q.Rank]
	if first > time.Duration(float64(rank.First)*contentionThreshold) && u.overShare(now, q.Caller, rank.Share, a.settings.Window) {
		return Decision{Reason: ReasonShare, RetryAfter: max(first, a.settings.MinRetryAfter)}
	}
	if u.shouldRefuse(first, rank.First) {
		return Decision{Reason: ReasonFirstToken, RetryAfter: max(first-rank.First, a.settings.MinRetryAfter)}
	}
	if gap > rank.TokenGap && rank.TokenGap > 0 {
		return Decision{Reason: ReasonTokenGap, RetryAfter: a.settings.MinRetryAfter}
	}
	u.recordStart(now, q, a.settings.Window)
	sv.admitted(q)

	return Decision{OK: true}
}

// Done records the end of an admitted request.
func (a *Admitter) Done(_ time.Time, q Query) {
	if q.Rank < 0 || q.Rank >= len(a.settings.Ranks) {
		return
	}
	a.service(q.Service).ranks[q.Rank].recordEnd(q)
}

// Running returns the number of admitted requests of a service and rank that
// have not ended. It serves metrics and state dumps.
func (a *Admitter) Running(service string, rank int) int {
	if sv := a.services[service]; sv != nil && rank >= 0 && rank < len(sv.ranks) {
		return sv.ranks[rank].running
	}

	return 0
}

// TakeRetry takes one retry from the service's budget. It returns false if the budget
// is exhausted.
func (a *Admitter) TakeRetry(now time.Time, service string) bool {
	return a.service(service).retryBudget.Take(now)
}

func (a *Admitter) newBudget() *Budget {
	return NewBudget(a.settings.RetryRatio, a.settings.MinRetries, a.settings.Window)
}

func (a *Admitter) service(name string) *service {
	sv := a.services[name]
	if sv == nil {
		sv = &service{phases: map[string]*phaseLoad{}, retryBudget: a.newBudget()}
		sv.setRankCount(len(a.settings.Ranks))
		a.services[name] = sv
	}

	return sv
}
