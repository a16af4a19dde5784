package controller_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// hostList is a host list source that counts its reads and can fail.
type hostList struct {
	reads   atomic.Int64
	version atomic.Int64
	down    atomic.Bool
}

func (h *hostList) List(context.Context) ([]placer.Server, error) {
	h.reads.Add(1)
	if h.down.Load() {
		return nil, errors.New("host list unavailable")
	}

	return []placer.Server{{ID: fmt.Sprint("s", h.version.Load())}}, nil
}

// subscribeListings attaches as an entry and returns the listings received.
func subscribeListings(t *testing.T, h *host, name string) <-chan *lister.Listing {
	t.Helper()
	s := openStream(t, h, &wire.Request{Body: &wire.Request_Attach{Attach: &wire.Attach{Name: name, Role: "entry"}}})
	out := make(chan *lister.Listing, 1024)
	go func() {
		defer close(out)
		var held *lister.Listing
		for {
			n := &wire.Notice{}
			if s.Recv(n) != nil {
				return
			}
			if m := n.GetListing(); m != nil {
				next, err := lister.ApplyMessage(time.Now(), held, m)
				if err != nil {
					t.Errorf("listing of %s: %v", name, err)

					return
				}
				held = next
				out <- next
			}
		}
	}()

	return out
}

// awaitListing returns the first listing that contains only the given server.
func awaitListing(t *testing.T, from <-chan *lister.Listing, server string) *lister.Listing {
	t.Helper()
	limit := time.NewTimer(5 * time.Second)
	defer limit.Stop()
	for {
		select {
		case l, ok := <-from:
			if !ok {
				t.Fatal("the control host closed the stream")
			}
			if list := l.Servers(); len(list) == 1 && list[0].ID == server {
				return l
			}
		case <-limit.C:
			t.Fatalf("got no listing with server %s", server)
		}
	}
}

// Guards against each control host reading the list for its own entries, instead of one
// host reading it for all, and against a next leader that continues with a lower term.
func TestOnlyOneHostReadsHostList(t *testing.T) {
	const interval = 100 * time.Millisecond
	list := &hostList{}
	hosts := cluster(t, 3, func(s *controller.Settings) { s.Hosts, s.List = list, interval })
	var followers []<-chan *lister.Listing
	for i, h := range hosts {
		followers = append(followers, subscribeListings(t, h, fmt.Sprint("e", i)))
	}
	list.version.Store(1)
	var term uint64
	for _, f := range followers {
		term = awaitListing(t, f, "s1").Term()
	}
	before, begun := list.reads.Load(), time.Now()
	list.version.Store(2)
	for _, f := range followers {
		awaitListing(t, f, "s2")
	}
	list.version.Store(3)
	for _, f := range followers {
		awaitListing(t, f, "s3")
	}
	// One host reads once per interval; a second one may have started a read
	// before it received the first listing.
	most := int64(time.Since(begun)/interval) + 3
	if got := list.reads.Load() - before; got > most {
		t.Errorf("reads of the host list: got %d, want at most %d", got, most)
	}
	old, _ := leader(t, hosts)
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	list.version.Store(4)
	for i, f := range followers {
		if hosts[i] == old {
			continue
		}
		if got := awaitListing(t, f, "s4").Term(); got < term {
			t.Errorf("term after the next election: got %d, want at least %d", got, term)
		}
	}
}

// Guards against losing the last list when a read fails, and against not reading again
// once the source works.
func TestHostListReadFailure(t *testing.T) {
	const interval = 50 * time.Millisecond
	list := &hostList{}
	hosts := cluster(t, 1, func(s *controller.Settings) { s.Hosts, s.List = list, interval })
	f := subscribeListings(t, hosts[0], "e")
	awaitListing(t, f, "s0")
	list.down.Store(true)
	failed := list.reads.Load() + 5
	waitUntil(func() bool { return list.reads.Load() >= failed })
	list.version.Store(1)
	list.down.Store(false)
	awaitListing(t, f, "s1")
}
