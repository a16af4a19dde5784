// Package parser implements the query and command language of the operators. It parses
// statements and prints objects and queries as statements. A statement ends at the end of
// the line or at a semicolon; a comment starts with #; values with spaces or operators are
// in double quotes:
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

// Statement is a parsed statement: a query, an edit or a change of the control hosts.
// Exactly one of Query, Edit and Peer is set.
type Statement struct {
	Line  int // from 1
	Text  string
	Query *wire.Query
	Edit  *wire.Edit
	// Peer has the verb add, remove or replace and the number of the control host. It
	// has an address for add and replace.
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

// Subjects returns the tables that a query can show.
func Subjects() []string {
	return []string{
		"services", "ranks", "rules", "servers", "orders", "requests", "processes",
		"claims", "blocks", "versions", "commands", "peers", "status",
	}
}

var orderVerbs = []string{"load", "unload", "role"}

// Parse parses all statements in text. An error is of type *Error.
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
			p := statementParser{lexer: &l, tokens: tokens}
			s, err := p.statement()
			if err != nil {
				return nil, err
			}
			all = append(all, *s)
		}
	}

	return all, nil
}

// statementParser parses the tokens of one statement.
type statementParser struct {
	lexer  *lexer
	tokens []token
	pos    int
}

func (p *statementParser) peek() token { return p.tokens[p.pos] }

func (p *statementParser) next() token {
	t := p.tokens[p.pos]
	if t.kind != end {
		p.pos++
	}

	return t
}

func (p *statementParser) fail(t token, want string) error {
	return p.lexer.fail(t.col-1, want, t.describe())
}

func (p *statementParser) reject(t token, err error) error {
	return &Error{Line: p.lexer.line, Column: t.col, Text: p.lexer.text, Reason: err.Error()}
}

func (p *statementParser) statement() (*Statement, error) {
	s := &Statement{Line: p.lexer.line}
	first := p.tokens[0].col - 1
	last := p.tokens[len(p.tokens)-1].col - 1
	s.Text = strings.TrimSpace(string(p.lexer.runes[first:last]))
	t := p.next()
	var err error
	switch {
	case t.kind != word || t.quoted:
		return nil, p.fail(t, expectedVerbs)
	case t.text == "show":
		s.Query, err = p.show()
	case t.text == "status":
		s.Query, err = p.clauses("status")
	case t.text == "history":
		s.Query, err = p.clauses("commands")
	case t.text == "add" || t.text == "remove" || t.text == "replace":
		s.Peer, err = p.peer(t.text)
	default:
		s.Edit, err = p.edit(t)
	}
	if err != nil {
		return nil, err
	}
	if t := p.peek(); t.kind != end {
		return nil, p.fail(t, "the end of the statement")
	}

	return s, nil
}

const expectedVerbs = "show, status, history, create, change, set, delete, drain, return, order, block, " +
	"release, add, remove or replace"

// choice parses one of the given keywords.
func (p *statementParser) choice(words ...string) (string, error) {
	t := p.next()
	if t.kind != word || t.quoted || !slices.Contains(words, t.text) {
		return "", p.fail(t, joinAlternatives(words))
	}

	return t.text, nil
}

func joinAlternatives(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}

	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}

// value parses a word that is not empty; want describes it in an error message.
func (p *statementParser) value(want string) (token, error) {
	t := p.next()
	if t.kind != word || t.text == "" {
		return t, p.fail(t, want)
	}

	return t, nil
}

func (p *statementParser) edit(verb token) (*wire.Edit, error) {
	e := &wire.Edit{Verb: verb.text}
	var err error
	switch verb.text {
	case Create, Change, Set:
		err = p.object(e)
	case Delete:
		err = p.target(e, Service, Rank, Rule, Server)
	case Drain, Return:
		err = p.target(e, Server)
	case Order:
		err = p.order(e)
	case Block, Release:
		err = p.block(e)
	default:
		return nil, p.fail(verb, expectedVerbs)
	}

	return e, err
}

