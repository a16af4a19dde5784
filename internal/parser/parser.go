// Package parser reads the operators' query and command language and prints
// objects in it. A statement is one line or is ended by a semicolon; a comment
// starts with #; values with spaces or operators are in double quotes:
//
//	show servers where region = kochi and pieces > 10 sort name limit 5
//	set rank master level=0 first=2s gap=75ms floor=20%   # create or change
//	drain server digest-1
//	block digest 9f2c for 1h
package parser

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

// Statement is one query, one edit or one change of the control hosts; exactly
// one of the three is set.
type Statement struct {
	Line  int // from 1
	Text  string
	Query *wire.Query
	Edit  *wire.Edit
	// Peer has the verb add, remove or replace and the number of the host; add
	// and replace have an address.
	Peer *wire.Peering
}

// Verbs of an edit.
const (
	Create  = "create"
	Change  = "change"
	Set     = "set"
	Delete  = "delete"
	Drain   = "drain"
	Return  = "return"
	Order   = "order"
	Block   = "block"
	Release = "release"
)

// Subjects returns the subjects of a query.
func Subjects() []string {
	return []string{
		"services", "ranks", "rules", "servers", "orders", "requests", "processes",
		"claims", "blocks", "commands", "peers", "status",
	}
}

var orders = []string{"load", "unload", "role"}

// Parse reads statements. An error is of type *Error.
func Parse(text string) ([]Statement, error) {
	var all []Statement
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		l := lexer{line: i + 1, text: line, runes: []rune(line)}
		parts, err := l.split()
		if err != nil {
			return nil, err
		}
		for _, tokens := range parts {
			r := reader{lexer: &l, tokens: tokens}
			s, err := r.statement()
			if err != nil {
				return nil, err
			}
			all = append(all, *s)
		}
	}

	return all, nil
}

// reader reads one statement.
type reader struct {
	lexer  *lexer
	tokens []token
	pos    int
}

func (r *reader) peek() token { return r.tokens[r.pos] }

func (r *reader) next() token {
	t := r.tokens[r.pos]
	if t.kind != end {
		r.pos++
	}

	return t
}

func (r *reader) fail(t token, want string) error {
	return r.lexer.fail(t.col-1, want, t.describe())
}

func (r *reader) reject(t token, err error) error {
	return &Error{Line: r.lexer.line, Column: t.col, Text: r.lexer.text, Reason: err.Error()}
}

func (r *reader) statement() (*Statement, error) {
	s := &Statement{Line: r.lexer.line}
	first := r.tokens[0].col - 1
	last := r.tokens[len(r.tokens)-1].col - 1
	s.Text = strings.TrimSpace(string(r.lexer.runes[first:last]))
	t := r.next()
	var err error
	switch {
	case t.kind != word || t.quoted:
		return nil, r.fail(t, verbs)
	case t.text == "show":
		s.Query, err = r.show()
	case t.text == "status":
		s.Query, err = r.clauses("status")
	case t.text == "history":
		s.Query, err = r.clauses("commands")
	case t.text == "add" || t.text == "remove" || t.text == "replace":
		s.Peer, err = r.peer(t.text)
	default:
		s.Edit, err = r.edit(t)
	}
	if err != nil {
		return nil, err
	}
	if t := r.peek(); t.kind != end {
		return nil, r.fail(t, "the end of the statement")
	}

	return s, nil
}

const verbs = "show, status, history, create, change, set, delete, drain, return, order, block, " +
	"release, add, remove or replace"

// choice reads one of the words.
func (r *reader) choice(words ...string) (string, error) {
	t := r.next()
	if t.kind != word || t.quoted || !slices.Contains(words, t.text) {
		return "", r.fail(t, either(words))
	}

	return t.text, nil
}

func either(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}

	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}

// value reads a word that is not empty.
func (r *reader) value(want string) (token, error) {
	t := r.next()
	if t.kind != word || t.text == "" {
		return t, r.fail(t, want)
	}

	return t, nil
}

func (r *reader) edit(verb token) (*wire.Edit, error) {
	e := &wire.Edit{Verb: verb.text}
	var err error
	switch verb.text {
	case Create, Change, Set:
		err = r.object(e)
	case Delete:
		err = r.target(e, Service, Rank, Rule, Server)
	case Drain, Return:
		err = r.target(e, Server)
	case Order:
		err = r.order(e)
	case Block, Release:
		err = r.block(e)
	default:
		return nil, r.fail(verb, verbs)
	}

	return e, err
}

