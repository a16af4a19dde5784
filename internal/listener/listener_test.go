package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/listener"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// backend is a fake of the router.
type backend struct {
	ids      atomic.Int64
	complete func(ctx context.Context, c *listener.Completion, emit func(string, int64)) listener.Reply
	call     func(ctx context.Context, c *listener.Call) listener.Reply
}

func (b *backend) ID() string { return "id" + string(rune('0'+b.ids.Add(1))) }

func (b *backend) Limit(path string) int64 {
	if strings.HasPrefix(path, "/s/small/") {
		return 10
	}

	return 0
}

func (b *backend) Complete(ctx context.Context, c *listener.Completion, emit func(string, int64)) listener.Reply {
	return b.complete(ctx, c, emit)
}

func (b *backend) Call(ctx context.Context, c *listener.Call) listener.Reply { return b.call(ctx, c) }

func done() listener.Reply {
	return listener.Reply{Outcome: dispatcher.Outcome{Result: dispatcher.Done, Status: 200}, Prompt: 3}
}

// echo answers with the prompt, or with the path and body of a call.
func echo() *backend {
	return &backend{
		complete: func(_ context.Context, c *listener.Completion, emit func(string, int64)) listener.Reply {
			for _, word := range strings.SplitAfter(c.Prompt, " ") {
				emit(word, 1)
			}

			return done()
		},
		call: func(_ context.Context, c *listener.Call) listener.Reply {
			r := done()
			r.Answer = &wire.Stored{Status: 201, Body: []byte(c.Method + " " + c.Path + " " + string(c.Body))}
			r.Status = 201

			return r
		},
	}
}

func start(t *testing.T, b *backend, s listener.Settings) (*listener.Listener, *timer.Manual) {
	t.Helper()
	s.Listen = "127.0.0.1:0"
	clock := timer.NewManual(time.Unix(1000, 0))
	l, err := listener.New(s, b, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)

	return l, clock
}

// wireup opens a raw connection.
func wireup(t testing.TB, l *listener.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second)) // a fault fails the test instead of blocking it

	return conn, bufio.NewReader(conn)
}

func post(path, body string, headers ...string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: h"}, headers...)
	lines = append(lines, "Content-Length: "+strconv.Itoa(len(body)), "", body)

	return strings.Join(lines, "\r\n")
}

// received is one response.
type received struct {
	status  int
	header  http.Header
	trailer http.Header
	close   bool
	body    string
}

func receive(t *testing.T, r *bufio.Reader) received {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}

	return received{response.StatusCode, response.Header, response.Trailer, response.Close, string(body)}
}

const hello = `{"model":"m","prompt":"a b"}`

// Guards against a caller that leaves unnoticed while its request waits, or
// while it is streamed, so that engine memory stays allocated to it.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]struct {
		body  string
		emits bool
	}{
		"waiting":   {hello, false},
		"streaming": {`{"model":"m","prompt":"a","stream":true}`, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan error, 1)
			b := &backend{complete: func(ctx context.Context, _ *listener.Completion, emit func(string, int64)) listener.Reply {
				if test.emits {
					emit("a", 1)
				}
				close(started)
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Second):
				}
				ended <- ctx.Err()

				return listener.Reply{Outcome: dispatcher.Outcome{Result: dispatcher.MayHaveRun, Gone: true}}
			}}
			l, _ := start(t, b, listener.Settings{})
			conn, _ := wireup(t, l)
			io.WriteString(conn, post("/v1/completions", test.body))
			<-started
			conn.Close()
			if got, want := <-ended, context.Canceled; !errors.Is(got, want) {
				t.Errorf("context: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a connection that is lost or out of step after a response,
// with pipelined requests or with input in pieces.
func TestKeepAlive(t *testing.T) {
	request := post("/v1/completions", hello) + post("/s/desk/seats?day=1", "x") +
		"POST /s/desk/p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" +
		"GET /s/desk/last HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]int{"pipelined": len(request), "in pieces": 7, "byte by byte": 1}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := start(t, echo(), listener.Settings{})
			conn, reader := wireup(t, l)
			go func() {
				for rest := request; rest != ""; {
					n := min(size, len(rest))
					io.WriteString(conn, rest[:n])
					rest = rest[n:]
				}
			}()
			if got, want := receive(t, reader).body, `"text":"a b"`; !strings.Contains(got, want) {
				t.Errorf("first: got %q, want %q in it", got, want)
			}
			for _, want := range []string{"POST /seats?day=1 x", "POST /p abc", "GET /last "} {
				if got := receive(t, reader); got.body != want || got.status != 201 {
					t.Errorf("got %d %q, want 201 %q", got.status, got.body, want)
				}
			}
		})
	}
}

