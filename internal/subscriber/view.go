package subscriber

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/damasklever/damasklever/internal/planner"
	"github.com/damasklever/damasklever/internal/wire"
)

// View is one immutable state of the configuration. The messages and lists that
// it hands out are shared and read only.
type View struct {
	index, revision uint64

	plan *planner.Planner // nil before the first plan

	services map[string]*wire.Service
	ranks    map[string]*wire.Rank
	rules    map[string]*wire.Rule
	servers  map[string]*wire.Server
	blocks   map[string]*wire.Block

	// Lists derived from the maps.
	serviceList []*wire.Service
	rankList    []*wire.Rank
	ruleList    []*wire.Rule
	byService   map[string][]*wire.Server
}

func emptyView() *View { return (&View{}).next(&wire.Update{Full: true}) }

// Index returns the log index of the last change in the view.
func (v *View) Index() uint64 { return v.index }

// Revision returns the operators' revision.
func (v *View) Revision() uint64 { return v.revision }

// Service returns a service by name, or nil.
func (v *View) Service(name string) *wire.Service { return v.services[name] }

// Services returns all services, sorted by name.
func (v *View) Services() []*wire.Service { return v.serviceList }

// Rank returns a rank by name, or nil.
func (v *View) Rank(name string) *wire.Rank { return v.ranks[name] }

// Ranks returns all ranks, the most urgent first.
func (v *View) Ranks() []*wire.Rank { return v.rankList }

// Rules returns all rules in the order in which they are matched.
func (v *View) Rules() []*wire.Rule { return v.ruleList }

// Servers returns the servers of a service, sorted by name, drained ones too.
func (v *View) Servers(service string) []*wire.Server { return v.byService[service] }

// Server returns a server by name, or nil.
func (v *View) Server(name string) *wire.Server { return v.servers[name] }

// Blocked returns the block of a digest that is in effect at now, or nil.
func (v *View) Blocked(digest string, now time.Time) *wire.Block {
	b := v.blocks[digest]
	if b == nil || b.GetUntil() <= now.UnixMilli() {
		return nil
	}

	return b
}

// Plan returns the routing plan in force, or nil before the first one.
func (v *View) Plan() *planner.Planner { return v.plan }

// Fence returns the current fencing token of a server, 0 if it is unknown.
func (v *View) Fence(server string) uint64 { return v.servers[server].GetFence() }

// next returns the view after an update. Maps without a change are shared.
func (v *View) next(u *wire.Update) *View {
	gone := make(map[string][]string)
	for _, r := range u.GetRemovals() {
		gone[r.GetKind()] = append(gone[r.GetKind()], r.GetName())
	}
	n := &View{index: u.GetIndex(), revision: u.GetRevision()}
	full := u.GetFull()
	if n.plan = v.plan; full {
		n.plan = nil
	}
	if u.GetPlan() != nil {
		n.plan = planner.New(u.GetPlan())
	}
	n.services = merge(v.services, u.GetServices(), gone["service"], full, (*wire.Service).GetName)
	n.ranks = merge(v.ranks, u.GetRanks(), gone["rank"], full, (*wire.Rank).GetName)
	n.rules = merge(v.rules, u.GetRules(), gone["rule"], full, (*wire.Rule).GetName)
	n.servers = merge(v.servers, u.GetServers(), gone["server"], full, (*wire.Server).GetName)
	n.blocks = merge(v.blocks, u.GetBlocks(), gone["block"], full, (*wire.Block).GetDigest)
	n.serviceList = sorted(n.services, func(a, b *wire.Service) int { return strings.Compare(a.GetName(), b.GetName()) })
	n.rankList = sorted(n.ranks, func(a, b *wire.Rank) int {
		return cmp.Or(cmp.Compare(a.GetLevel(), b.GetLevel()), strings.Compare(a.GetName(), b.GetName()))
	})
	n.ruleList = sorted(n.rules, func(a, b *wire.Rule) int {
		return cmp.Or(cmp.Compare(a.GetOrder(), b.GetOrder()), strings.Compare(a.GetName(), b.GetName()))
	})
	n.byService = v.byService
	if full || len(u.GetServers()) > 0 || len(gone["server"]) > 0 {
		n.byService = group(n.servers)
	}

	return n
}

func merge[T any](old map[string]T, changed []T, gone []string, full bool, name func(T) string) map[string]T {
	if !full && len(changed) == 0 && len(gone) == 0 {
		return old
	}
	out := make(map[string]T, len(changed))
	if !full {
		out = maps.Clone(old)
	}
	for _, m := range changed {
		out[name(m)] = m
	}
	for _, g := range gone {
		delete(out, g)
	}

	return out
}

func sorted[T any](from map[string]T, compare func(a, b T) int) []T {
	return slices.SortedFunc(maps.Values(from), compare)
}

func group(servers map[string]*wire.Server) map[string][]*wire.Server {
	out := make(map[string][]*wire.Server)
	for _, s := range servers {
		out[s.GetService()] = append(out[s.GetService()], s)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *wire.Server) int { return strings.Compare(a.GetName(), b.GetName()) })
	}

	return out
}
