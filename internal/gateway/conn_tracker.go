package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// connTracker records the callers' connections that are still to be answered: those that
// were accepted and have sent no complete request header yet (StateNew), and those with a
// request in flight (StateActive). http.Server.Shutdown does not wait for the former, and
// discards what it reads from them.
type connTracker struct {
	mu         sync.Mutex
	unanswered map[net.Conn]http.ConnState
	// changed is closed at the next state change; it is nil while nobody waits.
	changed chan struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{unanswered: make(map[net.Conn]http.ConnState)}
}

// setState records the state of a connection. It is first called when the connection is
// accepted, before any HTTP server knows of it.
func (c *connTracker) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.unanswered[conn] = state
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.unanswered, conn)
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// wait blocks until no connection is in one of the states, or until ctx ends.
func (c *connTracker) wait(ctx context.Context, states ...http.ConnState) error {
	for {
		changed := c.watch(states)
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watch returns a channel that is closed at the next state change, or nil if no connection
// is in one of the states.
func (c *connTracker) watch(states []http.ConnState) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inStates(states)) == 0 {
		return nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}

	return c.changed
}

// closeWithoutRequest closes the connections that have not sent a complete request header
// yet, and returns their number.
func (c *connTracker) closeWithoutRequest() int {
	c.mu.Lock()
	withoutRequest := c.inStates([]http.ConnState{http.StateNew})
	c.mu.Unlock()
	for _, conn := range withoutRequest {
		_ = conn.Close()
	}

	return len(withoutRequest)
}

// inStates returns the connections in one of the states. The caller must hold mu.
func (c *connTracker) inStates(states []http.ConnState) []net.Conn {
	var out []net.Conn
	for conn, state := range c.unanswered {
		if slices.Contains(states, state) {
			out = append(out, conn)
		}
	}

	return out
}
