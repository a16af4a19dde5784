package imitator

import (
	"container/list"
	"time"
)

// cache keeps the most recently used prefix hashes.
type cache struct {
	size  int
	order *list.List // of uint64, the most recent first
	items map[uint64]*list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), items: make(map[uint64]*list.Element)}
}

// hits returns how many of the leading hashes are cached.
func (c *cache) hits(prefix []uint64) int {
	for i, hash := range prefix {
		item := c.items[hash]
		if item == nil {
			return i
		}
		c.order.MoveToFront(item)
	}

	return len(prefix)
}

// add stores the hashes and returns which are new and which were evicted.
func (c *cache) add(prefix []uint64) (added, gone []uint64) {
	// The last hash first, so that the head of a prefix is evicted last.
	for i := len(prefix) - 1; i >= 0; i-- {
		hash := prefix[i]
		if item := c.items[hash]; item != nil {
			c.order.MoveToFront(item)

			continue
		}
		c.items[hash] = c.order.PushFront(hash)
		added = append(added, hash)
	}
	for c.order.Len() > c.size {
		item := c.order.Back()
		hash, _ := c.order.Remove(item).(uint64)
		delete(c.items, hash)
		gone = append(gone, hash)
	}

	return added, gone
}

// record is a cache event that becomes visible at a time.
type record struct {
	at    time.Time
	event Event
}

// Event is one line of the watch stream. The first has Boot, a number that
// differs for each start, and the engine's name; a heartbeat has only Beat.
type Event struct {
	Boot  int64    `json:"boot,omitempty"`
	Name  string   `json:"name,omitempty"`
	Beat  bool     `json:"beat,omitempty"`
	Seq   uint64   `json:"seq,omitempty"`
	Added []uint64 `json:"added,omitempty"`
	Gone  []uint64 `json:"gone,omitempty"`
}

// publish stores a cache event; every EventGap-th one is lost and leaves a gap
// in the sequence. The caller holds mu.
func (l *life) publish(added, gone []uint64) {
	if len(added)+len(gone) == 0 {
		return
	}
	seq := uint64(len(l.events) + 1)
	r := record{
		at:    time.Now().Add(l.engine.settings.EventDelay),
		event: Event{Seq: seq, Added: added, Gone: gone},
	}
	if gap := l.engine.settings.EventGap; gap > 0 && seq%uint64(gap) == 0 {
		r.event = Event{}
	}
	l.events = append(l.events, r)
}

// loadSample is the load at a time, kept to report it with a lag.
type loadSample struct {
	at   time.Time
	load Load
}

// Load is the engine's own load report.
type Load struct {
	Total   int64   `json:"total"`
	Free    int64   `json:"free"`
	Running int     `json:"running"`
	Rate    float64 `json:"rate"`
	Role    string  `json:"role"`
}

// sample notes the load. The caller holds mu.
func (l *life) sample() {
	s := l.engine.settings
	now := time.Now()
	l.loads = append(l.loads, loadSample{at: now, load: Load{
		Total: s.Pieces, Free: s.Pieces - l.held, Running: len(l.running()),
		Rate: l.rate(), Role: l.engine.role,
	}})
	for len(l.loads) > 1 && now.Sub(l.loads[1].at) > s.LoadDelay {
		l.loads = l.loads[1:]
	}
}

// report returns the load as it was LoadDelay ago. The caller holds mu.
func (l *life) report() Load {
	s := l.engine.settings
	load := Load{Total: s.Pieces, Free: s.Pieces, Rate: l.rate(), Role: l.engine.role}
	for _, sample := range l.loads {
		if time.Since(sample.at) < s.LoadDelay {
			break
		}
		load = sample.load
	}
	load.Role = l.engine.role

	return load
}

func (l *life) rate() float64 {
	if l.engine.role == statePrefill {
		return l.engine.settings.PrefillRate
	}

	return l.engine.settings.DecodeRate
}