// target reads the kind and name of an edit.
func (r *reader) target(e *wire.Edit, kinds ...string) error {
	kind, err := r.choice(kinds...)
	if err != nil {
		return err
	}
	name, err := r.value("the name of a " + kind)
	if err != nil {
		return err
	}
	e.Kind, e.Name = kind, name.text

	return nil
}

func (r *reader) object(e *wire.Edit) error {
	if err := r.target(e, Service, Rank, Rule); err != nil {
		return err
	}
	m := New(e.GetKind())
	known := Fields(e.GetKind())
	if err := Assign(m, known[0], e.GetName()); err != nil {
		return err
	}
	for r.peek().kind != end {
		if err := r.assignment(e, m, known[1:]); err != nil {
			return err
		}
	}
	if e.GetVerb() == Change && len(e.GetFields()) == 0 {
		return r.fail(r.peek(), "a field of "+e.GetKind()+": "+names(known[1:]))
	}
	attach(e, m)

	return nil
}

func attach(e *wire.Edit, m proto.Message) {
	switch m := m.(type) {
	case *wire.Service:
		e.Service = m
	case *wire.Rank:
		e.Rank = m
	case *wire.Rule:
		e.Rule = m
	}
}

func (r *reader) assignment(e *wire.Edit, m proto.Message, known []Field) error {
	t := r.next()
	i := slices.IndexFunc(known, func(f Field) bool { return t.is(f.Name) })
	if i < 0 || t.kind != word {
		return r.fail(t, "a field of "+e.GetKind()+": "+names(known))
	}
	if slices.Contains(e.GetFields(), t.text) {
		return r.reject(t, errTwice(t.text))
	}
	if op := r.next(); !op.is("=") {
		return r.fail(op, `"="`)
	}
	value := r.next()
	if value.kind != word {
		return r.fail(value, known[i].Unit.String())
	}
	if err := Assign(m, known[i], value.text); err != nil {
		return r.reject(value, err)
	}
	e.Fields = append(e.Fields, t.text)

	return nil
}

func names(known []Field) string {
	words := make([]string, len(known))
	for i, f := range known {
		words[i] = f.Name
	}

	return either(words)
}

func (r *reader) order(e *wire.Edit) error {
	if err := r.target(e, Server); err != nil {
		return err
	}
	verb, err := r.choice(orders...)
	if err != nil {
		return err
	}
	if verb == "role" {
		role, err := r.choice("prefill", "decode")
		e.Order = &wire.Order{Verb: verb, Subject: role}

		return err
	}
	subject, err := r.value("a model, adapter or version")
	e.Order = &wire.Order{Verb: verb, Subject: subject.text}

	return err
}

func (r *reader) block(e *wire.Edit) error {
	if err := r.target(e, Digest); err != nil {
		return err
	}
	if e.GetVerb() == Release {
		return nil
	}
	e.Block = &wire.Block{Digest: e.GetName()}
	if r.peek().is("for") {
		r.next()
		t, err := r.value(Seconds.String())
		if err != nil {
			return err
		}
		hold, err := Integer(Seconds, t.text)
		if err == nil && hold <= 0 {
			err = errPositive(t.text)
		}
		if err != nil {
			return r.reject(t, err)
		}
		e.Block.Hold = hold
	}
	if r.peek().is("because") {
		r.next()
		t, err := r.value("a reason")
		e.Block.Reason = t.text

		return err
	}

	return nil
}

func (r *reader) peer(verb string) (*wire.Peering, error) {
	if _, err := r.choice("peer"); err != nil {
		return nil, err
	}
	t, err := r.value("the number of a control host")
	if err != nil {
		return nil, err
	}
	id, err := Integer(Number, t.text)
	if err == nil && id <= 0 {
		err = errPositive(t.text)
	}
	if err != nil {
		return nil, r.reject(t, err)
	}
	p := &wire.Peering{Verb: verb, Id: uint64(id)}
	if verb != "remove" || r.peek().kind != end {
		addr, err := r.value("the address of the host, ip:port")
		if err != nil {
			return nil, err
		}
		p.Addr = addr.text
	}

	return p, nil
}
