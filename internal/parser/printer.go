package parser

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

// PrintObject returns a service, rank or rule as a set statement that parses back to the
// same object. The statement has every field, so that it also resets fields that were
// changed since.
func PrintObject(m proto.Message) string {
	kind := KindOf(m)
	known := Fields(kind)
	if len(known) == 0 {
		return ""
	}
	parts := []string{Set, kind, quote(FormatField(m, known[0]), false)}
	for _, f := range known[1:] {
		if text := FormatField(m, f); text != "" || f.Unit != ServiceKind {
			parts = append(parts, f.Name+"="+quote(text, false))
		}
	}

	return strings.Join(parts, " ")
}

// PrintQuery returns a query as a show statement that parses back to the same query.
func PrintQuery(q *wire.Query) string {
	parts := []string{"show", q.GetSubject()}
	for i, f := range q.GetFilters() {
		keyword := "and"
		if i == 0 {
			keyword = "where"
		}
		parts = append(parts, keyword, quote(f.GetField(), false), f.GetOp(), quote(f.GetValue(), false))
	}
	if q.GetSort() != "" {
		parts = append(parts, "sort", quote(q.GetSort(), false))
		if q.GetDesc() {
			parts = append(parts, "desc")
		}
	}
	if q.GetLimit() != 0 {
		parts = append(parts, "limit", FormatInteger(Number, int64(q.GetLimit())))
	}

	return strings.Join(parts, " ")
}
