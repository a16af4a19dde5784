package controller_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// attach attaches a process. If heartbeats is true, it reports the index of each update. The
// channel receives every notice.
func attach(t testing.TB, h *host, a *wire.Attach, heartbeats bool) (*messenger.Stream, <-chan *wire.Notice) {
	t.Helper()
	s := openStream(t, h, &wire.Request{Body: &wire.Request_Attach{Attach: a}})
	notices := make(chan *wire.Notice, 1000)
	go func() {
		defer close(notices)
		for {
			n := &wire.Notice{}
			if s.Recv(n) != nil {
				return
			}
			if u := n.GetUpdate(); u != nil && heartbeats {
				_ = s.Send(&wire.Beat{Index: u.GetIndex()})
			}
			notices <- n
		}
	}()

	return s, notices
}

// awaitNotice reads notices until one matches.
func awaitNotice(t testing.TB, notices <-chan *wire.Notice, fits func(*wire.Notice) bool) {
	t.Helper()
	for n := range notices {
		if fits(n) {
			return
		}
	}
	t.Fatal("the stream ended before a matching notice")
}

func leader(t testing.TB, hosts []*host) (l *host, rest []*host) {
	t.Helper()
	waitUntil(func() bool {
		l, rest = nil, nil
		for _, h := range hosts {
			if h.Dump().Role == "leader" {
				l = h
			} else {
				rest = append(rest, h)
			}
		}

		return l != nil && len(rest) == len(hosts)-1
	})

	return l, rest
}

// Guards against a process that misses a change or the pulse, and against a count that
// omits processes of other control hosts or includes those that have not reported the
// change.
func TestAttachedProcessesAreUpdatedAndCounted(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	_, first := attach(t, l, &wire.Attach{Name: "entry-1", Role: "entry"}, true)
	_, second := attach(t, rest[0], &wire.Attach{Name: "agent-1", Role: "agent"}, true)
	for _, notices := range []<-chan *wire.Notice{first, second} {
		awaitNotice(t, notices, func(n *wire.Notice) bool { return n.GetUpdate().GetFull() })
	}
	r := apply(t, rest[1], newChange("1"))
	if got, want := [2]int32{r.GetForce(), r.GetKnown()}, [2]int32{2, 2}; got != want {
		t.Errorf("processes with the change and in total: got %v, want %v", got, want)
	}
	for _, notices := range []<-chan *wire.Notice{first, second} {
		awaitNotice(t, notices, func(n *wire.Notice) bool { return n.GetUpdate().GetRevision() == 1 })
		awaitNotice(t, notices, func(n *wire.Notice) bool {
			return n.GetPulse() != nil && n.GetPulse().GetLease() < time.Second.Milliseconds()
		})
	}
	_, third := attach(t, rest[1], &wire.Attach{Name: "silent", Role: "agent"}, false)
	awaitNotice(t, third, func(n *wire.Notice) bool { return n.GetUpdate() != nil })
	r = apply(t, l, newChange("2"))
	if got, want := [2]int32{r.GetForce(), r.GetKnown()}, [2]int32{2, 3}; got != want {
		t.Errorf("processes with the change and in total, one not reporting: got %v, want %v", got, want)
	}
	behind := ""
	for _, row := range query(t, rest[0], "status").GetRows() {
		if row.GetCells()[7] != "yes" {
			behind += row.GetCells()[0]
		}
	}
	if got, want := behind, "silent"; got != want {
		t.Errorf("processes without the change: got %q, want %q", got, want)
	}
}

// Guards against claims that stay with an entry process that has gone, and against
// declaring the claims lost of one that moved to another control host.
func TestAbsentEntryLosesItsClaims(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	gone, _ := attach(t, l, &wire.Attach{Name: "gone", Role: "entry", Epoch: 1}, true)
	moved, _ := attach(t, l, &wire.Attach{Name: "moved", Role: "entry", Epoch: 2}, true)
	for name, epoch := range map[string]uint64{"gone": 1, "moved": 2} {
		apply(t, l, &wire.Command{Id: name, Body: &wire.Command_Claim{Claim: &wire.Claim{
			Key: name, Entry: name, Epoch: epoch,
		}}})
	}
	_, notices := attach(t, rest[0], &wire.Attach{Name: "moved", Role: "entry", Epoch: 2}, true)
	awaitNotice(t, notices, func(n *wire.Notice) bool { return n.GetUpdate() != nil })
	_ = moved.Close()
	_ = gone.Close()
	waitUntil(func() bool { return len(l.state.lost()) > 0 })
	// This claim belongs to an entry that never attached and becomes lost one timeout
	// later. By then the entry that moved would have been found absent too.
	apply(t, l, &wire.Command{Id: "late", Body: &wire.Command_Claim{Claim: &wire.Claim{Entry: "late", Epoch: 3}}})
	waitUntil(func() bool { return len(l.state.lost()) > 1 })
	if got, want := l.state.lost(), []string{"gone", "late"}; !slices.Equal(got, want) {
		t.Errorf("absent entries: got %v, want %v", got, want)
	}
}
