package gateway_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a shutdown that never ends because the bounds of the listener change at its end.
func TestBoundsChangeAtClose(t *testing.T) {
	const (
		rounds  = 1000
		changes = 20
		timeout = 10 * time.Second
	)
	clock := timer.New()
	defer clock.Close()
	rq, err := requester.New(requester.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	defer rq.Close()
	place, err := placer.New(placer.Settings{Centre: "c", Region: "r"})
	if err != nil {
		t.Fatal(err)
	}
	for round := range rounds {
		var header atomic.Int64
		g, err := gateway.New(gateway.Settings{
			Listen: "127.0.0.1:0", Dialect: testDialect{}, Placer: place, Requester: rq, Timer: clock,
			Plan: func() *matcher.Matcher {
				plan := standardPlan()
				plan.Bounds = &wire.Bounds{Header: 8192 + header.Add(1)} // other ones in each call

				return matcher.New(plan)
			},
		}, prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		var calls sync.WaitGroup
		for range 8 {
			calls.Go(func() {
				for range changes {
					g.ApplyPlan()
				}
			})
		}
		calls.Go(func() {
			<-time.After(time.Duration(round%50) * 4 * time.Microsecond)
			go g.Close()
		})
		calls.Wait()
		select {
		case <-g.Done():
		case <-time.After(timeout):
			t.Fatalf("round %d: got no end %v after Close", round, timeout)
		}
	}
}
