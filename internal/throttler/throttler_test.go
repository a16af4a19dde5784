package throttler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/throttler"
	"github.com/damasklever/damasklever/internal/wire"
)

var start = time.Unix(1000, 0)

const (
	server           = "s"
	step             = 10 * time.Millisecond
	reportInterval   = 250 * time.Millisecond
	allocateInterval = 200 * time.Millisecond
	// window is the time over which the requests to a server are counted.
	window = 4 * time.Second
	// propagation is the time after which a limit must be kept.
	propagation = 4 * time.Second
)

// entry is a simulated entry process. Its reports and grants are delayed.
type entry struct {
	*throttler.Throttler
	epoch  uint64
	report []*wire.Throttle
	grants []*wire.RequestGrant
}

// simulation runs entries and a distributor in virtual time.
type simulation struct {
	random      *rand.Rand
	now         time.Time
	limit       float64 // named by the server, 0 for none
	entries     []*entry
	distributor *throttler.Distributor
	noControl   bool
	sent        []time.Time
}

func newSimulation(seed uint64, entries int, limit float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, limit: limit, distributor: throttler.NewDistributor(),
	}
	for range entries {
		s.join()
	}

	return s
}

func (s *simulation) join() {
	s.entries = append(s.entries, &entry{Throttler: throttler.New(func() int { return len(s.entries) }), epoch: uint64(len(s.entries) + 1)})
}

// restart replaces an entry by a new process that knows nothing.
func (s *simulation) restart(i int) {
	s.entries[i] = &entry{Throttler: throttler.New(func() int { return len(s.entries) }), epoch: s.entries[i].epoch + 1000}
}

// run advances the simulation. rate returns the requests per second for the server at an
// entry.
func (s *simulation) run(d time.Duration, rate func(entry int) float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for i, e := range s.entries {
			if s.random.Float64() < rate(i)*step.Seconds() {
				s.request(e)
			}
		}
		elapsed := s.now.Sub(start)
		if elapsed%reportInterval == 0 && !s.noControl {
			for _, e := range s.entries {
				e.SetGrants(s.now, e.grants)
				e.report = e.Throttles(s.now)
			}
		}
		if elapsed%allocateInterval == 0 && !s.noControl {
			s.distribute()
		}
	}
}

func (s *simulation) request(e *entry) {
	if !e.Allows(s.now, server) || !e.Take(s.now, server, 1) {
		return
	}
	s.sent = append(s.sent, s.now)
	if s.limit > 0 {
		e.Observe(s.now, server, s.limit)
	} else {
		e.ObserveNone(s.now, s.now, server)
	}
}

func (s *simulation) distribute() {
	reports := make([]*wire.Quota, 0, len(s.entries))
	for i, e := range s.entries {
		reports = append(reports, &wire.Quota{Entry: fmt.Sprint(i), Epoch: e.epoch, Throttles: e.report})
	}
	for i, grants := range s.distributor.Distribute(s.now, reports) {
		s.entries[i].grants = grants
	}
}

// busiest returns the highest number of requests in any window from a time on.
func (s *simulation) busiest(from time.Time) int {
	most := 0
	for i, at := range s.sent {
		if at.Before(from) {
			continue
		}
		n, _ := slices.BinarySearchFunc(s.sent, at.Add(window), time.Time.Compare)
		most = max(most, n-i)
	}

	return most
}

// allowed returns the number of requests that a limit allows in a window, as the platform
// counts them.
func allowed(limit float64) int { return int(1.5*limit*window.Seconds() + 5) }

