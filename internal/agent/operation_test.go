package agent

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// blockingBackend records calls. Its Prefill blocks until it is cancelled and release is
// closed.
type blockingBackend struct {
	*driver.Client
	calls   chan string
	release chan struct{}
}

func (b *blockingBackend) Prefill(ctx context.Context, _ driver.Prefill) (driver.PrefillResult, error) {
	b.calls <- "prefill"
	<-ctx.Done()
	<-b.release
	b.calls <- "returned"

	return driver.PrefillResult{}, ctx.Err()
}

func (b *blockingBackend) Cancel(context.Context, string) error {
	b.calls <- "cancel"

	return nil
}

// Checks that a cancellation is sent only after the call that it cancels has returned.
// If it arrived first, the engine would not know the id yet, and the call would then
// run as orphaned work.
func TestCancelAfterCallEnds(t *testing.T) {
	a, err := New(Settings{Name: "s1", Service: "desk", Region: "kochi", Backend: "127.0.0.1:1"}, Deps{
		Timer: timer.NewManual(time.Unix(1000, 0)),
		Log:   &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	if err != nil {
		t.Fatal(err)
	}
	b := &blockingBackend{Client: driver.New("127.0.0.1:1", time.Second), calls: make(chan string, 3), release: make(chan struct{})}
	a.backend = b
	a.backendStarted()
	box := newOutbox(discardSender{})
	defer box.Close()
	a.handleCall(box, &wire.Call{Body: &wire.Call_Ask{Ask: &wire.Ask{
		Id: "a", Phase: wire.Phase_PHASE_PREFILL, Due: 5000, Pieces: 1, Entry: "e1",
	}}}, nil)
	a.handleCall(box, &wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{Id: "a"}}}, nil)
	if got, want := <-b.calls, "prefill"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	a.handleCall(box, &wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: "a"}}}, nil)
	select {
	case got := <-b.calls:
		t.Errorf("while the call runs: got %s, want nothing", got)
	case <-time.After(20 * time.Millisecond):
	}
	close(b.release)
	for _, want := range []string{"returned", "cancel"} {
		if got := <-b.calls; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

type discardSender struct{}

func (discardSender) Send(proto.Message) error { return nil }
