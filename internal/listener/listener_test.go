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

// fakeBackend replaces the router.
type fakeBackend struct {
	ids      atomic.Int64
	complete func(ctx context.Context, c *listener.Completion, emit func(string, int64)) listener.Reply
	call     func(ctx context.Context, c *listener.Call) listener.Reply
}

func (b *fakeBackend) NewRequestID() string { return "id" + string(rune('0'+b.ids.Add(1))) }

func (b *fakeBackend) BodyLimit(path string) int64 {
	if strings.HasPrefix(path, "/s/small/") {
		return 10
	}

	return 0
}

func (b *fakeBackend) Complete(ctx context.Context, c *listener.Completion, emit func(string, int64)) listener.Reply {
	return b.complete(ctx, c, emit)
}

func (b *fakeBackend) Call(ctx context.Context, c *listener.Call) listener.Reply {
	return b.call(ctx, c)
}

func done() listener.Reply {
	return listener.Reply{Outcome: dispatcher.Outcome{Result: dispatcher.Done, Status: 200}, PromptTokens: 3}
}

// echoBackend returns a backend that answers with the prompt word by word, or with the
// method, path and body of a call.
func echoBackend() *fakeBackend {
	return &fakeBackend{
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

func start(t *testing.T, b *fakeBackend, s listener.Settings) (*listener.Listener, *timer.Manual) {
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

// connect opens a TCP connection to the listener.
func connect(t testing.TB, l *listener.Listener) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second)) // a missing response fails the test instead of blocking it

	return conn, bufio.NewReader(conn)
}

func post(path, body string, headers ...string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: h"}, headers...)
	lines = append(lines, "Content-Length: "+strconv.Itoa(len(body)), "", body)

	return strings.Join(lines, "\r\n")
}

// received is a response as the caller sees it.
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

const validBody = `{"model":"m","prompt":"a b"}`

// Guards against a disconnect that is not detected while the request waits or is
// streamed: engine memory would stay allocated to it.
func TestCallerDisconnects(t *testing.T) {
	tests := map[string]struct {
		body  string
		emits bool
	}{
		"waiting":   {validBody, false},
		"streaming": {`{"model":"m","prompt":"a","stream":true}`, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan error, 1)
			b := &fakeBackend{complete: func(ctx context.Context, _ *listener.Completion, emit func(string, int64)) listener.Reply {
				if test.emits {
					emit("a", 1)
				}
				close(started)
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Second):
				}
				ended <- ctx.Err()

				return listener.Reply{Outcome: dispatcher.Outcome{Result: dispatcher.MayHaveRun, CallerGone: true}}
			}}
			l, _ := start(t, b, listener.Settings{})
			conn, _ := connect(t, l)
			io.WriteString(conn, post("/v1/completions", test.body))
			<-started
			conn.Close()
			if got, want := <-ended, context.Canceled; !errors.Is(got, want) {
				t.Errorf("context: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a connection that is closed after a response, or that mixes up
// responses, when requests are pipelined or arrive in fragments.
func TestKeepAlive(t *testing.T) {
	request := post("/v1/completions", validBody) + post("/s/desk/seats?day=1", "x") +
		"POST /s/desk/p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n" +
		"GET /s/desk/last HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]int{"pipelined": len(request), "in fragments": 7, "byte by byte": 1}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := start(t, echoBackend(), listener.Settings{})
			conn, reader := connect(t, l)
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

// Guards against responses to pipelined requests in the wrong order.
func TestPipelinedOrder(t *testing.T) {
	var running, maxRunning atomic.Int64
	b := echoBackend()
	b.call = func(_ context.Context, c *listener.Call) listener.Reply {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		for range 1000 {
			runtime.Gosched() // lets a concurrent request run, if there is one
		}
		running.Add(-1)
		r := done()
		r.Answer = &wire.Stored{Status: 200, Body: []byte(c.Path)}

		return r
	}
	l, _ := start(t, b, listener.Settings{})
	conn, reader := connect(t, l)
	paths := []string{"/1", "/2", "/3", "/4", "/5", "/6"}
	requests := ""
	for _, path := range paths {
		requests += post("/s/d"+path, "")
	}
	io.WriteString(conn, requests)
	for _, want := range paths {
		if got := receive(t, reader).body; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got, want := maxRunning.Load(), int64(1); got != want {
		t.Errorf("concurrent requests of one connection: got %d, want %d", got, want)
	}
}

// Guards against a failed stream that looks like a complete response, and against a
// stream without its end marker.
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
			b := &fakeBackend{complete: func(_ context.Context, _ *listener.Completion, emit func(string, int64)) listener.Reply {
				emit("a", 1)
				emit("b", 1)

				return test.reply
			}}
			l, _ := start(t, b, listener.Settings{})
			conn, reader := connect(t, l)
			request := post("/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`)
			for range 2 { // the second request checks that the connection is still usable
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
					t.Errorf("body: got %q, want suffix %q", body, test.ends)
				}
				if got, want := strings.Count(body, `"delta":{`), 2; got < want {
					t.Errorf("events: got %d in %q, want at least %d", got, body, want)
				}
			}
		})
	}
}

// Guards against a chunked stream to an HTTP/1.0 caller, which doesn't support chunks.
func TestStreamToHTTP10Caller(t *testing.T) {
	l, _ := start(t, echoBackend(), listener.Settings{})
	conn, _ := connect(t, l)
	body := `{"model":"m","prompt":"a","stream":true}`
	io.WriteString(conn, strings.Replace(post("/v1/completions", body), "HTTP/1.1", "HTTP/1.0", 1))
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(response); strings.Contains(got, "chunked") || !strings.HasSuffix(got, "data: [DONE]\n\n") {
		t.Errorf("got %q, want no chunks and [DONE] at the end", got)
	}
}

