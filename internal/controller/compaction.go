package controller

import (
	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// minCompactionBytes is the size of the log's data at which a snapshot is taken even
// if there are few entries, because stored responses may be large.
const minCompactionBytes = 16 << 20

// startCompaction takes a snapshot when the log has grown enough. Encoding and
// writing run outside the event loop, because with a large state they take longer
// than the leader may go without sending heartbeats.
func (c *Controller) startCompaction() {
	// The log may use as much memory as the state, but not more.
	if c.compacting || c.applied < c.snapshotIndex+c.s.CompactEntries && c.appliedBytes < max(minCompactionBytes, c.snapshotBytes) {
		return
	}
	s, err := c.core.PrepareSnapshot(c.applied)
	if err != nil {
		c.fatalErr = errors.Newf("take snapshot: %w", err)

		return
	}
	encode, appliedBytes := c.state.CaptureSnapshot(), c.appliedBytes
	c.compacting = true
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		var err error
		if s.Data, err = encode(); err == nil {
			err = c.rec.StageSnapshot(s)
		}
		c.do(func() {
			c.compacting = false
			if err == nil {
				err = c.finishCompaction(s, appliedBytes)
			}
			if err != nil {
				c.fatalErr = errors.Newf("take snapshot at %d: %w", s.GetIndex(), err)
			}
		})
	}()
}

// finishCompaction runs in the event loop. It discards the snapshot if one received
// from the leader in the meantime is at least as new.
func (c *Controller) finishCompaction(s *wire.Snapshot, appliedBytes int) error {
	if s.GetIndex() <= c.snapshotIndex {
		return nil
	}
	if err := c.core.Compact(s); err != nil {
		return errors.Newf("compact log: %w", err)
	}
	if err := c.rec.InstallStaged(s); err != nil {
		return errors.Newf("install snapshot file: %w", err)
	}
	c.snapshotIndex, c.snapshotBytes, c.appliedBytes = s.GetIndex(), len(s.GetData()), c.appliedBytes-appliedBytes
	c.s.Log.Info().Uint64("index", s.GetIndex()).Int("bytes", c.snapshotBytes).Msg("snapshot taken")

	return nil
}
