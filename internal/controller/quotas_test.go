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

// consumer is an entry that reports demand of the customer "c" to a control host and
// receives its allotment.
type consumer struct {
	allotment atomic.Pointer[wire.Allotment] // nil until one is received
	pulses    atomic.Int64                   // number of pulses with allotments
}

func startConsumer(t *testing.T, h *host, name string, demand float64) *consumer {
	t.Helper()
	s := openStream(t, h, &wire.Request{Body: &wire.Request_Attach{Attach: &wire.Attach{Name: name, Role: "entry", Epoch: 1}}})
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
			out.allotment.Store(nil)
			for _, a := range p.GetAllotments() {
				out.allotment.Store(a)
			}
			out.pulses.Add(1)
		}
	}()

	return out
}

func (c *consumer) allotted() float64 { return c.allotment.Load().GetPart() }

// Guards against each entry or control host granting a customer's full rate on its own,
// also after a change of the leader.
func TestRateIsDividedAmongEntries(t *testing.T) {
	hosts := cluster(t, 3, func(s *controller.Settings) { s.PulseInterval = 50 * time.Millisecond })
	l, rest := leader(t, hosts)
	for _, h := range hosts {
		h.state.setCustomerRate("c", customerRate)
	}
	large := startConsumer(t, rest[0], "large", 4*customerRate)
	small := startConsumer(t, rest[1], "small", customerRate)
	split := func() bool {
		a, b := large.allotment.Load(), small.allotment.Load()
		if a == nil || b == nil || a.GetOpen() || b.GetOpen() {
			return false
		}

		return a.GetPart() > 2*b.GetPart() && a.GetPart()+b.GetPart() <= 1.01
	}
	waitUntil(split)
	_ = l.Close()
	before := large.pulses.Load()
	waitUntil(func() bool { return large.pulses.Load() > before+20 })
	if !split() {
		t.Errorf("allotments after the change of leader: got %v and %v, want them proportional to demand and within the rate",
			large.allotted(), small.allotted())
	}
}

// Guards against limiting a customer whose demand is far below its rate.
func TestLowDemandIsNotLimited(t *testing.T) {
	hosts := cluster(t, 3, func(s *controller.Settings) { s.PulseInterval = 50 * time.Millisecond })
	for _, h := range hosts {
		h.state.setCustomerRate("c", customerRate)
	}
	little := startConsumer(t, hosts[0], "little", customerRate/10)
	waitUntil(func() bool { return little.allotment.Load().GetOpen() })
}
