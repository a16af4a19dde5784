package main

import (
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const runHelp = `Runs one statement, or the statements of the standard input if there is none on
the command line:

  damaskctl run 'drain server kochi-3'
  damaskctl run block digest 9f2c for 1h
  damaskctl run < statements

Statements run one after the other and stop at the first that fails. Each change
is a command of its own; to make several changes at once, use damaskctl apply.

  show SUBJECT [where FIELD OP VALUE [and ...]] [sort FIELD [desc]] [limit N]
  status
  history
  create|change|set service|rank|rule NAME FIELD=VALUE ...
  delete service|rank|rule|server NAME
  drain|return server NAME
  order server NAME load|unload SUBJECT
  order server NAME role prefill|decode
  block digest DIGEST [for DURATION] [because TEXT]
  release digest DIGEST
  add|replace peer NUMBER ADDR
  remove peer NUMBER

Set creates an object or changes it. Replace adds the control host at ADDR, waits
until it votes and then removes the one with the number; if one of the last two steps
fails, send remove peer.`

func (p *program) runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run one statement, or those of the standard input",
		ArgsUsage: "[STATEMENT]", Description: runHelp, Action: p.withSession((*session).run),
	}
}

func (s *session) run(c *cli.Command) error {
	text := joinArgs(c.Args().Slice())
	if c.Args().Len() == 0 || text == "-" {
		var err error
		if text, err = s.readFile("-"); err != nil {
			return err
		}
	}
	all, err := parser.Parse(text)
	if err != nil {
		return errors.Newf("read statement: %w", err)
	}
	if len(all) == 0 {
		return usageErrorf("there is no statement to run")
	}
	changes := 0
	for _, stmt := range all {
		if stmt.Query == nil {
			changes++
		}
	}
	if changes > 1 && (s.id != "" || s.expect >= 0) {
		return usageErrorf("--id and --expect are for one change, there are %d; use damaskctl apply", changes)
	}
	for _, stmt := range all {
		if err := s.statement(stmt); err != nil {
			if len(all) > 1 {
				return errors.Newf("line %d: %w", stmt.Line, err)
			}

			return err
		}
	}

	return nil
}

func (s *session) statement(stmt parser.Statement) error {
	switch {
	case stmt.Query.GetSubject() == "status":
		return s.status(stmt.Query)
	case stmt.Query != nil:
		return s.show(stmt.Query)
	case stmt.Peer != nil:
		return s.changePeers(stmt.Peer)
	default:
		return s.change([]*wire.Edit{stmt.Edit}, stmt.Text)
	}
}
