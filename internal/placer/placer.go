// Package placer selects backend servers for opaque requests. It learns the servers from
// a host list that may be out of date, and estimates their load from the requests that
// this process has sent. It does no I/O and starts no goroutines.
package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/defaulter"
	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/pacer"
)

// Stage is the part of a model request that a server processes.
type Stage int

// Stages of a request.
const (
	Plain   Stage = iota // requests of services without a model
	Prefill              // processes prompts for decode servers
	Decode               // generates tokens, and can process prompts itself
)

// Server describes a backend server in the host list.
type Server struct {
	ID      string
	Addr    string // "ip:port"
	Pool    string
	Centre  string // data centre
	Region  string
	Stage   Stage
	Leaving bool
	// Version is the version of the server's software. Versions have no order.
	Version string
	// Birth is the Unix millisecond of the server's start, 0 if unknown.
	Birth int64
}

// Query describes a request that needs a server.
type Query struct {
	Pool   string
	Prompt int // length in tokens, 0 for a plain service
	// Avoid lists the servers to which this request has already been sent.
	Avoid []string
	// Bound is set if the request continues a stream that servers of the software version
	// Version began. Another version does not generate what follows; prompts may be processed
	// by any.
	Bound   bool
	Version string
	// Speeds is set if servers are chosen by the speed that was measured. Answer then describes
	// the answer to a model request.
	Speeds bool
	Answer Answer
	// Unsafe is set if the request may run only once.
	Unsafe bool
}

// allows reports whether a server may get the request of the query at all.
func (q *Query) allows(s *Server) bool {
	return !slices.Contains(q.Avoid, s.ID) && (!q.Bound || s.Stage == Prefill || s.Version == q.Version)
}

// Choice holds the servers selected for a request. Prefill is nil if Server processes
// the prompt itself.
type Choice struct {
	Server  *Server
	Prefill *Server
}

// Throttle knows how many requests may be sent to servers that limit them.
type Throttle interface {
	// Allows reports whether a request may be sent to a server now, and counts as demand for
	// it.
	Allows(now time.Time, server string) bool
	// Exhausted reports whether no request may be sent to a server now.
	Exhausted(now time.Time, server string) bool
}

// noThrottle allows every request.
type noThrottle struct{}

// Allows implements Throttle.
func (noThrottle) Allows(time.Time, string) bool { return true }

// Exhausted implements Throttle.
func (noThrottle) Exhausted(time.Time, string) bool { return false }

// Settings configures a Placer. Centre and Region are required.
type Settings struct {
	// Centre and Region are the data centre and the region of this process.
	Centre, Region string
	// PrefillRate and DecodeRate are the prompt tokens per millisecond that a prefill
	// server and a decode server process.
	PrefillRate, DecodeRate float64
	// RequestDelay is the estimated delay caused by each request running on a server.
	RequestDelay time.Duration
	// NearDelay is the estimated delay to a server in another data centre of the same
	// region, FarDelay that to a server in another region.
	NearDelay, FarDelay time.Duration
	// TransferDelay is the estimated delay of moving a processed prompt to its decode
	// server within a data centre. It counts twice between data centres and ten times
	// between regions.
	TransferDelay time.Duration
	// Penalty is how long a server is avoided after its first failure. It doubles with
	// each further failure, up to MaxPenalty.
	Penalty, MaxPenalty time.Duration
	// Paced reports whether the requests to servers of a pool are limited after a start or a
	// failure, instead of avoiding these servers. By default they are not.
	Paced func(pool string) bool
	// FullUse is the number of requests of this process at one server from which the server
	// counts as fully used, and is no longer limited.
	FullUse float64
	// Recorder records limits; nil for none.
	Recorder *pacer.Recorder
	// Throttle knows the servers that limit their requests. By default there are none.
	Throttle Throttle
	// Random returns a random number in [0, 1).
	Random func() float64
	// Now returns the current time. It defaults to time.Now.
	Now func() time.Time
}

