package registrar_test

import (
	"strings"
	"testing"

	"github.com/damasklever/damasklever/internal/parser"
)

// Guards against queries that return wrong rows or ignore a mistyped field or value.
func TestQuery(t *testing.T) {
	m := newMachine(t)
	m.mustChange(baseConfig)
	m.mustChange("change rule all regions=kochi,thrissur; change rank master first=500ms")
	m.register("s9", 1, false)
	m.register("s10", 1, false)
	m.mustChange("drain server s9; order server s10 load m2")
	m.claim("k", "d", "r")
	m.mustChange("block digest q for 1h")
	tests := map[string]struct{ text, want string }{
		"by name":          {"show ranks", "drill,master"},
		"duration":         {"show ranks where first < 2s", "master"},
		"percent":          {"show ranks where floor <= 0%", "drill,master"},
		"sort and limit":   {"show ranks sort level limit 1", "master"},
		"descending":       {"show ranks sort level desc", "drill,master"},
		"flag":             {"show servers where drained = yes", "s9"},
		"pattern":          {`show servers where name ~ "^s1"`, "s10"},
		"both":             {"show servers where region = kochi and drained != yes", "s10"},
		"element":          {"show rules where regions = thrissur", "all"},
		"no element":       {"show rules where regions != thrissur", ""},
		"claims":           {"show claims where stage = running", "k"},
		"blocks":           {"show blocks where until > 2020-01-01T00:00:00Z", "q"},
		"orders":           {"show orders where state = waiting", "s10"},
		"history":          {"history limit 2", "4,3"},
		"status":           {"status where name = revision", "revision"},
		"unknown field":    {"show ranks where lvel = 1", `unknown field "lvel", the known ones are: name, level, first`},
		"unknown sort":     {"show ranks sort x", "unknown field"},
		"bad value":        {"show ranks where first < fast", "is not a duration"},
		"bad pattern":      {`show ranks where name ~ "("`, "pattern"},
		"not replicated":   {"show requests", "not part of the replicated state"},
		"text as a number": {"show servers where pieces > many", "is not a whole number"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all, err := parser.Parse(test.text)
			if err != nil {
				t.Fatal(err)
			}
			table, err := m.Query(all[0].Query)
			if err != nil {
				if got, want := err.Error(), test.want; want == "" || !strings.Contains(got, want) {
					t.Errorf("got %q, want %q in it", got, want)
				}

				return
			}
			var cells []string
			for _, row := range table.GetRows() {
				cells = append(cells, row.GetCells()[0])
			}
			if got, want := strings.Join(cells, ","), test.want; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if got, want := table.GetRevision(), uint64(4); got != want {
				t.Errorf("revision: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a history that grows with the size of applied files, and against text
// that cannot be encoded because it was truncated within a character.
func TestHistoryTextIsBounded(t *testing.T) {
	m := newMachine(t)
	cmd := changeCommand(t, "long", "set rank a")
	cmd.GetChange().Text = "x" + strings.Repeat("ä", 1<<20)
	m.apply(cmd)
	if got, limit := len(m.state()), 8_192; got > limit {
		t.Errorf("snapshot: got %d bytes, want at most %d", got, limit)
	}
	m.restart()
}