// Guards against responses to pipelined requests that overtake each other.
func TestPipelinedOrder(t *testing.T) {
	var running, most atomic.Int64
	b := echo()
	b.call = func(_ context.Context, c *listener.Call) listener.Reply {
		most.Store(max(most.Load(), running.Add(1)))
		for range 1000 {
			runtime.Gosched() // a request that overtakes gets its chance
		}
		running.Add(-1)
		r := done()
		r.Answer = &wire.Stored{Status: 200, Body: []byte(c.Path)}

		return r
	}
	l, _ := start(t, b, listener.Settings{})
	conn, reader := wireup(t, l)
	paths := []string{"/1", "/2", "/3", "/4", "/5", "/6"}
	all := ""
	for _, path := range paths {
		all += post("/s/d"+path, "")
	}
	io.WriteString(conn, all)
	for _, want := range paths {
		if got := receive(t, reader).body; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got, want := most.Load(), int64(1); got != want {
		t.Errorf("requests of one connection at a time: got %d, want %d", got, want)
	}
}

// Guards against a stream whose failure looks like a complete answer, and
// against one without its end marker.
func TestStream(t *testing.T) {
	tests := map[string]struct {
		reply listener.Reply
		ends  string
		done  bool
	}{
		"done": {done(), "data: [DONE]\n\n", true},
		"failed midway": {listener.Reply{Outcome: dispatcher.Outcome{
			Result: dispatcher.MayHaveRun, Status: 502, Reason: "cut",
		}}, `{"error":{"message":"cut","outcome":"may-have-run","request":"id1","code":502}}` + "\n\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &backend{complete: func(_ context.Context, _ *listener.Completion, emit func(string, int64)) listener.Reply {
				emit("a", 1)
				emit("b", 1)

				return test.reply
			}}
			l, _ := start(t, b, listener.Settings{})
			conn, reader := wireup(t, l)
			request := post("/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`)
			for range 2 { // the connection stays usable
				io.WriteString(conn, request)
				response := receive(t, reader)
				if got, want := response.header.Get("Content-Type"), "text/event-stream"; got != want {
					t.Errorf("content type: got %q, want %q", got, want)
				}
				if got, want := response.trailer.Get("Damask-Outcome"), test.reply.Result.String(); got != want {
					t.Errorf("outcome: got %q, want %q", got, want)
				}
				body := strings.ReplaceAll(response.body, "id2", "id1")
				if !strings.HasSuffix(body, test.ends) || strings.Contains(body, "[DONE]") != test.done {
					t.Errorf("body: got %q, want the end %q", body, test.ends)
				}
				if got, want := strings.Count(body, `"delta":{`), 2; got < want {
					t.Errorf("events: got %d in %q, want at least %d", got, body, want)
				}
			}
		})
	}
}

// Guards against a stream to an HTTP/1.0 caller that doesn't know chunks.
func TestStreamToOldCaller(t *testing.T) {
	l, _ := start(t, echo(), listener.Settings{})
	conn, _ := wireup(t, l)
	body := `{"model":"m","prompt":"a","stream":true}`
	io.WriteString(conn, strings.Replace(post("/v1/completions", body), "HTTP/1.1", "HTTP/1.0", 1))
	all, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(all); strings.Contains(got, "chunked") || !strings.HasSuffix(got, "data: [DONE]\n\n") {
		t.Errorf("got %q, want no chunks and [DONE] at the end", got)
	}
}

