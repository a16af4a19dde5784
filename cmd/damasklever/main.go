// Command damasklever runs the processes of the router. Each role is a
// subcommand.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// version is set by the linker in releases.
var version = "0.1.0-dev"

const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks wrong settings, which end the program with status 2.
type usageError struct{ error }

// Unwrap returns the cause.
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
	reportUsage(root)
	err := root.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "damasklever:", err)
	if errors.HasType(err, usageError{}) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

// reportUsage makes malformed flags of a command and all below it end the
// program with status 2 and one line, without the whole help text.
func reportUsage(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	for _, sub := range c.Commands {
		reportUsage(sub)
	}
}
