package gateway_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/testlistener"
)

const (
	// bodyDeadline is the time that callers give a request whose answer stays unfinished.
	bodyDeadline = 400 * time.Millisecond
	// longDeadline is longer than the limits of all readers. Three reservations that are not
	// answered, with the pauses between them, leave no time for a fourth.
	longDeadline = 1440 * time.Millisecond
	// shortlyBefore is how long before the deadline a server breaks its answer off.
	shortlyBefore = 100 * time.Millisecond
)

// bodyEnd is what ends the body of an unfinished answer.
type bodyEnd string

const (
	endedByDeadline     bodyEnd = "deadline"
	endedByCaller       bodyEnd = "caller"
	endedByServer       bodyEnd = "server"
	endedBeforeDeadline bodyEnd = "server, shortly before the deadline"
	// endedAtToldDeadline means that the server stops at the deadline that it was told.
	endedAtToldDeadline bodyEnd = "server, at its deadline"
	endedByOwnLimit     bodyEnd = "limit of the reader"
)

// answerPart is the head and the first bytes of an answer whose body goes on.
type answerPart struct {
	status      int
	framing     framing
	contentType string
	first       string
}

func (a answerPart) String() string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n", a.status, http.StatusText(a.status), a.contentType)
	switch {
	case a.framing == withLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(a.first)+100, a.first)
	case a.framing == byConnection:
		return head + "Connection: close\r\n\r\n" + a.first
	case a.first == "":
		return head + "Transfer-Encoding: chunked\r\n\r\n"
	default:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(a.first), a.first)
	}
}

// serve sends the part and holds the connection until end. An answer that the server does not
// end lasts until the gateway closes the connection. begun is called once the part is sent.
func (a answerPart) serve(w http.ResponseWriter, r *http.Request, end bodyEnd, begun func()) {
	told, _ := strconv.Atoi(r.Header.Get("Left"))
	left := time.Duration(told) * time.Millisecond
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	io.WriteString(out, a.String())
	out.Flush()
	begun()
	switch end {
	case endedByServer:
		left = 0
	case endedBeforeDeadline:
		left -= shortlyBefore
	case endedAtToldDeadline:
	case endedByDeadline, endedByCaller, endedByOwnLimit:
		left = time.Hour
	}
	conn.SetReadDeadline(time.Now().Add(left))
	io.Copy(io.Discard, conn)
}

// requestEnds collects how requests ended from the log of a gateway.
type requestEnds struct {
	mu      sync.Mutex
	reasons []string
	changed chan struct{}
}

func newRequestEnds() *requestEnds { return &requestEnds{changed: make(chan struct{}, 16)} }

// Write implements io.Writer.
func (e *requestEnds) Write(b []byte) (int, error) {
	for line := range bytes.Lines(b) {
		var entry struct{ Message, Reason string }
		if json.Unmarshal(line, &entry) == nil && entry.Message == "request ended" {
			e.mu.Lock()
			e.reasons = append(e.reasons, entry.Reason)
			e.mu.Unlock()
			e.changed <- struct{}{}
		}
	}

	return len(b), nil
}

// wait returns the reasons once there is one.
func (e *requestEnds) wait(t *testing.T) []string {
	t.Helper()
	select {
	case <-e.changed:
	case <-time.After(20 * time.Second):
		t.Fatal("request: has not ended within 20 s")
	}
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.reasons
}

func (e *requestEnds) logger() *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: e}}
}

// isHeldAgainst reports whether the gateway has recorded a failure of a server, and records one.
func (r *testGateway) isHeldAgainst(t *testing.T, s placer.Server) bool {
	t.Helper()
	other, err := placer.New(placer.Settings{Centre: "c", Region: "r"})
	if err != nil {
		t.Fatal(err)
	}
	other.SetServers([]placer.Server{s})
	first := other.RecordFailure(time.Now(), s.ID)

	return r.placer.RecordFailure(time.Now(), s.ID) > first
}

// bodyReader is a place that reads the body of a server's answer.
type bodyReader struct {
	path  string
	stage placer.Stage
	part  answerPart
	// reads reports whether a request is the one whose answer stays unfinished; nil for all.
	reads func(r *http.Request) bool
	// rest answers the other requests.
	rest   http.HandlerFunc
	prompt int
	change func(s *gateway.Settings)
	// deadline is bodyDeadline if zero.
	deadline time.Duration
	// want is the reason with which the request ends.
	want map[bodyEnd]string
}

func isStatusRequest(r *http.Request) bool { return r.URL.Path == statusPath }

