package registrar

import (
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// Units of the columns of the control process.
const (
	Text   = parser.Text
	Number = parser.Number
)

// Column is one column of a table. Its unit tells how its cells are compared.
type Column struct {
	Name string
	Unit parser.Unit
}

// Select applies a query's filters, sort and limit to rows. An unknown field
// gives an error that lists the known ones. The control process uses it for the
// subjects that it answers itself.
func Select(q *wire.Query, columns []Column, rows [][]string) (*wire.Table, error) {
	var tests []test
	for _, f := range q.GetFilters() {
		t, err := newTest(f, columns)
		if err != nil {
			return nil, err
		}
		tests = append(tests, t)
	}
	kept := make([][]string, 0, len(rows))
	for _, row := range rows {
		if !slices.ContainsFunc(tests, func(t test) bool { return !t(row) }) {
			kept = append(kept, row)
		}
	}
	if err := sortRows(q, columns, kept); err != nil {
		return nil, err
	}
	if n := int(q.GetLimit()); n > 0 && n < len(kept) {
		kept = kept[:n]
	}
	table := &wire.Table{}
	for _, c := range columns {
		table.Columns = append(table.Columns, c.Name)
	}
	for _, row := range kept {
		table.Rows = append(table.Rows, &wire.Row{Cells: row})
	}

	return table, nil
}

func sortRows(q *wire.Query, columns []Column, rows [][]string) error {
	if q.GetSort() == "" {
		return nil
	}
	at, err := find(q.GetSort(), columns)
	if err != nil {
		return err
	}
	slices.SortStableFunc(rows, func(a, b []string) int {
		// Cells are formatted by this program, so they compare without an error.
		n, _ := parser.Compare(columns[at].Unit, a[at], b[at])
		if q.GetDesc() {
			return -n
		}

		return n
	})

	return nil
}

func find(name string, columns []Column) (int, error) {
	at := slices.IndexFunc(columns, func(c Column) bool { return c.Name == name })
	if at < 0 {
		known := make([]string, len(columns))
		for i, c := range columns {
			known[i] = c.Name
		}

		return 0, errors.Newf("unknown field %q, the known ones are: %s", name, strings.Join(known, ", "))
	}

	return at, nil
}

// test tells whether a row passes a filter.
type test func(row []string) bool

func newTest(f *wire.Filter, columns []Column) (test, error) {
	at, err := find(f.GetField(), columns)
	if err != nil {
		return nil, err
	}
	unit, value := columns[at].Unit, f.GetValue()
	if f.GetOp() == "~" {
		pattern, err := regexp.Compile(value)
		if err != nil {
			return nil, errors.Newf("pattern %q of %s: %w", value, f.GetField(), err)
		}

		return func(row []string) bool { return pattern.MatchString(row[at]) }, nil
	}
	if unit == parser.List && (f.GetOp() == "=" || f.GetOp() == "!=") {
		return func(row []string) bool {
			has := row[at] == value || slices.Contains(strings.Split(row[at], ","), value)

			return has == (f.GetOp() == "=")
		}, nil
	}
	accept, err := comparison(f.GetOp())
	if err != nil {
		return nil, err
	}
	if _, err := parser.Compare(unit, value, value); err != nil {
		return nil, errors.Newf("field %s: %w", f.GetField(), err)
	}

	return func(row []string) bool {
		n, err := parser.Compare(unit, row[at], value)

		return err == nil && accept(n)
	}, nil
}

func comparison(op string) (func(n int) bool, error) {
	switch op {
	case "=":
		return func(n int) bool { return n == 0 }, nil
	case "!=":
		return func(n int) bool { return n != 0 }, nil
	case "<":
		return func(n int) bool { return n < 0 }, nil
	case "<=":
		return func(n int) bool { return n <= 0 }, nil
	case ">":
		return func(n int) bool { return n > 0 }, nil
	case ">=":
		return func(n int) bool { return n >= 0 }, nil
	default:
		return nil, errors.Newf("unknown operator %q, the known ones are: = != < <= > >= ~", op)
	}
}