const (
	// The default rates are those of a 70B model on four accelerators. A decode server
	// processes prompts at half the speed, between the tokens of other requests.
	defaultPrefillRate  = 50.0
	defaultDecodeRate   = 25.0
	defaultRequestDelay = 12 * time.Millisecond
	defaultNearDelay    = 3 * time.Millisecond
	// defaultFarDelay is the round-trip time between regions.
	defaultFarDelay = 25 * time.Millisecond
	// defaultTransferDelay covers the transfer and a margin for the resources it takes, so
	// that a separate prefill server is used only where it is clearly faster.
	defaultTransferDelay = 40 * time.Millisecond
	defaultPenalty       = 250 * time.Millisecond
	defaultMaxPenalty    = 4 * time.Second
	nearTransferFactor   = 2
	farTransferFactor    = 10
)

// Defaults sets zero fields to their default values.
func (s *Settings) Defaults() {
	defaulter.Default(&s.PrefillRate, defaultPrefillRate)
	defaulter.Default(&s.DecodeRate, defaultDecodeRate)
	defaulter.Default(&s.RequestDelay, defaultRequestDelay)
	defaulter.Default(&s.NearDelay, defaultNearDelay)
	defaulter.Default(&s.FarDelay, defaultFarDelay)
	defaulter.Default(&s.TransferDelay, defaultTransferDelay)
	defaulter.Default(&s.Penalty, defaultPenalty)
	defaulter.Default(&s.MaxPenalty, defaultMaxPenalty)
	defaulter.Default(&s.FullUse, defaultFullUse)
	if s.Paced == nil {
		s.Paced = func(string) bool { return false }
	}
	if s.Throttle == nil {
		s.Throttle = noThrottle{}
	}
	if s.Random == nil {
		s.Random = rand.Float64
	}
	if s.Now == nil {
		s.Now = time.Now
	}
}

// Validate checks that rates and durations are in range.
func (s *Settings) Validate() error {
	if s.PrefillRate < 0 || s.DecodeRate < 0 || s.Penalty < 0 || s.MaxPenalty < s.Penalty ||
		s.RequestDelay < 0 || s.NearDelay < 0 || s.FarDelay < 0 || s.TransferDelay < 0 {
		return errors.New("placer settings: rates and delays must not be negative, and MaxPenalty must not be below Penalty")
	}
	if !(s.FullUse >= 1) {
		return errors.Newf("placer settings: FullUse must be at least 1, got %g", s.FullUse)
	}

	return nil
}

// Placer selects servers. It is safe for concurrent use.
type Placer struct {
	s Settings

	mu      sync.Mutex
	pools   map[string][]*serverState
	servers map[string]*serverState // by id
	// departed holds the servers that announced their departure and are not listed. They
	// are kept because a server may be missing from the list only briefly.
	departed map[string]*serverState
	// usual holds the usual speeds and answers by pool, and answers the answer times of servers
	// that have no agent.
	usual   map[string]*usual
	answers *observer.Book
}

// serverState holds what this process knows about a server.
type serverState struct {
	Server
	running int // requests of this process
	// readTime is when the server is expected to have processed all prompts sent to it.
	readTime    time.Time
	failures    int       // since the last success
	avoidUntil  time.Time // other servers are preferred until then
	pausedUntil time.Time // no requests are sent until then
	fullUntil   time.Time // not expected to have memory to reserve until then
	// leavingSince is when the server announced its departure, zero if it has not.
	// listedLeaving is set once the host list has shown the server as leaving.
	leavingSince  time.Time
	listedLeaving bool
	// pace limits the requests after a start or a failure. It is nil until needed.
	pace *pacer.Pacer
}

// New returns a placer with an empty server list.
func New(s Settings) (*Placer, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Placer{s: s, pools: make(map[string][]*serverState), servers: make(map[string]*serverState), departed: make(map[string]*serverState), usual: make(map[string]*usual), answers: observer.NewBook()}, nil
}

