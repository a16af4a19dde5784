package controller

import (
	"context"
	"time"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// retryInterval is the time between retries while there is no leader.
const retryInterval = 50 * time.Millisecond

// query answers a query with every change completed before it. Without a majority it
// answers from the local state and marks the table as stale.
func (c *Controller) query(ctx context.Context, q *wire.Query) *wire.Table {
	bounded, cancel := c.withTimeout(ctx, c.s.CommitTimeout)
	defer cancel()
	fresh := c.catchUp(bounded)
	var table *wire.Table
	var err error
	if list := c.liveTable(ctx, q); list != nil {
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
	// Copied because the state may return a shared table.
	table = &wire.Table{
		Columns: table.GetColumns(), Rows: table.GetRows(), Stale: !fresh,
		Revision: table.GetRevision(), Index: table.GetIndex(),
	}
	c.do(func() { table.Revision, table.Index = c.state.Revision(), c.applied })

	return table
}

// catchUp waits until the local state includes every change committed before the call and
// returns true. It retries while there is no leader and returns false when ctx ends.
func (c *Controller) catchUp(ctx context.Context) bool {
	for {
		if index, ok := c.readIndex(ctx); ok {
			return c.waitApplied(ctx, index)
		}
		if !c.sleep(ctx, retryInterval) {
			return false
		}
	}
}

func (c *Controller) readIndex(ctx context.Context) (uint64, bool) {
	ch := make(chan replicator.ReadResult, 1)
	var id uint64
	var err error
	ran := c.do(func() {
		c.lastReadID++
		id = c.lastReadID
		if err = c.core.ReadIndex(id); err == nil {
			c.pendingReads[id] = ch
		}
	})
	if !ran || err != nil {
		return 0, false
	}
	select {
	case r := <-ch:
		return r.Index, r.OK
	case <-ctx.Done():
		c.do(func() { delete(c.pendingReads, id) })

		return 0, false
	}
}

// waitApplied waits until the entry at index has been applied.
func (c *Controller) waitApplied(ctx context.Context, index uint64) bool {
	ch := make(chan struct{})
	if !c.do(func() {
		if c.applied >= index {
			close(ch)
		} else {
			c.applyWaiters[index] = append(c.applyWaiters[index], ch)
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
