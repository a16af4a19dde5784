// Command damaskctl is the operators' command-line tool for queries and changes.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the program and returns its exit status.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	p := &program{in: in, out: out, err: errOut}
	err := p.root().Run(ctx, args)

	return p.report(err)
}
