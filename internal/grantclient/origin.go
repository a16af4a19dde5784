package grantclient

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/versioner"
	"github.com/damasklever/damasklever/internal/wire"
)

// errNoSession is returned if there is no session with the agent of a server.
var errNoSession = errors.New("there is no session with the agent")

// Epoch implements versioner.Keepers.
func (c *Client) Epoch(server string) (uint64, bool) {
	l := c.link(server)
	if l == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.epoch, l.out != nil
}

// Connecting implements versioner.Keepers.
func (c *Client) Connecting(server string) bool {
	l := c.link(server)
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.out == nil && !l.everConnected && l.failures == 0
}

// Keep implements versioner.Keepers.
func (c *Client) Keep(server, id string, o versioner.Origin, ttl time.Duration) bool {
	l := c.link(server)
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.enqueue(&wire.Call{Body: &wire.Call_Keep{Keep: &wire.Keep{Origin: &wire.Origin{
		Id: id, Pool: o.Pool, Version: o.Version, Ttl: ttl.Milliseconds(),
	}}}})
}

// Locate implements versioner.Keepers.
func (c *Client) Locate(ctx context.Context, server, id string) (o versioner.Origin, known bool, err error) {
	l := c.link(server)
	if l == nil {
		return o, false, errNoSession
	}
	reply := make(chan *wire.Located, 1)
	if !l.locate(id, reply) {
		return o, false, errNoSession
	}
	defer l.forgetLookup(id, reply)
	select {
	case r, ok := <-reply:
		if !ok {
			return o, false, errNoSession
		}
		found := r.GetOrigin()

		return versioner.Origin{Pool: found.GetPool(), Version: found.GetVersion()}, found != nil, nil
	case <-ctx.Done():
		return o, false, errors.Newf("locate stream at %s: %w", server, context.Cause(ctx))
	}
}

// locate asks for the origin of a stream. Lookups of the same stream share one call.
func (l *link) locate(id string, reply chan<- *wire.Located) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lookups[id]) == 0 && !l.enqueue(&wire.Call{Body: &wire.Call_Locate{Locate: &wire.Locate{Id: id}}}) {
		return false
	}
	l.lookups[id] = append(l.lookups[id], reply)

	return true
}

// forgetLookup removes a lookup that no longer waits.
func (l *link) forgetLookup(id string, reply chan<- *wire.Located) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := slices.DeleteFunc(l.lookups[id], func(ch chan<- *wire.Located) bool { return ch == reply })
	if l.lookups[id] = waiting; len(waiting) == 0 {
		delete(l.lookups, id)
	}
}
