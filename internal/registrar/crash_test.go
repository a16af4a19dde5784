package registrar_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a poison request that goes on crashing servers, and against
// blame for requests that merely ran at the same time.
func TestBlame(t *testing.T) {
	tests := map[string]struct {
		do         func(m *machine)
		in, notIn  string
		crashCount int32
	}{
		"one crash blames nobody": {func(m *machine) { m.blame("1", "p", "q") }, "", "pq", 0},
		"two crashes block":       {func(m *machine) { m.blame("1", "p"); m.blame("2", "p") }, "p", "", 2},
		"one co-occurrence":       {func(m *machine) { m.blame("1", "p", "q"); m.blame("2", "p", "r") }, "p", "qr", 2},
		"explained crash does not count later": {func(m *machine) {
			m.blame("1", "p", "q")
			m.blame("2", "p", "r")
			m.blame("3", "q", "r")
		}, "p", "qr", 2},
		"blocked digest explains": {func(m *machine) {
			m.blame("1", "p")
			m.blame("2", "p")
			m.blame("3", "p", "q")
			m.blame("4", "q")
		}, "p", "q", 3},
		"repeat counts once": {func(m *machine) {
			m.blame("1", "p")
			m.blame("1", "p")
			m.restart()
			m.blame("1", "p")
		}, "", "p", 0},
		"digest twice": {func(m *machine) { m.blame("1", "p", "p") }, "", "p", 0},
		"old crash": {func(m *machine) {
			m.blame("1", "p")
			m.now = m.now.Add(time.Hour)
			m.blame("2", "p")
		}, "", "p", 0},
		"block ends": {func(m *machine) {
			m.blame("1", "p")
			m.blame("2", "p")
			m.now = m.now.Add(time.Hour)
			m.absent("e")
		}, "", "p", 0},
		"released starts anew": {func(m *machine) {
			m.blame("1", "p")
			m.blame("2", "p")
			m.must("release digest p")
			m.blame("3", "p")
		}, "", "p", 0},
		"three crashes block for entries": {func(m *machine) {
			m.witness("s", "p")
			m.witness("t", "p")
			m.witness("u", "p")
		}, "p", "", 3},
		"two crashes do not": {func(m *machine) { m.witness("s", "p"); m.witness("t", "p") }, "", "p", 0},
		"reports of two entries on one crash": {func(m *machine) {
			m.witness("s", "p")
			m.witness("s", "p", "q")
			m.witness("t", "p")
			m.restart()
			m.witness("t", "p")
		}, "", "pq", 0},
		"second report has the culprit": {func(m *machine) {
			m.witness("s", "p")
			m.witness("t", "p")
			m.witness("u", "q")
			m.witness("u", "p")
		}, "p", "q", 3},
		"neighbour at two crashes": {func(m *machine) {
			m.witness("s", "p", "q")
			m.witness("t", "p", "q")
			m.witness("u", "p", "r")
			m.witness("v", "q")
		}, "p", "qr", 3},
		"report that comes after the block": {func(m *machine) {
			m.witness("s", "p", "q")
			m.witness("t", "p", "q")
			m.witness("u", "p")
			m.witness("u", "q")
		}, "p", "q", 3},
		"server that starts under its old name": {func(m *machine) {
			for range 3 {
				m.witness("s", "p")
				m.now = m.now.Add(2 * time.Second)
			}
		}, "p", "", 3},
		"by an operator": {func(m *machine) { m.must("block digest p for 1m") }, "p", "", 0},
	}
	for name, test := range tests {
		for _, restart := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				m := newMachine(t)
				test.do(m)
				if restart {
					m.restart()
				}
				for _, d := range test.in {
					if !m.blocked(string(d)) {
						t.Errorf("%c: got not blocked, want blocked", d)
					}
				}
				for _, d := range test.notIn {
					if m.blocked(string(d)) {
						t.Errorf("%c: got blocked, want not blocked", d)
					}
				}
				if b := m.UpdateSince(0).GetBlocks(); test.in != "" && b[0].GetCrashes() != test.crashCount {
					t.Errorf("crashes: got %d, want %d", b[0].GetCrashes(), test.crashCount)
				}
			})
		}
	}
}

// Guards against an agent's setting for the length of a block that has no effect.
func TestBlameHold(t *testing.T) {
	m := newMachine(t)
	m.blame("1", "p")
	m.apply(&wire.Command{Id: "b", Body: &wire.Command_Blame{Blame: &wire.Blame{Crash: "2", Digests: []string{"p"}, Hold: 60}}})
	if got, want := m.UpdateSince(0).GetBlocks()[0].GetUntil(), epoch.Add(time.Minute).UnixMilli(); got != want {
		t.Errorf("until: got %d, want %d", got, want)
	}
}
