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

// fakeSource answers each read with the next value that the test sends.
type fakeSource struct {
	answers chan any // a list or an error
}

func (s *fakeSource) List(ctx context.Context) ([]placer.Server, error) {
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

// fakeSink records the lists that it receives.
type fakeSink struct {
	mu       sync.Mutex
	lists    [][]placer.Server
	received chan struct{}
}

func (s *fakeSink) SetServers(list []placer.Server) {
	s.mu.Lock()
	s.lists = append(s.lists, list)
	s.mu.Unlock()
	s.received <- struct{}{}
}

// Guards against servers that are dropped after a failed read, and against a lister that
// does not read again after a failure.
func TestListSurvivesFailedRead(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	source, sink := &fakeSource{answers: make(chan any)}, &fakeSink{received: make(chan struct{}, 8)}
	l, err := lister.New(lister.Settings{Source: source, Sink: sink, Timer: clock, Pace: lister.Pace{Interval: time.Second}, MinInterval: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if got, want := l.Known(), false; got != want {
		t.Errorf("known before the first read: got %v, want %v", got, want)
	}
	l.Start()
	source.answers <- []placer.Server{{ID: "a"}}
	<-sink.received
	next(clock, source, errors.New("host list unavailable"))
	next(clock, source, []placer.Server{{ID: "a"}, {ID: "b"}})
	<-sink.received
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if got, want := len(sink.lists), 2; got != want {
		t.Errorf("lists received: got %d, want %d, none for the failed read", got, want)
	}
	if got, want := l.Known(), true; got != want {
		t.Errorf("known: got %v, want %v", got, want)
	}
}

// next advances the clock until a read receives the answer.
func next(clock *timer.Manual, source *fakeSource, answer any) {
	for {
		clock.Advance(time.Second)
		select {
		case source.answers <- answer:
			return
		default:
		}
	}
}

// Guards against a read of the list for each request while a pool is down.
func TestReadEarlyMinInterval(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	source, sink := &fakeSource{answers: make(chan any)}, &fakeSink{received: make(chan struct{}, 8)}
	l, err := lister.New(lister.Settings{Source: source, Sink: sink, Timer: clock, Pace: lister.Pace{Interval: time.Hour}, MinInterval: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	l.Start()
	source.answers <- []placer.Server{{ID: "a"}}
	<-sink.received
	l.ReadEarly()
	select {
	case source.answers <- []placer.Server{}:
		t.Error("read within MinInterval of the first: got one, want none")
	default:
	}
	for received := false; !received; {
		clock.Advance(300 * time.Millisecond)
		l.ReadEarly()
		select {
		case source.answers <- []placer.Server{{ID: "b"}}:
			<-sink.received
			received = true
		default:
		}
	}
}
