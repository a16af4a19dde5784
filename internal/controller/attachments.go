package controller

import (
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// attachments tracks the processes attached to this host.
type attachments struct {
	mu        sync.Mutex
	processes map[*attachment]struct{}
	changes   chan struct{} // closed and replaced at each change of the state
}

// attachment is the stream of one attached process and what it last reported.
type attachment struct {
	attach  *wire.Attach
	index   uint64 // highest index reported by the process
	leaving bool
	flights []*wire.Flight
	usages  []*wire.Usage
	// throttles were received at throttledAt.
	throttles   []*wire.Throttle
	throttledAt time.Time
}

func newAttachments() *attachments {
	return &attachments{processes: make(map[*attachment]struct{}), changes: make(chan struct{})}
}

func (d *attachments) add(a *wire.Attach) *attachment {
	s := &attachment{attach: a, index: a.GetIndex()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[s] = struct{}{}

	return s
}

func (d *attachments) remove(s *attachment) (leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.processes, s)

	return s.leaving
}

func (d *attachments) recordHeartbeat(now time.Time, s *attachment, b *wire.Beat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.index = max(s.index, b.GetIndex())
	s.leaving = s.leaving || b.GetLeaving()
	s.flights = b.GetFlights()
	s.usages = b.GetUsages()
	s.throttles, s.throttledAt = b.GetThrottles(), now
}

// notifyAll closes the channel that changeSignal returned and replaces it.
func (d *attachments) notifyAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changes)
	d.changes = make(chan struct{})
}

func (d *attachments) changeSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.changes
}

// count answers a process query for this host. A process that reattached before its
// old stream ended is counted once.
func (d *attachments) count(q *wire.Census, host uint64) *wire.Count {
	d.mu.Lock()
	defer d.mu.Unlock()
	type key struct {
		name  string
		epoch uint64
	}
	latest := make(map[key]*attachment)
	for s := range d.processes {
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
			sum.Entries = append(sum.Entries, s.toProcess(q.GetFull(), host))
		}
	}

	return sum
}

func (s *attachment) toProcess(full bool, host uint64) *wire.Process {
	a := s.attach
	p := &wire.Process{Name: a.GetName(), Role: a.GetRole(), Epoch: a.GetEpoch(), Index: s.index, Host: host}
	if full {
		p.Leaving, p.Addr, p.Region, p.Centre = s.leaving, a.GetAddr(), a.GetRegion(), a.GetCentre()
		p.Flights = s.flights
	}

	return p
}
