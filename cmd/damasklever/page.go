package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damasklever/damasklever/internal/configurer"
)

func pageCommand() *cli.Command {
	return &cli.Command{
		Name:  "page",
		Usage: "print the settings of all roles as the page docs/operators/settings.md",
		Action: func(_ context.Context, c *cli.Command) error {
			return writePage(c.Root().Writer)
		},
	}
}

// writePage writes the settings page as Markdown, with one table per role.
func writePage(w io.Writer) error {
	if _, err := io.WriteString(w, "# Settings\n\nMade by `damasklever check page`. "+
		"A flag goes before its environment variable, and that before the default. "+
		"`damasklever check ROLE` reports every fault at once.\n"); err != nil {
		return errors.Newf("write page: %w", err)
	}
	for _, role := range []struct {
		name    string
		options []configurer.Option
	}{
		{"entry", configurer.EntryOptions()},
		{"agent", configurer.AgentOptions()},
		{"control", configurer.ControlOptions()},
	} {
		if err := writeTable(w, role.name, role.options); err != nil {
			return err
		}
	}

	return nil
}

func writeTable(w io.Writer, role string, options []configurer.Option) error {
	if _, err := fmt.Fprintf(w, "\n## %s\n\n| flag | environment variable | default | meaning |\n|---|---|---|---|\n", role); err != nil {
		return errors.Newf("write table of %s: %w", role, err)
	}
	for _, o := range options {
		value := "required"
		if o.Value() != "" {
			value = "`" + o.Value() + "`"
		} else if slices.Contains([]string{"advertise", "hosts", "members", "memory"}, o.Name()) {
			value = "empty"
		}
		if _, err := fmt.Fprintf(w, "| `--%s` | `%s` | %s | %s |\n", o.Name(), o.Env(), value, o.Usage()); err != nil {
			return errors.Newf("write setting %s: %w", o.Name(), err)
		}
	}

	return nil
}
