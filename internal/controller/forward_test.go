package controller_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a forwarded command that waits for a leader that no longer responds,
// although another host leads by now. A suspended process accepts the bytes and never
// answers; the wait for it took 11 s. With the commit timeout set here it would take 24
// hours and exceed the test timeout.
func TestForwardIsCancelledWhenLeaderChanges(t *testing.T) {
	hosts := cluster(t, 3, func(s *controller.Settings) { s.CommitTimeout = 24 * time.Hour })
	blocked, rest := leader(t, hosts)
	if got, want := apply(t, rest[0], newChange("before")).GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
		t.Fatalf("command before the leader is blocked: got %v, want %v", got, want)
	}
	openStream(t, blocked, &wire.Request{Body: &wire.Request_Query{Query: &wire.Query{Subject: blockSubject}}})
	defer close(blocked.state.unblock)
	<-blocked.state.blocked
	for _, h := range rest {
		if got, want := apply(t, h, newChange("after")).GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
			t.Errorf("command while the leader is blocked: got %v, want %v", got, want)
		}
	}
}
