package limiter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/limiter"
	"github.com/damasklever/damasklever/internal/wire"
)

var start = time.Unix(1000, 0)

const (
	entryCount = 28
	window     = 8 * time.Second
	overshoot  = 0.1
	slack      = 190_000
	rate       = 157_849
	size       = 3_269 // tokens of one request
	step       = 10 * time.Millisecond
	// beat is how often entries report and are told, and round how often the leader divides.
	beat  = 250 * time.Millisecond
	round = 200 * time.Millisecond
)

// world is a fleet of entries in virtual time, with reports and allotments on their way.
type world struct {
	random    *rand.Rand
	weights   []float64 // of the entries in the demand
	entries   []*limiter.Limiter
	allocator *limiter.Allocator
	customer  *wire.Customer
	reports   []*wire.Quota // as they are at the control hosts
	answers   []*wire.Quota
	admitted  []float64 // by step
	asked     []float64
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), allocator: limiter.NewAllocator(),
		customer: &wire.Customer{Name: "c", Rate: rate, Burst: rate, Unit: wire.Unit_UNIT_TOKENS},
	}
	sum := 0.0
	for i := range entryCount {
		w.entries = append(w.entries, limiter.New(slack))
		w.weights = append(w.weights, math.Pow(w.random.Float64(), 2))
		sum += w.weights[i]
		w.reports = append(w.reports, &wire.Quota{Entry: fmt.Sprint(i)})
	}
	for i := range w.weights {
		w.weights[i] /= sum
	}

	return w
}

// gather moves all callers to one entry.
func (w *world) gather() {
	clear(w.weights)
	w.weights[0] = 1
}

// run plays a time at a demand in tokens a second. Without control nothing is reported or
// told.
func (w *world) run(length time.Duration, demand float64, control bool) {
	for range int(length / step) {
		now := start.Add(time.Duration(len(w.asked)) * step)
		asked, admitted := 0.0, 0.0
		for i, l := range w.entries {
			for range w.poisson(demand * w.weights[i] * step.Seconds() / size) {
				asked += size
				if l.Take(now, w.customer, size) == nil {
					admitted += size
				}
			}
		}
		w.asked, w.admitted = append(w.asked, asked), append(w.admitted, admitted)
		if control {
			w.exchange(now, len(w.asked))
		}
	}
}

// exchange moves reports and allotments, each entry at its own time.
func (w *world) exchange(now time.Time, at int) {
	if at%int(round/step) == 0 {
		// What was divided in the round before is passed on with the reports of this one.
		w.answers = w.allocator.Allocate(now, []*wire.Customer{w.customer}, entryCount, w.reports)
	}
	for i, l := range w.entries {
		if (at+7*i)%int(beat/step) != 0 {
			continue
		}
		if w.answers != nil {
			l.Allot(now, entryCount, w.answers[i].GetAllotments())
		}
		w.reports[i] = &wire.Quota{Entry: fmt.Sprint(i), Usages: l.Usages(now)}
	}
}

func (w *world) poisson(mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := w.random.Float64(); p > limit; p *= w.random.Float64() {
		n++
	}

	return n
}

// most is the most that was admitted in a window that begins after a time.
func (w *world) most(after time.Duration) float64 {
	most := 0.0
	for at := int(after / step); at+int(window/step) <= len(w.admitted); at++ {
		sum := 0.0
		for _, x := range w.admitted[at : at+int(window/step)] {
			sum += x
		}
		most = max(most, sum)
	}

	return most
}

// share is the admitted part of what was asked between two times.
func (w *world) share(from, to time.Duration) float64 {
	asked, admitted := 0.0, 0.0
	for at := int(from / step); at < int(to/step); at++ {
		asked += w.asked[at]
		admitted += w.admitted[at]
	}

	return admitted / asked
}

func allowed(rate float64) float64 {
	return (rate*window.Seconds()+rate)*(1+overshoot) + slack
}

// usual is what the customer asks for on most days.
const usual = rate / 1.8

