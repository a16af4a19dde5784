package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/picker"
	"github.com/damasklever/damasklever/internal/wire"
)

// fleet is what the entry believes of the backend servers. It makes picker and
// admitter, which serve one goroutine, safe for all.
type fleet struct {
	mu             sync.Mutex
	picker         *picker.Picker
	admitter       *admitter.Admitter
	region, centre string
	view           View
	known          map[string]bool
	epochs         map[string]uint64
}

func newFleet(region, centre string, seed uint64) (*fleet, error) {
	s := picker.Defaults()
	s.Seed = seed
	p, err := picker.New(s)
	if err != nil {
		return nil, errors.Newf("set up picker: %w", err)
	}
	a, err := admitter.New(admitter.Defaults())
	if err != nil {
		return nil, errors.Newf("set up admitter: %w", err)
	}

	return &fleet{
		picker: p, admitter: a, region: region, centre: centre,
		known: make(map[string]bool), epochs: make(map[string]uint64),
	}, nil
}

// count returns the number of backend servers of the last view.
func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.known)
}

// update applies a view. A server without a load report counts as empty.
func (f *fleet) update(now time.Time, v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	_ = f.admitter.Configure(admission(v)) // the settings are always valid
	var servers []picker.Server
	seen := make(map[string]bool)
	for _, service := range v.Services() {
		for _, s := range v.Servers(service.GetName()) {
			servers = append(servers, picker.Server{
				Name: s.GetName(), Service: s.GetService(), Phase: s.GetPhase(), Region: s.GetRegion(),
				Centre: s.GetCentre(), Pieces: int(s.GetPieces()), Drained: s.GetDrained(),
			})
			seen[s.GetName()] = true
			f.introduce(now, s)
		}
	}
	for name := range f.known {
		if !seen[name] {
			delete(f.known, name)
			delete(f.epochs, name)
			f.admitter.Forget(now, name)
		}
	}
	f.picker.SetServers(now, servers)
}

func (f *fleet) introduce(now time.Time, s *wire.Server) {
	name := s.GetName()
	fresh := !f.known[name] || f.epochs[name] != s.GetEpoch()
	if s.GetDrained() {
		f.known[name] = false
		f.admitter.Forget(now, name)
	} else if fresh {
		f.known[name] = true
		f.admitter.Observe(now, name, admitter.Load{
			Service: s.GetService(), Phase: s.GetPhase(), Total: int(s.GetPieces()), Free: int(s.GetPieces()),
		})
	}
	f.epochs[name] = s.GetEpoch()
}

// admission derives the settings of the admitter from the ranks and rules.
func admission(v View) admitter.Settings {
	s := admitter.Defaults()
	ranks := make([]admitter.Rank, 1)
	for _, r := range v.Ranks() {
		for len(ranks) <= int(r.GetLevel()) {
			ranks = append(ranks, admitter.Rank{})
		}
		ranks[r.GetLevel()] = admitter.Rank{
			First: milliseconds(r.GetFirst()), Gap: max(milliseconds(r.GetGap()), 0), Share: share(v, r.GetName()),
		}
	}
	for i := range ranks {
		if ranks[i].First <= 0 {
			ranks[i].First = math.MaxInt64 / 4 // no target
		}
		if ranks[i].Share == 0 {
			ranks[i].Share = 100
		}
	}
	s.Ranks = ranks

	return s
}

