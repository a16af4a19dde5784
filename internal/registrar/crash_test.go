package registrar_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a request that repeatedly crashes servers without being blocked, and
// against blocking requests that merely ran at the same time.
func TestBlame(t *testing.T) {
	tests := map[string]struct {
		do         func(m *machine)
		in, notIn  string
		crashCount int32
	}{
		"one crash blocks nothing": {func(m *machine) { m.blame("1", "p", "q") }, "", "pq", 0},
		"two crashes block":        {func(m *machine) { m.blame("1", "p"); m.blame("2", "p") }, "p", "", 2},
		"one co-occurrence":        {func(m *machine) { m.blame("1", "p", "q"); m.blame("2", "p", "r") }, "p", "qr", 2},
		"resolved crash does not count later": {func(m *machine) {
			m.blame("1", "p", "q")
			m.blame("2", "p", "r")
			m.blame("3", "q", "r")
		}, "p", "qr", 2},
		"blocked digest resolves a crash": {func(m *machine) {
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
			m.mustChange("release digest p")
			m.blame("3", "p")
		}, "", "p", 0},
		"three crashes block for entries": {func(m *machine) {
			m.reportCrash("s", "p")
			m.reportCrash("t", "p")
			m.reportCrash("u", "p")
		}, "p", "", 3},
		"two crashes do not": {func(m *machine) { m.reportCrash("s", "p"); m.reportCrash("t", "p") }, "", "p", 0},
		"reports of two entries on one crash": {func(m *machine) {
			m.reportCrash("s", "p")
			m.reportCrash("s", "p", "q")
			m.reportCrash("t", "p")
			m.restart()
			m.reportCrash("t", "p")
		}, "", "pq", 0},
		"cause only in the second report": {func(m *machine) {
			m.reportCrash("s", "p")
			m.reportCrash("t", "p")
			m.reportCrash("u", "q")
			m.reportCrash("u", "p")
		}, "p", "q", 3},
		"other digest at two crashes": {func(m *machine) {
			m.reportCrash("s", "p", "q")
			m.reportCrash("t", "p", "q")
			m.reportCrash("u", "p", "r")
			m.reportCrash("v", "q")
		}, "p", "qr", 3},
		"report that comes after the block": {func(m *machine) {
			m.reportCrash("s", "p", "q")
			m.reportCrash("t", "p", "q")
			m.reportCrash("u", "p")
			m.reportCrash("u", "q")
		}, "p", "q", 3},
		"server restarts with the same name": {func(m *machine) {
			for range 3 {
				m.reportCrash("s", "p")
				m.now = m.now.Add(2 * time.Second)
			}
		}, "p", "", 3},
		"by an operator": {func(m *machine) { m.mustChange("block digest p for 1m") }, "p", "", 0},
	}
	for name, test := range tests {
		for _, restart := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				m := newMachine(t)
				test.do(m)
				if restart {
					m.restart()
				}
				checkBlocked(t, m, test.in, test.notIn)
				if b := m.UpdateSince(0).GetBlocks(); test.in != "" && b[0].GetCrashes() != test.crashCount {
					t.Errorf("crashes: got %d, want %d", b[0].GetCrashes(), test.crashCount)
				}
			})
		}
	}
}

// checkBlocked checks which of the digests, one letter each, are blocked.
func checkBlocked(t *testing.T, m *machine, in, notIn string) {
	t.Helper()
	for _, d := range in {
		if !m.blocked(string(d)) {
			t.Errorf("%c: got not blocked, want blocked", d)
		}
	}
	for _, d := range notIn {
		if m.blocked(string(d)) {
			t.Errorf("%c: got blocked, want not blocked", d)
		}
	}
}

// Guards against ignoring the block time that an agent reports.
func TestBlameHold(t *testing.T) {
	m := newMachine(t)
	m.blame("1", "p")
	m.apply(&wire.Command{Id: "b", Body: &wire.Command_Blame{Blame: &wire.Blame{Crash: "2", Digests: []string{"p"}, Hold: 60}}})
	if got, want := m.UpdateSince(0).GetBlocks()[0].GetUntil(), epoch.Add(time.Minute).UnixMilli(); got != want {
		t.Errorf("until: got %d, want %d", got, want)
	}
}
