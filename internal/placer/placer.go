// Package placer chooses the backend servers of opaque requests. It knows which
// servers there are from a host list that lags, and how loaded they are from what
// this process has sent them. It does no I/O and starts no goroutine.
package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/filler"
)

// Stage is the part of a model request that a server runs.
type Stage int

// Stages.
const (
	Plain   Stage = iota // a plain service
	Prefill              // reads prompts for others
	Decode               // generates, and can read prompts itself
)

// Server is one entry of the host list.
type Server struct {
	ID      string
	Addr    string // "ip:port"
	Pool    string
	Centre  string // data centre
	Region  string
	Stage   Stage
	Leaving bool
}

// Query describes the request to place.
type Query struct {
	Pool   string
	Prompt int // tokens, 0 for a plain service
	// Avoid are servers that this request was sent to before.
	Avoid []string
}

// Choice is where a request goes. Prefill is nil when the server reads the
// prompt itself.
type Choice struct {
	Server  *Server
	Prefill *Server
}

// Settings of a placer. Centre and Region have no defaults.
type Settings struct {
	// Centre and Region are those of this process.
	Centre, Region string
	// PrefillRate and DecodeRate are the prompt tokens a millisecond that a server
	// of each stage reads.
	PrefillRate, DecodeRate float64
	// Running is the delay that one more request on a server counts for.
	Running time.Duration
	// Near and Far are the delays that a server in another data centre of the
	// region, and in another region, counts for.
	Near, Far time.Duration
	// Transfer is the delay that moving a prompt to its decode server counts for;
	// between data centres it counts twice, between regions ten times.
	Transfer time.Duration
	// Penalty is how long a server that failed once is avoided; it doubles with
	// each failure up to MaxPenalty.
	Penalty, MaxPenalty time.Duration
	// Draw returns numbers from 0 to below 1.
	Draw func() float64
	// Now returns the time; nil for the clock of the process.
	Now func() time.Time
}

const (
	// Rates of a 70 B model on four accelerators; a decode server reads at half
	// the speed, between the tokens of other requests.
	defaultPrefillRate = 50.0
	defaultDecodeRate  = 25.0
	defaultRunning     = 12 * time.Millisecond
	defaultNear        = 3 * time.Millisecond
	// defaultFar is the round trip between regions.
	defaultFar = 25 * time.Millisecond
	// defaultTransfer stands for the transfer and for its price: a prompt is read
	// apart only where that is clearly faster.
	defaultTransfer   = 40 * time.Millisecond
	defaultPenalty    = 250 * time.Millisecond
	defaultMaxPenalty = 4 * time.Second
	nearTransfer      = 2
	farTransfer       = 10
)

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	filler.Zero(&s.PrefillRate, defaultPrefillRate)
	filler.Zero(&s.DecodeRate, defaultDecodeRate)
	filler.Zero(&s.Running, defaultRunning)
	filler.Zero(&s.Near, defaultNear)
	filler.Zero(&s.Far, defaultFar)
	filler.Zero(&s.Transfer, defaultTransfer)
	filler.Zero(&s.Penalty, defaultPenalty)
	filler.Zero(&s.MaxPenalty, defaultMaxPenalty)
	if s.Draw == nil {
		s.Draw = rand.Float64
	}
	if s.Now == nil {
		s.Now = time.Now
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	if s.PrefillRate < 0 || s.DecodeRate < 0 || s.Penalty < 0 || s.MaxPenalty < s.Penalty ||
		s.Running < 0 || s.Near < 0 || s.Far < 0 || s.Transfer < 0 {
		return errors.New("settings of placer: rates and delays must not be negative")
	}

	return nil
}

// Placer chooses servers. Its methods may be called from any goroutine.
type Placer struct {
	s Settings

	mu      sync.Mutex
	pools   map[string][]*state
	servers map[string]*state // by id
	// departed are servers that said that they leave and are not listed: a list may lack
	// one for a moment.
	departed map[string]*state
}

