package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// connections tells which callers' connections owe an answer: accepted and not
// heard yet (StateNew), or with a request in flight (StateActive).
// http.Server.Shutdown does not wait for the former, and drops what it reads from
// them.
type connections struct {
	mu    sync.Mutex
	owing map[net.Conn]http.ConnState
	// changed is not nil while someone waits; it is closed at the next change.
	changed chan struct{}
}

func newConnections() *connections {
	return &connections{owing: make(map[net.Conn]http.ConnState)}
}

// follow notes the state of a connection, from when it is accepted, which is before any HTTP
// server knows of it.
func (c *connections) follow(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.owing[conn] = state
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.owing, conn)
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// wait returns once no connection is in one of the states, or when ctx ends.
func (c *connections) wait(ctx context.Context, states ...http.ConnState) error {
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

// watch returns what is closed at the next change, or nil if no connection is in one
// of the states.
func (c *connections) watch(states []http.ConnState) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in(states)) == 0 {
		return nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}

	return c.changed
}

// closeSilent closes the connections that have sent no whole header yet, and returns
// how many these were.
func (c *connections) closeSilent() int {
	c.mu.Lock()
	silent := c.in([]http.ConnState{http.StateNew})
	c.mu.Unlock()
	for _, conn := range silent {
		_ = conn.Close()
	}

	return len(silent)
}

// in needs the lock.
func (c *connections) in(states []http.ConnState) []net.Conn {
	var out []net.Conn
	for conn, state := range c.owing {
		if slices.Contains(states, state) {
			out = append(out, conn)
		}
	}

	return out
}
