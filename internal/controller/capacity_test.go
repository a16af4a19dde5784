package controller_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// idleTime is how long BenchmarkAttached measures idle processes.
const idleTime = 4 * time.Second

// BenchmarkAttached measures the cost of attached processes, for one control host and the
// processes together, as both run in this program: the time until all processes have
// applied a change, and per idle process the CPU time and the heap size.
func BenchmarkAttached(b *testing.B) {
	for _, n := range []int{50, 150, 450} {
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) {
			before := heapBytes()
			s := settings(b.TempDir())
			s.PulseInterval, s.ElectionTimeout, s.HeartbeatInterval, s.Force = 0, 0, 0, 0 // use the default intervals
			c, err := controller.New(s)
			if err != nil {
				b.Fatal(err)
			}
			if err := c.Start(context.Background()); err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			clock := timer.New()
			defer clock.Close()
			all := attachAgents(b, c, clock, n)
			b.ResetTimer()
			for i := range b.N {
				applyChange(b, all, fmt.Sprintf("r%d", i))
			}
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/change")
			b.ReportMetric(float64(heapBytes()-before)/float64(n)/1024, "KiB/process")
			start := cpuTime()
			<-time.After(idleTime)
			used := cpuTime() - start
			b.ReportMetric(float64(used.Microseconds())/idleTime.Seconds()/float64(n), "µs/s/process")
		})
	}
}

// attachAgents attaches n agents and waits until each sees all of them.
func attachAgents(b *testing.B, c *controller.Controller, clock timer.Service, n int) []*subscriber.Subscriber {
	b.Helper()
	var all []*subscriber.Subscriber
	for i := range n {
		s, err := subscriber.New(subscriber.Settings{
			Hosts: []string{c.Addr()},
			Attach: &wire.Attach{
				Name: fmt.Sprintf("server-%d", i), Role: "agent", Addr: "127.0.0.1:1", Region: "kochi",
				Centre: "kochi-1", Service: "summary", Phase: "decode", Pieces: 40, Epoch: 1,
			},
		}, clock)
		if err != nil {
			b.Fatal(err)
		}
		s.Start()
		b.Cleanup(s.Close)
		all = append(all, s)
	}
	for _, s := range all {
		awaitView(b, s, func(v *subscriber.View) bool { return len(v.Servers("summary")) == n })
	}

	return all
}

// applyChange sets a rank and waits until every process sees it.
func applyChange(b *testing.B, all []*subscriber.Subscriber, name string) {
	b.Helper()
	r, err := all[0].Propose(b.Context(), &wire.Command{
		Id: name, Who: "test", Expect: -1, Body: &wire.Command_Change{Change: &wire.Change{Edits: []*wire.Edit{{
			Verb: "set", Kind: "rank", Name: "drill",
			Rank: &wire.Rank{Name: "drill", First: 2000 + int64(len(name)), Gap: 75, Worth: 1},
		}}}},
	})
	if err != nil || r.GetOutcome() != wire.Outcome_OUTCOME_DONE {
		b.Fatalf("change: got %v, %v", r, err)
	}
	for _, s := range all {
		awaitView(b, s, func(v *subscriber.View) bool { return v.Revision() >= r.GetRevision() })
	}
}

func awaitView(b *testing.B, s *subscriber.Subscriber, fits func(v *subscriber.View) bool) {
	b.Helper()
	for {
		changed := s.Changed()
		if fits(s.View()) {
			return
		}
		<-changed
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc + m.StackInuse
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
