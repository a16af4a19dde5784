package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/wire"
)

// fakeControl is a control host in memory. It has the real state machine but no log.
type fakeControl struct {
	mu       sync.Mutex
	state    *registrar.Registrar
	index    uint64
	commands []*wire.Command
	// answerCommand returns the result of a command, if set. With a nil result the host does
	// not respond.
	answerCommand func(cmd *wire.Command) *wire.Result
	stale         bool
	silent        bool
	// added is the address of the host that was added last. It is listed as a learner in the
	// next learnerPolls queries for the control hosts, and as a voter after them.
	added        string
	learnerPolls int
}

func newFakeControl(t interface{ Fatal(args ...any) }) (c *fakeControl, addr string, stop func()) {
	c = &fakeControl{state: registrar.New()}
	for _, name := range []string{"kochi-1", "kochi-2"} {
		c.apply(&wire.Command{Id: name, Body: &wire.Command_Register{Register: &wire.Register{Attach: &wire.Attach{
			Name: name, Role: "agent", Addr: "10.0.0.1:7000", Region: "kochi", Centre: "kochi-1",
			Service: "notes", Phase: "decode", Pieces: 20, Epoch: 1,
		}}}})
	}
	l, err := messenger.Listen("127.0.0.1:0", c.serve)
	if err != nil {
		t.Fatal(err)
	}

	return c, l.Addr(), func() { _ = l.Close() }
}

func (c *fakeControl) apply(cmd *wire.Command) *wire.Result {
	c.index++

	return c.state.Apply(c.index, time.Unix(1_700_000_000+int64(c.index), 0), cmd)
}

func (c *fakeControl) serve(ctx context.Context, s *messenger.Stream) {
	var r wire.Request
	if s.Recv(&r) != nil {
		return
	}
	c.mu.Lock()
	response := c.respond(&r)
	c.mu.Unlock()
	if response == nil {
		<-ctx.Done()

		return
	}
	_ = s.Send(response)
}

func (c *fakeControl) respond(r *wire.Request) *wire.Response {
	if c.silent {
		return nil
	}
	if q := r.GetQuery(); q != nil {
		t, err := c.query(q)
		if err != nil {
			t = &wire.Table{Columns: []string{"error"}, Rows: []*wire.Row{{Cells: []string{err.Error()}}}}
		}
		t.Stale, t.Revision = c.stale, c.state.Revision()

		return &wire.Response{Body: &wire.Response_Table{Table: t}}
	}
	cmd := r.GetCommand()
	c.commands = append(c.commands, cmd)
	var res *wire.Result
	switch {
	case c.answerCommand != nil:
		if res = c.answerCommand(cmd); res == nil {
			return nil
		}
	case cmd.GetPeering() != nil:
		if cmd.GetPeering().GetVerb() == "add" {
			c.added = cmd.GetPeering().GetAddr()
		}
		res = &wire.Result{Id: cmd.GetId(), Outcome: wire.Outcome_OUTCOME_DONE, Text: fmt.Sprint(cmd.GetPeering())}
	default:
		res = c.apply(cmd)
		res.Force, res.Known = 2, 3
	}

	return &wire.Response{Body: &wire.Response_Result{Result: res}}
}

func (c *fakeControl) query(q *wire.Query) (*wire.Table, error) {
	switch q.GetSubject() {
	case "peers":
		columns := []registrar.Column{{Name: "number", Unit: registrar.Number}, {Name: "addr"}, {Name: "role"}}
		rows := [][]string{{"1", "10.0.0.1:7100", "leader"}, {"2", "10.0.0.2:7100", "follower"}}
		if c.added != "" {
			role := "voter"
			if c.learnerPolls > 0 {
				c.learnerPolls--
				role = "learner"
			}
			rows = append(rows, []string{"9", c.added, role})
		}

		return registrar.Select(q, columns, rows)
	case "status":
		columns := []registrar.Column{{Name: "name"}, {Name: "role"}, {Name: "force"}}

		return registrar.Select(q, columns, [][]string{{"entry-1", "entry", "yes"}, {"entry-2", "entry", "no"}, {"kochi-1", "agent", "yes"}})
	default:
		return c.state.Query(q)
	}
}
