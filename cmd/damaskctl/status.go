package main

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/wire"
)

const statusHelp = `Shows the current revision, how many processes have it in force, which do not, and
the control hosts. With --json it prints the table of all processes.`

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the revision and the processes that don't have it yet",
		Description: statusHelp,
		Action: p.withSession(func(d *session, c *cli.Command) error {
			q, err := parseQuery("status " + joinArgs(c.Args().Slice()))
			if err != nil {
				return err
			}

			return d.status(q)
		}),
	}
}

func (d *session) status(q *wire.Query) error {
	t, err := d.query(q)
	if err != nil {
		return err
	}
	force := slices.Index(t.GetColumns(), "force")
	if d.json || force < 0 {
		return d.printTable(t)
	}
	behind := &wire.Table{Columns: t.GetColumns()}
	for _, r := range t.GetRows() {
		if cell(r, force) != "yes" {
			behind.Rows = append(behind.Rows, r)
		}
	}
	known := len(t.GetRows())
	_, err = fmt.Fprintf(d.out, "revision %d, in force on %d of %d processes\n",
		t.GetRevision(), known-len(behind.GetRows()), known)
	if err != nil {
		return errors.Newf("print status: %w", err)
	}
	if len(behind.GetRows()) > 0 {
		_, _ = fmt.Fprintln(d.out, "\nnot yet in force on:")
		if err := d.printRows(behind); err != nil {
			return err
		}
	}
	peers, err := d.all("peers")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(d.out, "\ncontrol hosts:")

	return d.printRows(peers)
}
