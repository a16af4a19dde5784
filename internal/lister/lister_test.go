package lister_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
)

// source answers each read when the test says with what.
type source struct {
	answers chan any // a list or an error
}

func (s *source) List(ctx context.Context) ([]placer.Server, error) {
	select {
	case a := <-s.answers:
		if err, ok := a.(error); ok {
			return nil, err
		}
		list, _ := a.([]placer.Server)

		return list, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sink keeps what it was told.
type sink struct {
	mu    sync.Mutex
	lists [][]placer.Server
	told  chan struct{}
}

func (s *sink) SetServers(list []placer.Server) {
	s.mu.Lock()
	s.lists = append(s.lists, list)
	s.mu.Unlock()
	s.told <- struct{}{}
}

// Guards against servers that are forgotten because the list cannot be read, and
// against a list that is not read again.
func TestListIsKept(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	from, to := &source{answers: make(chan any)}, &sink{told: make(chan struct{}, 8)}
	l, err := lister.New(lister.Settings{Source: from, Sink: to, Timer: clock, Pace: lister.Pace{Interval: time.Second}, Least: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if got, want := l.Known(), false; got != want {
		t.Errorf("known before the first read: got %v, want %v", got, want)
	}
	l.Start()
	from.answers <- []placer.Server{{ID: "a"}}
	<-to.told
	next(clock, from, errors.New("the list is down"))
	next(clock, from, []placer.Server{{ID: "a"}, {ID: "b"}})
	<-to.told
	to.mu.Lock()
	defer to.mu.Unlock()
	if got, want := len(to.lists), 2; got != want {
		t.Errorf("lists told: got %d, want %d, none for the read that failed", got, want)
	}
	if got, want := l.Known(), true; got != want {
		t.Errorf("known: got %v, want %v", got, want)
	}
}

// next advances the time until a read takes the answer.
func next(clock *timer.Manual, from *source, answer any) {
	for {
		clock.Advance(time.Second)
		select {
		case from.answers <- answer:
			return
		default:
		}
	}
}

// Guards against a call for each request while a pool is down.
func TestHurryIsBounded(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	from, to := &source{answers: make(chan any)}, &sink{told: make(chan struct{}, 8)}
	l, err := lister.New(lister.Settings{Source: from, Sink: to, Timer: clock, Pace: lister.Pace{Interval: time.Hour}, Least: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	l.Start()
	from.answers <- []placer.Server{{ID: "a"}}
	<-to.told
	l.Hurry()
	select {
	case from.answers <- []placer.Server{}:
		t.Error("a second read at the same time: got one, want none")
	default:
	}
	for told := false; !told; {
		clock.Advance(300 * time.Millisecond)
		l.Hurry()
		select {
		case from.answers <- []placer.Server{{ID: "b"}}:
			<-to.told
			told = true
		default:
		}
	}
}
