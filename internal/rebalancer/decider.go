// Package rebalancer moves servers of a pool between the prefill and decode stages when the
// load has shifted for long enough. Only the control process that leads does so.
package rebalancer

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/placer"
)

// Report is the state that a server reports.
type Report struct {
	Stage placer.Stage
	// UsedTokens and TotalTokens are KV cache sizes in tokens. Used ones cannot be evicted.
	UsedTokens, TotalTokens int
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// ChangingStage means that the server is carrying out an order.
	ChangingStage bool
	Leaving       bool
	// Birth differs for each start of the server, and Runs holds its running requests by ID.
	Birth int64
	Runs  map[string]observer.Run
	// Sequence is the number of orders that the server has accepted since it started.
	Sequence int64
}

// State is a server with its latest report.
type State struct {
	Server placer.Server
	Report Report
}

// StageChange is an order to a server to change to the other stage.
type StageChange struct {
	Server placer.Server
	To     placer.Stage
	// Sequence is that of the report. The server rejects the order if its own differs.
	Sequence int64
}

const (
	// highMemory is the used share of the decode servers' memory from which requests are
	// expected to wait for memory. It is below 1 because the free blocks are spread over
	// many servers.
	highMemory = 0.7
	// lowMemory is the used share up to which a decode server may change to prefill.
	lowMemory = 0.4
	// maxBusyAfterChange is the share of busy prefill servers, counted after a stage
	// change, up to which the remaining ones are expected to take over the prompts
	// without queueing.
	maxBusyAfterChange = 0.55
	// highBusyPrefill is the share of busy prefill servers from which prompts are expected
	// to wait.
	highBusyPrefill = 0.85
	// smoothing is the weight of the newest sample in the moving averages. It is low enough
	// that a burst of one or two seconds causes no stage change.
	smoothing = 0.4
	// changeTimeout is how long an order may stay without effect. After that, the server
	// counts with the stage that it reports.
	changeTimeout = 20 * time.Second
	// changingDivisor limits concurrent stage changes: one in changingDivisor prefill
	// servers, but at least one, may be changing its stage at a time.
	changingDivisor = 4
)

// load holds the moving averages of a pool's load.
type load struct {
	memory      float64 // used share of the decode servers' memory
	busyPrefill float64 // share of prefill servers that have requests
	samples     int
}

// minSamples is the number of samples before the averages are used.
const minSamples = 3

// pendingChange is an order that has not taken effect yet.
type pendingChange struct {
	to     placer.Stage
	expiry time.Time
}

// Decider decides on the stage changes of one pool. It orders them when decode memory
// is full while prefill servers are idle, or the reverse. The imbalance must last long
// enough to outweigh the seconds for which a changing server is unavailable. A Decider
// does no I/O.
type Decider struct {
	load    load
	pending map[string]pendingChange // by server
	// balancer compares the stages ahead of time; nil to wait until one of them is full.
	balancer *balancer
	// unresponsive holds the servers on which an order had no effect. They get no further
	// orders.
	unresponsive map[string]bool
}

// NewDecider returns a decider without samples or pending stage changes.
func NewDecider() *Decider {
	return &Decider{pending: make(map[string]pendingChange), unresponsive: make(map[string]bool)}
}