// share returns the largest share that a rule of the rank allows.
func share(v View, rank string) int {
	var most int32
	for _, r := range v.Rules() {
		if r.GetRank() == rank {
			most = max(most, r.GetShare())
		}
	}

	return int(min(most, 100))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// observe takes a load report of an agent.
func (f *fleet) observe(now time.Time, server string, m *wire.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(server)
	if s == nil {
		return
	}
	waits := make([]time.Duration, len(m.GetWaits()))
	for i, w := range m.GetWaits() {
		waits[i] = milliseconds(w)
	}
	total, free := int(m.GetTotal()), int(m.GetFree())
	f.picker.Observe(now, server, picker.Load{Total: total, Free: free, Waits: waits, Leaving: m.GetLeaving()})
	load := admitter.Load{
		Service: s.GetService(), Phase: s.GetPhase(), Total: total, Free: free, Waits: waits,
		Gone: m.GetLeaving() || s.GetDrained(),
	}
	switch s.GetPhase() {
	case picker.Prefill:
		load.Rate = float64(m.GetRate())
	case picker.Decode:
		load.Gap = time.Duration(m.GetRate()) * time.Microsecond
	}
	f.admitter.Observe(now, server, load)
}

func (f *fleet) server(name string) *wire.Server {
	if f.view == nil {
		return nil
	}

	return f.view.Server(name)
}

// cached takes a cache event of an agent.
func (f *fleet) cached(now time.Time, server string, e *wire.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.Cached(now, server, e.GetGone(), false)
	f.picker.Cached(now, server, e.GetAdded(), true)
}

func (f *fleet) admit(now time.Time, q admitter.Query) admitter.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.admitter.Admit(now, q)
}

func (f *fleet) done(now time.Time, q admitter.Query) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitter.Done(now, q)
}

func (f *fleet) succeed(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.Succeed(server)
}

// regionOf returns the region of a server, empty if it is unknown.
func (f *fleet) regionOf(server string) string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.server(server).GetRegion()
}

// policy is the dispatcher's port to the fleet, with the regions of the rule
// that a request matched.
type policy struct {
	fleet   *fleet
	regions []string
}

var _ dispatcher.Policy = policy{}

var phases = map[wire.Phase]string{
	wire.Phase_PHASE_PREFILL: picker.Prefill,
	wire.Phase_PHASE_DECODE:  picker.Decode,
	wire.Phase_PHASE_PLAIN:   picker.Plain,
}

// Pick implements dispatcher.Policy.
func (p policy) Pick(now time.Time, r *dispatcher.Request, c dispatcher.Choice) []string {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	q := picker.Query{
		Service: r.Service, Phase: phases[c.Phase], Rank: r.Rank, Region: p.fleet.region,
		Centre: p.fleet.centre, Near: c.Near, Prefix: r.Prefix, Tokens: int(r.Tokens),
		Pieces: int(r.Pieces), Avoid: c.Avoid,
	}
	allowed := p.allowed(q)
	if allowed != nil {
		q.Avoid = append(slices.Clone(q.Avoid), p.outside(q)...)
	}
	var names []string
	for _, candidate := range p.fleet.picker.Pick(now, q, c.Count) {
		names = append(names, candidate.Server)
	}
	if len(names) == 0 && len(allowed) > 0 {
		// The picker samples and may have seen none of the allowed regions.
		//nolint:gosec // load balancing needs no secret
		rand.Shuffle(len(allowed), func(i, j int) { allowed[i], allowed[j] = allowed[j], allowed[i] })
		names = allowed[:min(c.Count, len(allowed))]
	}

	return names
}

// allowed returns the servers in the regions of the rule, nil if it names none.
func (p policy) allowed(q picker.Query) []string {
	if len(p.regions) == 0 || p.fleet.view == nil {
		return nil
	}
	names := []string{}
	for _, s := range p.fleet.view.Servers(q.Service) {
		if s.GetPhase() == q.Phase && !s.GetDrained() && slices.Contains(p.regions, s.GetRegion()) &&
			!slices.Contains(q.Avoid, s.GetName()) {
			names = append(names, s.GetName())
		}
	}

	return names
}

func (p policy) outside(q picker.Query) []string {
	var names []string
	for _, s := range p.fleet.view.Servers(q.Service) {
		if !slices.Contains(p.regions, s.GetRegion()) {
			names = append(names, s.GetName())
		}
	}

	return names
}

// Retry implements dispatcher.Policy.
func (p policy) Retry(now time.Time, service string) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()

	return p.fleet.admitter.Retry(now, service)
}

// Fail implements dispatcher.Policy.
func (p policy) Fail(now time.Time, server string) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.picker.Fail(now, server)
}