// SetServers replaces the server list. The state of a server is kept while its ID,
// address and pool stay the same.
func (p *Placer) SetServers(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.servers
	var returned []*serverState
	p.pools, p.servers = make(map[string][]*serverState), make(map[string]*serverState, len(list))
	for _, s := range list {
		st := old[s.ID]
		if st == nil {
			st = p.departed[s.ID]
		}
		if st == nil || st.Addr != s.Addr || st.Pool != s.Pool {
			st = &serverState{}
			p.answers.Forget(s.ID)
		}
		if restarted := st.Birth != 0 && s.Birth != 0 && st.Birth != s.Birth; restarted || st.Leaving && !s.Leaving {
			returned = append(returned, st)
			p.answers.Forget(s.ID)
		}
		st.Server = s
		st.applyListed(s.Leaving)
		p.servers[s.ID] = st
		p.pools[s.Pool] = append(p.pools[s.Pool], st)
	}
	p.paceListed(p.s.Now(), old, returned)
	p.keepDeparted(old)
	for id := range old {
		if p.servers[id] == nil {
			p.answers.Forget(id)
		}
	}
}

// Count returns the number of servers in a pool that are not listed as leaving.
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

// Serves reports whether a server is listed, and not leaving, that could run the request of a
// query, whatever its load.
func (p *Placer) Serves(now time.Time, q Query) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, st := range p.pools[q.Pool] {
		if st.Stage != Prefill && !st.Leaving && !st.announcedLeaving(now) && q.allows(&st.Server) {
			return true
		}
	}

	return false
}

// Versions returns the software versions of the listed servers of a pool, also of those that
// are leaving, in order of their names.
func (p *Placer) Versions(pool string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, st := range p.pools[pool] {
		out = append(out, st.Version)
	}
	slices.Sort(out)

	return slices.Compact(out)
}

// PickPlain selects a server of a plain service.
func (p *Placer) PickPlain(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	typical := p.usualAnswer(now, q)
	best := p.pickCheapest(now, q, Plain, func(st *serverState) time.Duration {
		return p.distanceDelay(&st.Server) + time.Duration(st.running)*p.s.RequestDelay + p.slowDelay(now, st, typical)
	})
	if best == nil {
		return Choice{}, false
	}
	best.startRequest()

	return Choice{Server: best.serverCopy()}, true
}

// PickStream selects the decode server of a model request, and a prefill server if that
// is expected to return the first token sooner.
func (p *Placer) PickStream(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decodeRead := p.readDuration(q.Prompt, p.s.DecodeRate)
	decode := func(st *serverState) time.Duration {
		return p.distanceDelay(&st.Server) + time.Duration(st.running)*p.s.RequestDelay + remaining(now, st.readTime)
	}
	direct := p.pickCheapest(now, q, Decode, decode)
	if direct == nil {
		return Choice{}, false
	}
	pre := p.pickCheapest(now, q, Prefill, func(st *serverState) time.Duration {
		return p.distanceDelay(&st.Server) + remaining(now, st.readTime)
	})
	if pre != nil && p.class(now, pre, q) > 0 {
		pre = nil
	}
	if pre != nil {
		// The decode server does not process the prompt, but waits for the transfer.
		target := p.pickCheapest(now, q, Decode, func(st *serverState) time.Duration {
			return p.distanceDelay(&st.Server) + time.Duration(st.running)*p.s.RequestDelay + p.transferDelay(&pre.Server, &st.Server)
		})
		splitCost := p.distanceDelay(&pre.Server) + remaining(now, pre.readTime) + p.readDuration(q.Prompt, p.s.PrefillRate) +
			p.transferDelay(&pre.Server, &target.Server) + p.distanceDelay(&target.Server)
		if splitCost < decode(direct)+decodeRead {
			pre.readTime = laterOf(now, pre.readTime).Add(p.readDuration(q.Prompt, p.s.PrefillRate))
			pre.startRequest()
			target.startRequest()

			return Choice{Server: target.serverCopy(), Prefill: pre.serverCopy()}, true
		}
	}
	direct.readTime = laterOf(now, direct.readTime).Add(decodeRead)
	direct.startRequest()

	return Choice{Server: direct.serverCopy()}, true
}

