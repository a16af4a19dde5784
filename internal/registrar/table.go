package registrar

import (
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// Units of the columns for which the control process calls Select.
const (
	Text   = parser.Text
	Number = parser.Number
)

// Column describes a column of a table. Its unit determines how cells are compared.
type Column struct {
	Name string
	Unit parser.Unit
}

// Select applies the filters, sort order and limit of a query to rows. The error for
// an unknown field lists the known ones. The control process uses Select for the
// subjects that are not part of the replicated state.
func Select(q *wire.Query, columns []Column, rows [][]string) (*wire.Table, error) {
	var tests []predicate
	for _, f := range q.GetFilters() {
		t, err := newPredicate(f, columns)
		if err != nil {
			return nil, err
		}
		tests = append(tests, t)
	}
	kept := make([][]string, 0, len(rows))
	for _, row := range rows {
		if !slices.ContainsFunc(tests, func(t predicate) bool { return !t(row) }) {
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

// sortRows sorts rows as the query says, or leaves them unchanged.
func sortRows(q *wire.Query, columns []Column, rows [][]string) error {
	if q.GetSort() == "" {
		return nil
	}
	index, err := columnIndex(q.GetSort(), columns)
	if err != nil {
		return err
	}
	slices.SortStableFunc(rows, func(a, b []string) int {
		// Cells are formatted by this program, so comparing them cannot fail.
		n, _ := parser.Compare(columns[index].Unit, a[index], b[index])
		if q.GetDesc() {
			return -n
		}

		return n
	})

	return nil
}

// columnIndex returns the index of the column with the given name.
func columnIndex(name string, columns []Column) (int, error) {
	index := slices.IndexFunc(columns, func(c Column) bool { return c.Name == name })
	if index < 0 {
		known := make([]string, len(columns))
		for i, c := range columns {
			known[i] = c.Name
		}

		return 0, errors.Newf("unknown field %q, the known ones are: %s", name, strings.Join(known, ", "))
	}

	return index, nil
}

// predicate reports whether a row matches a filter.
type predicate func(row []string) bool

// newPredicate compiles a filter. The operator ~ matches a regular expression; on lists,
// = and != also compare with the single elements.
func newPredicate(f *wire.Filter, columns []Column) (predicate, error) {
	at, err := columnIndex(f.GetField(), columns)
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

// comparison returns a function that reports whether the result of parser.Compare
// satisfies the operator.
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
