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

// Client sends commands and queries to the control hosts. It tries one host after
// the other until one of them answers.
type Client struct {
	s     Settings
	clock timer.Service

	mu            sync.Mutex
	sessions      map[string]Session
	preferredHost string // tried first
	closed        bool
}

// NewClient checks the settings and returns a client that connects on demand.
func NewClient(s Settings, clock timer.Service) (*Client, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	first := int(s.Rand()*float64(len(s.Hosts))) % len(s.Hosts)

	return &Client{s: s, clock: clock, sessions: make(map[string]Session), preferredHost: s.Hosts[first]}, nil
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, s := range c.sessions {
		_ = s.Close()
		delete(c.sessions, addr)
	}
}

// ProposeError reports that a command got no final result.
type ProposeError struct {
	ID string
	// Stored is true if the command may have been stored or may still be stored. If
	// it is false, the command did not run and never will.
	Stored bool
	// Refused is the last refusal of a control host, or nil if there was none.
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

// ErrInvalidQuery marks a query that is invalid, for example because of an unknown field or
// a comparison of different types.
var ErrInvalidQuery = errors.New("the query is not valid")

// Propose sends a command, which must have an id, until a control host returns a
// final result or ctx ends. It tries one host after the other with the same id, so
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
		response, sent, err := c.call(ctx, addr, req)
		res := response.GetResult()
		switch {
		case err != nil:
			fail.Cause = err
			fail.Stored = fail.Stored || sent
		case isFinal(res):
			c.setPreferred(addr)

			return res, nil
		case res.GetOutcome() == wire.Outcome_OUTCOME_REFUSED:
			fail.Refused, fail.Cause = res, nil
			rotation.tryNext(res.GetLeader(), addr)
		default:
			fail.Stored = true
			fail.Cause = errors.Newf("control host %s: %s", addr, res.GetText())
			rotation.tryNext(res.GetLeader(), addr)
		}
		if err := rotation.pause(ctx, c.clock); err != nil {
			if fail.Cause == nil {
				fail.Cause = err
			}

			return nil, fail
		}
	}
}

// isFinal reports whether a result is final: it results from applying the command,
// or every other host would return the same. A refusal without a log index is not
// final, because it comes from a host that cannot reach the log.
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

