package placer_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
)

// A server that had no memory must not be asked again until its wait is over, and one
// that is leaving must not be asked at all.
func TestRankWithoutAgent(t *testing.T) {
	full, gone := server("full", "c1", "r1", placer.Decode), server("gone", "c1", "r1", placer.Decode)
	far, near := server("far", "c9", "r9", placer.Decode), server("near", "c1", "r1", placer.Decode)
	p := newPlacer(t, full, gone, far, near, server("prefill", "c1", "r1", placer.Prefill))
	p.MarkFull(start, "full", time.Second)
	p.MarkLeaving(start, "gone")
	for name, test := range map[string]struct {
		now  time.Time
		want string
	}{
		"at once":        {start, "near far "},
		"after the wait": {start.Add(2 * time.Second), "full near far "},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			for _, c := range p.RankWithoutAgent(test.now, placer.Query{Pool: "p"}) {
				got += c.Server.ID + " "
			}
			if got != test.want {
				t.Errorf("servers: got %q, want %q", got, test.want)
			}
		})
	}
}

// The prompts of requests that have memory at a decode server must be split between it and
// the prefill server, so that each goes where it is processed sooner.
func TestClaim(t *testing.T) {
	p := newPlacer(t, server("d", "c1", "r1", placer.Decode), server("p", "c1", "r1", placer.Prefill))
	prefilled := 0
	for range 20 {
		c, ok := p.PickReserved(start, placer.Query{Pool: "p", Prompt: 10000}, "d")
		if !ok || c.Server.ID != "d" {
			t.Fatalf("server: got %v, want d", c.Server)
		}
		if c.Prefill != nil {
			prefilled++
		}
	}
	if prefilled < 8 || prefilled > 16 {
		t.Errorf("prompts at the prefill server: got %d of 20, want about two of three", prefilled)
	}
	if _, ok := p.PickReserved(start, placer.Query{Pool: "p"}, "unknown"); ok {
		t.Error("claim at an unknown server: got one, want none")
	}
}
