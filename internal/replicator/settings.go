package replicator

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/defaulter"
)

const (
	// With defaultElectionTimeout, the first election after the loss of a leader
	// starts within 1.2 s.
	defaultElectionTimeout     = 600 * time.Millisecond
	defaultHeartbeatInterval   = 120 * time.Millisecond
	defaultBatchBytes          = 256 << 10
	defaultMaxInflight         = 16
	defaultMaxUncommittedBytes = 16 << 20
	defaultChunkBytes          = 512 << 10
	defaultMaxPromotionLag     = 64
)

// Settings configures a Core. ID is required, all other fields have defaults.
type Settings struct {
	// ID is the member id that was generated with the data directory.
	ID uint64
	// ElectionTimeout is the minimum election timeout. Each timeout is chosen at random
	// between ElectionTimeout and twice that. A leader that has not heard from a
	// majority for ElectionTimeout steps down.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval of the leader's heartbeats.
	HeartbeatInterval time.Duration
	// BatchBytes limits the size of the entries in one message.
	BatchBytes int
	// MaxInflight limits the unacknowledged messages with entries per member.
	MaxInflight int
	// MaxUncommittedBytes limits the size of all uncommitted entries.
	MaxUncommittedBytes int
	// ChunkBytes limits the size of the part of a snapshot in one message.
	ChunkBytes int
	// MaxPromotionLag is the maximum number of entries by which a learner may lag
	// when it is promoted to voter.
	MaxPromotionLag uint64
	// Seed is the random seed of the election timeouts.
	Seed uint64
}

// Defaults sets the fields that are zero.
func (s *Settings) Defaults() {
	defaulter.Default(&s.ElectionTimeout, defaultElectionTimeout)
	defaulter.Default(&s.HeartbeatInterval, defaultHeartbeatInterval)
	defaulter.Default(&s.BatchBytes, defaultBatchBytes)
	defaulter.Default(&s.MaxInflight, defaultMaxInflight)
	defaulter.Default(&s.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	defaulter.Default(&s.ChunkBytes, defaultChunkBytes)
	defaulter.Default(&s.MaxPromotionLag, defaultMaxPromotionLag)
}

// Validate reports all invalid settings in one error.
func (s *Settings) Validate() error {
	var errs []error
	add := func(bad bool, text string) {
		if bad {
			errs = append(errs, errors.New(text))
		}
	}
	add(s.ID == 0, "ID: missing")
	add(s.HeartbeatInterval <= 0 || 2*s.HeartbeatInterval > s.ElectionTimeout,
		"HeartbeatInterval: must be positive and at most half of ElectionTimeout")
	add(s.BatchBytes <= 0 || s.MaxInflight <= 0 || s.MaxUncommittedBytes <= 0 || s.ChunkBytes <= 0,
		"BatchBytes, MaxInflight, MaxUncommittedBytes and ChunkBytes: must be positive")
	if err := errors.Join(errs...); err != nil {
		return errors.Newf("replicator settings: %w", err)
	}

	return nil
}