// AgentLoad is the load that a server's agent last reported.
type AgentLoad struct {
	// Total and Free are counted in tokens for a decode server and in prompts for a
	// prefill server.
	Total, Free int
	// Wait is the expected queueing time of a request of the query's priority class.
	Wait    time.Duration
	Leaving bool
	Speed   observer.Speed
}

// Candidate is a server that a request may be sent to.
type Candidate struct {
	Server *Server
	// Cost is the estimated delay of using the server: network distance, queueing time,
	// and the transfer from or to the other server of the request.
	Cost time.Duration
	// Fit, Finish and Speed are set if servers are chosen by speed. Finish is the time in which
	// the planned answer is expected to be complete, and Speed that of the server, or the usual
	// one of its pool if it has not been measured.
	Fit    Fit
	Finish time.Duration
	Speed  observer.Speed
	wait   time.Duration // for memory
}

// occupancyDelay is added to the cost of a full server, and in proportion to that of a
// partly used one, so that requests spread out before they have to queue.
const occupancyDelay = 20 * time.Millisecond

// Rank returns the servers of a stage for which agentLoad has a load, the cheapest
// first. need is counted in the unit of AgentLoad. If other is set, it is the server already
// selected for the other stage, and the cost includes the transfer between the two.
func (p *Placer) Rank(
	now time.Time, q Query, stage Stage, need int, other *Server, agentLoad func(id string) (AgentLoad, bool),
) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Candidate
	for _, st := range p.pools[q.Pool] {
		// A prefill server is optional, so one that failed recently is left out; a decode
		// server is required, so it only costs more.
		trusted := stage != Prefill || !st.avoidUntil.After(now)
		if st.unavailable(now) || st.Stage != stage || !trusted || !q.allows(&st.Server) || !p.s.Throttle.Allows(now, st.ID) {
			continue
		}
		l, ok := agentLoad(st.ID)
		if !ok || l.Leaving {
			continue
		}
		c := Candidate{Server: st.serverCopy(), Cost: p.distanceDelay(&st.Server) + remaining(now, st.avoidUntil)}
		if q.Speeds {
			c.Speed = l.Speed
		}
		if other != nil {
			c.Cost += p.transferDelay(&st.Server, other)
		}
		if l.Free < need {
			c.wait = max(l.Wait, p.s.FarDelay)
			c.Cost += c.wait
		}
		if l.Total > 0 {
			c.Cost += time.Duration(float64(occupancyDelay) * (1 - float64(l.Free)/float64(l.Total)))
		}
		out = append(out, c)
	}
	if q.Speeds {
		p.applySpeeds(q, stage, out)
	}
	slices.SortStableFunc(out, compareCandidates)

	return out
}

// EndRequest records that a request has ended at a server. It must be called once for each
// server of a Choice.
func (p *Placer) EndRequest(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.servers[id]; st != nil && st.running > 0 {
		st.running--
	}
}

// MarkPromptRead records that a server has processed a prompt. If it runs no other request,
// its backlog of prompts is cleared.
func (p *Placer) MarkPromptRead(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return
	}
	if st.running <= 1 {
		st.readTime = now
	}
}

// pickCheapest returns the available server with the lowest cost, or nil. It skips the
// servers of q.Avoid, uses one that failed recently only if there is no other, and breaks
// ties at random.
func (p *Placer) pickCheapest(now time.Time, q Query, stage Stage, cost func(*serverState) time.Duration) *serverState {
	var best *serverState
	var bestClass, same int
	var bestCost time.Duration
	for _, st := range p.pools[q.Pool] {
		if st.unavailable(now) || st.Stage != stage || !q.allows(&st.Server) || !p.s.Throttle.Allows(now, st.ID) {
			continue
		}
		class, c := p.class(now, st, q), cost(st)
		switch {
		case best == nil || class < bestClass || class == bestClass && c < bestCost:
			best, bestClass, bestCost, same = st, class, c, 1
		case class == bestClass && c == bestCost:
			if same++; p.s.Random()*float64(same) < 1 {
				best = st
			}
		}
	}

	return best
}

func (st *serverState) serverCopy() *Server {
	s := st.Server

	return &s
}
