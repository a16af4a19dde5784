package subscriber

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Client sends commands and queries to the control hosts, one after the other
// until one of them answers.
type Client struct {
	s Settings
	t timer.Service

	mu       sync.Mutex
	sessions map[string]Session
	prefer   string
	closed   bool
}

// NewClient checks the settings and returns a client that connects on demand.
func NewClient(s Settings, t timer.Service) (*Client, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	first := int(s.Rand()*float64(len(s.Hosts))) % len(s.Hosts)

	return &Client{s: s, t: t, sessions: make(map[string]Session), prefer: s.Hosts[first]}, nil
}

// Close closes all connections. Calls under way fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, s := range c.sessions {
		_ = s.Close()
		delete(c.sessions, addr)
	}
}

// ProposeError says that a command got no final result.
type ProposeError struct {
	ID string
	// Stored reports whether the command may have been stored, or may yet be. If
	// it is false the command did not run and never will.
	Stored bool
	// Refused is the last refusal by a control host, nil if none answered.
	Refused *wire.Result
	Cause   error
}

// Error implements error.
func (e *ProposeError) Error() string {
	text := "command " + e.ID + " did not run"
	if e.Stored {
		text = "command " + e.ID + " may have been stored"
	}
	if e.Refused.GetText() != "" {
		text += ": " + e.Refused.GetText()
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}

	return text
}

// Unwrap returns the cause.
func (e *ProposeError) Unwrap() error { return e.Cause }

// ErrQuery marks a query that names something unknown or compares wrongly.
var ErrQuery = errors.New("the query is not valid")

// Propose sends a command, which needs an id, until a control host gives its
// final result or ctx ends. It sends the same id to one host after the other, so
// the command is applied at most once. The error is a *ProposeError.
func (c *Client) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	fail := &ProposeError{ID: cmd.GetId()}
	if cmd.GetId() == "" {
		fail.Cause = errors.New("the command has no id")

		return nil, fail
	}
	req := &wire.Request{Body: &wire.Request_Command{Command: cmd}}
	rotation := c.rotation()
	for {
		addr := rotation.next()
		response, sent, err := c.ask(ctx, addr, req)
		res := response.GetResult()
		switch {
		case err != nil:
			fail.Cause = err
			fail.Stored = fail.Stored || sent
		case isFinal(res):
			c.keep(addr)

			return res, nil
		case res.GetOutcome() == wire.Outcome_OUTCOME_REFUSED:
			fail.Refused, fail.Cause = res, nil
			rotation.follow(res.GetLeader(), addr)
		default:
			fail.Stored = true
			fail.Cause = errors.Newf("control host %s: %s", addr, res.GetText())
			rotation.follow(res.GetLeader(), addr)
		}
		if err := rotation.pause(ctx, c.t); err != nil {
			if fail.Cause == nil {
				fail.Cause = err
			}

			return nil, fail
		}
	}
}

// isFinal tells a result from the log, or one that no other host would change.
// A host that cannot reach the log refuses without a log index.
func isFinal(r *wire.Result) bool {
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_CONFLICT, wire.Outcome_OUTCOME_INVALID:
		return true
	case wire.Outcome_OUTCOME_REFUSED:
		return r.GetIndex() != 0
	default:
		return false
	}
}

// Query asks one host after the other. A stale answer is returned only if no host
// has a better one. ErrQuery marks a query that is not valid.
func (c *Client) Query(ctx context.Context, q *wire.Query) (*wire.Table, error) {
	req := &wire.Request{Body: &wire.Request_Query{Query: q}}
	var stale *wire.Table
	var last error
	rotation := c.rotation()
	for range rotation.hosts {
		addr := rotation.next()
		response, _, err := c.ask(ctx, addr, req)
		if err == nil {
			err = fault(response)
		}
		table := response.GetTable()
		switch {
		case errors.Is(err, ErrQuery):
			return nil, err
		case err != nil:
			last = err
		case !table.GetStale():
			c.keep(addr)

			return table, nil
		case stale == nil || table.GetIndex() > stale.GetIndex():
			stale = table
		}
		if ctx.Err() != nil {
			break
		}
	}
	if stale != nil {
		return stale, nil
	}

	return nil, errors.Newf("ask control hosts: %w", last)
}

// fault returns the error that a response carries. A table with the one column
// "error" says what is wrong with the query.
func fault(r *wire.Response) error {
	table := r.GetTable()
	switch {
	case table == nil:
		return errors.Newf("control host: %s", r.GetResult().GetText())
	case slices.Equal(table.GetColumns(), []string{"error"}) && len(table.GetRows()) > 0:
		return errors.Newf("%s: %w", table.GetRows()[0].GetCells()[0], ErrQuery)
	default:
		return nil
	}
}

