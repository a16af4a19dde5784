package router_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	shutdownLinger = 3 * time.Second
	shutdownDrain  = 10 * time.Second
)

// newStoppingCluster starts an entry with a shutdown of shutdownLinger and shutdownDrain, and a
// plain service with a time limit for its calls.
func newStoppingCluster(t *testing.T, timeout time.Duration, agent *fakeAgent) (*testCluster, *timer.Manual) {
	t.Helper()
	clock := timer.NewManual(time.Unix(1000, 0))
	s := &testCluster{t: t, control: newControl()}
	s.control.config.services = []*wire.Service{{
		Name: "desk", Kind: wire.Kind_KIND_PLAIN, Timeout: timeout.Milliseconds(),
		Routes: []*wire.Route{{Method: "GET", Prefix: "/seats", Idempotent: true}, {Method: "POST", Prefix: "/book"}},
	}}
	s.control.config.ranks = []*wire.Rank{{Name: "master"}}
	s.control.config.servers = []*wire.Server{{
		Name: agent.name, Service: "desk", Phase: "plain", Addr: agent.listener.Addr(), Region: "kochi", Pieces: 2,
	}}
	s.control.config.index = 1
	var err error
	s.entry, err = router.New(router.Settings{
		Name: "e1", Region: "kochi", Listen: "127.0.0.1:0", Linger: shutdownLinger, Drain: shutdownDrain,
	}, router.Deps{Timer: clock, Log: discardLogger(), Control: s.control})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.entry.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.entry.Close() })

	return s, clock
}

// caller is a connection to an entry on which one request is sent.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (s *testCluster) dial() *caller {
	s.t.Helper()
	conn, err := (&net.Dialer{Timeout: testTimeout}).DialContext(s.t.Context(), "tcp", s.entry.Addr())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })

	return &caller{t: s.t, conn: conn, in: bufio.NewReader(conn)}
}

// accepts reports whether the entry accepts connections.
func (s *testCluster) accepts() bool {
	conn, err := (&net.Dialer{Timeout: testTimeout}).DialContext(s.t.Context(), "tcp", s.entry.Addr())
	if err == nil {
		conn.Close()
	}

	return err == nil
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := c.conn.Write([]byte(text)); err != nil {
		c.t.Errorf("send: %v", err)
	}
}

// reply returns the status and the outcome of the response, or 0 for a connection that ends
// without one.
func (c *caller) reply() (int, string, http.Header) {
	_ = c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()

	return response.StatusCode, response.Header.Get("Damask-Outcome"), response.Header
}

// answerTime is the part of the drain time that is left for the final answers.
const answerTime = time.Second

// finalReply moves the clock to the end of the drain time and returns the response.
func (s *testCluster) finalReply(c *caller, clock *timer.Manual) (status int, outcome string, header http.Header) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		status, outcome, header = c.reply()
	}()
	s.advance(clock, shutdownDrain-answerTime)
	select {
	case <-received:
	case <-time.After(answerTime):
		clock.Advance(answerTime)
		<-received
	}

	return status, outcome, header
}

const (
	lookup  = "GET /s/desk/seats HTTP/1.1\r\nHost: e\r\n\r\n"
	booking = "POST /s/desk/book HTTP/1.1\r\nHost: e\r\nContent-Length: 6\r\n\r\nseat 4"
)

// sendPart sends a request but for its last bytes, and returns when they have been received.
func (c *caller) sendPart(request string, missing int) {
	c.t.Helper()
	c.send("GET /none HTTP/1.1\r\nHost: e\r\n\r\n" + request[:len(request)-missing])
	if status, reason, _ := c.reply(); status != http.StatusNotFound {
		c.t.Fatalf("unknown path: got %d %s, want 404", status, reason)
	}
}

// advance moves the clock in small steps, so that no agent looks silent.
func (s *testCluster) advance(clock *timer.Manual, d time.Duration) {
	s.t.Helper()
	for ; d > 0; d -= time.Second {
		clock.Advance(min(d, time.Second))
		s.await("renewals", func() bool {
			return !slices.ContainsFunc(s.state().Sessions, func(session router.SessionState) bool { return session.Silence > 0 })
		})
	}
}

