// Package stager decides how many servers of a pool process prompts, and which. It answers a
// load of long answers on servers of uneven speed: decode memory is full while prefill servers
// are mostly idle, and answers on slow servers hold memory longest. It does no I/O.
package stager

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fullMemory is the used share of decode memory at which requests wait for it.
	fullMemory = 0.9
	// minMemory is the used share from which the load tells how the stages compare.
	minMemory = 0.3
	// calmMemory is the used share up to which decode servers can be spared for some seconds.
	calmMemory = 0.5
	// maxBusy is the share of busy prefill servers up to which prompts hardly queue, and
	// tooBusy that from which they delay the first event of answers.
	maxBusy = 0.55
	tooBusy = 0.85
	// slowSpeed is the speed, relative to the median of the pool, up to which a server is to
	// process prompts rather than generate answers, and minGain the factor by which the server
	// that takes its place must be faster.
	slowSpeed = 0.7
	minGain   = 1.25
	// slowDecisions is the number of successive decisions at which a server is found slow before
	// it changes: one that is slow for some seconds would be away for as long.
	slowDecisions = 5
	// changingDivisor limits concurrent changes to one in changingDivisor prefill servers, but
	// at least one.
	changingDivisor = 4
	// rest is how long a server keeps its stage after a change.
	rest = 30 * time.Second
)

// Server is a server that may change its stage.
type Server struct {
	ID, Region string
	// Token is the measured time for each output token, 0 if unknown.
	Token time.Duration
	// Fixed is set if the server cannot change its stage.
	Fixed bool
}

// Pool is the state of a pool: the servers of both stages that are not changing, moving averages
// of the used share of decode memory and of the share of busy prefill servers, and the number of
// servers that are changing their stage.
type Pool struct {
	Decode, Prefill []Server
	Memory, Busy    float64
	Changing        int
}

// Change is a server that is to change its stage.
type Change struct {
	ID       string
	ToDecode bool
}

// Stager decides for one pool. It remembers the speeds of servers that no longer generate
// answers. It is not safe for concurrent use.
type Stager struct {
	speeds  map[string]float64 // by id, relative to the median of the decode servers
	changed map[string]time.Time
	slow    map[string]int // successive decisions at which a server was slow
}

// New returns a Stager that knows no speeds.
func New() *Stager {
	return &Stager{speeds: make(map[string]float64), changed: make(map[string]time.Time), slow: make(map[string]int)}
}

// Decide returns the changes to begin now.
func (s *Stager) Decide(now time.Time, p Pool) []Change {
	s.learn(p)
	if len(p.Decode) == 0 || len(p.Prefill) == 0 {
		return nil
	}
	limit := max(len(p.Prefill)/changingDivisor, 1) - p.Changing
	var out []Change
	if p.Memory >= minMemory {
		out = s.toDecode(now, p, limit)
	}
	if len(out) == 0 && p.Memory <= calmMemory && limit > 0 {
		out = s.swap(now, p)
	}
	if len(out) == 0 && p.Memory <= calmMemory && limit > 0 && p.Busy >= tooBusy {
		out = s.toPrefill(now, p)
	}
	for _, c := range out {
		s.changed[c.ID] = now
	}

	return out
}

// Speed returns the speed of a server relative to the median of the decode servers, 1 if it is
// unknown.
func (s *Stager) Speed(id string) float64 {
	if speed := s.speeds[id]; speed > 0 {
		return speed
	}

	return 1
}

// learn updates the speeds from the decode servers.
func (s *Stager) learn(p Pool) {
	var tokens []time.Duration
	for _, server := range p.Decode {
		if server.Token > 0 {
			tokens = append(tokens, server.Token)
		}
	}
	if len(tokens) == 0 {
		return
	}
	slices.Sort(tokens)
	median := tokens[len(tokens)/2]
	for _, server := range p.Decode {
		if server.Token <= 0 {
			continue
		}
		s.speeds[server.ID] = float64(median) / float64(server.Token)
		if s.speeds[server.ID] <= slowSpeed {
			s.slow[server.ID]++
		} else {
			delete(s.slow, server.ID)
		}
	}
}

// Cancel takes back a change that the server has not accepted.
func (s *Stager) Cancel(id string) { delete(s.changed, id) }

