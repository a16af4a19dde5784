package placer_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
)

// A server without memory is not asked again for a while, and one that leaves never.
func TestRankUnlent(t *testing.T) {
	full, gone := server("full", "c1", "r1", placer.Decode), server("gone", "c1", "r1", placer.Decode)
	far, near := server("far", "c9", "r9", placer.Decode), server("near", "c1", "r1", placer.Decode)
	p := newPlacer(t, full, gone, far, near, server("prefill", "c1", "r1", placer.Prefill))
	p.Full(start, "full", time.Second)
	p.Left(start, "gone")
	for name, test := range map[string]struct {
		now  time.Time
		want string
	}{
		"at once": {start, "near far "},
		"later":   {start.Add(2 * time.Second), "full near far "},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			for _, c := range p.RankUnlent(test.now, placer.Query{Pool: "p"}) {
				got += c.Server.ID + " "
			}
			if got != test.want {
				t.Errorf("servers: got %q, want %q", got, test.want)
			}
		})
	}
}

// A request that has memory at a decode server is read at a prefill server while that is
// the faster way.
func TestClaim(t *testing.T) {
	p := newPlacer(t, server("d", "c1", "r1", placer.Decode), server("p", "c1", "r1", placer.Prefill))
	apart := 0
	for range 20 {
		c, ok := p.Claim(start, placer.Query{Pool: "p", Prompt: 10000}, "d")
		if !ok || c.Server.ID != "d" {
			t.Fatalf("server: got %v, want d", c.Server)
		}
		if c.Prefill != nil {
			apart++
		}
	}
	if apart < 8 || apart > 16 {
		t.Errorf("prompts read apart: got %d of 20, want about two of three", apart)
	}
	if _, ok := p.Claim(start, placer.Query{Pool: "p"}, "unknown"); ok {
		t.Error("claim at an unknown server: got one, want none")
	}
}