// linger moves the clock to the end of the linger time.
func (s *testCluster) linger(clock *timer.Manual) {
	s.t.Helper()
	s.entry.BeginDrain()
	s.advance(clock, shutdownLinger)
	s.await("closed port", func() bool { return !s.accepts() })
}

// Guards against a shutdown that closes the connection of a request without an answer.
func TestShutdownAnswersEachRequest(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		busy    bool
		status  int
		outcome string
	}{
		"lookup held by a server":  {lookup, false, 504, "may-have-run"},
		"booking held by a server": {booking, false, 504, "may-have-run"},
		"lookup without a grant":   {lookup, true, 503, "not-run"},
		"booking without a grant":  {booking, true, 503, "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newFakeAgent(t, "s1")
			agent.set(func() { agent.busy = test.busy })
			s, clock := newStoppingCluster(t, time.Minute, agent)
			c := s.dial()
			c.send(test.request)
			if test.busy {
				s.await("request", func() bool { return len(s.state().Requests) == 1 })
			} else {
				agent.awaitCall("run", isRun)
			}
			s.linger(clock)
			status, outcome, header := s.finalReply(c, clock)
			if status != test.status || outcome != test.outcome {
				t.Errorf("got %d %s, want %d %s", status, outcome, test.status, test.outcome)
			}
			if test.status == 503 && header.Get("Retry-After") == "" {
				t.Errorf("got %v, want Retry-After", header)
			}
		})
	}
}

// Guards against sending a request to a server that cannot answer before the shutdown ends.
func TestShutdownRefusesLateRequests(t *testing.T) {
	for name, test := range map[string]struct {
		timeout time.Duration
		after   time.Duration // the end of the linger time
		status  int
	}{
		"ends in time":   {5 * time.Second, time.Second, 200},
		"too late":       {5 * time.Second, 6 * time.Second, 503},
		"long time-out":  {time.Minute, 0, 503},
		"just before it": {5 * time.Second, shutdownDrain - 100*time.Millisecond, 503},
	} {
		t.Run(name, func(t *testing.T) {
			agent := newFakeAgent(t, "s1")
			s, clock := newStoppingCluster(t, test.timeout, agent)
			c := s.dial()
			c.sendPart(booking, 1)
			s.linger(clock)
			s.advance(clock, test.after)
			c.send("4")
			if test.status == 200 {
				id := agent.awaitCall("run", isRun).GetRun().GetId()
				agent.answer(&wire.Reply{Body: &wire.Reply_Answer{Answer: &wire.Answer{Id: id, Status: 200}}})
			}
			status, outcome, _ := c.reply()
			if got, want := status, test.status; got != want {
				t.Errorf("got %d %s, want %d", got, outcome, want)
			}
			for test.status != 200 && len(agent.calls) > 0 {
				if call := <-agent.calls; call.GetAsk() != nil || call.GetRun() != nil {
					t.Errorf("got %v at the server, want nothing", call)
				}
			}
		})
	}
}

// answer sends a reply on all streams.
func (a *fakeAgent) answer(reply *wire.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.streams {
		go func(s *messenger.Stream) { _ = s.Send(reply) }(s)
	}
}

// Guards against closing a connection in the middle of a request without an answer.
func TestShutdownRefusesUnfinishedRequest(t *testing.T) {
	for name, cut := range map[string]int{"in the header": 12, "before the last byte": 1} {
		t.Run(name, func(t *testing.T) {
			agent := newFakeAgent(t, "s1")
			s, clock := newStoppingCluster(t, time.Minute, agent)
			c := s.dial()
			c.sendPart(booking, cut)
			s.linger(clock)
			status, outcome, header := s.finalReply(c, clock)
			if status != 503 || outcome != "not-run" || header.Get("Retry-After") == "" {
				t.Errorf("got %d %s %v, want 503 not-run and Retry-After", status, outcome, header)
			}
			if got := len(agent.calls); got > 0 {
				t.Errorf("calls of the agent: got %d, want none", got)
			}
		})
	}
}