// setHosts replaces the hosts to ask.
func (c *Client) setHosts(hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.Hosts = hosts
}

// replace makes another host the first to be asked, if it is the old one now.
func (c *Client) replace(old, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prefer == old {
		c.prefer = addr
	}
}

// keep makes a host the first to be asked.
func (c *Client) keep(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefer = addr
}

// States of one exchange; the sender and the caller agree on who was first.
const (
	idle int32 = iota
	sending
	abandoned
)

type reply struct {
	response *wire.Response
	err      error
}

// ask makes one exchange with one host. Sent reports whether any byte of the
// request may have left. It returns when ctx ends or the host took too long, even
// if the connection hangs.
func (c *Client) ask(ctx context.Context, addr string, req *wire.Request) (response *wire.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := c.t.After(c.s.Answer, func(time.Time) {
		cancel(errors.Newf("no answer from %s in %s", addr, c.s.Answer))
	})
	defer stop()
	var state atomic.Int32
	ch := make(chan reply, 1)
	go func() {
		response, err := c.exchange(ctx, addr, req, &state)
		ch <- reply{response, err}
	}()
	select {
	case r := <-ch:
		if r.err != nil && ctx.Err() != nil {
			r.err = context.Cause(ctx)
		}

		return r.response, state.Load() == sending, r.err
	case <-ctx.Done():
		return nil, !state.CompareAndSwap(idle, abandoned), context.Cause(ctx)
	}
}

func (c *Client) exchange(
	ctx context.Context, addr string, req *wire.Request, state *atomic.Int32,
) (*wire.Response, error) {
	stream, err := c.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	if !state.CompareAndSwap(idle, sending) {
		return nil, errors.Newf("send to %s: %w", addr, context.Cause(ctx))
	}
	if err := stream.Send(req); err != nil {
		return nil, errors.Newf("send to %s: %w", addr, err)
	}
	response := &wire.Response{}
	if err := stream.Recv(response); err != nil {
		return nil, errors.Newf("answer of %s: %w", addr, err)
	}

	return response, nil
}

// open opens a stream on the session that the calls share. A session that broke
// since the last call is replaced. Nothing else closes a session: a call that fails
// or ends must not break the others.
func (c *Client) open(ctx context.Context, addr string) (Stream, error) {
	for again := false; ; again = true {
		s, err := c.connect(ctx, addr)
		if err != nil {
			return nil, err
		}
		stream, err := s.Open(ctx)
		if err == nil {
			return stream, nil
		}
		if ctx.Err() == nil {
			c.forget(addr, s)
		}
		if again || ctx.Err() != nil {
			return nil, errors.Newf("open stream to %s: %w", addr, err)
		}
	}
}

// connect returns the session with a host, which several calls share.
func (c *Client) connect(ctx context.Context, addr string) (Session, error) {
	c.mu.Lock()
	s := c.sessions[addr]
	c.mu.Unlock()
	if s != nil {
		return s, nil
	}
	s, err := c.s.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Newf("connect to %s: %w", addr, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.sessions[addr]; other != nil || c.closed {
		_ = s.Close()
		if other == nil {
			return nil, errors.New("the client is closed")
		}

		return other, nil
	}
	c.sessions[addr] = s

	return s, nil
}

// forget closes a session that failed, unless it was replaced already.
func (c *Client) forget(addr string, s Session) {
	c.mu.Lock()
	if c.sessions[addr] == s {
		delete(c.sessions, addr)
	}
	c.mu.Unlock()
	_ = s.Close()
}

// rotation is the order in which one call visits the hosts.
type rotation struct {
	hosts []string
	at    int
	hint  string // leader named by a host
	calls int
	wait  backoff
}

func (c *Client) rotation() *rotation {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &rotation{hosts: c.s.Hosts, wait: newBackoff(&c.s)}
	if at := slices.Index(t.hosts, c.prefer); at >= 0 {
		t.at = at
	} else {
		t.hint = c.prefer
	}

	return t
}

func (t *rotation) next() string {
	t.calls++
	if t.hint != "" {
		addr := t.hint
		t.hint = ""

		return addr
	}
	addr := t.hosts[t.at]
	t.at = (t.at + 1) % len(t.hosts)

	return addr
}

// follow visits the leader next, unless it is the host that named it.
func (t *rotation) follow(leader, from string) {
	if leader != from {
		t.hint = leader
	}
}

// pause waits after each round over all hosts. It fails when ctx has ended.
func (t *rotation) pause(ctx context.Context, clock timer.Service) error {
	if t.calls%len(t.hosts) == 0 {
		woken := make(chan struct{})
		stop := clock.After(t.wait.wait(), func(time.Time) { close(woken) })
		defer stop()
		select {
		case <-woken:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return errors.Newf("propose: %w", err)
	}

	return nil
}