// Guards against the response to a refused request without its outcome, request id or
// Retry-After.
func TestOutcomeHeaders(t *testing.T) {
	b := &fakeBackend{complete: func(context.Context, *listener.Completion, func(string, int64)) listener.Reply {
		return listener.Reply{Outcome: dispatcher.Outcome{
			Result: dispatcher.NotRun, Status: 429, Reason: "queue", After: 1500 * time.Millisecond,
		}}
	}}
	l, _ := start(t, b, listener.Settings{})
	conn, reader := connect(t, l)
	io.WriteString(conn, post("/v1/completions", validBody))
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

// Guards against a shutdown that interrupts a request or waits for idle connections.
func TestDrain(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	b := echoBackend()
	b.complete = func(context.Context, *listener.Completion, func(string, int64)) listener.Reply {
		close(started)
		<-release

		return done()
	}
	l, _ := start(t, b, listener.Settings{})
	partial, partialReader := connect(t, l)
	io.WriteString(partial, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, partialReader)
	head, rest, _ := strings.Cut(post("/s/d/p", "x", "Expect: 100-continue"), "\r\n\r\n")
	io.WriteString(partial, head+"\r\n\r\n")
	partialReader.ReadString('\n') // 100 Continue: the headers were received
	partialReader.ReadString('\n')
	busy, busyReader := connect(t, l)
	idle, idleReader := connect(t, l)
	io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, idleReader)
	io.WriteString(busy, post("/v1/completions", validBody))
	<-started
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	if _, err := idleReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want %v", err, io.EOF)
	}
	if _, err := net.Dial("tcp", l.Addr()); err == nil {
		t.Error("new connection: got it accepted, want it refused")
	}
	select {
	case err := <-drained:
		t.Errorf("drain returned %v before the end of the request in flight", err)
	default:
	}
	io.WriteString(partial, rest)
	if got, want := receive(t, partialReader).body, "POST /p x"; got != want {
		t.Errorf("partially received request: got %q, want %q", got, want)
	}
	close(release)
	response := receive(t, busyReader)
	if got, want := response.status, 200; got != want || !response.close {
		t.Errorf("request in flight: got %d, close %v, want %d and close", got, response.close, want)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}

// Guards against a drain that closes a connection whose first request is still in
// transit, so that the caller gets no response, and against a drain that waits forever
// for a connection on which nothing is sent.
func TestDrainWaitsForFirstRequest(t *testing.T) {
	l, clock := start(t, echoBackend(), listener.Settings{})
	fresh, freshReader := connect(t, l)
	_, silentReader := connect(t, l)
	idle, idleReader := connect(t, l)
	io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, idleReader)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	if _, err := idleReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want %v", err, io.EOF)
	}
	io.WriteString(fresh, post("/s/d/p", "x"))
	if got, want := receive(t, freshReader).body, "POST /p x"; got != want {
		t.Errorf("first request during the drain: got %q, want %q", got, want)
	}
	clock.Advance(time.Second)
	if _, err := silentReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("connection without a request: got %v, want %v", err, io.EOF)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}

// Guards against a caller that reads nothing and keeps engine memory allocated.
func TestStalledCaller(t *testing.T) {
	emitted, ended := make(chan struct{}), make(chan struct{})
	b := &fakeBackend{complete: func(ctx context.Context, _ *listener.Completion, emit func(string, int64)) listener.Reply {
		for range 32 {
			emit(strings.Repeat("x", 1<<20), 1)
		}
		close(emitted)
		<-ctx.Done()
		close(ended)

		return listener.Reply{Outcome: dispatcher.Outcome{CallerGone: true}}
	}}
	l, clock := start(t, b, listener.Settings{StallTimeout: 5 * time.Second})
	conn, _ := connect(t, l)
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

// Guards against a new connection that is closed without a response because of a close
// event of an older connection with the same file descriptor.
func TestReusedFileDescriptor(t *testing.T) {
	l, _ := start(t, echoBackend(), listener.Settings{})
	const workers, each = 24, 400
	sample, _ := connect(t, l)
	io.WriteString(sample, post("/s/d/p", "x", "Connection: close"))
	sampleResponse, err := io.ReadAll(sample)
	if err != nil {
		t.Fatal(err)
	}
	var unanswered atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for range each {
				conn, err := net.Dial("tcp", l.Addr())
				if err != nil {
					t.Error(err)

					return
				}
				conn.SetDeadline(time.Now().Add(20 * time.Second))
				io.WriteString(conn, post("/s/d/p", "x", "Connection: close"))
				// Both sides close as soon as the response is complete.
				response := make([]byte, len(sampleResponse))
				if _, err := io.ReadFull(conn, response); err != nil {
					unanswered.Add(1)
				}
				conn.Close()
			}
		})
	}
	wg.Wait()
	if got, want := unanswered.Load(), int64(0); got != want {
		t.Errorf("connections without a response: got %d of %d, want %d", got, workers*each, want)
	}
}

// Guards against a drain that closes a connection in the middle of a pipelined request.
func TestDrainKeepsPipelinedRequest(t *testing.T) {
	l, _ := start(t, echoBackend(), listener.Settings{})
	second := post("/s/d/p", "x")
	caller, callerReader := connect(t, l)
	io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+second[:len(second)-1])
	receive(t, callerReader)
	idle, idleReader := connect(t, l)
	io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	receive(t, idleReader)
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	if _, err := idleReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want %v", err, io.EOF)
	}
	io.WriteString(caller, "x")
	if got, want := receive(t, callerReader).body, "POST /p x"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}