// Query sends a query to one host after the other until one returns a table that is
// not stale. If none does, Query returns the newest stale table. The error is marked
// with ErrInvalidQuery if the query is invalid.
func (c *Client) Query(ctx context.Context, q *wire.Query) (*wire.Table, error) {
	req := &wire.Request{Body: &wire.Request_Query{Query: q}}
	var stale *wire.Table
	var last error
	rotation := c.rotation()
	for range rotation.hosts {
		addr := rotation.next()
		response, _, err := c.call(ctx, addr, req)
		if err == nil {
			err = responseError(response)
		}
		table := response.GetTable()
		switch {
		case errors.Is(err, ErrInvalidQuery):
			return nil, err
		case err != nil:
			last = err
		case !table.GetStale():
			c.setPreferred(addr)

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

// responseError returns the error that a response contains, or nil. A table with
// the single column "error" describes why the query is invalid.
func responseError(r *wire.Response) error {
	table := r.GetTable()
	switch {
	case table == nil:
		return errors.Newf("control host: %s", r.GetResult().GetText())
	case slices.Equal(table.GetColumns(), []string{"error"}) && len(table.GetRows()) > 0:
		return errors.Newf("%s: %w", table.GetRows()[0].GetCells()[0], ErrInvalidQuery)
	default:
		return nil
	}
}

// setHosts replaces the list of hosts.
func (c *Client) setHosts(hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.Hosts = hosts
}

// replacePreferred makes addr the preferred host if old is the preferred one.
func (c *Client) replacePreferred(old, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferredHost == old {
		c.preferredHost = addr
	}
}

// setPreferred makes addr the preferred host.
func (c *Client) setPreferred(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferredHost = addr
}

// States of one call. The goroutine that sends the request and the caller that gives
// up both switch the state from notSent, so that only one of them succeeds.
const (
	notSent int32 = iota
	sending
	abandoned
)

// reply is the result of a roundTrip.
type reply struct {
	response *wire.Response
	err      error
}

// call sends a request to one host and waits for the response. sent reports whether
// any byte of the request may have been sent. call returns when ctx ends or the
// request times out, even if the connection hangs.
func (c *Client) call(ctx context.Context, addr string, req *wire.Request) (response *wire.Response, sent bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := c.clock.After(c.s.ResponseTimeout, func(time.Time) {
		cancel(errors.Newf("no answer from %s in %s", addr, c.s.ResponseTimeout))
	})
	defer stop()
	var state atomic.Int32
	ch := make(chan reply, 1)
	go func() {
		response, err := c.roundTrip(ctx, addr, req, &state)
		ch <- reply{response, err}
	}()
	select {
	case r := <-ch:
		if r.err != nil && ctx.Err() != nil {
			r.err = context.Cause(ctx)
		}

		return r.response, state.Load() == sending, r.err
	case <-ctx.Done():
		return nil, !state.CompareAndSwap(notSent, abandoned), context.Cause(ctx)
	}
}

// roundTrip sends a request on a new stream and reads the response. It sends nothing
// if the caller has abandoned the call.
func (c *Client) roundTrip(
	ctx context.Context, addr string, req *wire.Request, state *atomic.Int32,
) (*wire.Response, error) {
	stream, err := c.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
	if !state.CompareAndSwap(notSent, sending) {
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

// openStream opens a stream on the session with a host, which all calls share. If
// the session has failed since the last call, it is replaced. Sessions are closed in
// no other case, except by Close: a call that fails or ends must not break the others.
func (c *Client) openStream(ctx context.Context, addr string) (Stream, error) {
	for again := false; ; again = true {
		s, err := c.getSession(ctx, addr)
		if err != nil {
			return nil, err
		}
		stream, err := s.Open(ctx)
		if err == nil {
			return stream, nil
		}
		if ctx.Err() == nil {
			c.dropSession(addr, s)
		}
		if again || ctx.Err() != nil {
			return nil, errors.Newf("open stream to %s: %w", addr, err)
		}
	}
}

// getSession returns the shared session with a host and connects if there is none.
func (c *Client) getSession(ctx context.Context, addr string) (Session, error) {
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

// dropSession closes a failed session and removes it, unless it was already replaced.
func (c *Client) dropSession(addr string, s Session) {
	c.mu.Lock()
	if c.sessions[addr] == s {
		delete(c.sessions, addr)
	}
	c.mu.Unlock()
	_ = s.Close()
}

// rotation determines the order in which a command or query is sent to the hosts.
type rotation struct {
	hosts      []string
	index      int
	leaderHint string // host to try next, in most cases the leader named by a host
	calls      int
	wait       backoff
}

func (c *Client) rotation() *rotation {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &rotation{hosts: c.s.Hosts, wait: newBackoff(&c.s)}
	if index := slices.Index(t.hosts, c.preferredHost); index >= 0 {
		t.index = index
	} else {
		t.leaderHint = c.preferredHost
	}

	return t
}

func (t *rotation) next() string {
	t.calls++
	if t.leaderHint != "" {
		addr := t.leaderHint
		t.leaderHint = ""

		return addr
	}
	addr := t.hosts[t.index]
	t.index = (t.index + 1) % len(t.hosts)

	return addr
}

// tryNext makes leader the next host to try, unless it is from, the host that named
// it.
func (t *rotation) tryNext(leader, from string) {
	if leader != from {
		t.leaderHint = leader
	}
}

// pause waits for the backoff after every round over all hosts. It returns an error
// if ctx has ended.
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
