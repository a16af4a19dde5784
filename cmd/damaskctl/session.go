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
	// answerWait is longer than a control host waits for a commit, its leader and
	// the processes that report a change.
	answerWait = 6 * time.Second
	idBytes    = 8
)

// dialog is the exchange of one run with the control hosts.
type dialog struct {
	*program
	client *subscriber.Client
	clock  *timer.Real
	ctx    context.Context //nolint:containedctx // it is the lifetime of one run
	cancel context.CancelFunc
	json   bool
	dry    bool
	expect int64
	id     string
	who    string
}

// open reads the flags. It connects with the first request.
func (p *program) open(ctx context.Context, c *cli.Command) (*dialog, error) {
	hosts := slices.DeleteFunc(c.StringSlice("control"), func(h string) bool { return h == "" })
	if len(hosts) == 0 {
		return nil, usage("no control hosts: set --control or DAMASK_CONTROL")
	}
	if c.Duration("timeout") <= 0 {
		return nil, usage("--timeout must be positive")
	}
	if c.Int64("expect") < registrar.AnyRevision {
		return nil, usage("--expect must be a revision, or -1 for any")
	}
	clock := timer.New()
	client, err := subscriber.NewClient(subscriber.Settings{
		Hosts: hosts, Answer: answerWait,
		Rand: func() float64 { return 0 }, // hosts in the order given
	}, clock)
	if err != nil {
		clock.Close()

		return nil, usage("--control: %w", err)
	}
	d := &dialog{
		program: p, client: client, clock: clock, json: c.Bool("json"), dry: c.Bool("dry-run"),
		expect: c.Int64("expect"), id: c.String("id"), who: c.String("who"),
	}
	d.ctx, d.cancel = context.WithTimeout(ctx, c.Duration("timeout"))

	return d, nil
}

func (d *dialog) close() {
	d.cancel()
	d.client.Close()
	d.clock.Close()
}

// with opens a dialog for one action.
func (p *program) with(act func(d *dialog, c *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		d, err := p.open(ctx, c)
		if err != nil {
			return err
		}
		defer d.close()

		return act(d, c)
	}
}

// ask sends a query and warns if the answer may be old.
func (d *dialog) ask(q *wire.Query) (*wire.Table, error) {
	t, err := d.client.Query(d.ctx, q)
	if err != nil {
		return nil, errors.Newf("show %s: %w", q.GetSubject(), err)
	}
	if t.GetStale() {
		_, _ = fmt.Fprintln(d.err, "damaskctl: no control host is in touch with a majority, this answer may be old")
	}

	return t, nil
}

// all sends a query without filters.
func (d *dialog) all(subject string) (*wire.Table, error) {
	return d.ask(&wire.Query{Subject: subject})
}

// change sends edits as one change.
func (d *dialog) change(edits []*wire.Edit, text string) error {
	return d.propose(&wire.Command{
		Expect: d.expect,
		Body:   &wire.Command_Change{Change: &wire.Change{Edits: edits, Dry: d.dry, Text: text}},
	})
}

// propose sends a command under the id of the flag or a new one and prints the
// result.
func (d *dialog) propose(cmd *wire.Command) error {
	cmd.Id, cmd.Who = d.id, d.who
	if cmd.GetId() == "" {
		id, err := newID()
		if err != nil {
			return err
		}
		cmd.Id = id
	}
	res, err := d.client.Propose(d.ctx, cmd)
	if err != nil {
		if statusOf(err) == exitPending {
			err = errors.Newf("pending: %w; send it again with --id %s", err, cmd.GetId())
		}

		return err
	}
	if err := d.printResult(res); err != nil {
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
