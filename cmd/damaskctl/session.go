package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// answerTimeout is longer than a control host waits for a commit, for its leader and for
	// the processes to report that a change is in force.
	answerTimeout = 6 * time.Second
	idBytes       = 8
)

// session contains the flags of one run and its connection to the control hosts.
type session struct {
	*program
	client *subscriber.Client
	clock  *timer.Real
	ctx    context.Context //nolint:containedctx // bounds the lifetime of the session
	cancel context.CancelFunc
	json   bool
	dryRun bool
	expect int64
	id     string
	who    string
}

// newSession returns a session with the values of the flags. It connects on the first request.
func (p *program) newSession(ctx context.Context, c *cli.Command) (*session, error) {
	hosts := slices.DeleteFunc(c.StringSlice("control"), func(h string) bool { return h == "" })
	if len(hosts) == 0 {
		return nil, usageErrorf("no control hosts: set --control or DAMASK_CONTROL")
	}
	if c.Duration("timeout") <= 0 {
		return nil, usageErrorf("--timeout must be positive")
	}
	if c.Int64("expect") < registrar.AnyRevision {
		return nil, usageErrorf("--expect must be a revision, or -1 for any")
	}
	clock := timer.New()
	client, err := subscriber.NewClient(subscriber.Settings{
		Hosts: hosts, ResponseTimeout: answerTimeout,
		Rand: func() float64 { return 0 }, // try the hosts in the given order
	}, clock)
	if err != nil {
		clock.Close()

		return nil, usageErrorf("--control: %w", err)
	}
	s := &session{
		program: p, client: client, clock: clock, json: c.Bool("json"), dryRun: c.Bool("dry-run"),
		expect: c.Int64("expect"), id: c.String("id"), who: c.String("who"),
	}
	s.ctx, s.cancel = context.WithTimeout(ctx, c.Duration("timeout"))

	return s, nil
}

func (s *session) close() {
	s.cancel()
	s.client.Close()
	s.clock.Close()
}

// withSession returns an action that runs act in a new session.
func (p *program) withSession(act func(s *session, c *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := p.newSession(ctx, c)
		if err != nil {
			return err
		}
		defer s.close()

		return act(s, c)
	}
}

// query sends a query. It prints a warning if the result may be stale.
func (s *session) query(q *wire.Query) (*wire.Table, error) {
	t, err := s.client.Query(s.ctx, q)
	if err != nil {
		return nil, errors.Newf("show %s: %w", q.GetSubject(), err)
	}
	if t.GetStale() {
		_, _ = fmt.Fprintln(s.err, "damaskctl: no control host is in touch with a majority, this answer may be old")
	}

	return t, nil
}

// all returns all rows of a subject.
func (s *session) all(subject string) (*wire.Table, error) {
	return s.query(&wire.Query{Subject: subject})
}

// change proposes edits as one change.
func (s *session) change(edits []*wire.Edit, text string) error {
	return s.propose(&wire.Command{
		Expect: s.expect,
		Body:   &wire.Command_Change{Change: &wire.Change{Edits: edits, Dry: s.dryRun, Text: text}},
	})
}

// propose sends a command with the ID of the --id flag, or with a new one, and prints the
// result.
func (s *session) propose(cmd *wire.Command) error {
	cmd.Id, cmd.Who = s.id, s.who
	if cmd.GetId() == "" {
		id, err := newID()
		if err != nil {
			return err
		}
		cmd.Id = id
	}
	res, err := s.client.Propose(s.ctx, cmd)
	if err != nil {
		if exitStatus(err) == exitPending {
			err = errors.Newf("pending: %w; send it again with --id %s", err, cmd.GetId())
		}

		return err
	}
	if err := s.printResult(res); err != nil {
		return err
	}

	return outcomeError(res)
}

func newID() (string, error) {
	b := make([]byte, idBytes)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Newf("draw command id: %w", err)
	}

	return hex.EncodeToString(b), nil
}
