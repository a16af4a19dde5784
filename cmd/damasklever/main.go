// Command damasklever runs the router's processes, with a subcommand for each role.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// version is overridden by the linker in release builds.
var version = "0.1.0-dev"

const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError is an error for invalid flags or settings, with which the program exits with
// status 2.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (u usageError) Unwrap() error { return u.error }

func main() {
	root := &cli.Command{
		Name:    "damasklever",
		Usage:   "router for model engines with separate prefill and decode servers, and for plain services",
		Version: version,
		Commands: []*cli.Command{
			entryCommand(), agentCommand(), controlCommand(), checkCommand(), demoCommand(),
		},
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	setUsageErrors(root)
	err := root.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "damasklever:", err)
	if errors.HasType(err, usageError{}) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// setUsageErrors makes invalid flags of a command and its subcommands print a one-line error
// and exit with status 2, instead of printing the whole help text.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}