func bodyReaders() map[string]bodyReader {
	text := answerPart{http.StatusOK, withLength, "text/plain", "x"}
	events := answerPart{http.StatusOK, chunked, "text/event-stream", "id: 1\ndata: x"}
	bad := answerPart{http.StatusNotFound, chunked, "text/plain", "x"}
	long := answerPart{http.StatusOK, chunked, "text/plain", strings.Repeat("x", 300<<10)}
	event := answerPart{http.StatusOK, chunked, "text/event-stream", "id: 1\n\n"}
	const late, left, failed = "no answer in time", "caller left", "the server failed"
	whole := map[bodyEnd]string{
		endedByDeadline: late, endedAtToldDeadline: late, endedByCaller: left, endedByServer: failed, endedBeforeDeadline: failed,
	}
	begun := map[bodyEnd]string{
		endedByDeadline: "cut: due", endedAtToldDeadline: "cut: due", endedByCaller: left, endedByServer: "cut: broken",
		endedBeforeDeadline: "cut: broken",
	}
	reading := func(s *gateway.Settings) { s.Agents = &fakeAgents{} }

	return map[string]bodyReader{
		"plain":             {path: "/once/x", stage: placer.Plain, part: text, want: whole},
		"plain, repeatable": {path: "/read/x", stage: placer.Plain, part: text, want: whole},
		"plain, failure":    {path: "/once/x", stage: placer.Plain, part: answerPart{http.StatusInternalServerError, withLength, "", ""}, want: whole},
		"plain, too long":   {path: "/once/x", stage: placer.Plain, part: long, want: begun},
		"no stream":         {path: "/stream/x", stage: placer.Decode, part: bad, want: whole},
		"stream":            {path: "/stream/x", stage: placer.Decode, part: events, want: whole},
		"stream, begun":     {path: "/stream/x", stage: placer.Decode, part: event, want: begun},
		"stream, resumable": {path: "/resume/x", stage: placer.Decode, part: event, want: begun},
		"prompt": {
			path: "/stream/x", stage: placer.Prefill, part: text, prompt: 10_000, change: reading,
			want: map[bodyEnd]string{
				endedByDeadline: "not sent in time", endedAtToldDeadline: "not sent in time", endedByCaller: left,
				endedByServer: "streamed", endedBeforeDeadline: "streamed", endedByOwnLimit: "streamed",
			},
		},
		"reservation": {
			path: "/stream/x", stage: placer.Decode, part: text, change: withReservations, deadline: 200 * time.Millisecond,
			reads: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/reserve/") },
			want: map[bodyEnd]string{
				endedByDeadline: "no room in time", endedByCaller: left, endedByServer: "no room in time",
				endedByOwnLimit: "no room: deadline",
			},
		},
		"status": {
			path: "/once/x", stage: placer.Plain, part: text, reads: isStatusRequest,
			rest: answerStream(byConnection, "text/plain", "all"),
			want: map[bodyEnd]string{endedByDeadline: late, endedByCaller: left, endedByServer: failed, endedByOwnLimit: failed},
		},
	}
}

// Guards against a connection that is closed without an answer when the deadline passes while
// the body of the server's answer is read, and against blaming a server for the deadline.
func TestEndOfBody(t *testing.T) {
	for name, reader := range bodyReaders() {
		for end, want := range reader.want {
			t.Run(name+"/"+string(end), func(t *testing.T) {
				t.Parallel()
				testEndOfBody(t, reader, end, want)
			})
		}
	}
}

func testEndOfBody(t *testing.T, reader bodyReader, end bodyEnd, want string) {
	t.Helper()
	begun := make(chan struct{}, 16)
	b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		switch {
		case reader.reads == nil && !isStatusRequest(r), reader.reads != nil && reader.reads(r):
			reader.part.serve(w, r, end, func() { begun <- struct{}{} })
		case reader.rest != nil:
			reader.rest(w, r)
		default:
			io.WriteString(w, "1")
		}
	})
	servers := []placer.Server{b.server(reader.stage)}
	if reader.stage == placer.Prefill {
		servers = append(servers, newBackend(t, "d", answerStream(withLength, "text/event-stream", "id: 1\n\n")).server(placer.Decode))
	}
	ends := newRequestEnds()
	r := newTestGatewayWith(t, func(s *gateway.Settings) {
		s.Log = ends.logger()
		if reader.change != nil {
			reader.change(s)
		}
	}, servers...)
	wait := cmp.Or(reader.deadline, bodyDeadline)
	switch end {
	case endedByCaller:
		wait = time.Minute
	case endedByOwnLimit:
		wait = longDeadline
	case endedByDeadline, endedByServer, endedBeforeDeadline, endedAtToldDeadline:
	}
	header := http.Header{"Wait": {strconv.FormatInt(wait.Milliseconds(), 10)}, "Prompt": {strconv.Itoa(reader.prompt)}}
	if end == endedByCaller {
		r.sendAndLeave(t, reader.path, header, begun)
	} else {
		checkEnd(t, r.call(t, http.MethodPost, reader.path, "", header), want)
	}
	if got := ends.wait(t); len(got) != 1 || got[0] != want {
		t.Errorf("end of the request: got %q, want %q", got, want)
	}
	wantHeld := end == endedByServer || end == endedBeforeDeadline || end == endedByOwnLimit
	if got := r.isHeldAgainst(t, servers[0]); got != wantHeld {
		t.Errorf("held against the server: got %v, want %v", got, wantHeld)
	}
}

