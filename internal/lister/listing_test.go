package lister_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

var epoch = time.Unix(1000, 0)

// Whatever changes between two readings, the message that takes a receiver from one to
// the other gives the same servers.
func TestMessageTakesReceiverToNext(t *testing.T) {
	draw := func(t *rapid.T, name string) []placer.Server {
		return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) placer.Server {
			return placer.Server{
				ID:      fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "id")),
				Addr:    fmt.Sprint("10.0.0.1:", rapid.IntRange(1, 3).Draw(t, "port")),
				Pool:    "p",
				Stage:   placer.Stage(rapid.IntRange(0, 2).Draw(t, "stage")),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			}
		}), 0, 12).Draw(t, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		old := lister.NewListing(1, 1, epoch, draw(t, "old"))
		next := lister.NewListing(1, 2, epoch, draw(t, "next"))
		now := epoch.Add(time.Second)
		held, err := lister.Next(now, nil, old.Message(now, nil))
		if err != nil {
			t.Fatal(err)
		}
		got, err := lister.Next(now, held, next.Message(now, held))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Servers(), next.Servers()) {
			t.Errorf("servers: got %v, want %v", got.Servers(), next.Servers())
		}
		if age := now.Sub(got.Read()); age != time.Second {
			t.Errorf("age: got %s, want 1s", age)
		}
	})
}

// A message that changes a listing which the receiver does not hold must not be mixed
// with the one that it holds.
func TestNextRefusesOtherBase(t *testing.T) {
	a := lister.NewListing(1, 1, epoch, []placer.Server{{ID: "a"}})
	b := lister.NewListing(1, 2, epoch, []placer.Server{{ID: "b"}})
	c := lister.NewListing(1, 3, epoch, []placer.Server{{ID: "c"}})
	broken := b.Message(epoch, a)
	broken.Gone = nil
	for name, test := range map[string]struct {
		held *lister.Listing
		m    *wire.Listing
	}{
		"none held":      {nil, b.Message(epoch, a)},
		"another held":   {a, c.Message(epoch, b)},
		"unchanged":      {a, b.Message(epoch, b)},
		"another digest": {a, broken},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := lister.Next(epoch, test.held, test.m); err == nil {
				t.Errorf("listing: got %v, want an error", got.Servers())
			}
		})
	}
}

// A leader that stood still and was deposed meanwhile offers what it read before.
func TestBoardKeepsNewest(t *testing.T) {
	reading := func(term, number uint64) *lister.Listing {
		return lister.NewListing(term, number, epoch, []placer.Server{{ID: fmt.Sprint(term, "-", number)}})
	}
	for name, test := range map[string]struct {
		held, offered *lister.Listing
		want          bool
	}{
		"the first":          {nil, reading(1, 1), true},
		"the next":           {reading(3, 1), reading(3, 2), true},
		"of the next leader": {reading(3, 9), reading(4, 1), true},
		"the same again":     {reading(3, 2), reading(3, 2), false},
		"overtaken":          {reading(3, 2), reading(3, 1), false},
		"of a deposed one":   {reading(4, 1), reading(3, 9), false},
	} {
		t.Run(name, func(t *testing.T) {
			b := lister.NewBoard()
			if test.held != nil {
				b.Offer(test.held)
			}
			if got := b.Offer(test.offered); got != test.want {
				t.Errorf("taken: got %t, want %t", got, test.want)
			}
		})
	}
}

// The host list's readings of a whole fleet whose reader is gone stay below the rate
// that all processes share, and begin again and again.
func TestPaceOfFleet(t *testing.T) {
	const (
		processes = 300
		rate      = 10
		length    = 120 * time.Second
		look      = 250 * time.Millisecond
	)
	p := lister.Pace{Stale: 2 * time.Second, Interval: time.Second, Rate: rate}
	random := rand.New(rand.NewPCG(1, 1))
	shares, fresh, begun := make([]float64, processes), make([]time.Time, processes), make([]time.Time, processes)
	for i := range processes {
		shares[i], fresh[i] = random.Float64(), epoch
	}
	bySecond := make(map[int]int)
	for now := epoch; now.Sub(epoch) < length; now = now.Add(look) {
		for i := range processes {
			if p.Due(now, fresh[i], begun[i], processes, shares[i]) {
				fresh[i], begun[i] = now, now
				bySecond[int(now.Sub(epoch)/time.Second)]++
			}
		}
	}
	total := 0
	for second, n := range bySecond {
		total += n
		if n > 2*rate {
			t.Errorf("readings in second %d: got %d, want at most %d", second, n, 2*rate)
		}
	}
	if most := int(rate * length / time.Second); total > most || total < most/3 {
		t.Errorf("readings: got %d, want %d to %d", total, most/3, most)
	}
}

// An entry reads nothing while listings come, takes the newest of what it is told and
// what it has read, and reads itself once nobody tells it anything.
func TestTakeInsteadOfReading(t *testing.T) {
	clock := timer.NewManual(epoch)
	from, to := &source{answers: make(chan any)}, &sink{told: make(chan struct{}, 8)}
	l, err := lister.New(lister.Settings{
		Source: from, Sink: to, Timer: clock, Draw: func() float64 { return 0 },
		Pace: lister.Pace{Stale: 2 * time.Second, Interval: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	l.Start()
	var held *lister.Listing
	tell := func(number uint64, first bool, servers ...placer.Server) {
		next := lister.NewListing(1, number, clock.Now(), servers)
		if first {
			held = nil
		}
		l.Take(first, next.Message(clock.Now(), held))
		held = next
	}
	a, b := placer.Server{ID: "a"}, placer.Server{ID: "b"}
	tell(1, true, a)
	<-to.told
	for number := range uint64(10) {
		clock.Advance(time.Second)
		tell(number+2, false, a)
		select {
		case from.answers <- []placer.Server{}:
			t.Fatal("a reading while listings come: got one, want none")
		default:
		}
	}
	tell(12, false, a, b)
	<-to.told
	// Another control host that is behind.
	tell(5, true, b)
	tell(6, false, b)
	next(clock, from, []placer.Server{a})
	<-to.told
	to.mu.Lock()
	defer to.mu.Unlock()
	want := [][]placer.Server{{a}, {a, b}, {a}}
	if !reflect.DeepEqual(to.lists, want) {
		t.Errorf("lists: got %v, want %v", to.lists, want)
	}
}
