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

// hostList is a host list that counts its readings.
type hostList struct {
	readings atomic.Int64
	version  atomic.Int64
	down     atomic.Bool
}

func (h *hostList) List(context.Context) ([]placer.Server, error) {
	h.readings.Add(1)
	if h.down.Load() {
		return nil, errors.New("the list is down")
	}

	return []placer.Server{{ID: fmt.Sprint("s", h.version.Load())}}, nil
}

// follower follows the listings that one control host passes on.
func follower(t *testing.T, h *host, name string) <-chan *lister.Listing {
	t.Helper()
	s := open(t, h, &wire.Request{Body: &wire.Request_Attach{Attach: &wire.Attach{Name: name, Role: "entry"}}})
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
				next, err := lister.Next(time.Now(), held, m)
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

// listed returns the first listing that names a server.
func listed(t *testing.T, from <-chan *lister.Listing, server string) *lister.Listing {
	t.Helper()
	limit := time.NewTimer(5 * time.Second)
	defer limit.Stop()
	for {
		select {
		case l, ok := <-from:
			if !ok {
				t.Fatal("the control host ended the connection")
			}
			if list := l.Servers(); len(list) == 1 && list[0].ID == server {
				return l
			}
		case <-limit.C:
			t.Fatalf("no listing names %s", server)
		}
	}
}

// One control host reads the list for all entries, wherever they are attached; when it
// ends, the next leader goes on with a higher term.
func TestOneHostReadsList(t *testing.T) {
	const interval = 100 * time.Millisecond
	list := &hostList{}
	hosts := cluster(t, 3, func(s *controller.Settings) { s.Hosts, s.List = list, interval })
	var followers []<-chan *lister.Listing
	for i, h := range hosts {
		followers = append(followers, follower(t, h, fmt.Sprint("e", i)))
	}
	list.version.Store(1)
	var term uint64
	for _, f := range followers {
		term = listed(t, f, "s1").Term()
	}
	before, begun := list.readings.Load(), time.Now()
	list.version.Store(2)
	for _, f := range followers {
		listed(t, f, "s2")
	}
	list.version.Store(3)
	for _, f := range followers {
		listed(t, f, "s3")
	}
	// One host reads once in an interval; a second may have begun before it heard of the
	// first.
	most := int64(time.Since(begun)/interval) + 3
	if got := list.readings.Load() - before; got > most {
		t.Errorf("readings: got %d, want at most %d", got, most)
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
		if got := listed(t, f, "s4").Term(); got < term {
			t.Errorf("term after the next election: got %d, want at least %d", got, term)
		}
	}
}

// A list that cannot be read leaves the last one in force, and its age shows.
func TestListLost(t *testing.T) {
	const interval = 50 * time.Millisecond
	list := &hostList{}
	hosts := cluster(t, 1, func(s *controller.Settings) { s.Hosts, s.List = list, interval })
	f := follower(t, hosts[0], "e")
	listed(t, f, "s0")
	list.down.Store(true)
	failed := list.readings.Load() + 5
	until(func() bool { return list.readings.Load() >= failed })
	list.version.Store(1)
	list.down.Store(false)
	listed(t, f, "s1")
}