// Retain forgets the servers that are gone.
func (s *Stager) Retain(exists func(id string) bool) {
	for id := range s.speeds {
		if !exists(id) {
			s.Forget(id)
		}
	}
	for id := range s.changed {
		if !exists(id) {
			s.Forget(id)
		}
	}
}

// Forget forgets a server that is gone or has started again.
func (s *Stager) Forget(id string) {
	delete(s.speeds, id)
	delete(s.changed, id)
	delete(s.slow, id)
}

// busyAtFull estimates the share of busy prefill servers at the demand at which decode memory
// is full, if the stages had the given servers.
func (s *Stager) busyAtFull(p Pool, decode, prefill []Server) float64 {
	capacity := s.capacity(prefill)
	if capacity == 0 {
		return math.Inf(1)
	}
	demand := fullMemory / p.Memory * s.capacity(decode) / s.capacity(p.Decode)

	return p.Busy * demand * s.capacity(p.Prefill) / capacity
}

func (s *Stager) capacity(servers []Server) float64 {
	sum := 0.0
	for _, server := range servers {
		sum += s.Speed(server.ID)
	}

	return sum
}

// toDecode moves prefill servers to decode while the remaining ones keep up with full decode
// memory, the fastest first.
func (s *Stager) toDecode(now time.Time, p Pool, limit int) []Change {
	decode, prefill := slices.Clone(p.Decode), slices.Clone(p.Prefill)
	var out []Change
	for len(out) < limit {
		i := s.fastest(now, prefill, "")
		if i < 0 {
			break
		}
		server := prefill[i]
		decode, prefill = append(decode, server), slices.Delete(prefill, i, i+1)
		if s.busyAtFull(p, decode, prefill) > maxBusy {
			break
		}
		out = append(out, Change{ID: server.ID, ToDecode: true})
	}

	return out
}

// toPrefill moves the slowest decode server to prefill.
func (s *Stager) toPrefill(now time.Time, p Pool) []Change {
	if i := s.slowest(now, p.Decode); i >= 0 && len(p.Decode) > len(p.Prefill) {
		return []Change{{ID: p.Decode[i].ID}}
	}

	return nil
}

// swap lets the slowest decode server change places with a faster prefill server, one of its
// own region if there is any.
func (s *Stager) swap(now time.Time, p Pool) []Change {
	i := s.slowest(now, p.Decode)
	if i < 0 || s.slow[p.Decode[i].ID] < slowDecisions {
		return nil
	}
	slow := p.Decode[i]
	j := s.fastest(now, p.Prefill, slow.Region)
	if j < 0 || s.Speed(p.Prefill[j].ID) < minGain*s.Speed(slow.ID) {
		return nil
	}

	return []Change{{ID: slow.ID}, {ID: p.Prefill[j].ID, ToDecode: true}}
}

// fastest returns the index of the fastest prefill server that may change: one of the given
// region if it has one, otherwise one of the regions with the most servers, so that prompts need
// not cross regions. It returns -1 if there is none.
func (s *Stager) fastest(now time.Time, prefill []Server, region string) int {
	count := make(map[string]int)
	for _, server := range prefill {
		count[server.Region]++
	}
	best := -1
	for i, server := range prefill {
		if !s.mayChange(now, server) || region != server.Region && count[server.Region] <= 1 {
			continue
		}
		if best < 0 || s.preferred(server, prefill[best], count, region) {
			best = i
		}
	}

	return best
}

// preferred reports whether prefill server a is to change rather than b.
func (s *Stager) preferred(a, b Server, count map[string]int, region string) bool {
	if near := a.Region == region; near != (b.Region == region) {
		return near
	}
	if c := cmp.Compare(s.Speed(a.ID), s.Speed(b.ID)); c != 0 {
		return c > 0
	}

	return count[a.Region] > count[b.Region]
}

// slowest returns the index of the slowest decode server that may change, or -1.
func (s *Stager) slowest(now time.Time, decode []Server) int {
	best := -1
	for i, server := range decode {
		if s.mayChange(now, server) && (best < 0 || s.Speed(server.ID) < s.Speed(decode[best].ID)) {
			best = i
		}
	}

	return best
}

func (s *Stager) mayChange(now time.Time, server Server) bool {
	at, changed := s.changed[server.ID]

	return !server.Fixed && (!changed || now.Sub(at) >= rest)
}
