package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connections tells which callers' connections owe an answer: accepted and not
// heard yet, or with a request in flight. http.Server.Shutdown does not wait for
// the former, and drops what it reads from them.
type connections struct {
	mu    sync.Mutex
	owing map[net.Conn]struct{}
	// settled is not nil while someone waits; it is closed when none owes.
	settled chan struct{}
}

func newConnections() *connections { return &connections{owing: make(map[net.Conn]struct{})} }

// accepted counts a connection from before any HTTP server knows of it.
func (c *connections) accepted(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owing[conn] = struct{}{}
}

// turned follows a connection that an HTTP server serves.
func (c *connections) turned(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		c.owing[conn] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(c.owing, conn)
	}
	if len(c.owing) == 0 && c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
}

// wait returns once no connection owes an answer, or when ctx ends.
func (c *connections) wait(ctx context.Context) error {
	c.mu.Lock()
	if len(c.owing) == 0 {
		c.mu.Unlock()

		return nil
	}
	if c.settled == nil {
		c.settled = make(chan struct{})
	}
	settled := c.settled
	c.mu.Unlock()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
