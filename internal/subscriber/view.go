package subscriber

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// View is an immutable snapshot of the configuration. The messages and slices that
// it returns are shared and must not be modified.
type View struct {
	index, revision uint64

	plan *matcher.Matcher // nil before the first plan

	services map[string]*wire.Service
	ranks    map[string]*wire.Rank
	rules    map[string]*wire.Rule
	servers  map[string]*wire.Server
	blocks   map[string]*wire.Block
	segments map[string]*wire.Segment
	versions map[string]*wire.Versions

	// Derived from the maps.
	serviceList      []*wire.Service
	rankList         []*wire.Rank
	ruleList         []*wire.Rule
	serversByService map[string][]*wire.Server
}

func emptyView() *View { return (&View{}).apply(&wire.Update{Full: true}) }

// Index returns the log index of the last change that the view contains.
func (v *View) Index() uint64 { return v.index }

// Revision returns the revision of the configuration, as shown to operators.
func (v *View) Revision() uint64 { return v.revision }

// Service returns the service with the given name, or nil.
func (v *View) Service(name string) *wire.Service { return v.services[name] }

// Services returns all services, sorted by name.
func (v *View) Services() []*wire.Service { return v.serviceList }

// Rank returns the rank with the given name, or nil.
func (v *View) Rank(name string) *wire.Rank { return v.ranks[name] }

// Ranks returns all ranks, most urgent first.
func (v *View) Ranks() []*wire.Rank { return v.rankList }

// Rules returns all rules in matching order.
func (v *View) Rules() []*wire.Rule { return v.ruleList }

// Servers returns the servers of a service, including drained ones, sorted by name.
func (v *View) Servers(service string) []*wire.Server { return v.serversByService[service] }

// Server returns the server with the given name, or nil.
func (v *View) Server(name string) *wire.Server { return v.servers[name] }

// Blocked returns the block that is in effect at now for a request digest, or nil.
func (v *View) Blocked(digest string, now time.Time) *wire.Block {
	b := v.blocks[digest]
	if b == nil || b.GetUntil() <= now.UnixMilli() {
		return nil
	}

	return b
}

// Suspected reports whether a segment of prompts is suspected of crashing servers.
func (v *View) Suspected(segment string) bool { return v.segments[segment] != nil }

// Versions returns the software versions of a pool whose streams may still go on, in order
// of their names.
func (v *View) Versions(pool string) []string { return v.versions[pool].GetVersions() }

// Plan returns the current routing plan, or nil if there is none yet.
func (v *View) Plan() *matcher.Matcher { return v.plan }

// Fence returns the current fencing token of a server, or 0 if the server is
// unknown.
func (v *View) Fence(server string) uint64 { return v.servers[server].GetFence() }

// apply returns the view that results from an update. Maps that do not change are
// shared with v.
func (v *View) apply(u *wire.Update) *View {
	removed := make(map[string][]string)
	for _, r := range u.GetRemovals() {
		removed[r.GetKind()] = append(removed[r.GetKind()], r.GetName())
	}
	n := &View{index: u.GetIndex(), revision: u.GetRevision()}
	full := u.GetFull()
	if n.plan = v.plan; full {
		n.plan = nil
	}
	if u.GetPlan() != nil {
		n.plan = matcher.New(u.GetPlan())
	}
	n.services = merge(v.services, u.GetServices(), removed["service"], full, (*wire.Service).GetName)
	n.ranks = merge(v.ranks, u.GetRanks(), removed["rank"], full, (*wire.Rank).GetName)
	n.rules = merge(v.rules, u.GetRules(), removed["rule"], full, (*wire.Rule).GetName)
	n.servers = merge(v.servers, u.GetServers(), removed["server"], full, (*wire.Server).GetName)
	n.blocks = merge(v.blocks, u.GetBlocks(), removed["block"], full, (*wire.Block).GetDigest)
	n.segments = merge(v.segments, u.GetSegments(), removed["segment"], full, (*wire.Segment).GetName)
	n.versions = merge(v.versions, u.GetVersions(), removed["versions"], full, (*wire.Versions).GetPool)
	n.serviceList = sorted(n.services, func(a, b *wire.Service) int { return strings.Compare(a.GetName(), b.GetName()) })
	n.rankList = sorted(n.ranks, func(a, b *wire.Rank) int {
		return cmp.Or(cmp.Compare(a.GetLevel(), b.GetLevel()), strings.Compare(a.GetName(), b.GetName()))
	})
	n.ruleList = sorted(n.rules, func(a, b *wire.Rule) int {
		return cmp.Or(cmp.Compare(a.GetOrder(), b.GetOrder()), strings.Compare(a.GetName(), b.GetName()))
	})
	n.serversByService = v.serversByService
	if full || len(u.GetServers()) > 0 || len(removed["server"]) > 0 {
		n.serversByService = groupByService(n.servers)
	}

	return n
}

// merge returns the map old with the changed and removed elements applied, or, if
// full is set, a new map of the changed elements.
func merge[T any](old map[string]T, changed []T, removed []string, full bool, name func(T) string) map[string]T {
	if !full && len(changed) == 0 && len(removed) == 0 {
		return old
	}
	out := make(map[string]T, len(changed))
	if !full {
		out = maps.Clone(old)
	}
	for _, m := range changed {
		out[name(m)] = m
	}
	for _, g := range removed {
		delete(out, g)
	}

	return out
}

func sorted[T any](from map[string]T, compare func(a, b T) int) []T {
	return slices.SortedFunc(maps.Values(from), compare)
}

func groupByService(servers map[string]*wire.Server) map[string][]*wire.Server {
	out := make(map[string][]*wire.Server)
	for _, s := range servers {
		out[s.GetService()] = append(out[s.GetService()], s)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *wire.Server) int { return strings.Compare(a.GetName(), b.GetName()) })
	}

	return out
}
