package controller_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a command that waits for a frozen leader although another host
// leads by now. A frozen process takes the bytes and never answers; the wait
// for it was 11 s. Here it would be hours, past the limit of the test.
func TestCommandLeavesFrozenLeader(t *testing.T) {
	hosts := cluster(t, 3, func(s *controller.Settings) { s.Commit = 24 * time.Hour })
	frozen, rest := leader(t, hosts)
	if got, want := apply(t, rest[0], change("before")).GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
		t.Fatalf("before: got %v, want %v", got, want)
	}
	open(t, frozen, &wire.Request{Body: &wire.Request_Query{Query: &wire.Query{Subject: frozenSubject}}})
	defer close(frozen.state.thawed)
	<-frozen.state.frozen
	for _, h := range rest {
		if got, want := apply(t, h, change("after")).GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
			t.Errorf("after: got %v, want %v", got, want)
		}
	}
}
