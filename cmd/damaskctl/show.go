package main

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const showHelp = `Shows a table of one subject:

  damaskctl show servers
  damaskctl show servers where region = kochi and drained = yes
  damaskctl show 'requests where late > 0 sort late desc limit 20'

Operators are = != < <= > >= and ~ for a regular expression; quote < and > for the
shell. Values are written as they are shown: 2s, 75ms, 20%. An unknown field gives
an error that lists the known ones.`

func (p *program) showCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "show services, ranks, rules, servers, requests and more",
		ArgsUsage:   "SUBJECT [where ...] [sort FIELD [desc]] [limit N]",
		Description: showHelp + "\n\nSubjects: " + strings.Join(parser.Subjects(), ", ") + ".",
		Action: p.withSession(func(s *session, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return usageErrorf("show needs a subject: %s", strings.Join(parser.Subjects(), ", "))
			}
			q, err := parseQuery("show " + joinArgs(c.Args().Slice()))
			if err != nil {
				return err
			}

			return s.show(q)
		}),
	}
}

// parseQuery parses a text that must consist of one query.
func parseQuery(text string) (*wire.Query, error) {
	all, err := parser.Parse(text)
	if err != nil {
		return nil, errors.Newf("read query: %w", err)
	}
	if len(all) != 1 || all[0].Query == nil {
		return nil, usageErrorf("%q is not one query", text)
	}

	return all[0].Query, nil
}

func (s *session) show(q *wire.Query) error {
	t, err := s.query(q)
	if err != nil {
		return err
	}

	return s.printTable(t)
}
