package picker

// maxHolders bounds the servers remembered for one prefix. More copies add
// little: the nearest idle one is usually among the latest four.
const maxHolders = 4

// holders are the servers believed to cache one prefix, the latest last.
type holders struct {
	server [maxHolders]string
	n      int
}

func (h *holders) names() []string { return h.server[:h.n] }

func (h *holders) has(server string) bool {
	for _, s := range h.server[:h.n] {
		if s == server {
			return true
		}
	}

	return false
}

func (h *holders) add(server string) {
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

func (h *holders) remove(server string) {
	for i, s := range h.server[:h.n] {
		if s == server {
			copy(h.server[i:], h.server[i+1:h.n])
			h.n--
			h.server[h.n] = ""

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

func (c *cache) add(hash uint64, server string) {
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
func (c *cache) remove(hash uint64, server string) {
	if h := c.holders[hash]; h != nil {
		h.remove(server)
	}
}

// forget removes a server that left the view.
func (c *cache) forget(server string) {
	for _, h := range c.holders {
		h.remove(server)
	}
}

// longest returns the longest cached prefix and its holders, or nil.
func (c *cache) longest(prefix []uint64) (int, *holders) {
	low := max(len(prefix)-maxPrefix, 0)
	for i := len(prefix); i > low; i-- {
		if h := c.holders[prefix[i-1]]; h != nil && h.n > 0 {
			return i, h
		}
	}

	return 0, nil
}
