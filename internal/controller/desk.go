package controller

import (
	"sync"

	"github.com/damasklever/damasklever/internal/wire"
)

// desk holds the processes attached to this host.
type desk struct {
	mu    sync.Mutex
	seats map[*seat]struct{}
	bell  chan struct{} // closed when there is something new
}

// seat is one attached process.
type seat struct {
	attach  *wire.Attach
	index   uint64 // highest index the process reported
	leaving bool
	flights []*wire.Flight
}

func newDesk() *desk {
	return &desk{seats: make(map[*seat]struct{}), bell: make(chan struct{})}
}

func (d *desk) add(a *wire.Attach) *seat {
	s := &seat{attach: a, index: a.GetIndex()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seats[s] = struct{}{}

	return s
}

func (d *desk) remove(s *seat) (leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.seats, s)

	return s.leaving
}

func (d *desk) beat(s *seat, b *wire.Beat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.index = max(s.index, b.GetIndex())
	s.leaving = s.leaving || b.GetLeaving()
	s.flights = b.GetFlights()
}

// wake closes the channel that changed returned.
func (d *desk) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.bell)
	d.bell = make(chan struct{})
}

func (d *desk) changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.bell
}

// count answers a census of this host. A process that attached again before its
// old stream ended counts once.
func (d *desk) count(q *wire.Census, host uint64) *wire.Count {
	d.mu.Lock()
	defer d.mu.Unlock()
	type key struct {
		name  string
		epoch uint64
	}
	latest := make(map[key]*seat)
	for s := range d.seats {
		k := key{s.attach.GetName(), s.attach.GetEpoch()}
		if old := latest[k]; old == nil || old.index <= s.index {
			latest[k] = s
		}
	}
	sum := &wire.Count{}
	for _, s := range latest {
		sum.Known++
		if s.index >= q.GetIndex() {
			sum.Force++
		}
		if q.GetFull() || s.attach.GetRole() == entryRole {
			sum.Entries = append(sum.Entries, s.process(q.GetFull(), host))
		}
	}

	return sum
}

func (s *seat) process(full bool, host uint64) *wire.Process {
	a := s.attach
	p := &wire.Process{Name: a.GetName(), Role: a.GetRole(), Epoch: a.GetEpoch(), Index: s.index, Host: host}
	if full {
		p.Leaving, p.Addr, p.Region, p.Centre = s.leaving, a.GetAddr(), a.GetRegion(), a.GetCentre()
		p.Flights = s.flights
	}

	return p
}
