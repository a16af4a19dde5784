package listener

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/damasklever/damasklever/internal/timer"
)

// slow stands for the HTTP engine whose handler has not run yet.
type slow struct{ nbhttp.Processor }

func (slow) OnComplete(*nbhttp.Parser) {}

// Guards against a drain that closes a connection between the last byte of a
// request and its place in the connection's queue.
func TestDrainKeepsRequestBeforeQueue(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	l := &Listener{timers: clock}
	l.settings.Defaults()
	own, other := net.Pipe()
	defer func() { _ = other.Close() }()
	p := newPeer(l, own)
	p.input.p, p.input.Processor = p, slow{}
	p.used.Store(true)
	p.input.OnComplete(nil)

	p.closeIdle()
	if got, want := p.last, false; got != want {
		t.Errorf("closed with a request on its way to the queue: got %v, want %v", got, want)
	}

	p.arriving.Add(-1) // the handler has queued and answered it
	p.closeIdle()
	if _, err := other.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // net.Pipe returns it as it is
		t.Errorf("idle connection: got %v, want %v", err, io.EOF)
	}
}
