// Package balancer moves servers of a pool between prefill and decode when the load has
// shifted for long enough. One process does so at a time.
package balancer

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
)

// Report is what a server says of itself.
type Report struct {
	Stage placer.Stage
	// Used and Total are tokens; used ones cannot be evicted.
	Used, Total int
	// Running and Waiting are requests.
	Running, Waiting int
	// Busy tells that an order is being carried out.
	Busy    bool
	Leaving bool
	// Sequence is the number of orders that the server has accepted since its start.
	Sequence int64
}

// State is a server of a pool with its newest report.
type State struct {
	Server placer.Server
	Report Report
}

// Move is an order to a server to do the other work.
type Move struct {
	Server placer.Server
	To     placer.Stage
	// Sequence is the one that the server must still have.
	Sequence int64
}

const (
	// fullMemory is the share of the decode servers' memory in use from which requests
	// are expected to wait for memory: the pieces that are free are on many servers.
	fullMemory = 0.7
	// calmMemory is the share below which a decode server can be spared.
	calmMemory = 0.4
	// calmReading is the share of prefill servers at work, after one has left, up to which
	// the others are expected to take its prompts without a queue.
	calmReading = 0.55
	// fullReading is the share from which prompts are expected to wait.
	fullReading = 0.85
	// weight is that of the newest look in the averages: a burst of a second or two moves
	// nothing.
	weight = 0.4
	// moveTimeout is how long an order may go without effect before its server counts as
	// it reports again.
	moveTimeout = 20 * time.Second
	// atATime is the part of the servers of a stage that may be away at a time.
	atATime = 4
)

// load is the averaged load of a pool.
type load struct {
	memory  float64 // share of the decode servers' memory in use
	reading float64 // share of the prefill servers at work
	looks   int
}

// enoughLooks is the number of looks that the averages need.
const enoughLooks = 3

// move is an order whose effect has not shown.
type move struct {
	to    placer.Stage
	until time.Time
}

// Decider decides on the moves of one pool. It answers the load of a pool whose decode
// memory is full while its prefill servers are idle, or the other way round, for long
// enough that the seconds which a server is away for are won back. It does no I/O.
type Decider struct {
	load  load
	moves map[string]move // by server
	// deaf are servers whose order had no effect; they get no other one.
	deaf map[string]bool
}

// NewDecider returns a decider that has seen nothing.
func NewDecider() *Decider {
	return &Decider{moves: make(map[string]move), deaf: make(map[string]bool)}
}

// Next takes the newest reports of a pool and returns the moves to order now.
func (d *Decider) Next(now time.Time, states []State) []Move {
	var decode, prefill []State
	leaving := 0 // servers on their way to the other stage
	for _, s := range states {
		if m, ok := d.moves[s.Server.ID]; ok {
			done := s.Report.Stage == m.to && !s.Report.Busy
			if !done && !now.After(m.until) {
				leaving++

				continue
			}
			delete(d.moves, s.Server.ID)
			d.deaf[s.Server.ID] = !done
		}
		switch {
		case s.Report.Leaving || s.Server.Leaving || s.Report.Busy:
		case s.Report.Stage == placer.Decode:
			decode = append(decode, s)
		case s.Report.Stage == placer.Prefill:
			prefill = append(prefill, s)
		}
	}
	d.measure(decode, prefill)
	if d.load.looks < enoughLooks || len(decode) == 0 || len(prefill) == 0 {
		return nil
	}
	var out []Move
	switch readers := float64(len(prefill)); {
	case d.load.memory >= fullMemory:
		room := max(len(prefill)/atATime, 1) - leaving
		// So many can go until those that stay are as busy as they may be.
		spare := len(prefill) - int(d.load.reading*readers/calmReading+1)
		out = d.pick(now, prefill, placer.Decode, min(room, spare))
	case d.load.memory <= calmMemory && d.load.reading >= fullReading && leaving == 0 && len(decode) > len(prefill):
		out = d.pick(now, decode, placer.Prefill, 1)
	}

	return out
}

// measure averages the load.
func (d *Decider) measure(decode, prefill []State) {
	used, total, reading := 0, 0, 0
	for _, s := range decode {
		used, total = used+s.Report.Used, total+s.Report.Total
	}
	for _, s := range prefill {
		if s.Report.Running+s.Report.Waiting > 0 {
			reading++
		}
	}
	memory, busy := 0.0, 0.0
	if total > 0 {
		memory = float64(used) / float64(total)
	}
	if len(prefill) > 0 {
		busy = float64(reading) / float64(len(prefill))
	}
	if d.load.looks == 0 {
		d.load.memory, d.load.reading = memory, busy
	}
	d.load.memory += weight * (memory - d.load.memory)
	d.load.reading += weight * (busy - d.load.reading)
	d.load.looks++
}

// pick chooses the least used servers, from the regions that have most of their stage.
// Each region keeps one: prompts do not cross regions cheaply.
func (d *Decider) pick(now time.Time, from []State, to placer.Stage, number int) []Move {
	left := make(map[string]int)
	for _, s := range from {
		left[s.Server.Region]++
	}
	var out []Move
	for ; number > 0; number-- {
		at := -1
		for i, s := range from {
			if left[s.Server.Region] <= 1 || d.deaf[s.Server.ID] {
				continue
			}
			if at < 0 || left[s.Server.Region] > left[from[at].Server.Region] ||
				left[s.Server.Region] == left[from[at].Server.Region] && s.Report.Used < from[at].Report.Used {
				at = i
			}
		}
		if at < 0 {
			break
		}
		s := from[at]
		from = slices.Delete(slices.Clone(from), at, at+1)
		left[s.Server.Region]--
		d.moves[s.Server.ID] = move{to: to, until: now.Add(moveTimeout)}
		out = append(out, Move{Server: s.Server, To: to, Sequence: s.Report.Sequence})
	}

	return out
}

// Undone tells that a server has not taken an order.
func (d *Decider) Undone(id string) { delete(d.moves, id) }

// Load returns the averaged shares: of decode memory in use, and of prefill servers at
// work.
func (d *Decider) Load() (memory, reading float64) { return d.load.memory, d.load.reading }
