package controller

import (
	"sync"

	"github.com/damasklever/damasklever/internal/wire"
)

// attachments holds the processes attached to this host.
type attachments struct {
	mu     sync.Mutex
	all    map[*attachment]struct{}
	notify chan struct{} // closed when there is something new
}

// attachment is one attached process.
type attachment struct {
	attach  *wire.Attach
	index   uint64 // highest index the process reported
	leaving bool
	flights []*wire.Flight
	usages  []*wire.Usage
}

func newAttachments() *attachments {
	return &attachments{all: make(map[*attachment]struct{}), notify: make(chan struct{})}
}

func (d *attachments) add(a *wire.Attach) *attachment {
	s := &attachment{attach: a, index: a.GetIndex()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[s] = struct{}{}

	return s
}

func (d *attachments) remove(s *attachment) (leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.all, s)

	return s.leaving
}

func (d *attachments) beat(s *attachment, b *wire.Beat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.index = max(s.index, b.GetIndex())
	s.leaving = s.leaving || b.GetLeaving()
	s.flights = b.GetFlights()
	s.usages = b.GetUsages()
}

// wake closes the channel that changed returned.
func (d *attachments) wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.notify)
	d.notify = make(chan struct{})
}

func (d *attachments) changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.notify
}

// count answers a census of this host. A process that attached again before its
// old stream ended counts once.
func (d *attachments) count(q *wire.Census, host uint64) *wire.Count {
	d.mu.Lock()
	defer d.mu.Unlock()
	type key struct {
		name  string
		epoch uint64
	}
	latest := make(map[key]*attachment)
	for s := range d.all {
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

func (s *attachment) process(full bool, host uint64) *wire.Process {
	a := s.attach
	p := &wire.Process{Name: a.GetName(), Role: a.GetRole(), Epoch: a.GetEpoch(), Index: s.index, Host: host}
	if full {
		p.Leaving, p.Addr, p.Region, p.Centre = s.leaving, a.GetAddr(), a.GetRegion(), a.GetCentre()
		p.Flights = s.flights
	}

	return p
}
