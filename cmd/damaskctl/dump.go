package main

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const dumpHelp = `Prints the services, ranks and rules as set statements that damaskctl apply takes:

  damaskctl dump > fleet.conf

Drained servers follow as comments, since an apply fails as a whole if one of them
is not registered. With --json it prints the tables.`

// dumpedKinds are the kinds of objects that operators configure. Each kind comes before those
// that refer to it.
var dumpedKinds = []struct{ kind, subject string }{
	{parser.Service, "services"},
	{parser.Rank, "ranks"},
	{parser.Rule, "rules"},
}

func (p *program) dumpCommand() *cli.Command {
	return &cli.Command{
		Name: "dump", Usage: "print the configuration as statements",
		Description: dumpHelp,
		Action: p.withSession(func(s *session, c *cli.Command) error {
			if c.Args().Present() {
				return usageErrorf("dump takes no arguments")
			}

			return s.dump()
		}),
	}
}

func (s *session) dump() error {
	tables := make(map[string]tableView)
	var lines []string
	for _, k := range dumpedKinds {
		t, err := s.all(k.subject)
		if err != nil {
			return err
		}
		tables[k.subject] = newTableView(t)
		if lines == nil {
			lines = append(lines, fmt.Sprintf("# revision %d", t.GetRevision()))
		}
		objects, err := decodeObjects(k.kind, t)
		if err != nil {
			return err
		}
		for _, m := range objects {
			lines = append(lines, parser.PrintObject(m))
		}
	}
	if s.json {
		return s.printJSON(tables)
	}
	drained, err := s.query(&wire.Query{
		Subject: "servers", Filters: []*wire.Filter{{Field: "drained", Op: "=", Value: "yes"}},
	})
	if err != nil {
		return err
	}
	for _, r := range drained.GetRows() {
		lines = append(lines, "# drain server "+sanitize(cell(r, 0)))
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(s.out, l); err != nil {
			return errors.Newf("print dump: %w", err)
		}
	}

	return nil
}

// decodeObjects returns the objects in the rows of a table.
func decodeObjects(kind string, t *wire.Table) ([]proto.Message, error) {
	var out []proto.Message
	for _, r := range t.GetRows() {
		m := parser.New(kind)
		for _, f := range parser.Fields(kind) {
			at := slices.Index(t.GetColumns(), f.Name)
			if text := cell(r, at); text != "" && f.Unit != parser.Orders {
				if err := parser.SetField(m, f, text); err != nil {
					return nil, errors.Newf("read %s: %w", kind, err)
				}
			}
		}
		out = append(out, m)
	}

	return out, nil
}
