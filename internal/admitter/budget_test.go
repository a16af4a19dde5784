package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
)

// Guards against budgets of many entries that together exceed what is allowed in a window. Every request is
// repeated as often as the budgets allow, from a moment at which they are unused.
func TestBudgetsOfAllEntriesKeepTheLimit(t *testing.T) {
	const (
		window  = 10 * time.Second
		ratio   = 0.2
		slack   = 250.0
		margin  = 0.5 // of the limit, for each entry
		warmUp  = 20 * time.Second
		step    = 50 * time.Millisecond
		spikeAt = 25 * time.Second
		length  = 50 * time.Second
	)
	for _, entries := range []int{1, 8, 105, 360} {
		for name, test := range map[string]struct {
			spike     float64 // of the number of requests
			restarted int     // of 10 entries, at the start of the spike
		}{
			"steady": {1, 0}, "spike": {3, 0}, "restart": {1, 6}, "restart in a spike": {3, 6},
		} {
			t.Run(fmt.Sprint(entries, " entries, ", name), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(entries), 1))
				budgets := make([]*admitter.Budget, entries)
				startEntries := func(n int) {
					for i := range n {
						budgets[i] = admitter.NewBudget(ratio*margin, slack*margin/float64(entries), window)
					}
				}
				startEntries(entries)
				start := time.Unix(1000, 0)
				var requests, repeats []time.Duration
				for at := time.Duration(0); at < length; at += step {
					rate := 240.0 * step.Seconds()
					if at >= spikeAt && at < spikeAt+window/2 {
						rate *= test.spike
					}
					if at == spikeAt {
						startEntries(entries * test.restarted / 10)
					}
					for range int(rate) {
						// Some entries get most of the requests.
						i := int(random.Float64() * random.Float64() * float64(entries))
						budgets[i].First(start.Add(at))
						requests = append(requests, at)
						for at > warmUp && budgets[i].Take(start.Add(at)) {
							repeats = append(repeats, at)
						}
					}
				}
				for end := window * 2; end < length; end += step {
					seen := max(countBetween(requests, end-window, end), countBetween(requests, end-2*window, end-window))
					if got, most := countBetween(repeats, end-window, end), int(ratio*float64(seen)+slack); got > most {
						t.Fatalf("repeats in the window that ends at %v: got %d, want at most %d", end, got, most)
					}
				}
				if len(repeats) == 0 {
					t.Error("repeats: got none, want some")
				}
			})
		}
	}
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from && at <= to {
			n++
		}
	}

	return n
}

// Guards against a refund that gives back more than is left of what was taken.
func TestBudgetRefund(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		want  int // sends allowed after the refund
	}{
		"at once": {0, 2}, "later": {time.Second, 2}, "much later": {time.Hour, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b, start := admitter.NewBudget(0, 2, 10*time.Second), time.Unix(1000, 0)
			if !b.Take(start) {
				t.Fatal("first send: got none, want one")
			}
			now := start.Add(test.after)
			b.Refund(now, start)
			got := 0
			for b.Take(now) {
				got++
			}
			if got != test.want {
				t.Errorf("sends: got %d, want %d", got, test.want)
			}
		})
	}
}