// Guards against exceeding a limit at all entries together, and against leaving it unused.
func TestLimitIsKept(t *testing.T) {
	for name, test := range map[string]struct {
		entries int
		limit   float64
		run     func(s *simulation)
		least   float64 // requests sent, as a fraction of what the limit allows over the whole time
	}{
		"even demand":      {8, 2, func(s *simulation) { s.run(time.Minute, func(int) float64 { return 3 }) }, 0.75},
		"many entries":     {26, 1.9, func(s *simulation) { s.run(time.Minute, func(int) float64 { return 1 }) }, 0.75},
		"hundreds":         {360, 2, func(s *simulation) { s.run(time.Minute, func(int) float64 { return 0.5 }) }, 0.75},
		"high limit":       {26, 200, func(s *simulation) { s.run(time.Minute, func(int) float64 { return 20 }) }, 0.75},
		"very low limit":   {26, 0.1, func(s *simulation) { s.run(2*time.Minute, func(int) float64 { return 1 }) }, 0.3},
		"demand at one":    {26, 2, func(s *simulation) { s.run(time.Minute, func(i int) float64 { return float64(max(1-i, 0)) * 10 }) }, 0.75},
		"moving demand":    {8, 2, func(s *simulation) { s.moveDemand() }, 0.5},
		"idle, then surge": {105, 2, func(s *simulation) { s.surge() }, 0},
		"less than limit":  {26, 20, func(s *simulation) { s.run(time.Minute, func(int) float64 { return 0.3 }) }, 0},
		"entries join": {2, 2, func(s *simulation) {
			for range 30 {
				s.run(2*time.Second, func(int) float64 { return 3 })
				s.join()
			}
		}, 0.75},
		"entries restart": {8, 2, func(s *simulation) {
			for i := range 30 {
				s.run(2*time.Second, func(int) float64 { return 3 })
				s.restart(i % 8)
			}
		}, 0},
		"leader changes": {8, 2, func(s *simulation) {
			for range 30 {
				s.run(2*time.Second, func(int) float64 { return 3 })
				s.distributor = throttler.NewDistributor()
			}
		}, 0.5},
		"control comes and goes": {8, 2, func(s *simulation) {
			for range 10 {
				s.run(3*time.Second, func(int) float64 { return 3 })
				s.noControl = !s.noControl
			}
		}, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				s := newSimulation(seed, test.entries, test.limit)
				test.run(s)
				if got, want := s.busiest(start.Add(propagation)), allowed(test.limit); got > want {
					t.Errorf("seed %d: most requests in %v: got %d, want at most %d", seed, window, got, want)
				}
				total := test.limit * s.now.Sub(start).Seconds()
				if got, want := float64(len(s.sent)), test.least*total; got < want {
					t.Errorf("seed %d: requests: got %.0f, want %.0f at least", seed, got, want)
				}
			}
		})
	}
}

// moveDemand lets all demand move from entry to entry.
func (s *simulation) moveDemand() {
	for active := range 10 {
		s.run(6*time.Second, func(i int) float64 {
			if i == active%len(s.entries) {
				return 10
			}

			return 0
		})
	}
}

// surge lets the demand of all entries come at once after a long time without any.
func (s *simulation) surge() {
	s.run(10*time.Second, func(int) float64 { return 1 })
	s.run(3*time.Minute, func(int) float64 { return 0 })
	s.run(10*time.Second, func(int) float64 { return 5 })
}

// Guards against refusing requests where there are fewer than the limit.
func TestLowDemandIsServed(t *testing.T) {
	s := newSimulation(1, 8, 20)
	s.run(10*time.Second, func(int) float64 { return 1 })
	before := len(s.sent)
	s.run(20*time.Second, func(int) float64 { return 1 })
	if got, want := len(s.sent)-before, 20*8*8/10; got < want {
		t.Errorf("requests of about 160: got %d, want %d at least", got, want)
	}
}

// Guards against limiting a server for good.
func TestLimitEnds(t *testing.T) {
	s := newSimulation(1, 8, 2)
	s.run(10*time.Second, func(int) float64 { return 3 })
	s.limit = 0
	s.run(5*time.Second, func(int) float64 { return 3 })
	for i, e := range s.entries {
		if e.Exhausted(s.now, server) || !e.Take(s.now, server, 1) {
			t.Errorf("entry %d: got a limit, want none", i)
		}
	}
	s.limit = 2
	s.run(time.Second, func(int) float64 { return 3 })
	renamed := s.now
	s.run(20*time.Second, func(int) float64 { return 3 })
	if got, want := s.busiest(renamed.Add(propagation)), allowed(2); got > want {
		t.Errorf("most requests after the limit was named again: got %d, want at most %d", got, want)
	}
}

