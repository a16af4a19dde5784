package replicator

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/filler"
)

const (
	// defaultElection bounds the first election after the loss of a leader by 1.2 s.
	defaultElection  = 600 * time.Millisecond
	defaultHeartbeat = 120 * time.Millisecond
	defaultBatch     = 256 << 10
	defaultWindow    = 16
	defaultBacklog   = 16 << 20
	defaultChunk     = 512 << 10
	defaultLag       = 64
)

// Settings of the consensus core. ID has no default.
type Settings struct {
	// ID is the identity drawn when the data directory was created.
	ID uint64
	// Election is the shortest election timeout; each one is drawn between it
	// and twice its length. A leader that hears from no majority for Election
	// steps down.
	Election time.Duration
	// Heartbeat is the interval of the leader's heartbeats.
	Heartbeat time.Duration
	// Batch is the most bytes of entries in one message.
	Batch int
	// Window is the most unanswered messages with entries to one member.
	Window int
	// Backlog is the most bytes of entries that wait for their commit.
	Backlog int
	// Chunk is the most bytes of a snapshot in one message.
	Chunk int
	// Lag is how many entries a learner may lack when it becomes a voter.
	Lag uint64
	// Seed of the randomised election timeouts.
	Seed uint64
}

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	filler.Zero(&s.Election, defaultElection)
	filler.Zero(&s.Heartbeat, defaultHeartbeat)
	filler.Zero(&s.Batch, defaultBatch)
	filler.Zero(&s.Window, defaultWindow)
	filler.Zero(&s.Backlog, defaultBacklog)
	filler.Zero(&s.Chunk, defaultChunk)
	filler.Zero(&s.Lag, defaultLag)
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	var faults []error
	add := func(bad bool, text string) {
		if bad {
			faults = append(faults, errors.New(text))
		}
	}
	add(s.ID == 0, "id: missing")
	add(s.Heartbeat <= 0 || 2*s.Heartbeat > s.Election,
		"heartbeat: must be positive and at most half of election")
	add(s.Batch <= 0 || s.Window <= 0 || s.Backlog <= 0 || s.Chunk <= 0,
		"batch, window, backlog and chunk: must be positive")
	if err := errors.Join(faults...); err != nil {
		return errors.Newf("settings of replicator: %w", err)
	}

	return nil
}
