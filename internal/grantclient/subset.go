package grantclient

import (
	"cmp"
	"slices"

	"github.com/damasklever/damasklever/internal/digester"
	"github.com/damasklever/damasklever/internal/placer"
)

const (
	// decodeSessions and prefillSessions are the numbers of grant servers of decode and prefill
	// servers that an entry keeps sessions with while it finds free memory there.
	decodeSessions  = 32
	prefillSessions = 16
	// entriesPerServer is the minimum average number of entries that have a session with
	// each grant server. With 8, one grant server in 3,000 has no session.
	entriesPerServer = 8
	// wideFactor multiplies the number of sessions of an entry that was refused.
	wideFactor = 2
)

// Subset selects the grant servers that an entry keeps sessions with. A session costs memory
// at both ends and several messages per second, so a full mesh of entries and servers
// would grow with the square of the fleet size.
type Subset struct {
	// Name identifies the entry, so that different entries select different servers.
	Name string
	// Centre and Region are the data centre and the region of the entry.
	Centre, Region string
	// Entries is the number of entries, 0 if unknown.
	Entries int
	// Wide requests more sessions. It is set for a while after grant servers have refused.
	Wide bool
}

// Choose returns the IDs of the backend servers whose grant servers the entry keeps sessions
// with. For each stage, half of them are in its own data centre, a quarter elsewhere in its
// region and a quarter in other regions, as far as there are enough servers. The selection
// changes little when servers are added or removed.
func (s Subset) Choose(servers []placer.Server) map[string]bool {
	out := make(map[string]bool)
	for stage, sessions := range map[placer.Stage]int{placer.Decode: decodeSessions, placer.Prefill: prefillSessions} {
		var all []placer.Server
		for _, server := range servers {
			if server.Stage == stage {
				all = append(all, server)
			}
		}
		for _, server := range s.selectServers(all, s.sessionCount(sessions, len(all))) {
			out[server.ID] = true
		}
	}

	return out
}

// sessionCount returns the number of sessions to keep with servers of one stage.
func (s Subset) sessionCount(sessions, servers int) int {
	if s.Entries > 0 {
		sessions = max(sessions, entriesPerServer*servers/s.Entries)
	}
	if s.Wide {
		sessions *= wideFactor
	}

	return min(sessions, servers)
}

// selectServers selects size servers by distance and, within a distance, by score.
func (s Subset) selectServers(servers []placer.Server, size int) []placer.Server {
	if size >= len(servers) {
		return servers
	}
	scores := make(map[string]uint64, len(servers))
	for _, server := range servers {
		scores[server.ID] = digester.Score(s.Name, server.ID)
	}
	slices.SortFunc(servers, func(a, b placer.Server) int { return cmp.Compare(scores[a.ID], scores[b.ID]) })
	var groups [3][]placer.Server
	for _, server := range servers {
		groups[s.distance(server)] = append(groups[s.distance(server)], server)
	}
	var out, rest []placer.Server
	for distance, quota := range []int{size / 2, size / 4, size - size/2 - size/4} {
		n := min(quota, len(groups[distance]))
		out, rest = append(out, groups[distance][:n]...), append(rest, groups[distance][n:]...)
	}

	return append(out, rest[:size-len(out)]...)
}

// distance returns 0 for servers in the entry's data centre, 1 for others in its region
// and 2 for servers in other regions.
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
