package versioner

import (
	"cmp"
	"slices"

	"github.com/damasklever/damasklever/internal/digester"
	"github.com/damasklever/damasklever/internal/placer"
)

const (
	// maxKeepers limits the agents that keep origins. All entries have sessions with them, so
	// that in a large fleet the sessions grow with the entries and not with their product
	// with the servers.
	maxKeepers = 32
	// minCopies is the number of keepers of each kind that keep each origin. Two may leave or
	// fail within the time of a stream.
	minCopies = 3
	// maxLookups is the number of keepers of each kind that are asked for an origin. It is
	// larger than minCopies because the keepers may have changed since the stream began.
	maxLookups = 8
)

// keeper is one start of a process that keeps origins.
type keeper struct {
	name  string
	epoch uint64
}

// keeperSet holds the names of the keepers of one kind. It is immutable, and the same for all
// entries with the same lists of servers and control hosts.
type keeperSet struct {
	ready  []string // keepers that get new origins
	all    []string // those and some that are leaving, which are only asked
	copies int      // number of keepers that get each origin
}

// newControlSet returns the set of control hosts. Of the hosts that have a copy, one is in any
// majority of the members, so that an origin outlives all agents and entries.
func newControlSet(members, others []string) *keeperSet {
	k := &keeperSet{ready: slices.Clone(members), all: slices.Clone(members), copies: max(minCopies, (len(members)+1)/2)}
	for _, name := range others {
		if !slices.Contains(k.all, name) {
			k.all = append(k.all, name)
		}
	}

	return k
}

// newAgentSet selects the agents that keep origins, among those beside the model servers of a
// list. The selection changes little when servers are added or removed.
func newAgentSet(list []placer.Server) *keeperSet {
	var ready, all []string
	for _, s := range list {
		if s.Stage == placer.Plain {
			continue
		}
		all = append(all, s.ID)
		if !s.Leaving {
			ready = append(ready, s.ID)
		}
	}
	k := &keeperSet{ready: rank("", ready, maxKeepers), copies: minCopies}
	k.all = slices.Clone(k.ready)
	for _, id := range rank("", all, maxKeepers) {
		if !slices.Contains(k.all, id) {
			k.all = append(k.all, id)
		}
	}

	return k
}

// rank returns the first n servers in an order that depends on the key (rendezvous hashing).
func rank(key string, servers []string, n int) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, len(servers))
	for i, id := range servers {
		all[i] = scored{id, digester.Score(key, id)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.id, b.id)) })
	out := make([]string, 0, min(n, len(all)))
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.id)
	}

	return out
}
