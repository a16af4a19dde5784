package placer

import (
	"hash/fnv"
	"math"
)

// mixSize is the number of requests by which the mix of sizes is known.
const mixSize = 128

// mix is what the requests of a pool have needed lately. It gives each size its place
// among the servers of the pool, so that memory does not come free in pieces that are too
// small for the large requests: those of about a size share servers, and each size has
// servers in proportion to the memory that it asks for.
type mix struct {
	needs [mixSize]int // a ring, in tokens
	next  int
	size  int
}

func (m *mix) add(need int) {
	m.needs[m.next] = need
	m.next = (m.next + 1) % mixSize
	m.size = min(m.size+1, mixSize)
}

// place is the share, from 0 to 1, of the memory asked for by smaller requests, with half
// of that by equal ones.
func (m *mix) place(need int) float64 {
	var below, all float64
	for _, n := range m.needs[:m.size] {
		all += float64(n)
		switch {
		case n < need:
			below += float64(n)
		case n == need:
			below += float64(n) / 2
		}
	}
	if all == 0 {
		return 0
	}

	return below / all
}

// position is where a server stands among those of its pool, from 0 to 1. It is the same
// in all processes.
func position(id string) float64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id)) // it never fails
	// The bits of short names differ mostly in the lower half.
	x := sum.Sum64() * 0x9e3779b97f4a7c15

	return float64(x>>11) / (math.MaxUint64 >> 11)
}
