package correlator

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxSuccesses is the number of digests remembered, enough for those of some
	// minutes.
	maxSuccesses = 1024
	// outageWindow is the time within which several servers crash for the same
	// reason.
	outageWindow = 2 * time.Second
)

// RecentSuccesses remembers the digests of requests that completed recently. It keeps a
// harmless request from being reported that callers send repeatedly while servers
// crash for other reasons, one by one or many at a time: such a request is in flight
// at many crashes, but completes in between. It is safe for concurrent use.
type RecentSuccesses struct {
	mu sync.Mutex
	// digests holds what is known of each digest since its last crash.
	digests *lru.Cache[string, success]
}

// NewRecentSuccesses returns an empty RecentSuccesses.
func NewRecentSuccesses() (*RecentSuccesses, error) {
	digests, err := lru.New[string, success](maxSuccesses)
	if err != nil {
		return nil, errors.Newf("create cache of completed requests: %w", err)
	}

	return &RecentSuccesses{digests: digests}, nil
}

// success is the first completion of a digest since its last crash.
type success struct {
	at    time.Time
	crash time.Time // first crash after it, zero if there was none
}

// RecordSuccess records that a request completed.
func (s *RecentSuccesses) RecordSuccess(now time.Time, digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.digests.Get(digest); ok && old.crash.IsZero() {
		return
	}
	s.digests.Add(digest, success{at: now})
}

// Suspects returns the digests of those requests lost in a crash that may have caused it:
// all that had not completed since an earlier outage. Crashes within outageWindow count as
// one outage.
func (s *RecentSuccesses) Suspects(now time.Time, lost []Lost) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, l := range lost {
		last, completed := s.digests.Get(l.Digest)
		completed = completed && !last.at.After(l.At)
		if completed && last.crash.IsZero() {
			last.crash = now
			s.digests.Add(l.Digest, last)
		}
		if !completed || now.Sub(last.crash) >= outageWindow {
			out = append(out, l.Digest)
		}
	}
	slices.Sort(out)

	return slices.Compact(out)
}
