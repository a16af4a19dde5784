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

func (d *session) diff(c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageErrorf("diff needs one FILE")
	}
	edits, text, err := d.edits(c.Args().First())
	if err != nil {
		return err
	}
	cmp := &comparison{diffs: make(map[string]*objectDiff)}
	for _, k := range append(dumpedKinds, struct{ kind, subject string }{parser.Server, "servers"}) {
		t, err := d.all(k.subject)
		if err != nil {
			return err
		}
		objects, err := decodeObjects(k.kind, t)
		if err != nil {
			return err
		}
		for _, m := range objects {
			name := parser.Format(m, parser.Fields(k.kind)[0])
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
		if _, err := fmt.Fprintln(d.out, line); err != nil {
			return errors.Newf("print difference: %w", err)
		}
	}

	return d.check(edits, text)
}

// check lets the control hosts validate the change without making it.
func (d *session) check(edits []*wire.Edit, text string) error {
	id, err := newID()
	if err != nil {
		return err
	}
	res, err := d.client.Propose(d.ctx, &wire.Command{
		Id: id, Who: d.who, Expect: d.expect,
		Body: &wire.Command_Change{Change: &wire.Change{Edits: edits, Dry: true, Text: text}},
	})
	if err != nil {
		return errors.Newf("check the change: %w", err)
	}

	return outcomeError(res)
}

func (c *comparison) applyEdit(e *wire.Edit, text string) error {
	id := e.GetKind() + " " + e.GetName()
	s := c.diffs[id]
	if s == nil {
		s = &objectDiff{}
		c.diffs[id] = s
	}
	switch e.GetVerb() {
	case parser.Create, parser.Change, parser.Set:
		c.order = append(c.order, id)

		return s.setFields(e, text)
	case parser.Delete:
		c.order = append(c.order, id)
		s.after, s.text = nil, ""
	case parser.Drain, parser.Return:
		server, _ := s.before.(*wire.Server)
		if server.GetDrained() != (e.GetVerb() == parser.Drain) {
			c.otherEdits = append(c.otherEdits, text)
		}
	default:
		c.otherEdits = append(c.otherEdits, text)
	}

	return nil
}

func (s *objectDiff) setFields(e *wire.Edit, text string) error {
	switch {
	case s.after == nil:
		s.text = text
		s.after = parser.New(e.GetKind())
	case s.text != "":
		s.text += "; " + text
		s.after = proto.CloneOf(s.after)
	default:
		s.after = proto.CloneOf(s.after)
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
	if err := parser.Copy(s.after, from, fields); err != nil {
		return errors.Newf("compare %s %s: %w", e.GetKind(), e.GetName(), err)
	}

	return nil
}

func (c *comparison) lines() []string {
	var out []string
	seen := make(map[string]bool)
	for _, id := range c.order {
		s := c.diffs[id]
		if seen[id] || proto.Equal(s.before, s.after) {
			continue
		}
		seen[id] = true
		if s.before != nil {
			out = append(out, "- "+formatObject(s.before))
		}
		switch {
		case s.after == nil:
		case s.text != "":
			// Print the statements, since the control hosts set the fields that they omit.
			out = append(out, "+ "+s.text)
		default:
			out = append(out, "+ "+formatObject(s.after))
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

	return parser.Print(m)
}
