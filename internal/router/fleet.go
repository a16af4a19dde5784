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

// fleet holds what the entry knows about the backend servers. It guards the picker
// and the admitter, which aren't safe for concurrent use, with a mutex.
type fleet struct {
	mu             sync.Mutex
	picker         *picker.Picker
	admitter       *admitter.Admitter
	region, centre string
	view           View
	known          map[string]bool   // servers of the last view, false while drained
	epochs         map[string]uint64 // epoch of each server's agent in the last view
}

// newFleet returns a fleet without servers. The region and centre are those of the
// entry, and seed initializes the picker's random generator.
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

// count returns the number of backend servers in the last view.
func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.known)
}

// update applies a view. A server that hasn't reported its load yet counts as idle.
func (f *fleet) update(now time.Time, v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	_ = f.admitter.Configure(admitterSettings(v)) // admitterSettings returns valid settings only
	var servers []picker.Server
	seen := make(map[string]bool)
	for _, service := range v.Services() {
		for _, s := range v.Servers(service.GetName()) {
			servers = append(servers, picker.Server{
				Name: s.GetName(), Service: s.GetService(), Phase: s.GetPhase(), Region: s.GetRegion(),
				Centre: s.GetCentre(), Pieces: int(s.GetPieces()), Drained: s.GetDrained(),
			})
			seen[s.GetName()] = true
			f.updateServer(now, s)
		}
	}
	for name := range f.known {
		if !seen[name] {
			delete(f.known, name)
			delete(f.epochs, name)
			f.admitter.RemoveServer(now, name)
		}
	}
	f.picker.SetServers(now, servers)
}

// updateServer tells the admitter about a server that is new, has restarted or is no
// longer drained, and removes a drained one from it. The caller holds f.mu.
func (f *fleet) updateServer(now time.Time, s *wire.Server) {
	name := s.GetName()
	isNew := !f.known[name] || f.epochs[name] != s.GetEpoch()
	if s.GetDrained() {
		f.known[name] = false
		f.admitter.RemoveServer(now, name)
	} else if isNew {
		f.known[name] = true
		f.admitter.Observe(now, name, admitter.Load{
			Service: s.GetService(), Phase: s.GetPhase(), Total: int(s.GetPieces()), Free: int(s.GetPieces()),
		})
	}
	f.epochs[name] = s.GetEpoch()
}

