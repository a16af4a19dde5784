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
		ArgsUsage: "FILE", Description: diffHelp, Action: p.with((*dialog).diff),
	}
}

// slot is an object before and after the edits.
type slot struct {
	before, after proto.Message
	text          string // of the edit that creates it
}

// comparison collects the effect of edits.
type comparison struct {
	slots map[string]*slot
	order []string
	other []string // edits that are no objects
}

func (d *dialog) diff(c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usage("diff needs one FILE")
	}
	edits, text, err := d.edits(c.Args().First())
	if err != nil {
		return err
	}
	cmp := &comparison{slots: make(map[string]*slot)}
	for _, k := range append(dumped, struct{ kind, subject string }{parser.Server, "servers"}) {
		t, err := d.all(k.subject)
		if err != nil {
			return err
		}
		objects, err := objectsOf(k.kind, t)
		if err != nil {
			return err
		}
		for _, m := range objects {
			name := parser.Format(m, parser.Fields(k.kind)[0])
			cmp.slots[k.kind+" "+name] = &slot{before: m, after: m}
		}
	}
	all, err := parser.Parse(text)
	if err != nil {
		return errors.Newf("read statements: %w", err)
	}
	for i, e := range edits {
		if err := cmp.edit(e, all[i].Text); err != nil {
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

// check asks the control hosts whether they would take the change.
func (d *dialog) check(edits []*wire.Edit, text string) error {
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

func (c *comparison) edit(e *wire.Edit, text string) error {
	id := e.GetKind() + " " + e.GetName()
	s := c.slots[id]
	if s == nil {
		s = &slot{}
		c.slots[id] = s
	}
	switch e.GetVerb() {
	case parser.Create, parser.Change, parser.Set:
		c.order = append(c.order, id)

		return s.set(e, text)
	case parser.Delete:
		c.order = append(c.order, id)
		s.after, s.text = nil, ""
	case parser.Drain, parser.Return:
		server, _ := s.before.(*wire.Server)
		if server.GetDrained() != (e.GetVerb() == parser.Drain) {
			c.other = append(c.other, text)
		}
	default:
		c.other = append(c.other, text)
	}

	return nil
}

func (s *slot) set(e *wire.Edit, text string) error {
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
		s := c.slots[id]
		if seen[id] || proto.Equal(s.before, s.after) {
			continue
		}
		seen[id] = true
		if s.before != nil {
			out = append(out, "- "+show(s.before))
		}
		switch {
		case s.after == nil:
		case s.text != "":
			// The control hosts fill the fields that the edit leaves out.
			out = append(out, "+ "+s.text)
		default:
			out = append(out, "+ "+show(s.after))
		}
	}
	for _, text := range c.other {
		out = append(out, "+ "+text)
	}

	return out
}

// show prints an object; a server is only named, as operators don't set it.
func show(m proto.Message) string {
	if s, ok := m.(*wire.Server); ok {
		return "server " + s.GetName()
	}

	return parser.Print(m)
}
