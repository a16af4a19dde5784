package registrar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// reportPrompts reports a crash at which prompts were on a server. Each prompt is a word
// whose letters are its shared segments.
func (m *machine) reportPrompts(server string, prompts ...string) {
	blame := &wire.Blame{Crash: "server " + server, Server: server, After: 3, Span: 2000}
	for _, p := range prompts {
		blame.Prefixes = append(blame.Prefixes, &wire.Prefix{Segments: strings.Split(p, "")})
	}
	m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Blame{Blame: blame}})
}

// reportSound reports a crash at which prompts were on a server, some of whose segments are
// sound.
func (m *machine) reportSound(server, prompt, sound string) {
	m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Blame{Blame: &wire.Blame{
		Crash: "server " + server, Server: server, After: 3, Span: 2000,
		Prefixes: []*wire.Prefix{{Segments: strings.Split(prompt, "")}}, Sound: strings.Split(sound, ""),
	}}})
}

// outage reports crashes of many servers by an entry that has not seen an answer to a request
// with the prompt.
func (m *machine) outage(prompt string) {
	for _, s := range []string{"s", "t", "u", "v", "w"} {
		m.reportPrompts(s, prompt)
	}
}

func (m *machine) clearSegments(names ...string) {
	m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Clear{Clear: &wire.Clear{Segments: names}}})
}

// Guards against a segment of prompts that crashes servers without being blocked, and against blocking others.
func TestBlameSegments(t *testing.T) {
	for name, test := range map[string]struct {
		do        func(m *machine)
		in, notIn string
	}{
		"two crashes": {func(m *machine) { m.reportPrompts("s", "p"); m.reportPrompts("t", "p") }, "", "p"},
		"three":       {func(m *machine) { m.reportPrompts("s", "p"); m.reportPrompts("t", "p"); m.reportPrompts("u", "p") }, "p", ""},
		"last segment of a prefix": {func(m *machine) {
			m.reportPrompts("s", "fp")
			m.reportPrompts("t", "fp")
			m.reportPrompts("u", "fp")
		}, "p", "f"},
		"first segment": {func(m *machine) {
			m.reportPrompts("s", "fa")
			m.reportPrompts("t", "fb")
			m.reportPrompts("u", "fc")
		}, "f", "abc"},
		"neighbours with the same first segment": {func(m *machine) {
			m.reportPrompts("s", "fp", "fa")
			m.reportPrompts("t", "fp", "f")
			m.reportPrompts("u", "fp", "fb", "f")
		}, "p", "fab"},
		"first segment suspected before": {func(m *machine) {
			m.reportPrompts("r", "fa")
			m.reportPrompts("s", "fp")
			m.reportPrompts("t", "fp")
			m.reportPrompts("u", "fp", "fa")
		}, "p", "fa"},
		"two segments of one first segment": {func(m *machine) {
			for _, s := range []string{"s", "t"} {
				m.reportPrompts(s, "fp")
				m.reportPrompts(s+"2", "fq")
				m.clearSegments("f")
			}
			m.reportPrompts("u", "fp")
			m.reportPrompts("v", "fq")
		}, "pq", "f"},
		"neighbour at three crashes": {func(m *machine) {
			for _, s := range []string{"s", "t", "u"} {
				m.reportPrompts(s, "p", "q")
			}
			m.reportPrompts("v", "p")
		}, "p", "q"},
		"neighbour at five crashes": {func(m *machine) {
			for _, s := range []string{"s", "t", "u", "v", "w"} {
				m.reportPrompts(s, "p", "q")
			}
		}, "pq", ""},
		"reports of two entries": {func(m *machine) {
			m.reportPrompts("s", "p")
			m.reportPrompts("t", "p")
			m.reportPrompts("s", "p")
			m.reportPrompts("t", "p")
		}, "", "p"},
		"server restarts with the same name": {func(m *machine) {
			for range 3 {
				m.reportPrompts("s", "p")
				m.now = m.now.Add(2 * time.Second)
			}
		}, "p", ""},
		"sound": {func(m *machine) {
			m.reportPrompts("s", "p")
			m.reportPrompts("t", "p")
			m.clearSegments("p")
			m.reportPrompts("u", "p")
			m.reportPrompts("v", "p")
		}, "", "p"},
		"sound after its block": {func(m *machine) {
			for _, s := range []string{"s", "t", "u"} {
				m.reportPrompts(s, "p")
			}
			m.clearSegments("p")
			m.reportPrompts("v", "p")
		}, "", "p"},
		"crash with a blocked segment": {func(m *machine) {
			for _, s := range []string{"s", "t", "u", "v", "w", "x"} {
				m.reportPrompts(s, "p", map[bool]string{true: "q", false: "r"}[s > "u"])
			}
		}, "p", "qr"},
		"block has ended": {func(m *machine) {
			for _, s := range []string{"s", "t", "u"} {
				m.reportPrompts(s, "p")
			}
			m.now = m.now.Add(time.Minute)
			m.absent("e")
		}, "", "p"},
		"crash after the block has ended": {func(m *machine) {
			for _, s := range []string{"s", "t", "u"} {
				m.reportPrompts(s, "p")
			}
			m.now = m.now.Add(time.Minute)
			m.reportPrompts("v", "p", "q")
			m.now = m.now.Add(119 * time.Second)
			m.absent("e")
		}, "p", "q"},
		"long ago": {func(m *machine) {
			m.reportPrompts("s", "p")
			m.reportPrompts("t", "p")
			m.now = m.now.Add(2 * time.Hour)
			m.reportPrompts("u", "p")
		}, "", "p"},
		"sound in an outage": {func(m *machine) {
			for _, s := range []string{"s", "t", "u", "v", "w"} {
				m.reportSound(s, "ab", "ab")
			}
		}, "", "ab"},
		"sound in an outage, reported by others before": {func(m *machine) {
			m.outage("ab")
			m.reportSound("s", "ab", "ab")
		}, "", "ab"},
		"sound in an outage, reported by others after": {func(m *machine) {
			m.reportSound("s", "ab", "ab")
			m.reportPrompts("t", "ab")
			m.reportPrompts("u", "ab")
			m.reportSound("v", "ab", "ab")
			m.reportPrompts("w", "ab")
		}, "", "ab"},
		"sound in an outage long after its block": {func(m *machine) {
			m.outage("p")
			m.now = m.now.Add(3 * time.Second)
			m.reportSound("x", "p", "p")
		}, "p", ""},
		"sound in an outage, crashed before": {func(m *machine) {
			m.reportPrompts("s", "p")
			m.reportPrompts("t", "p")
			m.now = m.now.Add(3 * time.Second)
			m.reportSound("u", "p", "p")
			m.reportPrompts("v", "p")
		}, "p", ""},
		"blocked again in an outage": {func(m *machine) {
			m.outage("p")
			m.now = m.now.Add(time.Minute)
			m.outage("p")
			m.now = m.now.Add(time.Second)
			m.reportSound("x", "p", "p")
		}, "", "p"},
		"sound segment before a crashing one": {func(m *machine) {
			for _, s := range []string{"s", "t", "u"} {
				m.reportSound(s, "ap", "a")
			}
		}, "p", "a"},
		"sound segment after a crashing one": {func(m *machine) {
			for _, s := range []string{"s", "t", "u"} {
				m.reportSound(s, "pa", "a")
			}
		}, "p", "a"},
		"sound, then crashing": {func(m *machine) {
			m.reportSound("s", "p", "p")
			m.now = m.now.Add(time.Second)
			for _, s := range []string{"s2", "t", "u"} {
				m.reportPrompts(s, "p")
			}
		}, "p", ""},
		"released by an operator": {func(m *machine) {
			for _, s := range []string{"s", "t", "u"} {
				m.reportPrompts(s, "p")
			}
			m.mustChange("release digest p")
		}, "", "p"},
	} {
		for _, restart := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				m := newMachine(t)
				test.do(m)
				if restart {
					m.restart()
				}
				checkBlocked(t, m, test.in, test.notIn)
			})
		}
	}
}

