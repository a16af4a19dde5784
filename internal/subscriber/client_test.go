package subscriber_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

func inBubble(f func(t *testing.T)) func(t *testing.T) {
	return func(t *testing.T) { synctest.Test(t, f) }
}

func result(o wire.Outcome, index uint64) *wire.Result { return &wire.Result{Outcome: o, Index: index} }

// Guards against a retry with a different command id, and against results and errors
// that report the outcome of a command wrongly.
func TestPropose(t *testing.T) {
	refused := result(wire.Outcome_OUTCOME_REFUSED, 0)
	hinted := &wire.Result{Outcome: wire.Outcome_OUTCOME_REFUSED, Leader: "c:1"}
	tests := map[string]struct {
		hosts   map[string]*wire.Result // no response if the result is nil
		down    string
		visited string
		outcome wire.Outcome
		stored  bool
	}{
		"first host":   {map[string]*wire.Result{"a:1": result(wire.Outcome_OUTCOME_DONE, 7)}, "", "a:1", wire.Outcome_OUTCOME_DONE, false},
		"conflict":     {map[string]*wire.Result{"a:1": result(wire.Outcome_OUTCOME_CONFLICT, 7)}, "", "a:1", wire.Outcome_OUTCOME_CONFLICT, false},
		"host down":    {map[string]*wire.Result{"b:1": result(wire.Outcome_OUTCOME_DONE, 7)}, "a:1", "b:1", wire.Outcome_OUTCOME_DONE, false},
		"lost answer":  {map[string]*wire.Result{"a:1": nil, "b:1": result(wire.Outcome_OUTCOME_DONE, 7)}, "", "a:1 b:1", wire.Outcome_OUTCOME_DONE, false},
		"leader named": {map[string]*wire.Result{"a:1": hinted, "c:1": result(wire.Outcome_OUTCOME_DONE, 7)}, "", "a:1 c:1", wire.Outcome_OUTCOME_DONE, false},
		"refused by the state": {
			map[string]*wire.Result{"a:1": result(wire.Outcome_OUTCOME_REFUSED, 9)},
			"", "a:1", wire.Outcome_OUTCOME_REFUSED, false,
		},
		"no quorum":    {map[string]*wire.Result{"a:1": refused, "b:1": refused, "c:1": refused}, "", "", 0, false},
		"all down":     {nil, "a:1 b:1 c:1", "", 0, false},
		"no answer":    {map[string]*wire.Result{"a:1": nil, "b:1": refused, "c:1": refused}, "", "", 0, true},
		"pending once": {map[string]*wire.Result{"a:1": refused, "b:1": result(wire.Outcome_OUTCOME_PENDING, 0), "c:1": refused}, "", "", 0, true},
	}
	for name, test := range tests {
		t.Run(name, inBubble(func(t *testing.T) {
			c := newFakeControl()
			for _, addr := range strings.Fields(test.down) {
				c.down[addr] = true
			}
			var mu sync.Mutex
			var visited []string
			c.command = func(addr string, cmd *wire.Command) *wire.Result {
				mu.Lock()
				defer mu.Unlock()
				visited = append(visited, addr)
				if got, want := cmd.GetId(), "same"; got != want {
					t.Errorf("id: got %q, want %q", got, want)
				}

				return test.hosts[addr]
			}
			sub, clock := start(t, settings(c, "a:1", "b:1", "c:1"))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			clock.After(time.Minute, func(time.Time) { cancel() })
			var res *wire.Result
			var err error
			done := make(chan struct{})
			go func() {
				defer close(done)
				res, err = sub.Propose(ctx, &wire.Command{Id: "same"})
			}()
			advanceUntil(clock, func() bool {
				select {
				case <-done:
					return true
				default:
					return false
				}
			})
			mu.Lock()
			defer mu.Unlock()
			if got, want := strings.Join(visited, " "), test.visited; want != "" && got != want {
				t.Errorf("visited: got %q, want %q", got, want)
			}
			if got, want := res.GetOutcome(), test.outcome; got != want {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
			var proposeErr *subscriber.ProposeError
			if errors.As(err, &proposeErr) != (test.outcome == 0) {
				t.Fatalf("error: got %v, want one: %v", err, test.outcome == 0)
			}
			if proposeErr != nil && proposeErr.Stored != test.stored {
				t.Errorf("stored: got %v, want %v (%v)", proposeErr.Stored, test.stored, proposeErr)
			}
		}))
	}
}

// Guards against a Propose that blocks on a hanging connection after its context has
// ended.
func TestProposeReturnsWithItsContext(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	s := settings(newFakeControl(), "a:1")
	s.Dial = func(context.Context, string) (subscriber.Session, error) {
		<-hang

		return nil, errors.New("closed")
	}
	client, err := subscriber.NewClient(s, timer.NewManual(startTime))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Propose(ctx, &wire.Command{Id: "x"})
	var proposeErr *subscriber.ProposeError
	if !errors.As(err, &proposeErr) || proposeErr.Stored {
		t.Errorf("got %v, want a ProposeError of a command that did not run", err)
	}
}

// Guards against a stale answer from a host without a quorum while another host has
// a better one, and against returning an error table as a result.
func TestQuery(t *testing.T) {
	stale := &wire.Table{Columns: []string{"name"}, Stale: true, Index: 3}
	older := &wire.Table{Columns: []string{"name"}, Stale: true, Index: 2}
	fresh := &wire.Table{Columns: []string{"name"}, Index: 9}
	wrong := &wire.Table{Columns: []string{"error"}, Rows: []*wire.Row{{Cells: []string{"unknown field"}}}}
	tests := map[string]struct {
		hosts map[string]*wire.Table
		index uint64
		err   string
	}{
		"fresh after stale": {map[string]*wire.Table{"a:1": stale, "b:1": fresh}, 9, ""},
		"newest stale":      {map[string]*wire.Table{"a:1": older, "b:1": stale}, 3, ""},
		"not valid":         {map[string]*wire.Table{"a:1": wrong, "b:1": fresh}, 0, "unknown field"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newFakeControl()
			c.query = func(addr string) *wire.Table { return test.hosts[addr] }
			client, err := subscriber.NewClient(settings(c, "a:1", "b:1"), timer.NewManual(startTime))
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			table, err := client.Query(t.Context(), &wire.Query{Subject: "ranks"})
			if got, want := table.GetIndex(), test.index; got != want {
				t.Errorf("index: got %d, want %d", got, want)
			}
			if test.err != "" && (!errors.Is(err, subscriber.ErrInvalidQuery) || !strings.Contains(err.Error(), test.err)) {
				t.Errorf("got %v, want %q", err, test.err)
			}
		})
	}
}

