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
	// digests holds for each digest the time of the first crash since it last
	// completed, or the zero time if there was none.
	digests *lru.Cache[string, time.Time]
}

// NewRecentSuccesses returns an empty RecentSuccesses.
func NewRecentSuccesses() (*RecentSuccesses, error) {
	digests, err := lru.New[string, time.Time](maxSuccesses)
	if err != nil {
		return nil, errors.Newf("create cache of completed requests: %w", err)
	}

	return &RecentSuccesses{digests: digests}, nil
}

// RecordSuccess records that a request completed.
func (s *RecentSuccesses) RecordSuccess(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests.Add(digest, time.Time{})
}

// Suspects returns those digests in flight at a crash that may have caused it: all
// that have not completed since an earlier outage. Crashes within outageWindow count as
// one outage.
func (s *RecentSuccesses) Suspects(now time.Time, digests []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.DeleteFunc(slices.Clone(digests), func(d string) bool {
		crash, completed := s.digests.Get(d)
		if completed && crash.IsZero() {
			s.digests.Add(d, now)
		}

		return completed && (crash.IsZero() || now.Sub(crash) < outageWindow)
	})
}
