package granter

import (
	"slices"
	"time"
)

type state int

const (
	waiting  state = iota
	promised       // granted, to be dispatched at firm
	wanted         // promised, and Use found no free units
	used           // occupies units
)

// item is one ask from its arrival to its end.
type item struct {
	Ask
	units int
	work  float64 // unit-seconds; seconds on a serial server
	state state
	firm  time.Time // when the units are needed
	end   time.Time // expected release
	began time.Time
}

// class is the queue of one rank in the order of item.before.
type class struct {
	waiting []*item
	work    float64 // unit-seconds waiting
	served  meter
	typical float64   // work of one grant, moving average
	asked   time.Time // of the last ask
	callers map[string]*meter
}

// meter is an amount of granted work that decays exponentially.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) read(now time.Time, decay func(time.Duration) float64) float64 {
	if d := now.Sub(m.at); d > 0 {
		m.value *= decay(d)
		m.at = now
	}

	return m.value
}

// before orders the asks of a rank. An ask without Hold on a server that also
// gets asks with Hold is for a prefill that is done and evicted in under a
// second, whatever its due time.
func (it *item) before(other *item) bool {
	if ready := it.Hold == 0; ready != (other.Hold == 0) {
		return ready
	}

	return !other.Due.Before(it.Due)
}

func (c *class) add(it *item) {
	i, _ := slices.BinarySearchFunc(c.waiting, it, func(a, b *item) int {
		if a.before(b) {
			return -1
		}

		return 1
	})
	c.waiting = slices.Insert(c.waiting, i, it)
	c.work += it.work
}

func (c *class) remove(it *item) {
	if i := slices.Index(c.waiting, it); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.work -= it.work
	}
	if len(c.waiting) == 0 {
		c.work = 0
	}
}

// typicalWeight is the weight of the latest grant in class.typical.
const typicalWeight = 0.05

// charge counts granted work towards the rank's floor and the caller's share.
func (c *class) charge(now time.Time, it *item, decay func(time.Duration) float64) {
	c.served.read(now, decay)
	c.served.value += it.work
	if c.typical == 0 {
		c.typical = it.work
	}
	c.typical += typicalWeight * (it.work - c.typical)
	m := c.callers[it.Caller]
	if m == nil {
		m = &meter{at: now}
		c.callers[it.Caller] = m
	}
	m.read(now, decay)
	m.value += it.work
}

// forget drops the meters of callers without recent work.
func (c *class) forget(now time.Time, decay func(time.Duration) float64) {
	const idle = 1e-3 // unit-seconds, too little to matter for a share
	for name, m := range c.callers {
		if m.read(now, decay) < idle {
			delete(c.callers, name)
		}
	}
}

// memory remembers withdrawn ids, bounded in number and time.
type memory struct {
	since map[string]time.Time
	order []string
}

func (m *memory) add(now time.Time, id string, s Settings) {
	m.prune(now, s)
	if _, ok := m.since[id]; ok {
		return
	}
	if len(m.order) >= s.Withdrawn {
		delete(m.since, m.order[0])
		m.order = m.order[1:]
	}
	m.since[id] = now
	m.order = append(m.order, id)
}

func (m *memory) prune(now time.Time, s Settings) {
	for len(m.order) > 0 && now.Sub(m.since[m.order[0]]) > s.Retention {
		delete(m.since, m.order[0])
		m.order = m.order[1:]
	}
}
