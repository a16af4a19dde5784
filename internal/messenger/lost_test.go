package messenger_test

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// oneProcessorVariable is set in the process that runs with one processor.
const oneProcessorVariable = "MESSENGER_TEST_ONE_PROCESSOR"

// losses is the number of connections that each case loses; fullLosses with full
// buffers, which take longer to set up.
const (
	losses     = 300
	fullLosses = 50
)

// lossCases maps each way in which a connection ends to a function that ends it.
// The peer is a messenger.Listener if echoed is set, or else a connection that sends
// nothing.
var lossCases = map[string]struct {
	echoed  bool
	timeout bool // ends by itself
	sending bool // Send waits as well, as the peer's window is full
	full    bool // Send waits as well, as the connection's buffers are full
	lose    func(p *lossPeer) error
}{
	"closed here":                 {lose: func(p *lossPeer) error { return p.session.Close() }},
	"closed here, listener":       {lose: func(p *lossPeer) error { return p.session.Close() }, echoed: true},
	"closed by listener":          {lose: func(p *lossPeer) error { return p.listener.Close() }, echoed: true},
	"closed by peer":              {lose: func(p *lossPeer) error { return p.conn.Close() }},
	"reset by peer":               {lose: resetPeer},
	"invalid frame":               {lose: writeInvalidFrame},
	"silent peer":                 {timeout: true},
	"closed here while sending":   {lose: func(p *lossPeer) error { return p.session.Close() }, sending: true},
	"reset by peer while sending": {lose: resetPeer, sending: true},
	"invalid frame while sending": {lose: writeInvalidFrame, sending: true},
	"closed here, buffers full":   {lose: func(p *lossPeer) error { return p.session.Close() }, full: true},
	"reset by peer, buffers full": {lose: resetPeer, full: true},
	"invalid frame, buffers full": {lose: writeInvalidFrame, full: true},
}

func resetPeer(p *lossPeer) error {
	if err := p.conn.SetLinger(0); err != nil {
		return err
	}

	return p.conn.Close()
}

func writeInvalidFrame(p *lossPeer) error {
	_, err := p.conn.Write([]byte(strings.Repeat("\xff", 64)))

	return err
}

// Guards against a lost connection that costs its streams processor time until the
// session has noticed, which does not end on one processor without preemption.
func TestLostConnectionDoesNotSpin(t *testing.T) {
	if os.Getenv(oneProcessorVariable) == "" {
		c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v", "-test.timeout=5m")
		c.Env = append(os.Environ(), oneProcessorVariable+"=1", "GOMAXPROCS=1", "GODEBUG=asyncpreemptoff=1")
		output, err := c.CombinedOutput()
		t.Logf("%s", output)
		if err != nil {
			t.Errorf("with one processor: %v", err)
		}

		return
	}
	for name, c := range lossCases {
		t.Run(name, func(t *testing.T) {
			var setUp, lost time.Duration
			slow, n := 0, losses
			if c.full {
				n = fullLosses
			}
			if c.timeout {
				setUp, lost = loseAllByTimeout(t)
			} else {
				for range n {
					before := processorTime(t)
					p := newLossPeer(t, c.echoed, c.full)
					p.waitInCalls(t, c.sending, c.full)
					middle := processorTime(t)
					if err := c.lose(p); err != nil {
						t.Fatal(err)
					}
					<-p.session.Done()
					p.calls.Wait()
					p.handlers.Wait()
					cost := processorTime(t) - middle
					if cost > 2*time.Millisecond {
						slow++
					}
					setUp, lost = setUp+middle-before, lost+cost
					p.end()
				}
			}
			t.Logf("set up %v, lost %v, %d of %d over 2 ms", setUp, lost, slow, n)
			if got, want := lost, setUp; got > want {
				t.Errorf("processor time of %d lost connections: got %v, want at most %v, which setting them up took", n, got, want)
			}
		})
	}
}

