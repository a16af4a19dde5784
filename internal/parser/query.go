package parser

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

func errDuplicateField(name string) error { return errors.Newf("field %s is set twice", name) }

func errNotPositive(text string) error { return errors.Newf("%q must be positive", text) }

// show parses the rest of a show statement: a subject and its clauses.
func (p *statementParser) show() (*wire.Query, error) {
	subject, err := p.choice(Subjects()...)
	if err != nil {
		return nil, err
	}

	return p.clauses(subject)
}

// clauses parses [where f op v [and ...]] [sort f [desc]] [limit n].
func (p *statementParser) clauses(subject string) (*wire.Query, error) {
	q := &wire.Query{Subject: subject}
	if p.peek().is("where") {
		if err := p.filters(q); err != nil {
			return nil, err
		}
	}
	if p.peek().is("sort") {
		p.next()
		t, err := p.value("a field")
		if err != nil {
			return nil, err
		}
		q.Sort = t.text
		if p.peek().is("desc") {
			p.next()
			q.Desc = true
		}
	}
	if p.peek().is("limit") {
		p.next()
		if err := p.limit(q); err != nil {
			return nil, err
		}
	}
	if t := p.peek(); t.kind != end {
		return nil, p.fail(t, "where, sort, limit or the end, in this order")
	}

	return q, nil
}

func (p *statementParser) filters(q *wire.Query) error {
	for {
		p.next() // "where" or "and"
		f, err := p.filter()
		if err != nil {
			return err
		}
		q.Filters = append(q.Filters, f)
		if !p.peek().is("and") {
			return nil
		}
	}
}

func (p *statementParser) filter() (*wire.Filter, error) {
	field, err := p.value("a field")
	if err != nil {
		return nil, err
	}
	op := p.next()
	if op.kind != operator {
		return nil, p.fail(op, "= != < > <= >= or ~")
	}
	value := p.next()
	if value.kind != word {
		return nil, p.fail(value, "a value")
	}

	return &wire.Filter{Field: field.text, Op: op.text, Value: value.text}, nil
}

func (p *statementParser) limit(q *wire.Query) error {
	t, err := p.value("a whole number")
	if err != nil {
		return err
	}
	n, err := ParseInteger(Number, t.text)
	if err == nil && (n <= 0 || n > math.MaxInt32) {
		err = errNotPositive(t.text)
	}
	if err != nil {
		return p.reject(t, err)
	}
	q.Limit = int32(n)

	return nil
}