// checkEnd checks what a caller gets for the reason with which its request ended.
func checkEnd(t *testing.T, got callResult, reason string) {
	t.Helper()
	status := map[string]int{
		"no answer in time": http.StatusGatewayTimeout, "the server failed": http.StatusBadGateway, "streamed": http.StatusOK,
		"not sent in time": http.StatusServiceUnavailable, "no room in time": http.StatusServiceUnavailable,
		"no room: deadline": http.StatusServiceUnavailable,
	}
	if want, ok := status[reason]; ok && (got.broken || got.status != want) {
		t.Errorf("answer: got status %d, broken %v, want %d", got.status, got.broken, want)
	}
	if strings.HasPrefix(reason, "cut:") && !got.broken {
		t.Errorf("answer: got status %d, not broken, want it broken", got.status)
	}
}

// sendAndLeave sends a request and disconnects once the server's answer has begun.
func (r *testGateway) sendAndLeave(t *testing.T, path string, header http.Header, begun <-chan struct{}) {
	t.Helper()
	conn, err := net.Dial("tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n", path)
	header.Write(conn)
	io.WriteString(conn, "\r\n")
	<-begun
}

// Guards against a connection that is closed at the deadline for some kinds of answers only.
func TestUnfinishedBodyAtDeadline(t *testing.T) {
	paths := map[string]placer.Stage{
		"/once/x": placer.Plain, "/read/x": placer.Plain, "/stream/x": placer.Decode, "/resume/x": placer.Decode,
	}
	for path, stage := range paths {
		for _, status := range []int{200, 201, 404, 500, 503} {
			for _, f := range []framing{withLength, chunked, byConnection} {
				for _, first := range []string{"", "i"} {
					t.Run(fmt.Sprint(path[1:], "/", status, "/", f, "/", first), func(t *testing.T) {
						t.Parallel()
						part := answerPart{status, f, "text/event-stream", first}
						b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
							part.serve(w, r, endedByDeadline, func() {})
						})
						r := newTestGateway(t, nil, b.server(stage))
						conn, err := net.Dial("tcp", r.gateway.Addr())
						if err != nil {
							t.Fatal(err)
						}
						defer conn.Close()
						header := http.Header{"Wait": {"150"}}
						for range 2 { // the connection is kept
							got := exchange(t, conn, http.MethodPost, path, "", header)
							if want := http.StatusGatewayTimeout; got.broken || got.status != want {
								t.Errorf("answer: got status %d, broken %v, want %d", got.status, got.broken, want)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against a caller that leaves about at the deadline and whose leaving, or whose
// deadline, is held against the server.
func TestCallerLeavesAtDeadline(t *testing.T) {
	part := answerPart{http.StatusOK, withLength, "text/plain", "x"}
	for _, milliseconds := range []int{-20, -2, -1, 0, 1, 2, 20} {
		offset := time.Duration(milliseconds) * time.Millisecond
		for path, stage := range map[string]placer.Stage{"/once/x": placer.Plain, "/stream/x": placer.Decode} {
			t.Run(fmt.Sprint(offset, path), func(t *testing.T) {
				t.Parallel()
				begun := make(chan struct{}, 1)
				b := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
					part.serve(w, r, endedByDeadline, func() { begun <- struct{}{} })
				})
				ends := newRequestEnds()
				r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Log = ends.logger() }, b.server(stage))
				sent := time.Now()
				left := make(chan struct{}, 1)
				go func() {
					<-begun
					<-time.After(time.Until(sent.Add(bodyDeadline + offset)))
					left <- struct{}{}
				}()
				r.sendAndLeave(t, path, http.Header{"Wait": {strconv.FormatInt(bodyDeadline.Milliseconds(), 10)}}, left)
				if got := ends.wait(t); len(got) != 1 || got[0] != "caller left" && got[0] != "no answer in time" {
					t.Errorf("end of the request: got %q, want that the caller left or the deadline passed", got)
				}
				if r.isHeldAgainst(t, b.server(stage)) {
					t.Error("held against the server: got true, want false")
				}
			})
		}
	}
}

// Guards against a connection that is closed without an answer when the deadline passes while
// the connection to the server is opened.
func TestDeadlineDuringConnect(t *testing.T) {
	for path, stage := range map[string]placer.Stage{"/once/x": placer.Plain, "/read/x": placer.Plain, "/stream/x": placer.Decode} {
		t.Run(path[1:], func(t *testing.T) {
			t.Parallel()
			s := placer.Server{ID: "a", Addr: testlistener.Full(t), Pool: "pool", Centre: "c", Region: "r", Stage: stage}
			ends := newRequestEnds()
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Log = ends.logger() }, s)
			checkEnd(t, r.call(t, http.MethodPost, path, "", http.Header{"Wait": {"150"}}), "not sent in time")
			if got, want := ends.wait(t), "not sent in time"; len(got) != 1 || got[0] != want {
				t.Errorf("end of the request: got %q, want %q", got, want)
			}
		})
	}
}