// Guards against reporting a command as not run although it may have been stored,
// because the hosts that were tried later could not be reached.
func TestStoredIsNotForgotten(t *testing.T) { synctest.Test(t, testStoredIsNotForgotten) }

func testStoredIsNotForgotten(t *testing.T) {
	c := newFakeControl()
	c.down["b:1"] = true
	c.command = func(addr string, _ *wire.Command) *wire.Result {
		c.setDown(addr, true)

		return nil
	}
	sub, clock := start(t, settings(c, "a:1", "b:1"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock.After(time.Minute, func(time.Time) { cancel() })
	var err error
	done := false
	go func() {
		_, err = sub.Propose(ctx, &wire.Command{Id: "x"})
		done = true
	}()
	advanceUntil(clock, func() bool { return done })
	var proposeErr *subscriber.ProposeError
	if !errors.As(err, &proposeErr) || !proposeErr.Stored {
		t.Errorf("got %v, want a ProposeError of a command that may have been stored", err)
	}
}

// Guards against a cancelled call that breaks other calls on the same connection,
// whose outcome would then be unknown.
func TestCallsDoNotBreakEachOther(t *testing.T) { synctest.Test(t, testCallsDoNotBreakEachOther) }

func testCallsDoNotBreakEachOther(t *testing.T) {
	c := newFakeControl()
	release := make(chan struct{})
	c.command = func(addr string, cmd *wire.Command) *wire.Result {
		if addr != "a:1" {
			return result(wire.Outcome_OUTCOME_REFUSED, 0)
		}
		if cmd.GetId() == "two" {
			<-release
		}

		return map[string]*wire.Result{"two": result(wire.Outcome_OUTCOME_DONE, 7)}[cmd.GetId()]
	}
	client, err := subscriber.NewClient(settings(c, "a:1", "b:1"), timer.NewManual(startTime))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var res *wire.Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		res, _ = client.Propose(t.Context(), &wire.Command{Id: "two"})
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = client.Propose(ctx, &wire.Command{Id: "one"}) }()
	synctest.Wait()
	cancel()
	synctest.Wait()
	close(release)
	<-done
	if got, want := res.GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := len(c.dials), 1; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// Guards against a call that fails because the connection broke after the previous
// one.
func TestBrokenSessionIsReplaced(t *testing.T) {
	c := newFakeControl()
	c.command = func(string, *wire.Command) *wire.Result { return result(wire.Outcome_OUTCOME_DONE, 7) }
	client, err := subscriber.NewClient(settings(c, "a:1"), timer.NewManual(startTime))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for range 2 {
		if _, err := client.Propose(t.Context(), &wire.Command{Id: "x"}); err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		c.brokenSessions++ // all sessions opened so far
		c.mu.Unlock()
	}
	if got, want := len(c.dials), 2; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}
