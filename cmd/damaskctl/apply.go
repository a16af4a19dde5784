package main

import (
	"github.com/urfave/cli/v3"
)

const applyHelp = `Makes all changes of a file as one: either all of them take effect, under one
revision, or none. FILE is - for the standard input. The answer says on how many
processes the change is in force; damaskctl status names the others.

  damaskctl apply --dry-run fleet.conf
  damaskctl apply --expect 41 fleet.conf

With set statements a file can be applied again: set creates or changes. The file
has one statement a line and comments after #. See damaskctl run --help for the
statements; only those that change the configuration are allowed.`

func (p *program) applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "make all changes of a file, or none",
		ArgsUsage: "FILE", Description: applyHelp, Action: p.withSession((*session).apply),
	}
}

func (s *session) apply(c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageErrorf("apply needs one FILE")
	}
	edits, text, err := s.edits(c.Args().First())
	if err != nil {
		return err
	}

	return s.change(edits, text)
}
