package picker

import "slices"

// maxHolders bounds the servers remembered for one prefix. More copies add
// little: the nearest idle one is usually among the latest four.
const maxHolders = 4

// holders are the servers believed to cache one prefix, the latest last.
type holders struct {
	server [maxHolders]*node
	n      int
}

func (h *holders) has(server *node) bool {
	return slices.Contains(h.server[:h.n], server)
}

func (h *holders) add(server *node) {
	if h.has(server) {
		return
	}
	if h.n == maxHolders {
		copy(h.server[:], h.server[1:])
		h.n--
	}
	h.server[h.n] = server
	h.n++
}

func (h *holders) remove(server *node) {
	for i, s := range h.server[:h.n] {
		if s == server {
			copy(h.server[i:], h.server[i+1:h.n])
			h.n--
			h.server[h.n] = nil

			return
		}
	}
}

// cache is the view of the servers' prefix caches, bounded by forgetting the
// oldest hash first.
type cache struct {
	holders map[uint64]*holders
	ring    []uint64 // hashes in order of arrival
	next    int
}

func newCache(size int) cache {
	return cache{holders: map[uint64]*holders{}, ring: make([]uint64, 0, size)}
}

func (c *cache) add(hash uint64, server *node) {
	h := c.holders[hash]
	if h == nil {
		h = &holders{}
		c.holders[hash] = h
		if len(c.ring) < cap(c.ring) {
			c.ring = append(c.ring, hash)
		} else {
			delete(c.holders, c.ring[c.next])
			c.ring[c.next] = hash
			c.next = (c.next + 1) % len(c.ring)
		}
	}
	h.add(server)
}

// remove keeps an emptied entry, which leaves the ring by its age.
func (c *cache) remove(hash uint64, server *node) {
	if h := c.holders[hash]; h != nil {
		h.remove(server)
	}
}

// forget removes a server that left the view.
func (c *cache) forget(server *node) {
	for _, h := range c.holders {
		h.remove(server)
	}
}

// maxHits is how many servers outside the sample are looked at for their cache.
const maxHits = 2

// longest appends the servers believed to hold the longest cached prefixes to
// hits, at most maxHits of them, the longest first.
func (c *cache) longest(prefix []uint64, hits []hit) []hit {
	low := max(len(prefix)-maxPrefix, 0)
	for i := len(prefix); i > low && len(hits) < maxHits; i-- {
		h := c.holders[prefix[i-1]]
		if h == nil {
			continue
		}
		for _, server := range h.server[:h.n] {
			known := slices.ContainsFunc(hits, func(x hit) bool { return x.node == server })
			if !known && len(hits) < maxHits {
				hits = append(hits, hit{server, i})
			}
		}
	}

	return hits
}