// loseAllByTimeout sets up the connections at the same time, since each lasts seconds.
func loseAllByTimeout(t *testing.T) (setUp, lost time.Duration) {
	t.Helper()
	before := processorTime(t)
	peers := make([]*lossPeer, losses)
	for i := range peers {
		peers[i] = newLossPeer(t, false, false)
		peers[i].waitInCalls(t, false, false)
	}
	middle := processorTime(t)
	for _, p := range peers {
		<-p.session.Done()
		p.calls.Wait()
	}
	lost = processorTime(t) - middle
	for _, p := range peers {
		p.end()
	}

	return middle - before, lost
}

// lossPeer is a session with some streams and the other end of its connection.
type lossPeer struct {
	session  *messenger.Session
	streams  []*messenger.Stream
	calls    sync.WaitGroup // calls of the streams that have not returned
	listener *messenger.Listener
	handlers sync.WaitGroup
	raw      net.Listener
	conn     *net.TCPConn
}

func newLossPeer(t *testing.T, echoed, full bool) *lossPeer {
	t.Helper()
	p := &lossPeer{}
	n := 8
	if full {
		n = 24
	}
	addr := p.listen(t, echoed, full)
	var err error
	if p.session, err = messenger.Dial(t.Context(), addr); err != nil {
		t.Fatal(err)
	}
	if !echoed {
		conn, err := p.raw.Accept()
		if err != nil {
			t.Fatal(err)
		}
		p.conn = conn.(*net.TCPConn)
	}
	for range n {
		stream, err := p.session.Open(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		p.streams = append(p.streams, stream)
		if !echoed {
			continue
		}
		p.handlers.Add(1)
		if err := stream.Send(&wire.Chunk{Seq: 1}); err != nil {
			t.Fatal(err)
		}
		if err := stream.Recv(&wire.Chunk{}); err != nil {
			t.Fatal(err)
		}
	}

	return p
}

// listen starts the listener of the other end and returns its address.
func (p *lossPeer) listen(t *testing.T, echoed, full bool) string {
	t.Helper()
	var err error
	if echoed {
		p.listener, err = messenger.Listen("127.0.0.1:0", func(ctx context.Context, s *messenger.Stream) {
			defer p.handlers.Done()
			echo(ctx, s)
		})
		if err != nil {
			t.Fatal(err)
		}

		return p.listener.Addr()
	}
	var config net.ListenConfig
	if full {
		config.Control = limitReadBuffer
	}
	if p.raw, err = config.Listen(t.Context(), "tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}

	return p.raw.Addr().String()
}

// limitReadBuffer makes a listener accept connections with a small read buffer.
func limitReadBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	}); controlErr != nil {
		return controlErr
	}

	return err
}

// waitInCalls returns when a Recv of each stream waits, and with sending or full a
// Send as well.
func (p *lossPeer) waitInCalls(t *testing.T, sending, full bool) {
	t.Helper()
	for _, stream := range p.streams {
		started := make(chan struct{})
		p.calls.Go(func() {
			close(started)
			_ = stream.Recv(&wire.Chunk{})
		})
		<-started
	}
	if sending {
		p.calls.Go(func() {
			_ = p.streams[0].Send(&wire.Chunk{Text: strings.Repeat("x", 2*windowBytes)})
		})
		// The frames that open the streams, then frames of data up to the window.
		if _, err := io.CopyN(io.Discard, p.conn, windowBytes+int64(len(p.streams)+1)*frameHeaderBytes); err != nil {
			t.Fatal(err)
		}
	}
	if full {
		text := strings.Repeat("x", windowBytes*9/10)
		for _, stream := range p.streams {
			p.calls.Go(func() { _ = stream.Send(&wire.Chunk{Text: text}) })
		}
	}
	// With one processor, the goroutines run until they wait.
	for range 10 {
		runtime.Gosched()
	}
}

const (
	windowBytes      = 256 << 10
	frameHeaderBytes = 12
)

func (p *lossPeer) end() {
	_ = p.session.Close()
	if p.listener != nil {
		_ = p.listener.Close()
	}
	if p.raw != nil {
		_ = p.raw.Close()
		_ = p.conn.Close()
	}
}

// processorTime returns the processor time that the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