// admitterSettings derives the admitter's settings from the ranks and rules of a
// view.
func admitterSettings(v View) admitter.Settings {
	s := admitter.Defaults()
	ranks := make([]admitter.Rank, 1)
	for _, r := range v.Ranks() {
		for len(ranks) <= int(r.GetLevel()) {
			ranks = append(ranks, admitter.Rank{})
		}
		ranks[r.GetLevel()] = admitter.Rank{
			First: milliseconds(r.GetFirst()), TokenGap: max(milliseconds(r.GetGap()), 0), Share: maxShare(v, r.GetName()),
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

// maxShare returns the largest share, in percent, among the rules of a rank.
func maxShare(v View, rank string) int {
	var largest int32
	for _, r := range v.Rules() {
		if r.GetRank() == rank {
			largest = max(largest, r.GetShare())
		}
	}

	return int(min(largest, 100))
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// observeLoad passes an agent's load report to the picker and the admitter. A report
// from a server that isn't in the view is ignored.
func (f *fleet) observeLoad(now time.Time, server string, report *wire.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.server(server)
	if s == nil {
		return
	}
	waits := make([]time.Duration, len(report.GetWaits()))
	for i, w := range report.GetWaits() {
		waits[i] = milliseconds(w)
	}
	total, free := int(report.GetTotal()), int(report.GetFree())
	f.picker.Observe(now, server, picker.Load{Total: total, Free: free, Waits: waits, Leaving: report.GetLeaving()})
	load := admitter.Load{
		Service: s.GetService(), Phase: s.GetPhase(), Total: total, Free: free, Waits: waits,
		Removed: report.GetLeaving() || s.GetDrained(),
	}
	// The reported rate depends on the phase: tokens per second for prefill,
	// microseconds per token for decode.
	switch s.GetPhase() {
	case picker.Prefill:
		load.PrefillRate = float64(report.GetRate())
	case picker.Decode:
		load.TokenGap = time.Duration(report.GetRate()) * time.Microsecond
	}
	f.admitter.Observe(now, server, load)
}

// server returns a server of the view, or nil. The caller holds f.mu.
func (f *fleet) server(name string) *wire.Server {
	if f.view == nil {
		return nil
	}

	return f.view.Server(name)
}

// updateCache records which prompt blocks entered or left a server's KV cache.
func (f *fleet) updateCache(now time.Time, server string, e *wire.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.ObserveCache(now, server, e.GetGone(), false)
	f.picker.ObserveCache(now, server, e.GetAdded(), true)
}

// admit decides whether a request may start.
func (f *fleet) admit(now time.Time, q admitter.Query) admitter.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.admitter.Admit(now, q)
}

// requestDone tells the admitter that an admitted request has ended.
func (f *fleet) requestDone(now time.Time, q admitter.Query) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitter.Done(now, q)
}

// recordSuccess tells the picker that a server has answered a request.
func (f *fleet) recordSuccess(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.picker.Succeed(server)
}

// regionOf returns the region of a server, empty if the server is unknown.
func (f *fleet) regionOf(server string) string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.server(server).GetRegion()
}

// fleetPolicy selects servers of the fleet for one request. The regions are those of
// the rule that the request matched; with none, all regions are allowed.
type fleetPolicy struct {
	fleet   *fleet
	regions []string
}

var _ dispatcher.Policy = fleetPolicy{}

// phaseNames maps phases to the names that servers are configured with.
var phaseNames = map[wire.Phase]string{
	wire.Phase_PHASE_PREFILL: picker.Prefill,
	wire.Phase_PHASE_DECODE:  picker.Decode,
	wire.Phase_PHASE_PLAIN:   picker.Plain,
}

// Pick implements dispatcher.Policy.
func (p fleetPolicy) Pick(now time.Time, r *dispatcher.Request, selection dispatcher.Selection) []string {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	q := picker.Query{
		Service: r.Service, Phase: phaseNames[selection.Phase], Rank: r.Rank, Region: p.fleet.region,
		Centre: p.fleet.centre, KVCachePeer: selection.KVCachePeer, Prefix: r.Prefix, Tokens: int(r.Tokens),
		Pieces: int(r.Pieces), Exclude: selection.Exclude,
	}
	allowedServers := p.allowedServers(q)
	if allowedServers != nil {
		q.Exclude = append(slices.Clone(q.Exclude), p.outsideRegions(q)...)
	}
	var names []string
	for _, candidate := range p.fleet.picker.Pick(now, q, selection.Count) {
		names = append(names, candidate.Server)
	}
	if len(names) == 0 && len(allowedServers) > 0 {
		// The picker only samples the servers, so it can miss all of the allowed
		// ones.
		//nolint:gosec // load balancing doesn't need a cryptographic generator
		rand.Shuffle(len(allowedServers), func(i, j int) {
			allowedServers[i], allowedServers[j] = allowedServers[j], allowedServers[i]
		})
		names = allowedServers[:min(selection.Count, len(allowedServers))]
	}

	return names
}

// allowedServers returns the servers that a query may use in the rule's regions, nil if
// the rule names no regions.
func (p fleetPolicy) allowedServers(q picker.Query) []string {
	if len(p.regions) == 0 || p.fleet.view == nil {
		return nil
	}
	names := []string{}
	for _, s := range p.fleet.view.Servers(q.Service) {
		if s.GetPhase() == q.Phase && !s.GetDrained() && slices.Contains(p.regions, s.GetRegion()) &&
			!slices.Contains(q.Exclude, s.GetName()) {
			names = append(names, s.GetName())
		}
	}

	return names
}

// outsideRegions returns the service's servers outside the rule's regions.
func (p fleetPolicy) outsideRegions(q picker.Query) []string {
	var names []string
	for _, s := range p.fleet.view.Servers(q.Service) {
		if !slices.Contains(p.regions, s.GetRegion()) {
			names = append(names, s.GetName())
		}
	}

	return names
}

// TakeRetry implements dispatcher.Policy.
func (p fleetPolicy) TakeRetry(now time.Time, service string) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()

	return p.fleet.admitter.TakeRetry(now, service)
}

// Fail implements dispatcher.Policy.
func (p fleetPolicy) Fail(now time.Time, server string) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.picker.Fail(now, server)
}