// target parses the kind and name of the object that an edit applies to.
func (p *statementParser) target(e *wire.Edit, kinds ...string) error {
	kind, err := p.choice(kinds...)
	if err != nil {
		return err
	}
	name, err := p.value("the name of a " + kind)
	if err != nil {
		return err
	}
	e.Kind, e.Name = kind, name.text

	return nil
}

func (p *statementParser) object(e *wire.Edit) error {
	if err := p.target(e, Service, Rank, Rule); err != nil {
		return err
	}
	m := New(e.GetKind())
	known := Fields(e.GetKind())
	if err := SetField(m, known[0], e.GetName()); err != nil {
		return err
	}
	for p.peek().kind != end {
		if err := p.assignment(e, m, known[1:]); err != nil {
			return err
		}
	}
	if e.GetVerb() == Change && len(e.GetFields()) == 0 {
		return p.fail(p.peek(), "a field of "+e.GetKind()+": "+fieldNames(known[1:]))
	}
	setObject(e, m)

	return nil
}

func setObject(e *wire.Edit, m proto.Message) {
	switch m := m.(type) {
	case *wire.Service:
		e.Service = m
	case *wire.Rank:
		e.Rank = m
	case *wire.Rule:
		e.Rule = m
	}
}

func (p *statementParser) assignment(e *wire.Edit, m proto.Message, known []Field) error {
	t := p.next()
	i := slices.IndexFunc(known, func(f Field) bool { return t.is(f.Name) })
	if i < 0 || t.kind != word {
		return p.fail(t, "a field of "+e.GetKind()+": "+fieldNames(known))
	}
	if slices.Contains(e.GetFields(), t.text) {
		return p.reject(t, errDuplicateField(t.text))
	}
	if op := p.next(); !op.is("=") {
		return p.fail(op, `"="`)
	}
	value := p.next()
	if value.kind != word {
		return p.fail(value, known[i].Unit.String())
	}
	if err := SetField(m, known[i], value.text); err != nil {
		return p.reject(value, err)
	}
	e.Fields = append(e.Fields, t.text)

	return nil
}

func fieldNames(known []Field) string {
	words := make([]string, len(known))
	for i, f := range known {
		words[i] = f.Name
	}

	return joinAlternatives(words)
}

func (p *statementParser) order(e *wire.Edit) error {
	if err := p.target(e, Server); err != nil {
		return err
	}
	verb, err := p.choice(orderVerbs...)
	if err != nil {
		return err
	}
	if verb == "role" {
		role, err := p.choice("prefill", "decode")
		e.Order = &wire.Order{Verb: verb, Subject: role}

		return err
	}
	subject, err := p.value("a model, adapter or version")
	e.Order = &wire.Order{Verb: verb, Subject: subject.text}

	return err
}

func (p *statementParser) block(e *wire.Edit) error {
	if err := p.target(e, Digest); err != nil {
		return err
	}
	if e.GetVerb() == Release {
		return nil
	}
	e.Block = &wire.Block{Digest: e.GetName()}
	if p.peek().is("for") {
		p.next()
		t, err := p.value(Seconds.String())
		if err != nil {
			return err
		}
		hold, err := ParseInteger(Seconds, t.text)
		if err == nil && hold <= 0 {
			err = errNotPositive(t.text)
		}
		if err != nil {
			return p.reject(t, err)
		}
		e.Block.Hold = hold
	}
	if p.peek().is("because") {
		p.next()
		t, err := p.value("a reason")
		e.Block.Reason = t.text

		return err
	}

	return nil
}

func (p *statementParser) peer(verb string) (*wire.Peering, error) {
	if _, err := p.choice("peer"); err != nil {
		return nil, err
	}
	t, err := p.value("the number of a control host")
	if err != nil {
		return nil, err
	}
	id, err := ParseInteger(Number, t.text)
	if err == nil && id <= 0 {
		err = errNotPositive(t.text)
	}
	if err != nil {
		return nil, p.reject(t, err)
	}
	change := &wire.Peering{Verb: verb, Id: uint64(id)}
	if verb != "remove" || p.peek().kind != end {
		addr, err := p.value("the address of the host, ip:port")
		if err != nil {
			return nil, err
		}
		change.Addr = addr.text
	}

	return change, nil
}