// Guards against ending a limit because of an answer that was under way when it was named.
func TestOldAnswerDoesNotEndLimit(t *testing.T) {
	throttle := throttler.New(func() int { return 8 })
	throttle.Observe(start, server, 2)
	if throttle.ObserveNone(start.Add(time.Second), start.Add(-time.Second), server) {
		t.Error("answer to an older request: got the end of the limit, want none")
	}
	if !throttle.ObserveNone(start.Add(2*time.Second), start.Add(time.Second), server) {
		t.Error("answer to a newer request: got no end of the limit, want one")
	}
}

// Guards against sending the whole limit from each entry while no control host answers.
func TestOwnAllowance(t *testing.T) {
	for entries, want := range map[int]int{8: 1 + 20*4/8, 0: 1 + 20*4/30} {
		throttle := throttler.New(func() int { return entries })
		throttle.Observe(start, server, 4)
		sent := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			if throttle.Take(now, server, 1) {
				sent++
			}
		}
		if sent < want-1 || sent > want {
			t.Errorf("requests of one of %d entries in 20 s: got %d, want %d", entries, sent, want)
		}
	}
}

// Guards against requests that did not reach the server or cannot be held back.
func TestChargeAndRefund(t *testing.T) {
	throttle := throttler.New(func() int { return 1 })
	throttle.Observe(start, server, 0.1)
	if !throttle.Take(start, server, 1) || throttle.Take(start, server, 1) {
		t.Error("first and second request: want the first taken and the second not")
	}
	throttle.Refund(server, 1)
	if !throttle.Take(start, server, 1) {
		t.Error("request after a refund: got false, want true")
	}
	throttle.Charge(start, server, 2)
	if got, want := throttle.Throttles(start)[0].GetUsed(), 3.0; got != want {
		t.Errorf("used: got %g, want %g", got, want)
	}
}

// Guards against numbers of a faulty peer that open or close a limit for good.
func TestInvalidNumbers(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		throttle := throttler.New(func() int { return 1 })
		throttle.Observe(start, server, x)
		throttle.Observe(start, "known", 2)
		throttle.SetGrants(start, []*wire.RequestGrant{
			{Server: server, Limit: x}, {Server: "known", Limit: 2, Granted: x}, {Server: "old", Limit: 2, Age: math.MinInt64},
		})
		if got, want := throttle.Known(), 1; got != want {
			t.Errorf("%g: servers known: got %d, want %d", x, got, want)
		}
		d := throttler.NewDistributor()
		for _, u := range []*wire.Throttle{
			{Server: server, Limit: x}, {Server: server, Limit: 2, Demand: x}, {Server: server, Limit: 2, Used: x}, {Server: server, Limit: 2, Granted: x},
		} {
			d.Distribute(start, []*wire.Quota{nil, {Entry: "e", Throttles: []*wire.Throttle{nil, u}}})
		}
		if d.Active() {
			t.Errorf("%g: got an active limit, want none", x)
		}
	}
}

// Guards against keeping the limits of servers that are gone, and losing those of others.
func TestRetain(t *testing.T) {
	throttle := throttler.New(func() int { return 1 })
	throttle.Observe(start, server, 2)
	none := func(string) bool { return false }
	throttle.Retain(start.Add(time.Second), none)
	if got, want := throttle.Known(), 1; got != want {
		t.Errorf("servers after one list without it: got %d, want %d", got, want)
	}
	throttle.Retain(start.Add(2*time.Minute), func(string) bool { return true })
	if got, want := throttle.Known(), 1; got != want {
		t.Errorf("servers while listed: got %d, want %d", got, want)
	}
	throttle.Retain(start.Add(2*time.Minute), none)
	if got, want := throttle.Known(), 0; got != want {
		t.Errorf("servers that are gone: got %d, want %d", got, want)
	}
}
