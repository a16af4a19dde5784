package registrar

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// Query answers a query about the replicated state. Requests, processes and peers are
// known only to the control process, which can answer queries for them with Select.
// Unless the query has a sort order, rows are in order of name, and commands start
// with the newest.
func (r *Registrar) Query(q *wire.Query) (*wire.Table, error) {
	columns, rows, err := r.rows(q)
	if err != nil {
		return nil, err
	}
	table, err := Select(q, columns, rows)
	if err != nil {
		return nil, errors.Newf("query %s: %w", q.GetSubject(), err)
	}
	table.Revision, table.Index = r.revision, r.applied

	return table, nil
}

// rows returns the columns and all rows of the subject of a query.
func (r *Registrar) rows(q *wire.Query) ([]Column, [][]string, error) {
	switch subject := q.GetSubject(); subject {
	case "services":
		return r.objectRows(parser.Service)
	case "ranks":
		return r.objectRows(parser.Rank)
	case "rules":
		return r.objectRows(parser.Rule)
	case "servers":
		return r.objectRows(parser.Server)
	case "blocks":
		return r.objectRows(parser.Digest)
	case "orders":
		return r.orderRows()
	case "claims":
		return r.claimRows(q)
	case "versions":
		return r.versionRows()
	case "commands":
		return r.commandRows()
	case "status":
		return r.statusRows()
	case "requests", "processes", "peers":
		return nil, nil, errors.Newf("%s are not part of the replicated state", subject)
	default:
		return nil, nil, errors.Newf("unknown subject %q, the known ones are: %s",
			subject, strings.Join(parser.Subjects(), ", "))
	}
}

// objectRows returns a row for each object of a kind and a column for each field.
func (r *Registrar) objectRows(kind string) ([]Column, [][]string, error) {
	fields := parser.Fields(kind)
	columns := make([]Column, len(fields))
	for i, f := range fields {
		columns[i] = Column(f)
	}
	var rows [][]string
	for _, m := range r.objects.all(kind) {
		row := make([]string, len(fields))
		for i, f := range fields {
			row[i] = parser.FormatField(m, f)
		}
		rows = append(rows, row)
	}

	return columns, rows, nil
}

// orderRows returns the engine orders that wait, then those that ended.
func (r *Registrar) orderRows() ([]Column, [][]string, error) {
	columns := []Column{
		{"server", parser.Text},
		{"id", parser.Text},
		{"verb", parser.Text},
		{"subject", parser.Text},
		{"fence", parser.Number},
		{"state", parser.Text},
		{"reason", parser.Text},
	}
	var rows [][]string
	add := func(server string, o *wire.Order) {
		rows = append(rows, []string{
			server, o.GetId(), o.GetVerb(), o.GetSubject(), formatUint(o.GetFence()), o.GetState(), o.GetReason(),
		})
	}
	for _, kind := range []string{parser.Server, departed} {
		for _, m := range r.objects.all(kind) {
			s, _ := m.(*wire.Server)
			for _, o := range s.GetOrders() {
				add(s.GetName(), o)
			}
		}
	}
	for _, c := range r.endedOrders {
		add(c.GetServer(), c.GetOrder())
	}

	return columns, rows, nil
}

// claimRows returns the claims that a query may select.
func (r *Registrar) claimRows(q *wire.Query) ([]Column, [][]string, error) {
	columns := []Column{
		{"key", parser.Text},
		{"stage", parser.Text},
		{"request", parser.Text},
		{"entry", parser.Text},
		{"epoch", parser.Number},
		{"digest", parser.Text},
		{"status", parser.Number},
		{"until", parser.Time},
	}
	var rows [][]string
	for _, h := range r.claims.candidateClaims(q) {
		stage := strings.ToLower(strings.TrimPrefix(h.GetStage().String(), "STAGE_"))
		status := ""
		if h.GetAnswer() != nil {
			status = strconv.FormatInt(int64(h.GetAnswer().GetStatus()), 10)
		}
		rows = append(rows, []string{
			h.GetKey(), stage, h.GetRequest(), h.GetEntry(), formatUint(h.GetEpoch()), h.GetDigest(), status,
			parser.FormatInteger(parser.Time, h.GetUntil()),
		})
	}
	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })

	return columns, rows, nil
}

// candidateClaims returns the claims that a query may select. The control process
// queries the running claims often, and they are few among those kept for a day, so
// they are not searched for among all claims.
func (c *claims) candidateClaims(q *wire.Query) []*wire.Held {
	running := slices.ContainsFunc(q.GetFilters(), func(f *wire.Filter) bool {
		return f.GetField() == "stage" && f.GetOp() == "=" && f.GetValue() == "running"
	})
	if !running {
		return slices.Collect(maps.Values(c.byKey))
	}
	var out []*wire.Held
	for _, keys := range c.running {
		for key := range keys {
			out = append(out, c.byKey[key])
		}
	}

	return out
}

// commandRows returns the operator changes, the newest first.
func (r *Registrar) commandRows() ([]Column, [][]string, error) {
	columns := []Column{
		{"revision", parser.Number},
		{"time", parser.Time},
		{"who", parser.Text},
		{"id", parser.Text},
		{"index", parser.Number},
		{"text", parser.Text},
	}
	rows := make([][]string, 0, len(r.history))
	for _, h := range slices.Backward(r.history) {
		rows = append(rows, []string{
			formatUint(h.GetRevision()), parser.FormatInteger(parser.Time, h.GetTime()), h.GetWho(), h.GetId(),
			formatUint(h.GetIndex()), h.GetText(),
		})
	}

	return columns, rows, nil
}

// statusRows returns the indexes of the state and the number of objects of each kind.
func (r *Registrar) statusRows() ([]Column, [][]string, error) {
	columns := []Column{{"name", parser.Text}, {"value", parser.Text}}
	rows := [][]string{
		{"revision", formatUint(r.revision)},
		{"index", formatUint(r.applied)},
		{"visible", formatUint(r.visible)},
		{"fence", formatUint(r.fence)},
	}
	for _, kind := range []string{parser.Service, parser.Rank, parser.Rule, parser.Server, parser.Digest} {
		rows = append(rows, []string{kind + "s", strconv.Itoa(len(r.objects.all(kind)))})
	}
	rows = append(rows, []string{"claims", strconv.Itoa(len(r.claims.byKey))})

	return columns, rows, nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
