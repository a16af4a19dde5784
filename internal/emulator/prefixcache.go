package emulator

import (
	"container/list"
	"time"
)

// prefixCache is an LRU cache of prefix hashes.
type prefixCache struct {
	capacity int
	recency  *list.List // of uint64, the most recently used first
	elements map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), elements: make(map[uint64]*list.Element)}
}

// matchPrefix returns how many of the leading hashes are cached.
func (c *prefixCache) matchPrefix(prefix []uint64) int {
	for i, hash := range prefix {
		item := c.elements[hash]
		if item == nil {
			return i
		}
		c.recency.MoveToFront(item)
	}

	return len(prefix)
}

// insert stores the hashes. It returns the hashes that are new and those that were
// evicted.
func (c *prefixCache) insert(prefix []uint64) (added, evicted []uint64) {
	// The last hash comes first, so that the head of a prefix is evicted last: a
	// hash is of no use without those before it.
	for i := len(prefix) - 1; i >= 0; i-- {
		hash := prefix[i]
		if item := c.elements[hash]; item != nil {
			c.recency.MoveToFront(item)

			continue
		}
		c.elements[hash] = c.recency.PushFront(hash)
		added = append(added, hash)
	}
	for c.recency.Len() > c.capacity {
		item := c.recency.Back()
		hash, _ := c.recency.Remove(item).(uint64)
		delete(c.elements, hash)
		evicted = append(evicted, hash)
	}

	return added, evicted
}

// scheduledEvent is a cache event and the time from which watchers see it. A lost
// event is empty.
type scheduledEvent struct {
	visibleAt time.Time
	event     Event
}

// Event is one line of the watch stream. The first line has Boot, a number that
// differs for each start of the engine, and Name, the name of the engine. A
// heartbeat has only Beat.
type Event struct {
	Boot  int64    `json:"boot,omitempty"`
	Name  string   `json:"name,omitempty"`
	Beat  bool     `json:"beat,omitempty"`
	Seq   uint64   `json:"seq,omitempty"`
	Added []uint64 `json:"added,omitempty"`
	Gone  []uint64 `json:"gone,omitempty"`
}

// publishCacheEvent schedules a cache event. Every LostEventInterval-th event is
// lost and leaves a gap in the sequence. The caller holds mu.
func (p *process) publishCacheEvent(added, evicted []uint64) {
	if len(added)+len(evicted) == 0 {
		return
	}
	seq := uint64(len(p.scheduledEvents) + 1)
	scheduled := scheduledEvent{
		visibleAt: time.Now().Add(p.engine.settings.EventDelay),
		event:     Event{Seq: seq, Added: added, Gone: evicted},
	}
	if gap := p.engine.settings.LostEventInterval; gap > 0 && seq%uint64(gap) == 0 {
		scheduled.event = Event{}
	}
	p.scheduledEvents = append(p.scheduledEvents, scheduled)
}