// Guards against a response without its outcome, its request id or the time to
// retry, on success and on refusal.
func TestOutcomeHeaders(t *testing.T) {
	b := &backend{complete: func(context.Context, *listener.Completion, func(string, int64)) listener.Reply {
		return listener.Reply{Outcome: dispatcher.Outcome{
			Result: dispatcher.NotRun, Status: 429, Reason: "queue", After: 1500 * time.Millisecond,
		}}
	}}
	l, _ := start(t, b, listener.Settings{})
	conn, reader := wireup(t, l)
	io.WriteString(conn, post("/v1/completions", hello))
	response := receive(t, reader)
	for name, want := range map[string]string{
		"Damask-Request": "id1", "Damask-Outcome": "not-run", "Retry-After": "2", "Content-Type": "application/json",
	} {
		if got := response.header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	want := `{"error":{"message":"queue","outcome":"not-run","request":"id1","code":429,"after":2}}` + "\n"
	if got := response.body; got != want || response.status != 429 {
		t.Errorf("got %d %q, want 429 %q", response.status, got, want)
	}
}

// Guards against a shutdown that cuts a request or waits for idle connections.
func TestDrain(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	b := echo()
	b.complete = func(context.Context, *listener.Completion, func(string, int64)) listener.Reply {
		close(started)
		<-release

		return done()
	}
	l, _ := start(t, b, listener.Settings{})
	half, rest := wireup(t, l)
	io.WriteString(half, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, rest)
	first, second, _ := strings.Cut(post("/s/d/p", "x", "Expect: 100-continue"), "\r\n\r\n")
	io.WriteString(half, first+"\r\n\r\n")
	rest.ReadString('\n') // the headers were received
	rest.ReadString('\n')
	busy, reader := wireup(t, l)
	used, idle := wireup(t, l)
	io.WriteString(used, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, idle)
	io.WriteString(busy, post("/v1/completions", hello))
	<-started
	ended := make(chan error, 1)
	go func() { ended <- l.Drain(t.Context()) }()
	if _, err := idle.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want %v", err, io.EOF)
	}
	if _, err := net.Dial("tcp", l.Addr()); err == nil {
		t.Error("new connection: got one, want it refused")
	}
	select {
	case err := <-ended:
		t.Errorf("got an end with %v before the request in flight, want none", err)
	default:
	}
	io.WriteString(half, second)
	if got, want := receive(t, rest).body, "POST /p x"; got != want {
		t.Errorf("request received in part: got %q, want %q", got, want)
	}
	close(release)
	response := receive(t, reader)
	if got, want := response.status, 200; got != want || !response.close {
		t.Errorf("request in flight: got %d, close %v, want %d and close", got, response.close, want)
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}

// Guards against a drain that closes a connection whose first request is on its
// way, which the caller sees as cut off, and against one that waits for ever for
// a connection that sends nothing.
func TestDrainWaitsForFirstRequest(t *testing.T) {
	l, clock := start(t, echo(), listener.Settings{})
	fresh, reader := wireup(t, l)
	_, silent := wireup(t, l)
	used, idle := wireup(t, l)
	io.WriteString(used, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, idle)
	ended := make(chan error, 1)
	go func() { ended <- l.Drain(t.Context()) }()
	if _, err := idle.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("used connection: got %v, want %v", err, io.EOF)
	}
	io.WriteString(fresh, post("/s/d/p", "x"))
	if got, want := receive(t, reader).body, "POST /p x"; got != want {
		t.Errorf("first request during the drain: got %q, want %q", got, want)
	}
	clock.Advance(time.Second)
	if _, err := silent.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("silent connection: got %v, want %v", err, io.EOF)
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}

// Guards against a caller that reads nothing and holds an engine's memory.
func TestStalledCaller(t *testing.T) {
	emitted, ended := make(chan struct{}), make(chan struct{})
	b := &backend{complete: func(ctx context.Context, _ *listener.Completion, emit func(string, int64)) listener.Reply {
		for range 32 {
			emit(strings.Repeat("x", 1<<20), 1)
		}
		close(emitted)
		<-ctx.Done()
		close(ended)

		return listener.Reply{Outcome: dispatcher.Outcome{Gone: true}}
	}}
	l, clock := start(t, b, listener.Settings{Stall: 5 * time.Second})
	conn, _ := wireup(t, l)
	io.WriteString(conn, post("/v1/completions", `{"model":"m","prompt":"a","stream":true}`))
	<-emitted
	for {
		clock.Advance(5 * time.Second)
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Guards against a new connection that is closed unanswered for the end of an
// older one with the same file descriptor.
func TestShortConnections(t *testing.T) {
	l, _ := start(t, echo(), listener.Settings{})
	const workers, each = 24, 400
	probe, _ := wireup(t, l)
	io.WriteString(probe, post("/s/d/p", "x", "Connection: close"))
	whole, err := io.ReadAll(probe)
	if err != nil {
		t.Fatal(err)
	}
	var unanswered atomic.Int64
	var work sync.WaitGroup
	for range workers {
		work.Go(func() {
			for range each {
				conn, err := net.Dial("tcp", l.Addr())
				if err != nil {
					t.Error(err)

					return
				}
				conn.SetDeadline(time.Now().Add(20 * time.Second))
				io.WriteString(conn, post("/s/d/p", "x", "Connection: close"))
				// Both sides close as soon as the answer is whole.
				answer := make([]byte, len(whole))
				if _, err := io.ReadFull(conn, answer); err != nil {
					unanswered.Add(1)
				}
				conn.Close()
			}
		})
	}
	work.Wait()
	if got, want := unanswered.Load(), int64(0); got != want {
		t.Errorf("connections without an answer: got %d of %d, want %d", got, workers*each, want)
	}
}
