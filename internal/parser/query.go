package parser

import (
	"math"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

func errTwice(name string) error { return errors.Newf("field %s is set twice", name) }

func errPositive(text string) error { return errors.Newf("%q must be positive", text) }

// show reads a subject and its clauses.
func (r *reader) show() (*wire.Query, error) {
	subject, err := r.choice(Subjects()...)
	if err != nil {
		return nil, err
	}

	return r.clauses(subject)
}

// clauses reads [where f op v [and ...]] [sort f [desc]] [limit n].
func (r *reader) clauses(subject string) (*wire.Query, error) {
	q := &wire.Query{Subject: subject}
	if r.peek().is("where") {
		if err := r.filters(q); err != nil {
			return nil, err
		}
	}
	if r.peek().is("sort") {
		r.next()
		t, err := r.value("a field")
		if err != nil {
			return nil, err
		}
		q.Sort = t.text
		if r.peek().is("desc") {
			r.next()
			q.Desc = true
		}
	}
	if r.peek().is("limit") {
		r.next()
		if err := r.limit(q); err != nil {
			return nil, err
		}
	}
	if t := r.peek(); t.kind != end {
		return nil, r.fail(t, "where, sort, limit or the end, in this order")
	}

	return q, nil
}

func (r *reader) filters(q *wire.Query) error {
	for {
		r.next() // where or and
		f, err := r.filter()
		if err != nil {
			return err
		}
		q.Filters = append(q.Filters, f)
		if !r.peek().is("and") {
			return nil
		}
	}
}

func (r *reader) filter() (*wire.Filter, error) {
	field, err := r.value("a field")
	if err != nil {
		return nil, err
	}
	op := r.next()
	if op.kind != operator {
		return nil, r.fail(op, "= != < > <= >= or ~")
	}
	value := r.next()
	if value.kind != word {
		return nil, r.fail(value, "a value")
	}

	return &wire.Filter{Field: field.text, Op: op.text, Value: value.text}, nil
}

func (r *reader) limit(q *wire.Query) error {
	t, err := r.value("a whole number")
	if err != nil {
		return err
	}
	n, err := Integer(Number, t.text)
	if err == nil && (n <= 0 || n > math.MaxInt32) {
		err = errPositive(t.text)
	}
	if err != nil {
		return r.reject(t, err)
	}
	q.Limit = int32(n)

	return nil
}
