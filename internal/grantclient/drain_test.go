package grantclient_test

import (
	"testing"
	"time"
)

// Guards against an ask that is held in the queue of an agent that stops.
func TestDrainRefusesWaitingAsks(t *testing.T) {
	p := newFixture(t)
	full := p.mustAsk(t, ask("full", 2, 1500, testTimeout))
	answer := make(chan error, 1)
	go func() {
		g, err := p.ask(t, ask("waits", 0, 800, testTimeout))
		if err == nil {
			g.Release()
		}
		answer <- err
	}()
	waitFor(t, "an ask in the queue", func() bool { l, _ := p.grantclient.Load("s"); return l.Queued == 1 })
	p.grantserver.BeginDrain()
	select {
	case err := <-answer:
		if err == nil {
			t.Error("waiting ask: got a grant, want a refusal")
		}
	case <-time.After(testTimeout / 2):
		t.Error("waiting ask: got no reply, want a refusal")
	}
	full.Release()
}
