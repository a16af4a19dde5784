package borrower

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/damasklever/damasklever/internal/placer"
)

const (
	// decodeSessions and prefillSessions are the lenders of each stage that an entry keeps
	// sessions with while it finds memory there.
	decodeSessions  = 32
	prefillSessions = 16
	// coverage is the number of entries that have a session with each lender at least, on
	// average: with 8, one lender of 3,000 has none.
	coverage = 8
	// wideFactor is how many times as many sessions an entry keeps after it was refused.
	wideFactor = 2
)

// Subset says which lenders an entry keeps sessions with. It answers the size of the
// fleet: a session costs both ends memory, and messages several times a second, so a
// mesh of all entries and all servers grows with the square of the fleet.
type Subset struct {
	// Name tells the entries apart, so that they choose different servers.
	Name string
	// Centre and Region are those of the entry.
	Centre, Region string
	// Entries is the number of entries, 0 if unknown.
	Entries int
	// Wide is set for a while after lenders have refused.
	Wide bool
}

// Choose returns the ids of the servers with lenders that the entry keeps sessions with:
// half of each stage from its own data centre, a quarter from its region and a quarter
// from elsewhere, where there are as many. The choice changes little when servers come
// and go.
func (s Subset) Choose(servers []placer.Server) map[string]bool {
	out := make(map[string]bool)
	for stage, sessions := range map[placer.Stage]int{placer.Decode: decodeSessions, placer.Prefill: prefillSessions} {
		var all []placer.Server
		for _, server := range servers {
			if server.Stage == stage {
				all = append(all, server)
			}
		}
		for _, server := range s.nearest(all, s.size(sessions, len(all))) {
			out[server.ID] = true
		}
	}

	return out
}

// size is the number of sessions with servers of a stage.
func (s Subset) size(sessions, servers int) int {
	if s.Entries > 0 {
		sessions = max(sessions, coverage*servers/s.Entries)
	}
	if s.Wide {
		sessions *= wideFactor
	}

	return min(sessions, servers)
}

// nearest chooses a number of servers.
func (s Subset) nearest(servers []placer.Server, size int) []placer.Server {
	if size >= len(servers) {
		return servers
	}
	scores := make(map[string]uint64, len(servers))
	for _, server := range servers {
		scores[server.ID] = s.score(server.ID)
	}
	slices.SortFunc(servers, func(a, b placer.Server) int { return cmp.Compare(scores[a.ID], scores[b.ID]) })
	var groups [3][]placer.Server
	for _, server := range servers {
		groups[s.distance(server)] = append(groups[s.distance(server)], server)
	}
	var out, rest []placer.Server
	for distance, part := range []int{size / 2, size / 4, size - size/2 - size/4} {
		n := min(part, len(groups[distance]))
		out, rest = append(out, groups[distance][:n]...), append(rest, groups[distance][n:]...)
	}

	return append(out, rest[:size-len(out)]...)
}

// distance is 0 for the entry's data centre, 1 for its region and 2 for others.
func (s Subset) distance(server placer.Server) int {
	switch {
	case server.Centre == s.Centre:
		return 0
	case server.Region == s.Region:
		return 1
	default:
		return 2
	}
}

// score orders the servers differently for each entry (rendezvous hashing).
func (s Subset) score(id string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(s.Name + "\x00" + id)) // it never fails
	x := sum.Sum64()
	// Names that differ in their last letter only have similar sums.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd

	return x ^ x>>33
}
