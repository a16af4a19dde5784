package subscriber_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// pipe is one end of an in-memory stream.
type pipe struct {
	in, out chan proto.Message
	done    chan struct{} // shared by both ends
	once    *sync.Once
	count   func(bytes int)
}

func newPipe(count func(int)) (a, b *pipe) {
	x, y := make(chan proto.Message, 64), make(chan proto.Message, 64)
	done, once := make(chan struct{}), &sync.Once{}

	return &pipe{x, y, done, once, count}, &pipe{y, x, done, once, count}
}

func (p *pipe) Send(m proto.Message) error {
	if p.count != nil {
		p.count(proto.Size(m) + 1) // 1 byte for the length
	}
	select {
	case p.out <- proto.Clone(m):
		return nil
	case <-p.done:
		return io.ErrClosedPipe
	}
}

func (p *pipe) Recv(m proto.Message) error {
	select {
	case got := <-p.in:
		proto.Merge(m, got)

		return nil
	case <-p.done:
		return io.EOF
	}
}

func (p *pipe) Close() error {
	p.once.Do(func() { close(p.done) })

	return nil
}

// fakeControl simulates the control hosts.
type fakeControl struct {
	mu             sync.Mutex
	down           map[string]bool
	dials          []string
	brokenSessions int                                             // number of first sessions that no longer open streams
	command        func(addr string, c *wire.Command) *wire.Result // no response if the result is nil
	query          func(addr string) *wire.Table
	attachments    chan *attachment
	count          func(int)
}

// attachment is the control host's end of the connection with a subscriber.
type attachment struct {
	addr   string
	attach *wire.Attach
	*pipe
}

func (s *attachment) update(u *wire.Update) {
	_ = s.Send(&wire.Notice{Body: &wire.Notice_Update{Update: u}})
}

func (s *attachment) pulse(index uint64, lease time.Duration) {
	_ = s.Send(&wire.Notice{Body: &wire.Notice_Pulse{Pulse: &wire.Pulse{Index: index, Lease: lease.Milliseconds()}}})
}

func newFakeControl() *fakeControl {
	return &fakeControl{down: make(map[string]bool), attachments: make(chan *attachment, 64)}
}

func (c *fakeControl) setDown(addr string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[addr] = down
}

func (c *fakeControl) dial(_ context.Context, addr string) (subscriber.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dials = append(c.dials, addr)
	if c.down[addr] {
		return nil, errors.New("connection refused")
	}

	return &fakeSession{c: c, addr: addr, serial: len(c.dials)}, nil
}

type fakeSession struct {
	c      *fakeControl
	addr   string
	serial int
	mu     sync.Mutex
	open   []*pipe
}

func (s *fakeSession) Open(context.Context) (subscriber.Stream, error) {
	s.c.mu.Lock()
	down := s.c.down[s.addr] || s.serial <= s.c.brokenSessions
	s.c.mu.Unlock()
	if down {
		return nil, errors.New("session is closed")
	}
	a, b := newPipe(s.c.count)
	s.mu.Lock()
	s.open = append(s.open, a)
	s.mu.Unlock()
	go s.c.serve(s.addr, b)

	return a, nil
}

func (s *fakeSession) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.open {
		_ = p.Close()
	}

	return nil
}

func (c *fakeControl) serve(addr string, p *pipe) {
	var r wire.Request
	if p.Recv(&r) != nil {
		return
	}
	switch body := r.GetBody().(type) {
	case *wire.Request_Attach:
		c.attachments <- &attachment{addr: addr, attach: body.Attach, pipe: p}
	case *wire.Request_Command:
		if res := c.command(addr, body.Command); res != nil {
			_ = p.Send(&wire.Response{Body: &wire.Response_Result{Result: res}})
		}
	case *wire.Request_Query:
		if t := c.query(addr); t != nil {
			_ = p.Send(&wire.Response{Body: &wire.Response_Table{Table: t}})
		}
	}
}

var startTime = time.UnixMilli(1_700_000_000_000)

func settings(c *fakeControl, hosts ...string) subscriber.Settings {
	return subscriber.Settings{
		Hosts: hosts, Dial: c.dial, Attach: &wire.Attach{Name: "entry-1", Role: "entry", Epoch: 3},
		Rand: func() float64 { return 0 },
	}
}

func start(t testing.TB, s subscriber.Settings) (*subscriber.Subscriber, *timer.Manual) {
	t.Helper()
	clock := timer.NewManual(startTime)
	sub, err := subscriber.New(s, clock)
	if err != nil {
		t.Fatal(err)
	}
	sub.Start()
	t.Cleanup(func() {
		sub.Close()
		<-sub.Done()
	})

	return sub, clock
}

// advanceUntil advances the clock in small steps until ok returns true. Before each
// step, all goroutines of the test are blocked. If ok never returns true, the
// timeout of the test run ends the test.
func advanceUntil(clock *timer.Manual, ok func() bool) {
	for synctest.Wait(); !ok(); synctest.Wait() {
		clock.Advance(10 * time.Millisecond)
	}
}

// nextAttachment advances the clock until a subscriber attaches.
func (c *fakeControl) nextAttachment(clock *timer.Manual) *attachment {
	var s *attachment
	advanceUntil(clock, func() bool {
		select {
		case s = <-c.attachments:
			return true
		default:
			return false
		}
	})

	return s
}

func rankUpdate(index uint64, full bool, names ...string) *wire.Update {
	u := &wire.Update{Index: index, Revision: index, Full: full}
	for i, n := range names {
		u.Ranks = append(u.Ranks, &wire.Rank{Name: n, Level: int32(i)})
	}

	return u
}
