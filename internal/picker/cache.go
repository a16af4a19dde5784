package picker

import "slices"

// maxHolders limits the servers remembered for one prefix. Remembering more adds
// little, because the nearest idle one is usually among the latest four.
const maxHolders = 4

// holders lists the servers believed to have cached a prefix, the latest last.
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

// prefixIndex maps prefix hashes to the servers believed to have cached them. When it
// is full, the oldest hash is evicted.
type prefixIndex struct {
	holders map[uint64]*holders
	fifo    []uint64 // hashes in order of arrival
	next    int
}

func newPrefixIndex(size int) prefixIndex {
	return prefixIndex{holders: map[uint64]*holders{}, fifo: make([]uint64, 0, size)}
}

func (c *prefixIndex) add(hash uint64, server *node) {
	h := c.holders[hash]
	if h == nil {
		h = &holders{}
		c.holders[hash] = h
		if len(c.fifo) < cap(c.fifo) {
			c.fifo = append(c.fifo, hash)
		} else {
			delete(c.holders, c.fifo[c.next])
			c.fifo[c.next] = hash
			c.next = (c.next + 1) % len(c.fifo)
		}
	}
	h.add(server)
}

// remove leaves an empty entry in the index; it is evicted when it is the oldest.
func (c *prefixIndex) remove(hash uint64, server *node) {
	if h := c.holders[hash]; h != nil {
		h.remove(server)
	}
}

// removeNode removes a server from every prefix.
func (c *prefixIndex) removeNode(server *node) {
	for _, h := range c.holders {
		h.remove(server)
	}
}

// maxMatches is how many servers are considered for their prefix cache, in addition
// to the sample.
const maxMatches = 2

// longestMatches appends to matches the servers believed to have cached the longest
// prefixes of the prompt, the longest first, up to a total of maxMatches.
func (c *prefixIndex) longestMatches(prefix []uint64, matches []match) []match {
	low := max(len(prefix)-maxLookups, 0)
	for i := len(prefix); i > low && len(matches) < maxMatches; i-- {
		h := c.holders[prefix[i-1]]
		if h == nil {
			continue
		}
		for _, server := range h.server[:h.n] {
			known := slices.ContainsFunc(matches, func(x match) bool { return x.node == server })
			if !known && len(matches) < maxMatches {
				matches = append(matches, match{server, i})
			}
		}
	}

	return matches
}