// state is what this process knows of one server.
type state struct {
	Server
	running int
	// reads is when the prompts sent so far will have been read.
	reads    time.Time
	failures int
	avoid    time.Time // until then other servers go first
	rests    time.Time // until then it gets nothing
	full     time.Time // until then it is expected to have no memory to reserve
	// left is when the server itself said that it leaves, zero if it has not; drains tells
	// that the host list has said so since.
	left   time.Time
	drains bool
}

// New returns a placer that knows no servers.
func New(s Settings) (*Placer, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Placer{s: s, pools: make(map[string][]*state), servers: make(map[string]*state), departed: make(map[string]*state)}, nil
}

// SetServers replaces the known servers. What is known of those that stay is
// kept.
func (p *Placer) SetServers(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	p.pools, p.servers = make(map[string][]*state), make(map[string]*state, len(list))
	for _, s := range list {
		st := old[s.ID]
		if st == nil {
			st = p.departed[s.ID]
		}
		if st == nil || st.Addr != s.Addr || st.Pool != s.Pool {
			st = &state{}
		}
		st.Server = s
		st.follow(s.Leaving)
		p.servers[s.ID] = st
		p.pools[s.Pool] = append(p.pools[s.Pool], st)
	}
	p.remember(old)
}

// Count returns the number of servers of a pool that take requests.
func (p *Placer) Count(pool string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, st := range p.pools[pool] {
		if !st.Leaving {
			n++
		}
	}

	return n
}

// PickPlain chooses a server of a plain service.
func (p *Placer) PickPlain(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.least(now, q, Plain, func(st *state) time.Duration {
		return p.distance(&st.Server) + time.Duration(st.running)*p.s.Running
	})
	if best == nil {
		return Choice{}, false
	}
	best.running++

	return Choice{Server: best.copy()}, true
}

// PickStream chooses the decode server of a model request, and whether a prefill
// server reads its prompt: whichever is expected to give the first token sooner.
func (p *Placer) PickStream(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.reading(q.Prompt, p.s.DecodeRate)
	decode := func(st *state) time.Duration {
		return p.distance(&st.Server) + time.Duration(st.running)*p.s.Running + until(now, st.reads)
	}
	direct := p.least(now, q, Decode, decode)
	if direct == nil {
		return Choice{}, false
	}
	pre := p.least(now, q, Prefill, func(st *state) time.Duration {
		return p.distance(&st.Server) + until(now, st.reads)
	})
	if pre != nil && pre.avoid.After(now) {
		pre = nil
	}
	if pre != nil {
		// The decode server needs no time to read, but waits for the transfer.
		target := p.least(now, q, Decode, func(st *state) time.Duration {
			return p.distance(&st.Server) + time.Duration(st.running)*p.s.Running + p.transfer(&pre.Server, &st.Server)
		})
		apart := p.distance(&pre.Server) + until(now, pre.reads) + p.reading(q.Prompt, p.s.PrefillRate) +
			p.transfer(&pre.Server, &target.Server) + p.distance(&target.Server)
		if apart < decode(direct)+own {
			pre.reads = later(now, pre.reads).Add(p.reading(q.Prompt, p.s.PrefillRate))
			pre.running++
			target.running++

			return Choice{Server: target.copy(), Prefill: pre.copy()}, true
		}
	}
	direct.reads = later(now, direct.reads).Add(own)
	direct.running++

	return Choice{Server: direct.copy()}, true
}

// Lent is what a server's lender last said.
type Lent struct {
	// Total and Free are tokens of a decode server, and prompts of a prefill server.
	Total, Free int
	// Wait is the expected wait of a request of the query's rank.
	Wait    time.Duration
	Leaving bool
}

// Candidate is a server with a lender.
type Candidate struct {
	Server *Server
	// Cost is the delay that the server counts for: its distance, the wait, and the
	// transfer from or to the other server of the request.
	Cost time.Duration
}