// Guards against a report without digests that hides the digests of the other reports of the crash.
func TestSegmentsDoNotHideDigests(t *testing.T) {
	m := newMachine(t)
	for _, server := range []string{"s", "t", "u"} {
		m.reportPrompts(server, "f")
		m.reportCrash(server, "p")
	}
	if !m.blocked("p") {
		t.Error("digest: got not blocked, want blocked")
	}
}

// Guards against suspected segments that entries are not told of, so that they cannot clear them.
func TestSuspectedSegmentsAreSent(t *testing.T) {
	m := newMachine(t)
	m.reportPrompts("s", "fp")
	since := m.Index()
	if got := len(m.UpdateSince(0).GetSegments()); got != 2 {
		t.Errorf("segments: got %d, want 2", got)
	}
	m.clearSegments("f")
	if got := m.UpdateSince(since).GetRemovals(); len(got) != 1 || got[0].GetKind() != "segment" || got[0].GetName() != "f" {
		t.Errorf("removals: got %v, want segment f", got)
	}
}

// Guards against a full store of suspected segments that no longer counts the crashes of a new one.
func TestFullStoreOfSegments(t *testing.T) {
	m := newMachine(t)
	const crashes, prompts = 100, 64 // more segments than are kept
	for i := range crashes {
		blame := &wire.Blame{Crash: fmt.Sprint("server old", i), After: 3, Span: 2000}
		for j := range prompts {
			blame.Prefixes = append(blame.Prefixes, &wire.Prefix{Segments: []string{fmt.Sprint("innocent", i, "/", j)}})
		}
		m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Blame{Blame: blame}})
		m.now = m.now.Add(time.Millisecond)
	}
	if got, most := len(m.UpdateSince(0).GetSegments()), 4096; got > most {
		t.Errorf("segments: got %d, want at most %d", got, most)
	}
	for server, neighbour := range map[string]string{"s": "a", "t": "b", "u": "c"} {
		m.reportPrompts(server, "p", neighbour)
	}
	checkBlocked(t, m, "p", "abc")
}