// Decide takes the latest reports of a pool and returns the stage changes to order now.
func (d *Decider) Decide(now time.Time, states []State) []StageChange {
	var decode, prefill []State
	changing := 0 // servers that are changing their stage
	for _, s := range states {
		if p, ok := d.pending[s.Server.ID]; ok {
			done := s.Report.Stage == p.to && !s.Report.ChangingStage
			if !done && !now.After(p.expiry) {
				changing++

				continue
			}
			delete(d.pending, s.Server.ID)
			d.unresponsive[s.Server.ID] = !done
		}
		switch {
		case s.Report.Leaving || s.Server.Leaving || s.Report.ChangingStage:
		case s.Report.Stage == placer.Decode:
			decode = append(decode, s)
		case s.Report.Stage == placer.Prefill:
			prefill = append(prefill, s)
		}
	}
	d.measure(decode, prefill)
	if d.balancer != nil {
		d.balancer.observe(now, states)
	}
	if d.load.samples < minSamples || len(decode) == 0 || len(prefill) == 0 {
		return nil
	}
	if d.balancer != nil {
		return d.balance(now, decode, prefill, changing)
	}
	var out []StageChange
	switch prefillServers := float64(len(prefill)); {
	case d.load.memory >= highMemory:
		limit := max(len(prefill)/changingDivisor, 1) - changing
		// Number of servers that can change until the rest reach maxBusyAfterChange.
		spare := len(prefill) - int(d.load.busyPrefill*prefillServers/maxBusyAfterChange+1)
		out = d.chooseChanges(now, prefill, placer.Decode, min(limit, spare))
	case d.load.memory <= lowMemory && d.load.busyPrefill >= highBusyPrefill && changing == 0 && len(decode) > len(prefill):
		out = d.chooseChanges(now, decode, placer.Prefill, 1)
	}

	return out
}

// measure adds a sample of the load to the averages.
func (d *Decider) measure(decode, prefill []State) {
	used, total, busyPrefill := 0, 0, 0
	for _, s := range decode {
		used, total = used+s.Report.UsedTokens, total+s.Report.TotalTokens
	}
	for _, s := range prefill {
		if s.Report.Running+s.Report.Waiting > 0 {
			busyPrefill++
		}
	}
	memory, busyShare := 0.0, 0.0
	if total > 0 {
		memory = float64(used) / float64(total)
	}
	if len(prefill) > 0 {
		busyShare = float64(busyPrefill) / float64(len(prefill))
	}
	if d.load.samples == 0 {
		d.load.memory, d.load.busyPrefill = memory, busyShare
	}
	d.load.memory += smoothing * (memory - d.load.memory)
	d.load.busyPrefill += smoothing * (busyShare - d.load.busyPrefill)
	d.load.samples++
}

// chooseChanges picks up to count servers to change, from the regions with the most servers
// of their stage, the least used first. One server stays in each region, because it is
// costly to send prompts to another region.
func (d *Decider) chooseChanges(now time.Time, from []State, to placer.Stage, count int) []StageChange {
	remaining := make(map[string]int)
	for _, s := range from {
		remaining[s.Server.Region]++
	}
	var out []StageChange
	for ; count > 0; count-- {
		best := -1
		for i, s := range from {
			if remaining[s.Server.Region] <= 1 || d.unresponsive[s.Server.ID] {
				continue
			}
			if best < 0 || remaining[s.Server.Region] > remaining[from[best].Server.Region] ||
				remaining[s.Server.Region] == remaining[from[best].Server.Region] && s.Report.UsedTokens < from[best].Report.UsedTokens {
				best = i
			}
		}
		if best < 0 {
			break
		}
		s := from[best]
		from = slices.Delete(slices.Clone(from), best, best+1)
		remaining[s.Server.Region]--
		d.pending[s.Server.ID] = pendingChange{to: to, expiry: now.Add(changeTimeout)}
		out = append(out, StageChange{Server: s.Server, To: to, Sequence: s.Report.Sequence})
	}

	return out
}

// CancelChange forgets a stage change whose order the server has not accepted.
func (d *Decider) CancelChange(id string) {
	delete(d.pending, id)
	if d.balancer != nil {
		d.balancer.stager.Cancel(id)
	}
}

// rejectChange forgets a stage change that the server has rejected. Where stages are compared, the
// server is left alone for some time.
func (d *Decider) rejectChange(id string) { delete(d.pending, id) }

// Load returns the moving averages of the used share of decode memory and of the share of
// busy prefill servers.
func (d *Decider) Load() (memory, busyPrefill float64) { return d.load.memory, d.load.busyPrefill }