// Guards against a customer that gets more than its rate over all entries, one that is
// refused within its rate, and one that loses its rate while it asks for too much.
func TestCustomerOverManyEntries(t *testing.T) {
	for name, play := range map[string]func(t *testing.T, w *world){
		"within its rate": func(t *testing.T, w *world) {
			w.run(20*time.Second, usual, true)
			if got, want := w.share(0, 20*time.Second), 0.99; got < want {
				t.Errorf("admitted part: got %.3f, want at least %.2f", got, want)
			}
		},
		"moves to other entries": func(t *testing.T, w *world) {
			w.run(10*time.Second, usual, true)
			w.random.Shuffle(entryCount, func(i, j int) { w.weights[i], w.weights[j] = w.weights[j], w.weights[i] })
			w.run(10*time.Second, usual, true)
			if got, want := w.share(10*time.Second, 20*time.Second), 0.99; got < want {
				t.Errorf("admitted part: got %.3f, want at least %.2f", got, want)
			}
		},
		"within its rate, all at one entry": func(t *testing.T, w *world) {
			w.gather()
			w.run(20*time.Second, 0.9*rate, true)
			if got, want := w.share(0, 20*time.Second), 0.97; got < want {
				t.Errorf("admitted part: got %.3f, want at least %.2f", got, want)
			}
		},
		"many times its rate, all at one entry": func(_ *testing.T, w *world) {
			w.gather()
			w.run(5*time.Second, usual, true)
			w.run(12*time.Second, 7.5*usual, true)
		},
		"within its rate while control is lost": func(t *testing.T, w *world) {
			w.run(5*time.Second, usual, true)
			w.run(8*time.Second, usual, false)
			if got, want := w.share(5*time.Second, 13*time.Second), 0.9; got < want {
				t.Errorf("admitted part: got %.3f, want at least %.2f", got, want)
			}
		},
		"many times its rate": func(t *testing.T, w *world) {
			w.run(5*time.Second, usual, true)
			w.run(12*time.Second, 7.5*usual, true)
			w.run(10*time.Second, usual, true)
			if got, want := w.share(7*time.Second, 17*time.Second)*7.5*usual, 0.85*rate; got < want {
				t.Errorf("admitted a second while it asks for too much: got %.0f, want at least %.0f", got, want)
			}
			if got, want := w.share(20*time.Second, 27*time.Second), 0.97; got < want {
				t.Errorf("admitted part afterwards: got %.3f, want at least %.2f", got, want)
			}
		},
		"many times its rate from the start": func(_ *testing.T, w *world) { w.run(20*time.Second, 7.5*usual, true) },
		"while control is lost": func(_ *testing.T, w *world) {
			w.run(5*time.Second, usual, true)
			w.run(8*time.Second, 7.5*usual, false)
			w.run(8*time.Second, 7.5*usual, true)
		},
		"control is lost while too much is asked": func(_ *testing.T, w *world) {
			w.run(5*time.Second, 7.5*usual, true)
			w.run(8*time.Second, 7.5*usual, false)
		},
		"new leader while too much is asked": func(_ *testing.T, w *world) {
			w.run(5*time.Second, 7.5*usual, true)
			w.allocator = limiter.NewAllocator()
			w.run(10*time.Second, 7.5*usual, true)
		},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				w := newWorld(seed)
				play(t, w)
				if got, want := w.most(0), allowed(rate); got > want {
					t.Errorf("admitted in a window: got %.0f, want at most %.0f", got, want)
				}
			})
		}
	}
}

// Guards against a limit that is lowered and not kept, or that a customer does not get.
func TestLoweredRate(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed)
		w.run(5*time.Second, usual, true)
		w.customer = &wire.Customer{Name: "c", Rate: rate / 10, Burst: rate / 10, Unit: wire.Unit_UNIT_TOKENS}
		w.run(20*time.Second, usual, true)
		if got, want := w.most(5*time.Second+window), allowed(rate/10); got > want {
			t.Errorf("seed %d: admitted in a window: got %.0f, want at most %.0f", seed, got, want)
		}
		if got, want := w.share(10*time.Second, 25*time.Second)*usual, 0.85*rate/10; got < want {
			t.Errorf("seed %d: admitted a second: got %.0f, want at least %.0f", seed, got, want)
		}
	}
}

// Guards against requests that count for nothing, and against a limit that nobody set.
func TestCost(t *testing.T) {
	tokens := &wire.Customer{Name: "t", Rate: 1, Unit: wire.Unit_UNIT_TOKENS, Plain: 200}
	for name, test := range map[string]struct {
		customer *wire.Customer
		tokens   int
		want     float64
	}{
		"tokens": {tokens, 3000, 3000}, "no tokens named": {tokens, 0, 200}, "by request": {&wire.Customer{Name: "r", Rate: 1}, 3000, 1},
	} {
		if got := limiter.Cost(test.customer, test.tokens); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
	l := limiter.New(0)
	for range 1000 {
		if l.Take(start, &wire.Customer{Name: "open"}, 1e9) != nil {
			t.Fatal("customer without a rate: got refused, want admitted")
		}
	}
}

// Guards against rate that is used up by requests which have not run.
func TestReturn(t *testing.T) {
	c := &wire.Customer{Name: "c", Rate: 10, Burst: 10}
	l := limiter.New(30)
	for range 100 {
		if l.Take(start, c, 1) != nil {
			t.Fatal("after it was given back: got refused, want admitted")
		}
		l.Refund(c, 1)
	}
	if got := l.Usages(start)[0].GetUsed(); got != 0 {
		t.Errorf("used: got %v, want 0", got)
	}
	for range 10 {
		l.Take(start, c, 1)
	}
	if r := l.Take(start, c, 1); r == nil || r.After <= 0 {
		t.Errorf("over the rate: got %v, want a refusal with a time", r)
	}
}

// Guards against numbers of a faulty peer that open or close a customer for good.
func TestBadNumbers(t *testing.T) {
	for name, bad := range map[string]float64{"no number": math.NaN(), "endless": math.Inf(1), "negative": -1, "huge": 1e300} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1)
			w.run(2*time.Second, 7.5*usual, true)
			now := start.Add(2 * time.Second)
			w.reports[0] = &wire.Quota{Entry: "0", Usages: []*wire.Usage{{Customer: "c", Demand: bad, Used: -bad}}}
			w.allocator.Allocate(now, []*wire.Customer{w.customer}, entryCount, w.reports)
			w.entries[1].Allot(now, entryCount, []*wire.Allotment{{Customer: "c", Part: bad}})
			w.run(20*time.Second, 7.5*usual, true)
			if got, want := w.most(2*time.Second), allowed(rate); got > want {
				t.Errorf("admitted in a window: got %.0f, want at most %.0f", got, want)
			}
			if got, want := w.share(12*time.Second, 22*time.Second)*7.5*usual, 0.85*rate; got < want {
				t.Errorf("admitted a second: got %.0f, want at least %.0f", got, want)
			}
		})
	}
}
