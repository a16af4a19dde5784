package main

import (
	"github.com/urfave/cli/v3"
)

const historyHelp = `Shows the accepted changes with their revision, time, author and command id, the
newest first:

  damaskctl history limit 10
  damaskctl history where who = anu`

func (p *program) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "show the accepted changes, the newest first",
		ArgsUsage: "[where ...] [sort FIELD [desc]] [limit N]", Description: historyHelp,
		Action: p.withSession(func(s *session, c *cli.Command) error {
			q, err := parseQuery("history " + joinArgs(c.Args().Slice()))
			if err != nil {
				return err
			}

			return s.show(q)
		}),
	}
}