// crowding is what a full server counts for against an empty one, so that
// requests spread before they have to wait.
const crowding = 20 * time.Millisecond

// Rank returns the servers of a stage whose lenders are known, the best first.
// Need is in the unit of the lenders. With other, the other server of the request
// is given already, and the prompt moves between the two.
func (p *Placer) Rank(
	now time.Time, q Query, stage Stage, need int, other *Server, lent func(id string) (Lent, bool),
) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Candidate
	for _, st := range p.pools[q.Pool] {
		// A request can do without a prefill server, but not without a decode server.
		trusted := stage != Prefill || !st.avoid.After(now)
		if st.barred(now) || st.Stage != stage || !trusted || slices.Contains(q.Avoid, st.ID) {
			continue
		}
		l, ok := lent(st.ID)
		if !ok || l.Leaving {
			continue
		}
		c := Candidate{Server: st.copy(), Cost: p.distance(&st.Server) + until(now, st.avoid)}
		if other != nil {
			c.Cost += p.transfer(&st.Server, other)
		}
		if l.Free < need {
			c.Cost += max(l.Wait, p.s.Far)
		}
		if l.Total > 0 {
			c.Cost += time.Duration(float64(crowding) * (1 - float64(l.Free)/float64(l.Total)))
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })

	return out
}

// Done ends a request at a server. It is called once for each server of a choice.
func (p *Placer) Done(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.servers[id]; st != nil && st.running > 0 {
		st.running--
	}
}

// Read tells that a server has read a prompt, so nothing sent before it waits any
// more.
func (p *Placer) Read(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return
	}
	if st.running <= 1 {
		st.reads = now
	}
}

// Succeeded tells that a server answered well.
func (p *Placer) Succeeded(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.servers[id]; st != nil {
		st.failures, st.avoid = 0, time.Time{}
	}
}

// Failed tells that a server could not be reached, or failed. It returns how long
// others go first.
func (p *Placer) Failed(now time.Time, id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return 0
	}
	penalty := min(p.s.Penalty<<min(st.failures, 10), p.s.MaxPenalty)
	st.failures++
	st.avoid = now.Add(penalty)

	return penalty
}

// least returns the server with the lowest cost. Servers that failed lately, or
// that the request was sent to before, come last. Equal ones are drawn.
func (p *Placer) least(now time.Time, q Query, stage Stage, cost func(*state) time.Duration) *state {
	var best *state
	var bestClass, same int
	var bestCost time.Duration
	for _, st := range p.pools[q.Pool] {
		if st.barred(now) || st.Stage != stage || slices.Contains(q.Avoid, st.ID) {
			continue
		}
		class := 0
		if st.avoid.After(now) {
			class = 1
		}
		c := cost(st)
		switch {
		case best == nil || class < bestClass || class == bestClass && c < bestCost:
			best, bestClass, bestCost, same = st, class, c, 1
		case class == bestClass && c == bestCost:
			if same++; p.s.Draw()*float64(same) < 1 {
				best = st
			}
		}
	}

	return best
}

func (p *Placer) distance(s *Server) time.Duration {
	switch {
	case s.Centre == p.s.Centre:
		return 0
	case s.Region == p.s.Region:
		return p.s.Near
	default:
		return p.s.Far
	}
}

func (p *Placer) transfer(from, to *Server) time.Duration {
	switch {
	case from.Centre == to.Centre:
		return p.s.Transfer
	case from.Region == to.Region:
		return p.s.Transfer * nearTransfer
	default:
		return p.s.Transfer * farTransfer
	}
}

// reading is the time to read a prompt at a rate in tokens a millisecond.
func (p *Placer) reading(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

func (st *state) copy() *Server {
	s := st.Server

	return &s
}

func until(now, at time.Time) time.Duration { return max(at.Sub(now), 0) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
