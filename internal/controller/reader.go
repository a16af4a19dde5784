package controller

import (
	"context"
	"time"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// retryInterval is the time between attempts to read while there is no leader.
const retryInterval = 50 * time.Millisecond

// query answers a query with every change completed before it. Without a
// majority it answers from what this host has and says so.
func (c *Controller) query(ctx context.Context, q *wire.Query) *wire.Table {
	bounded, cancel := c.within(ctx, c.s.Commit)
	defer cancel()
	fresh := c.confirm(bounded)
	var table *wire.Table
	var err error
	if list := c.listing(ctx, q); list != nil {
		table, err = list()
	} else {
		c.do(func() { table, err = c.state.Query(q) })
	}
	if err != nil {
		return &wire.Table{Columns: []string{"error"}, Rows: []*wire.Row{{Cells: []string{err.Error()}}}, Stale: !fresh}
	}
	if table == nil {
		return &wire.Table{Stale: true}
	}
	// A state may hand out tables that it shares.
	table = &wire.Table{
		Columns: table.GetColumns(), Rows: table.GetRows(), Stale: !fresh,
		Revision: table.GetRevision(), Index: table.GetIndex(),
	}
	c.do(func() { table.Revision, table.Index = c.state.Revision(), c.applied })

	return table
}

// confirm returns true when the state here holds every change that was committed
// before the call. It tries again while there is no leader, until ctx ends.
func (c *Controller) confirm(ctx context.Context) bool {
	for {
		if index, ok := c.readIndex(ctx); ok {
			return c.arrive(ctx, index)
		}
		if !c.pause(ctx, retryInterval) {
			return false
		}
	}
}

func (c *Controller) readIndex(ctx context.Context) (uint64, bool) {
	ch := make(chan replicator.Read, 1)
	var id uint64
	var err error
	ran := c.do(func() {
		c.reads++
		id = c.reads
		if err = c.core.ReadIndex(id); err == nil {
			c.reading[id] = ch
		}
	})
	if !ran || err != nil {
		return 0, false
	}
	select {
	case r := <-ch:
		return r.Index, r.OK
	case <-ctx.Done():
		c.do(func() { delete(c.reading, id) })

		return 0, false
	}
}

// arrive waits until the entry at index is applied.
func (c *Controller) arrive(ctx context.Context, index uint64) bool {
	ch := make(chan struct{})
	if !c.do(func() {
		if c.applied >= index {
			close(ch)
		} else {
			c.arrivals[index] = append(c.arrivals[index], ch)
		}
	}) {
		return false
	}
	select {
	case <-ch:
		return true
	case <-ctx.Done():
		return false
	}
}
