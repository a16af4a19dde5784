package controller

import (
	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// compactBytes is the size of the log's data at which a snapshot is taken even
// if there are few entries, as stored answers of calls may be large.
const compactBytes = 16 << 20

// startCompact takes a snapshot when the log has grown enough. The encoding and
// the writing run beside the event loop: with a large state they take longer
// than a leader may be silent.
func (c *Controller) startCompact() {
	// The log may take as much memory as the state, but no more.
	if c.packing || c.applied < c.compacted+c.s.Compact && c.grown < max(compactBytes, c.packed) {
		return
	}
	s, err := c.core.Mark(c.applied)
	if err != nil {
		c.fault = errors.Newf("take snapshot: %w", err)

		return
	}
	encode, grown := c.state.Capture(), c.grown
	c.packing = true
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		var err error
		if s.Data, err = encode(); err == nil {
			err = c.rec.Stage(s)
		}
		c.do(func() {
			c.packing = false
			if err == nil {
				err = c.finishCompact(s, grown)
			}
			if err != nil {
				c.fault = errors.Newf("take snapshot at %d: %w", s.GetIndex(), err)
			}
		})
	}()
}

// finishCompact runs in the event loop. A snapshot of the leader may have
// overtaken the own one.
func (c *Controller) finishCompact(s *wire.Snapshot, grown int) error {
	if s.GetIndex() <= c.compacted {
		return nil
	}
	if err := c.core.Compact(s); err != nil {
		return errors.Newf("compact: %w", err)
	}
	if err := c.rec.Adopt(s); err != nil {
		return errors.Newf("sync: %w", err)
	}
	c.compacted, c.packed, c.grown = s.GetIndex(), len(s.GetData()), c.grown-grown
	c.s.Log.Info().Uint64("index", s.GetIndex()).Int("bytes", c.packed).Msg("snapshot taken")

	return nil
}
