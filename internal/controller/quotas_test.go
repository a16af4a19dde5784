package controller_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/wire"
)

// customerRate is the rate of the customer "c" in these tests.
const customerRate = 1000

// consumer is an entry that reports a demand of the customer "c" to a control host and
// hears what it may admit.
type consumer struct {
	part atomic.Pointer[wire.Allotment] // nil while nothing is said
	told atomic.Int64                   // pulses that said so
}

func consume(t *testing.T, h *host, name string, demand float64) *consumer {
	t.Helper()
	s := open(t, h, &wire.Request{Body: &wire.Request_Attach{Attach: &wire.Attach{Name: name, Role: "entry", Epoch: 1}}})
	out := &consumer{}
	go func() {
		beat := time.NewTicker(50 * time.Millisecond)
		defer beat.Stop()
		begun := time.Now()
		for range beat.C {
			used := time.Since(begun).Seconds() * demand
			if s.Send(&wire.Beat{Usages: []*wire.Usage{{Customer: "c", Demand: demand, Used: used}}}) != nil {
				return
			}
		}
	}()
	go func() {
		for {
			n := &wire.Notice{}
			if s.Recv(n) != nil {
				return
			}
			p := n.GetPulse()
			if !p.GetAllotted() {
				continue
			}
			out.part.Store(nil)
			for _, a := range p.GetAllotments() {
				out.part.Store(a)
			}
			out.told.Add(1)
		}
	}()

	return out
}

func (c *consumer) allotted() float64 { return c.part.Load().GetPart() }

// Guards against a customer whose rate each entry, or each control host, gives out by
// itself, also after the leader has ended.
func TestRateIsDividedAmongEntries(t *testing.T) {
	hosts := cluster(t, 3, func(s *controller.Settings) { s.Pulse = 50 * time.Millisecond })
	l, rest := leader(t, hosts)
	for _, h := range hosts {
		h.state.limit("c", customerRate)
	}
	large := consume(t, rest[0], "large", 4*customerRate)
	small := consume(t, rest[1], "small", customerRate)
	divided := func() bool {
		a, b := large.part.Load(), small.part.Load()
		if a == nil || b == nil || a.GetOpen() || b.GetOpen() {
			return false
		}

		return a.GetPart() > 2*b.GetPart() && a.GetPart()+b.GetPart() <= 1.01
	}
	until(divided)
	_ = l.Close()
	before := large.told.Load()
	until(func() bool { return large.told.Load() > before+20 })
	if !divided() {
		t.Errorf("parts after the change of the leader: got %v and %v, want them by demand and within the rate",
			large.allotted(), small.allotted())
	}
}

// Guards against parts of a customer that asks for little.
func TestRateIsOpenBelowIt(t *testing.T) {
	hosts := cluster(t, 3, func(s *controller.Settings) { s.Pulse = 50 * time.Millisecond })
	for _, h := range hosts {
		h.state.limit("c", customerRate)
	}
	little := consume(t, hosts[0], "little", customerRate/10)
	until(func() bool { return little.part.Load().GetOpen() })
}
