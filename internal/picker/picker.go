// Package picker selects candidate servers from a view that may be wrong:
// lagging load reports and cache events that arrive late or not at all.
package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxSample bounds Settings.Sample, and with it the time of a decision.
const maxSample = 16

// maxPrefix is how many of a prompt's pieces are looked up in the cache view,
// from the last one back; a longer search costs more than a hit is worth.
const maxPrefix = 32

// Phases of a server, as in the control messages.
const (
	Prefill = "prefill"
	Decode  = "decode"
	Plain   = "plain"
)

// Server is one backend server of the view.
type Server struct {
	Name    string
	Service string
	Phase   string // Prefill, Decode or Plain
	Region  string
	Centre  string
	Pieces  int  // memory pieces or call slots
	Drained bool // gets no new work
}

// Load is a server's own report, seen late.
type Load struct {
	Total   int
	Free    int
	Waits   []time.Duration // expected wait by rank
	Leaving bool
}

// Query describes the work that needs a server.
type Query struct {
	Service string
	Phase   string
	Rank    int
	Region  string   // of the entry
	Centre  string   // of the entry
	Near    string   // server that holds the KV cache to import, empty if none
	Prefix  []uint64 // hashes of the prompt's pieces, first piece first
	Tokens  int      // prompt tokens
	Pieces  int
	Avoid   []string // servers already tried
}

// Candidate is one server to ask, best first.
type Candidate struct {
	Server string
	Wait   time.Duration // expected wait for the grant, by the view
	Paid   bool          // traffic to it crosses regions
	Score  float64       // expected cost in seconds, the smaller the better
	Cached int           // leading pieces of the prompt believed to be cached
}

// node is what is known of one server.
type node struct {
	Server
	load   Load
	seen   time.Time // of the last report, zero if none
	sent   float64   // expected grants from this entry since the report
	fails  int
	until  time.Time // backed off until
	active bool      // member of the current view
}

// scored is a candidate and what is known of it.
type scored struct {
	Candidate
	node *node
}

// place is the key of the index.
type place struct{ service, phase, area string }

// Picker selects candidates. It is not safe for concurrent use.
type Picker struct {
	s      Settings
	rand   *rand.Rand
	nodes  map[string]*node
	centre map[place][]*node // by data centre
	region map[place][]*node // by region
	all    map[place][]*node // with an empty area
	cache  cache
	seen   []*node // scratch space of Pick
	scored []scored
	hits   []hit
	quota  int // servers that sample may still add
}

// New returns a picker that knows no servers. It returns the error of
// Settings.Validate.
func New(s Settings) (*Picker, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Picker{
		s:     s,
		rand:  rand.New(rand.NewPCG(s.Seed, 1)), //nolint:gosec // load balancing needs no secret
		nodes: map[string]*node{}, cache: newCache(s.Cache),
	}, nil
}

// SetServers replaces the view. What was learned of servers that stay is kept.
func (p *Picker) SetServers(_ time.Time, servers []Server) {
	for _, n := range p.nodes {
		n.active = false
	}
	p.centre, p.region, p.all = map[place][]*node{}, map[place][]*node{}, map[place][]*node{}
	for _, s := range servers {
		n := p.nodes[s.Name]
		if n == nil {
			n = &node{}
			p.nodes[s.Name] = n
		}
		n.Server, n.active = s, true
		if s.Drained {
			continue
		}
		for _, index := range []struct {
			m    map[place][]*node
			area string
		}{{p.centre, s.Centre}, {p.region, s.Region}, {p.all, ""}} {
			k := place{s.Service, s.Phase, index.area}
			index.m[k] = append(index.m[k], n)
		}
	}
	for name, n := range p.nodes {
		if !n.active {
			delete(p.nodes, name)
			p.cache.forget(n)
		}
	}
}

// Observe takes a load report, which may be late.
func (p *Picker) Observe(now time.Time, server string, l Load) {
	if n := p.nodes[server]; n != nil {
		n.load, n.seen, n.sent = l, now, 0
	}
}

// Cached takes a cache event: the prefix hashes were added to the server's
// cache, or evicted from it. Events may be late or lost; a wrong view costs a
// prefill, never an answer.
func (p *Picker) Cached(_ time.Time, server string, prefix []uint64, present bool) {
	n := p.nodes[server]
	if n == nil {
		return
	}
	for _, h := range prefix {
		if present {
			p.cache.add(h, n)
		} else {
			p.cache.remove(h, n)
		}
	}
}

// Fail backs off a server that failed, for longer each time in a row.
func (p *Picker) Fail(now time.Time, server string) {
	n := p.nodes[server]
	if n == nil {
		return
	}
	d := p.s.Backoff << min(n.fails, 16)
	n.until = now.Add(min(d, p.s.Longest))
	n.fails++
}

// Succeed ends the back-off of a server that answered.
func (p *Picker) Succeed(server string) {
	if n := p.nodes[server]; n != nil {
		n.fails, n.until = 0, time.Time{}
	}
}

// Pick returns at most n candidates, best first, and counts the asks that are
// expected to follow. The result is empty if no server of the phase is known.
func (p *Picker) Pick(now time.Time, q Query, n int) []Candidate {
	from := p.gather(q)
	p.scored = p.scored[:0]
	near := false // a server of the region works
	for _, nd := range p.seen {
		if now.Before(nd.until) || nd.load.Leaving {
			continue
		}
		near = near || nd.Region == from.region
		if slices.Contains(q.Avoid, nd.Name) {
			continue
		}
		p.scored = append(p.scored, scored{p.score(now, q, from, nd), nd})
	}
	if len(p.scored) == 0 { // better a server that failed lately than none
		for _, nd := range p.seen {
			if !nd.load.Leaving && !slices.Contains(q.Avoid, nd.Name) {
				p.scored = append(p.scored, scored{p.score(now, q, from, nd), nd})
			}
		}
	}
	if q.Phase == Prefill && from.kv && near {
		// The KV cache would cross regions, and arrive late under load.
		p.scored = slices.DeleteFunc(p.scored, func(c scored) bool { return c.Paid })
	}
	slices.SortFunc(p.scored, func(a, b scored) int { return cmp.Compare(a.Score, b.Score) })
	n = min(n, len(p.scored))
	if n <= 0 {
		return nil
	}
	// A paid candidate asked besides a near one would often grant first. A
	// decode server for a prefill that is done has under a second, though.
	for second := from.kv && q.Phase == Decode; !second && n > 1 && p.scored[n-1].Paid &&
		p.scored[n-1].Score > p.scored[0].Score+p.s.Spread.Seconds(); {
		n--
	}
	out := make([]Candidate, n)
	for i, c := range p.scored[:n] {
		c.node.sent += 1 / float64(n)
		out[i] = c.Candidate
	}

	return out
}
