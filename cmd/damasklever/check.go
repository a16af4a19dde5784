package main

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/configurer"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check the settings of a role without starting it",
		Description: "Reads the flags and environment variables of the role exactly as the role itself does, " +
			"and prints every fault on a line of its own with the flag and the environment variable. " +
			"The exit status is 0 if the role would start and 2 if it would not.",
		Commands: []*cli.Command{
			pageCommand(),
			checkRole("entry", configurer.EntryOptions(), func(s configurer.Source) configurer.InvalidSettings {
				_, faults := configurer.ReadEntry(s)

				return faults
			}),
			checkRole("agent", configurer.AgentOptions(), func(s configurer.Source) configurer.InvalidSettings {
				_, faults := configurer.ReadAgent(s)

				return faults
			}),
			checkRole("control", configurer.ControlOptions(), func(s configurer.Source) configurer.InvalidSettings {
				_, faults := configurer.ReadControl(s)

				return faults
			}),
		},
	}
}

func checkRole(role string, options []configurer.Option, read func(configurer.Source) configurer.InvalidSettings) *cli.Command {
	return &cli.Command{
		Name:  role,
		Usage: "check the settings of the " + role + " role",
		Flags: configurer.Flags(options),
		Action: func(_ context.Context, c *cli.Command) error {
			faults := read(c)
			if len(faults) == 0 {
				return printLine(c.Root().Writer, "settings are valid")
			}
			for _, fault := range faults {
				if err := printLine(c.Root().Writer, fault); err != nil {
					return err
				}
			}

			return usageError{errors.Newf("%d invalid settings", len(faults))}
		},
	}
}

func printLine(w io.Writer, line any) error {
	if _, err := fmt.Fprintln(w, line); err != nil {
		return errors.Newf("print line: %w", err)
	}

	return nil
}
