package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// connTracker records the states of the callers' connections. Still to be answered are those
// that were accepted and have sent no complete request header yet (StateNew), and those with a
// request in flight (StateActive). http.Server.Shutdown does not wait for the former, and
// discards what it reads from them. It also closes idle connections on which a request has
// just been read, which would then be passed on and never be answered.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]http.ConnState
	// disconnected are the connections that disconnect has closed.
	disconnected map[net.Conn]struct{}
	closesIdle   bool // connections are closed as soon as they are idle
	// changed is closed at the next state change; it is nil while nobody waits.
	changed chan struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{conns: make(map[net.Conn]http.ConnState), disconnected: make(map[net.Conn]struct{})}
}

// setState records the state of a connection. It is first called when the connection is
// accepted, before any HTTP server knows of it.
func (c *connTracker) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.conns[conn] = state
	case http.StateHijacked, http.StateClosed:
		delete(c.conns, conn)
		delete(c.disconnected, conn)
	}
	if state == http.StateIdle && c.closesIdle {
		c.disconnect(conn)
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

// closeIdle closes the idle connections, and from now on each connection that becomes idle.
func (c *connTracker) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesIdle = true
	for _, conn := range c.inStates([]http.ConnState{http.StateIdle}) {
		c.disconnect(conn)
	}
}

// closeWithoutRequest closes the connections that have not sent a complete request header
// yet, and returns their number.
func (c *connTracker) closeWithoutRequest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	withoutRequest := c.inStates([]http.ConnState{http.StateNew})
	for _, conn := range withoutRequest {
		c.disconnect(conn)
	}

	return len(withoutRequest)
}

// disconnect closes a connection without a request in flight. The caller must hold mu.
func (c *connTracker) disconnect(conn net.Conn) {
	c.disconnected[conn] = struct{}{}
	_ = conn.Close()
}

// isDisconnected reports whether a connection was closed before its request was in flight.
func (c *connTracker) isDisconnected(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.disconnected[conn]

	return ok
}

// inStates returns the connections in one of the states. The caller must hold mu.
func (c *connTracker) inStates(states []http.ConnState) []net.Conn {
	var out []net.Conn
	for conn, state := range c.conns {
		if slices.Contains(states, state) {
			out = append(out, conn)
		}
	}

	return out
}
