package controller_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// startHosts starts a single host or a cluster.
func startHosts(b *testing.B, hosts int) []*host {
	b.Helper()
	if hosts == 1 {
		return []*host{start(b, settings(b.TempDir()))}
	}

	return cluster(b, hosts)
}

// sendCommands sends a command for each id over one session and waits for each result.
func sendCommands(b *testing.B, session *messenger.Session, ids <-chan int) {
	b.Helper()
	for i := range ids {
		s, err := session.Open(context.Background())
		if err != nil {
			b.Error(err)

			return
		}
		// Claims do not cause updates to attached processes.
		cmd := &wire.Command{Id: fmt.Sprint(i), Body: &wire.Command_Claim{Claim: &wire.Claim{Key: fmt.Sprint(i)}}}
		_ = s.Send(&wire.Request{Body: &wire.Request_Command{Command: cmd}})
		r := &wire.Response{}
		if err := s.Recv(r); err != nil || r.GetResult().GetOutcome() != wire.Outcome_OUTCOME_DONE {
			b.Errorf("command %d: %v %v", i, r, err)
		}
		_ = s.Close()
	}
}

// BenchmarkCommit measures commits over loopback with disk syncs: the latency with one
// caller and the throughput with 64.
func BenchmarkCommit(b *testing.B) {
	for _, hosts := range []int{1, 3, 5} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("hosts=%d/callers=%d", hosts, callers), func(b *testing.B) {
				l, _ := leader(b, startHosts(b, hosts))
				apply(b, l, newChange("first"))
				session, err := messenger.Dial(context.Background(), l.Addr())
				if err != nil {
					b.Fatal(err)
				}
				defer func() { _ = session.Close() }()
				ids := make(chan int)
				var work sync.WaitGroup
				b.ResetTimer()
				for range callers {
					work.Go(func() { sendCommands(b, session, ids) })
				}
				for i := range b.N {
					ids <- i
				}
				close(ids)
				work.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			})
		}
	}
}

// BenchmarkRecovery measures the time from the start of a host to its first linearizable
// read after 10,000 changes.
func BenchmarkRecovery(b *testing.B) {
	const changes = 10_000
	for name, compact := range map[string]uint64{"log": 2 * changes, "snapshot": changes / 2} {
		b.Run(name, func(b *testing.B) {
			s := settings(b.TempDir())
			s.CompactEntries = compact
			h := start(b, s)
			apply(b, h, newChange("first"))
			session, err := messenger.Dial(context.Background(), h.Addr())
			if err != nil {
				b.Fatal(err)
			}
			ids := make(chan int)
			var work sync.WaitGroup
			for range 64 {
				work.Go(func() { sendCommands(b, session, ids) })
			}
			for i := range changes {
				ids <- i
			}
			close(ids)
			work.Wait()
			_ = session.Close()
			_ = h.Close()
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				_ = h.Close()
				b.StartTimer()
				h = start(b, s)
				if query(b, h, "services").GetStale() {
					b.Fatal("stale")
				}
			}
		})
	}
}

// BenchmarkFailover measures the time from the loss of the leader to the next commit,
// with an election timeout of 300 ms.
func BenchmarkFailover(b *testing.B) {
	var total time.Duration
	for range b.N {
		b.StopTimer()
		hosts := cluster(b, 3)
		l, rest := leader(b, hosts)
		apply(b, l, newChange("first"))
		failDisk(b, l)
		b.StartTimer()
		begin := time.Now()
		apply(b, rest[0], newChange("second"))
		total += time.Since(begin)
		b.StopTimer()
		for _, h := range rest {
			_ = h.Close()
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/failover")
}
