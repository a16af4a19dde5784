package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/balancer"
	"github.com/damasklever/damasklever/internal/placer"
)

var start = time.Unix(1000, 0)

// pool is servers of three regions with so much of their memory or time in use.
type pool struct {
	decode, prefill int
	memory, reading float64
}

func (p pool) states() []balancer.State {
	var out []balancer.State
	for i := range p.decode {
		out = append(out, state(fmt.Sprint("d", i), i, balancer.Report{
			Stage: placer.Decode, Total: 1000, Used: int(1000 * p.memory),
		}))
	}
	for i := range p.prefill {
		r := balancer.Report{Stage: placer.Prefill, Total: 1000}
		if float64(i) < p.reading*float64(p.prefill) {
			r.Running = 1
		}
		out = append(out, state(fmt.Sprint("p", i), i, r))
	}

	return out
}

func state(id string, i int, r balancer.Report) balancer.State {
	return balancer.State{
		Server: placer.Server{ID: id, Pool: "pool", Region: fmt.Sprint("r", i%3), Stage: r.Stage}, Report: r,
	}
}

// Guards against moves that a short burst, a small pool or a load on both stages does not
// call for.
func TestNext(t *testing.T) {
	for name, test := range map[string]struct {
		pool  pool
		looks int
		want  map[placer.Stage]int // moves by the stage that they go to
	}{
		"calm":                      {pool{20, 10, 0.5, 0.3}, 9, nil},
		"decode full":               {pool{20, 10, 0.9, 0.1}, 3, map[placer.Stage]int{placer.Decode: 2}},
		"decode full for a moment":  {pool{20, 10, 0.9, 0.1}, 2, nil},
		"both full":                 {pool{20, 10, 0.9, 0.8}, 9, nil},
		"one prefill server each":   {pool{6, 3, 0.9, 0}, 9, nil},
		"prefill full":              {pool{20, 10, 0.2, 1}, 3, map[placer.Stage]int{placer.Prefill: 1}},
		"no decode servers":         {pool{0, 10, 0, 0}, 9, nil},
		"no prefill servers":        {pool{20, 0, 0.9, 0}, 9, nil},
		"prefill full, decode used": {pool{20, 10, 0.5, 1}, 9, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := balancer.NewDecider()
			got := make(map[placer.Stage]int)
			for look := range test.looks {
				for _, m := range d.Next(start.Add(time.Duration(look)*time.Second), test.pool.states()) {
					got[m.To]++
				}
			}
			for _, stage := range []placer.Stage{placer.Prefill, placer.Decode} {
				if got[stage] < test.want[stage] || test.want[stage] == 0 && got[stage] > 0 {
					t.Errorf("moves to stage %d: got %d, want %d", stage, got[stage], test.want[stage])
				}
			}
		})
	}
}

// A pool whose decode memory is full and whose prefill servers are mostly idle is moved
// step by step until both are used, and not further; a server that ignores its order is
// left alone for a while and then counts as it is.
func TestMovesConverge(t *testing.T) {
	const (
		demand  = 22.0 // decode servers' worth of memory
		reading = 3.0  // prefill servers' worth of reading
		away    = 6 * time.Second
		look    = 2 * time.Second
	)
	stages := make(map[string]placer.Stage)
	back := make(map[string]time.Time)
	p := pool{20, 10, 0, 0}
	for _, s := range p.states() {
		stages[s.Server.ID] = s.Report.Stage
	}
	deaf := "p0"
	d := balancer.NewDecider()
	now := start
	for ; now.Sub(start) < 2*time.Minute; now = now.Add(look) {
		decode, prefill := 0, 0
		for id, stage := range stages {
			switch {
			case now.Before(back[id]):
			case stage == placer.Decode:
				decode++
			default:
				prefill++
			}
		}
		var states []balancer.State
		reads := 0
		for i, s := range p.states() {
			r := balancer.Report{Stage: stages[s.Server.ID], Total: 1000, Busy: now.Before(back[s.Server.ID])}
			if r.Stage == placer.Decode {
				r.Used = int(1000 * min(demand/float64(decode), 1))
			} else if reads++; float64(reads) <= reading {
				r.Running = 1
			}
			states = append(states, state(s.Server.ID, i, r))
		}
		for _, m := range d.Next(now, states) {
			if m.Server.ID != deaf {
				stages[m.Server.ID], back[m.Server.ID] = m.To, now.Add(away)
			}
		}
	}
	left := 0
	for _, stage := range stages {
		if stage == placer.Prefill {
			left++
		}
	}
	if left < 4 || left > 6 {
		t.Errorf("prefill servers left: got %d, want 4 to 6 for the reading of %.0f", left, reading)
	}
}
