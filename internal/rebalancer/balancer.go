package rebalancer

import (
	"time"

	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/stager"
)

// balancer measures the speeds of a pool's servers and compares its stages.
type balancer struct {
	interval  time.Duration // between two reports of a server
	stager    *stager.Stager
	observers map[string]*observer.Observer // by server
}

// compareSpeeds sets whether the stages of servers are chosen by their speeds, before a stage is
// full.
func (d *Decider) compareSpeeds(on bool, interval time.Duration) {
	switch {
	case !on:
		d.balancer = nil
	case d.balancer == nil:
		d.balancer = &balancer{interval: interval, stager: stager.New(), observers: make(map[string]*observer.Observer)}
	}
}

// observe passes the reports of all servers on to their observers.
func (b *balancer) observe(now time.Time, states []State) {
	for _, s := range states {
		o := b.observers[s.Server.ID]
		if o == nil {
			o = observer.NewSparse(b.interval)
			b.observers[s.Server.ID] = o
		}
		if o.Born(now, s.Report.Birth) {
			b.stager.Forget(s.Server.ID)
		}
		if s.Report.Stage == placer.Decode {
			o.ObserveReport(now, s.Report.Runs)
		}
	}
}

// retain forgets the servers of the pool that are no longer listed.
func (b *balancer) retain(listed map[string]bool) {
	for id := range b.observers {
		if !listed[id] {
			delete(b.observers, id)
		}
	}
	b.stager.Retain(func(id string) bool { return listed[id] })
}

// retainServers forgets the servers that are no longer listed.
func (d *Decider) retainServers(listed []placer.Server) {
	if d.balancer == nil {
		return
	}
	ids := make(map[string]bool, len(listed))
	for _, s := range listed {
		ids[s.ID] = true
	}
	d.balancer.retain(ids)
}

// balance returns the changes that bring the stages of the pool into balance.
func (d *Decider) balance(now time.Time, decode, prefill []State, changing int) []StageChange {
	byID := make(map[string]State, len(decode)+len(prefill))
	servers := func(states []State) (out []stager.Server) {
		for _, s := range states {
			byID[s.Server.ID] = s
			out = append(out, stager.Server{
				ID: s.Server.ID, Region: s.Server.Region, Token: d.balancer.observers[s.Server.ID].Speed(now).Token,
				Fixed: d.unresponsive[s.Server.ID],
			})
		}

		return out
	}
	pool := stager.Pool{Decode: servers(decode), Prefill: servers(prefill), Memory: d.load.memory, Busy: d.load.busyPrefill, Changing: changing}
	var out []StageChange
	for _, c := range d.balancer.stager.Decide(now, pool) {
		to := placer.Prefill
		if c.ToDecode {
			to = placer.Decode
		}
		s := byID[c.ID]
		d.pending[c.ID] = pendingChange{to: to, expiry: now.Add(changeTimeout)}
		out = append(out, StageChange{Server: s.Server, To: to, Sequence: s.Report.Sequence})
	}

	return out
}

// speed returns the speed of a server relative to the median of its pool, 0 if speeds are not
// compared.
func (d *Decider) speed(id string) float64 {
	if d.balancer == nil {
		return 0
	}

	return d.balancer.stager.Speed(id)
}
