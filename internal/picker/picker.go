// Package picker selects candidate servers by their expected cost. Its data may be
// outdated: load reports lag, and cache events arrive late or not at all.
package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxSampleSize limits Settings.SampleSize, and with it the time of a decision.
const maxSampleSize = 16

// maxLookups is how many of a prompt's blocks are looked up in the prefix index,
// starting with the last one. A longer search costs more than a hit saves.
const maxLookups = 32

// Phases of a server, named as in the control messages.
const (
	Prefill = "prefill"
	Decode  = "decode"
	Plain   = "plain"
)

// Server describes a backend server.
type Server struct {
	Name    string
	Service string
	Phase   string // Prefill, Decode or Plain
	Region  string
	Centre  string
	Pieces  int  // KV cache blocks or call slots
	Drained bool // receives no new work
}

// Load is the load report of a server, which may be outdated.
type Load struct {
	Total   int
	Free    int
	Waits   []time.Duration // expected wait by rank
	Leaving bool
}

// Query describes the work to place on a server.
type Query struct {
	Service     string
	Phase       string
	Rank        int
	Region      string   // of the entry
	Centre      string   // of the entry
	KVCachePeer string   // server at the other end of the KV cache transfer, empty if none
	Prefix      []uint64 // hashes of the prompt's blocks, in order
	Tokens      int      // prompt tokens
	Pieces      int      // KV cache blocks or call slots needed
	Exclude     []string // servers already tried
}

// Candidate is a server that the work can be sent to.
type Candidate struct {
	Server       string
	ExpectedWait time.Duration // expected wait for the grant
	CrossRegion  bool          // traffic to it crosses regions and is billed
	Score        float64       // expected cost in seconds, lower is better
	CachedBlocks int           // leading blocks of the prompt expected in its prefix cache
}

// node is the state kept for a server.
type node struct {
	Server
	load           Load
	reportedAt     time.Time // time of the last load report, zero if none
	expectedGrants float64   // expected grants to this entry since the last report
	failures       int
	backoffUntil   time.Time // end of the back-off
	listed         bool      // in the last list of servers
}

// scored is a candidate with the server's state.
type scored struct {
	Candidate
	node *node
}

// indexKey is the key of the server indexes.
type indexKey struct{ service, phase, location string }

// Picker selects candidates. It is not safe for concurrent use.
type Picker struct {
	settings    Settings
	rand        *rand.Rand
	nodes       map[string]*node
	centre      map[indexKey][]*node // location is the data centre
	region      map[indexKey][]*node // location is the region
	all         map[indexKey][]*node // location is empty
	prefixIndex prefixIndex
	sampled     []*node // scratch space of Pick, like the next two
	scored      []scored
	matches     []match
	sampleQuota int // servers that addSample may still add
}

// New returns a picker that knows no servers. It returns the error of
// Settings.Validate.
func New(settings Settings) (*Picker, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}

	return &Picker{
		settings: settings,
		rand:     rand.New(rand.NewPCG(settings.Seed, 1)), //nolint:gosec // load balancing needs no secret
		nodes:    map[string]*node{}, prefixIndex: newPrefixIndex(settings.MaxPrefixes),
	}, nil
}

// SetServers replaces the list of servers. The state of those that remain is kept.
func (p *Picker) SetServers(_ time.Time, servers []Server) {
	for _, n := range p.nodes {
		n.listed = false
	}
	p.centre, p.region, p.all = map[indexKey][]*node{}, map[indexKey][]*node{}, map[indexKey][]*node{}
	for _, s := range servers {
		n := p.nodes[s.Name]
		if n == nil {
			n = &node{}
			p.nodes[s.Name] = n
		}
		n.Server, n.listed = s, true
		if s.Drained {
			continue
		}
		for _, index := range []struct {
			m        map[indexKey][]*node
			location string
		}{{p.centre, s.Centre}, {p.region, s.Region}, {p.all, ""}} {
			k := indexKey{s.Service, s.Phase, index.location}
			index.m[k] = append(index.m[k], n)
		}
	}
	for name, n := range p.nodes {
		if !n.listed {
			delete(p.nodes, name)
			p.prefixIndex.removeNode(n)
		}
	}
}

// Observe records a load report, which may arrive late.
func (p *Picker) Observe(now time.Time, server string, l Load) {
	if n := p.nodes[server]; n != nil {
		n.load, n.reportedAt, n.expectedGrants = l, now, 0
	}
}

// ObserveCache records a cache event: the prefix hashes were added to the server's cache
// or evicted from it. Events may be late or lost. A wrong entry costs an extra
// prefill but never makes an answer wrong.
func (p *Picker) ObserveCache(_ time.Time, server string, prefix []uint64, present bool) {
	n := p.nodes[server]
	if n == nil {
		return
	}
	for _, h := range prefix {
		if present {
			p.prefixIndex.add(h, n)
		} else {
			p.prefixIndex.remove(h, n)
		}
	}
}

// Fail starts the back-off of a server that failed. It doubles with every
// consecutive failure.
func (p *Picker) Fail(now time.Time, server string) {
	n := p.nodes[server]
	if n == nil {
		return
	}
	d := p.settings.Backoff << min(n.failures, 16)
	n.backoffUntil = now.Add(min(d, p.settings.MaxBackoff))
	n.failures++
}

// Succeed ends the back-off of a server that answered.
func (p *Picker) Succeed(server string) {
	if n := p.nodes[server]; n != nil {
		n.failures, n.backoffUntil = 0, time.Time{}
	}
}

// Pick returns at most n candidates, best first, and records that they will be
// asked for a grant. The result is empty if no server of the phase is known.
func (p *Picker) Pick(now time.Time, q Query, n int) []Candidate {
	from := p.sampleCandidates(q)
	p.scored = p.scored[:0]
	regionAvailable := false // a server in the region is neither backing off nor leaving
	for _, nd := range p.sampled {
		if now.Before(nd.backoffUntil) || nd.load.Leaving {
			continue
		}
		regionAvailable = regionAvailable || nd.Region == from.region
		if slices.Contains(q.Exclude, nd.Name) {
			continue
		}
		p.scored = append(p.scored, scored{p.score(now, q, from, nd), nd})
	}
	if len(p.scored) == 0 { // fall back to servers that failed recently
		for _, nd := range p.sampled {
			if !nd.load.Leaving && !slices.Contains(q.Exclude, nd.Name) {
				p.scored = append(p.scored, scored{p.score(now, q, from, nd), nd})
			}
		}
	}
	if q.Phase == Prefill && from.carriesKVCache && regionAvailable {
		// The KV cache would have to cross regions, and would arrive late under load.
		p.scored = slices.DeleteFunc(p.scored, func(c scored) bool { return c.CrossRegion })
	}
	slices.SortFunc(p.scored, func(a, b scored) int { return cmp.Compare(a.Score, b.Score) })
	n = min(n, len(p.scored))
	if n <= 0 {
		return nil
	}
	// If a candidate in another region were asked along with one in the region, it would
	// often be the first to grant. This does not apply to a decode server for a
	// finished prefill, whose result is evicted in under a second.
	for prefillDone := from.carriesKVCache && q.Phase == Decode; !prefillDone && n > 1 && p.scored[n-1].CrossRegion &&
		p.scored[n-1].Score > p.scored[0].Score+p.settings.MaxScoreDifference.Seconds(); {
		n--
	}
	out := make([]Candidate, n)
	for i, c := range p.scored[:n] {
		c.node.expectedGrants += 1 / float64(n)
		out[i] = c.Candidate
	}

	return out
}
