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
		Action: p.withSession(func(s *session, c *cli.Command) error {
			q, err := parseQuery("status " + joinArgs(c.Args().Slice()))
			if err != nil {
				return err
			}

			return s.status(q)
		}),
	}
}

func (s *session) status(q *wire.Query) error {
	t, err := s.query(q)
	if err != nil {
		return err
	}
	force := slices.Index(t.GetColumns(), "force")
	if s.json || force < 0 {
		return s.printTable(t)
	}
	behind := &wire.Table{Columns: t.GetColumns()}
	for _, r := range t.GetRows() {
		if cell(r, force) != "yes" {
			behind.Rows = append(behind.Rows, r)
		}
	}
	known := len(t.GetRows())
	_, err = fmt.Fprintf(s.out, "revision %d, in force on %d of %d processes\n",
		t.GetRevision(), known-len(behind.GetRows()), known)
	if err != nil {
		return errors.Newf("print status: %w", err)
	}
	if len(behind.GetRows()) > 0 {
		_, _ = fmt.Fprintln(s.out, "\nnot yet in force on:")
		if err := s.printRows(behind); err != nil {
			return err
		}
	}
	peers, err := s.all("peers")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(s.out, "\ncontrol hosts:")

	return s.printRows(peers)
}
