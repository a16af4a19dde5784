package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const diffHelp = `Shows what damaskctl apply FILE would change, without making it: lines with - are
as they are now, lines with + as they would become. It prints nothing if the file
changes nothing. The file is checked by the control hosts as apply --dry-run does.`

func (p *program) diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what apply would change",
		ArgsUsage: "FILE", Description: diffHelp, Action: p.withSession((*session).diff),
	}
}

// objectDiff contains an object before and after the edits.
type objectDiff struct {
	before, after proto.Message
	text          string // statements of the edits that create it
}

// comparison collects the effects of edits.
type comparison struct {
	diffs      map[string]*objectDiff
	order      []string
	otherEdits []string // statements of edits that change no object
}

func (s *session) diff(c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageErrorf("diff needs one FILE")
	}
	edits, text, err := s.edits(c.Args().First())
	if err != nil {
		return err
	}
	cmp := &comparison{diffs: make(map[string]*objectDiff)}
	for _, k := range append(dumpedKinds, struct{ kind, subject string }{parser.Server, "servers"}) {
		t, err := s.all(k.subject)
		if err != nil {
			return err
		}
		objects, err := decodeObjects(k.kind, t)
		if err != nil {
			return err
		}
		for _, m := range objects {
			name := parser.FormatField(m, parser.Fields(k.kind)[0])
			cmp.diffs[k.kind+" "+name] = &objectDiff{before: m, after: m}
		}
	}
	all, err := parser.Parse(text)
	if err != nil {
		return errors.Newf("read statements: %w", err)
	}
	for i, e := range edits {
		if err := cmp.applyEdit(e, all[i].Text); err != nil {
			return err
		}
	}
	for _, line := range cmp.lines() {
		if _, err := fmt.Fprintln(s.out, line); err != nil {
			return errors.Newf("print difference: %w", err)
		}
	}

	return s.check(edits, text)
}

// check lets the control hosts validate the change without making it.
func (s *session) check(edits []*wire.Edit, text string) error {
	id, err := newID()
	if err != nil {
		return err
	}
	res, err := s.client.Propose(s.ctx, &wire.Command{
		Id: id, Who: s.who, Expect: s.expect,
		Body: &wire.Command_Change{Change: &wire.Change{Edits: edits, Dry: true, Text: text}},
	})
	if err != nil {
		return errors.Newf("check the change: %w", err)
	}

	return outcomeError(res)
}

func (c *comparison) applyEdit(e *wire.Edit, text string) error {
	id := e.GetKind() + " " + e.GetName()
	d := c.diffs[id]
	if d == nil {
		d = &objectDiff{}
		c.diffs[id] = d
	}
	switch e.GetVerb() {
	case parser.Create, parser.Change, parser.Set:
		c.order = append(c.order, id)

		return d.setFields(e, text)
	case parser.Delete:
		c.order = append(c.order, id)
		d.after, d.text = nil, ""
	case parser.Drain, parser.Return:
		server, _ := d.before.(*wire.Server)
		if server.GetDrained() != (e.GetVerb() == parser.Drain) {
			c.otherEdits = append(c.otherEdits, text)
		}
	default:
		c.otherEdits = append(c.otherEdits, text)
	}

	return nil
}

func (d *objectDiff) setFields(e *wire.Edit, text string) error {
	switch {
	case d.after == nil:
		d.text = text
		d.after = parser.New(e.GetKind())
	case d.text != "":
		d.text += "; " + text
		d.after = proto.CloneOf(d.after)
	default:
		d.after = proto.CloneOf(d.after)
	}
	var from proto.Message
	switch e.GetKind() {
	case parser.Service:
		from = e.GetService()
	case parser.Rank:
		from = e.GetRank()
	default:
		from = e.GetRule()
	}
	fields := append([]string{"name"}, e.GetFields()...)
	if err := parser.CopyFields(d.after, from, fields); err != nil {
		return errors.Newf("compare %s %s: %w", e.GetKind(), e.GetName(), err)
	}

	return nil
}

func (c *comparison) lines() []string {
	var out []string
	seen := make(map[string]bool)
	for _, id := range c.order {
		d := c.diffs[id]
		if seen[id] || proto.Equal(d.before, d.after) {
			continue
		}
		seen[id] = true
		if d.before != nil {
			out = append(out, "- "+formatObject(d.before))
		}
		switch {
		case d.after == nil:
		case d.text != "":
			// Print the statements, since the control hosts set the fields that they omit.
			out = append(out, "+ "+d.text)
		default:
			out = append(out, "+ "+formatObject(d.after))
		}
	}
	for _, text := range c.otherEdits {
		out = append(out, "+ "+text)
	}

	return out
}

// formatObject formats an object. A server is formatted as its name, since operators do not set
// its fields.
func formatObject(m proto.Message) string {
	if s, ok := m.(*wire.Server); ok {
		return "server " + s.GetName()
	}

	return parser.PrintObject(m)
}
