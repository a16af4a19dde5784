package granter_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/granter"
)

// Guards against memory that is granted again while a prefill result occupies it, and
// against results that block the slot for the next prefill.
func TestReleaseSlot(t *testing.T) {
	now := time.Unix(100, 0)
	s := granter.Defaults(10)
	s.Serial, s.Slots, s.MemoryBlocks = true, 1, 10
	g, err := granter.New(s)
	if err != nil {
		t.Fatal(err)
	}
	ask := func(id string, blocks int) []granter.Decision {
		return g.Ask(now, granter.Ask{
			ID: id, Entry: "e", Caller: "c", Pieces: blocks, Cost: 100 * time.Millisecond, Due: now.Add(10 * time.Second),
		})
	}
	check := func(step string, got []granter.Decision, want ...string) {
		t.Helper()
		var ids []string
		for _, d := range got {
			if d.Kind == granter.Granted {
				ids = append(ids, d.ID)
			}
		}
		if len(ids) != len(want) || len(want) > 0 && ids[0] != want[0] {
			t.Errorf("%s: got grants %v, want %v", step, ids, want)
		}
	}
	check("first", ask("a", 6), "a")
	check("slot in use", ask("b", 4))
	check("slot free, memory fits", g.ReleaseSlot(now, "a"), "b")
	check("next waits for the slot", ask("c", 4))
	check("results of a and b occupy the memory", g.ReleaseSlot(now, "b"))
	check("memory of a freed", g.Release(now, "a"), "c")
	check("duplicate of a kept result", ask("b", 1))
	if got := ask("d", 11); len(got) != 1 || got[0].Reason != granter.ReasonSize {
		t.Errorf("over the memory: got %v, want reason %q", got, granter.ReasonSize)
	}
}

// Guards against memory blocks that are granted twice because a server without slots
// frees them when a prefill ends.
func TestReleaseSlotWithoutSlots(t *testing.T) {
	now := time.Unix(100, 0)
	g, err := granter.New(granter.Defaults(8))
	if err != nil {
		t.Fatal(err)
	}
	ask := granter.Ask{ID: "a", Entry: "e", Caller: "c", Pieces: 4, Cost: time.Second, Due: now.Add(time.Minute)}
	g.Ask(now, ask)
	g.ReleaseSlot(now, "a")
	if got, want := g.Load(now).Free, 4; got != want {
		t.Errorf("free blocks: got %d, want %d", got, want)
	}
}
