package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// tableView is the JSON form of a table. Its cells are formatted as in statements.
type tableView struct {
	Revision uint64              `json:"revision"`
	Index    uint64              `json:"index"`
	Stale    bool                `json:"stale"`
	Rows     []map[string]string `json:"rows"`
}

// resultView is the JSON form of a result.
type resultView struct {
	ID       string `json:"id"`
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
	Text     string `json:"text"`
	Winner   string `json:"winner,omitempty"`
	Force    int32  `json:"force"`
	Known    int32  `json:"known"`
}

func (p *program) printJSON(v any) error {
	e := json.NewEncoder(p.out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return errors.Newf("print answer: %w", err)
	}

	return nil
}

func newTableView(t *wire.Table) tableView {
	v := tableView{
		Revision: t.GetRevision(), Index: t.GetIndex(), Stale: t.GetStale(), Rows: []map[string]string{},
	}
	for _, r := range t.GetRows() {
		row := make(map[string]string, len(r.GetCells()))
		for i, name := range t.GetColumns() {
			row[name] = cell(r, i)
		}
		v.Rows = append(v.Rows, row)
	}

	return v
}

func cell(r *wire.Row, i int) string {
	if i < 0 || i >= len(r.GetCells()) {
		return ""
	}

	return r.GetCells()[i]
}

func (s *session) printTable(t *wire.Table) error {
	if s.json {
		return s.printJSON(newTableView(t))
	}

	return s.printRows(t)
}

func (p *program) printRows(t *wire.Table) error {
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(t.GetColumns(), "\t")))
	for _, r := range t.GetRows() {
		cells := make([]string, len(t.GetColumns()))
		for i := range cells {
			cells[i] = sanitize(cell(r, i))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	if err := w.Flush(); err != nil {
		return errors.Newf("print table: %w", err)
	}

	return nil
}

// maxCellRunes limits the length of a cell in tables for people, because the history contains
// the text of whole files. The output of --json is not shortened.
const maxCellRunes = 80

// sanitize shortens a cell to one line and replaces unprintable characters, so that callers'
// names cannot control the operator's terminal.
func sanitize(text string) string {
	if text == "" {
		return "-"
	}
	if runes := []rune(text); len(runes) > maxCellRunes {
		text = string(runes[:maxCellRunes]) + "..."
	}
	text = strings.ReplaceAll(text, "\n", "; ")

	return strings.Map(func(c rune) rune {
		if !unicode.IsPrint(c) {
			return '?'
		}

		return c
	}, text)
}

func (s *session) printResult(r *wire.Result) error {
	if s.json {
		return s.printJSON(resultView{
			ID: r.GetId(), Outcome: strings.ToLower(strings.TrimPrefix(r.GetOutcome().String(), "OUTCOME_")),
			Revision: r.GetRevision(), Index: r.GetIndex(), Text: r.GetText(), Winner: r.GetWinner(),
			Force: r.GetForce(), Known: r.GetKnown(),
		})
	}
	if r.GetOutcome() != wire.Outcome_OUTCOME_DONE {
		return nil // reported as an error
	}
	text := "done: " + r.GetText()
	if r.GetKnown() > 0 {
		text += fmt.Sprintf(", in force on %d of %d processes", r.GetForce(), r.GetKnown())
	}
	if r.GetForce() < r.GetKnown() {
		text += "; damaskctl status names the others"
	}
	if _, err := fmt.Fprintf(s.out, "%s (id %s)\n", text, r.GetId()); err != nil {
		return errors.Newf("print result: %w", err)
	}

	return nil
}
