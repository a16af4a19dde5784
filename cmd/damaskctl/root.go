package main

import (
	"context"
	"io"
	"os/user"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/registrar"
)

// defaultTimeout is long enough for an election and a host that does not respond.
const defaultTimeout = 20 * time.Second

// program contains the input and output streams of the program.
type program struct {
	in       io.Reader
	out, err io.Writer
}

const rootHelp = `Sends one query or change to the control hosts and prints the answer.

The control hosts are tried one after the other with the same command id, so a
change is made at most once. If no answer arrives, send it again with the id that
was printed: --id makes a resend get the first answer.

Exit status:
  0  done
  1  failed, or no control host could be reached
  2  wrong usage, or an error in a statement
  3  conflict: another change came first
  4  refused or not run
  5  pending: the change may have been stored, send it again with the same --id`

func (p *program) root() *cli.Command {
	return &cli.Command{
		Name:        "damaskctl",
		Usage:       "query and change a damasklever fleet",
		Description: rootHelp,
		Version:     version(),
		Reader:      p.in, Writer: p.out, ErrWriter: p.err,
		EnableShellCompletion: true,
		Suggest:               true,
		// Errors are printed by program.report, which also returns the exit status.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageErrorf("%w", err)
		},
		Flags: flags(),
		Commands: []*cli.Command{
			p.runCommand(), p.applyCommand(), p.diffCommand(), p.showCommand(),
			p.statusCommand(), p.historyCommand(), p.dumpCommand(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageErrorf("unknown command %q, see damaskctl --help", c.Args().First())
			}
			if err := cli.ShowRootCommandHelp(c); err != nil {
				return errors.Newf("show help: %w", err)
			}

			return nil
		},
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "control", Sources: cli.EnvVars("DAMASK_CONTROL"),
			Usage: "`ADDR` of a control host, ip:port; several with commas",
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON for scripts"},
		&cli.BoolFlag{Name: "dry-run", Usage: "validate a change without making it"},
		&cli.Int64Flag{
			Name: "expect", Value: registrar.AnyRevision,
			Usage: "make the change only at this `REVISION`; -1 for any",
		},
		&cli.StringFlag{Name: "id", Usage: "command `ID`, to send a change again"},
		&cli.StringFlag{
			Name: "who", Value: username(), Sources: cli.EnvVars("DAMASK_WHO"), Usage: "`NAME` of the author in the history",
		},
		&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "how long to wait for an answer"},
	}
}

// username returns the default author of changes; it may be empty.
func username() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}

	return u.Username
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}

	return info.Main.Version
}
