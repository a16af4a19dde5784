package rebalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/rebalancer"
)

var start = time.Unix(1000, 0)

// pool describes the servers of a pool in three regions: their numbers, the used share of
// decode memory and the share of busy prefill servers.
type pool struct {
	decode, prefill     int
	memory, busyPrefill float64
}

func (p pool) states() []rebalancer.State {
	var out []rebalancer.State
	for i := range p.decode {
		out = append(out, state(fmt.Sprint("d", i), i, rebalancer.Report{
			Stage: placer.Decode, TotalTokens: 1000, UsedTokens: int(1000 * p.memory),
		}))
	}
	for i := range p.prefill {
		r := rebalancer.Report{Stage: placer.Prefill, TotalTokens: 1000}
		if float64(i) < p.busyPrefill*float64(p.prefill) {
			r.Running = 1
		}
		out = append(out, state(fmt.Sprint("p", i), i, r))
	}

	return out
}

func state(id string, i int, r rebalancer.Report) rebalancer.State {
	return rebalancer.State{
		Server: placer.Server{ID: id, Pool: "pool", Region: fmt.Sprint("r", i%3), Stage: r.Stage}, Report: r,
	}
}

// TestDecide checks when servers change their stage. A short burst, a small pool and a load on both
// stages must not cause changes.
func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		pool   pool
		cycles int
		want   map[placer.Stage]int // minimum number of stage changes by target stage
	}{
		"balanced":                  {pool{20, 10, 0.5, 0.3}, 9, nil},
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
			d := rebalancer.NewDecider()
			got := make(map[placer.Stage]int)
			for cycle := range test.cycles {
				for _, change := range d.Decide(start.Add(time.Duration(cycle)*time.Second), test.pool.states()) {
					got[change.To]++
				}
			}
			for _, stage := range []placer.Stage{placer.Prefill, placer.Decode} {
				if got[stage] < test.want[stage] || test.want[stage] == 0 && got[stage] > 0 {
					t.Errorf("changes to stage %d: got %d, want %d", stage, got[stage], test.want[stage])
				}
			}
		})
	}
}

// TestStageChangesConverge checks a pool with full decode memory and mostly idle prefill servers:
// servers change their stage step by step until both stages are used, and no further. A server that
// ignores its order is not counted until the order times out, and then with the stage that
// it reports.
func TestStageChangesConverge(t *testing.T) {
	const (
		demand      = 22.0 // memory demand, in decode servers
		busyPrefill = 3.0  // prefill demand, in servers
		changeTime  = 6 * time.Second
		interval    = 2 * time.Second
	)
	stages := make(map[string]placer.Stage)
	availableAt := make(map[string]time.Time)
	p := pool{20, 10, 0, 0}
	for _, s := range p.states() {
		stages[s.Server.ID] = s.Report.Stage
	}
	unresponsive := "p0"
	d := rebalancer.NewDecider()
	now := start
	for ; now.Sub(start) < 2*time.Minute; now = now.Add(interval) {
		decode, prefill := 0, 0
		for id, stage := range stages {
			switch {
			case now.Before(availableAt[id]):
			case stage == placer.Decode:
				decode++
			default:
				prefill++
			}
		}
		var states []rebalancer.State
		prefillIndex := 0
		for i, s := range p.states() {
			r := rebalancer.Report{Stage: stages[s.Server.ID], TotalTokens: 1000, ChangingStage: now.Before(availableAt[s.Server.ID])}
			if r.Stage == placer.Decode {
				r.UsedTokens = int(1000 * min(demand/float64(decode), 1))
			} else if prefillIndex++; float64(prefillIndex) <= busyPrefill {
				r.Running = 1
			}
			states = append(states, state(s.Server.ID, i, r))
		}
		for _, change := range d.Decide(now, states) {
			if change.Server.ID != unresponsive {
				stages[change.Server.ID], availableAt[change.Server.ID] = change.To, now.Add(changeTime)
			}
		}
	}
	remaining := 0
	for _, stage := range stages {
		if stage == placer.Prefill {
			remaining++
		}
	}
	if remaining < 4 || remaining > 6 {
		t.Errorf("prefill servers remaining: got %d, want 4 to 6 enough for a prefill load of %.0f servers", remaining, busyPrefill)
	}
}
