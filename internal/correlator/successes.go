package correlator

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxSuccesses is the number of digests remembered, and that of segments, enough for
	// those of some minutes.
	maxSuccesses = 1024
	// outageWindow is the time within which several servers crash for the same
	// reason.
	outageWindow = 2 * time.Second
)

// RecentSuccesses remembers the digests of requests that completed recently, and the shared
// segments of their prompts. It keeps a harmless request from being reported that callers
// send repeatedly while servers crash for other reasons, one by one or many at a time: such a
// request is in flight at many crashes, but completes in between. The same holds for the
// segments that harmless requests share. It is safe for concurrent use.
type RecentSuccesses struct {
	mu sync.Mutex
	// digests and segments hold what is known of each since its last crash.
	digests, segments *lru.Cache[string, success]
}

// NewRecentSuccesses returns an empty RecentSuccesses.
func NewRecentSuccesses() (*RecentSuccesses, error) {
	digests, err := lru.New[string, success](maxSuccesses)
	if err != nil {
		return nil, errors.Newf("create cache of completed requests: %w", err)
	}
	segments, err := lru.New[string, success](maxSuccesses)
	if err != nil {
		return nil, errors.Newf("create cache of segments: %w", err)
	}

	return &RecentSuccesses{digests: digests, segments: segments}, nil
}

// success is the first completion of a digest, or of a request with a segment, since its last
// crash.
type success struct {
	at    time.Time
	crash time.Time // first crash after it, zero if there was none
	// outage is the first crash after the completion before, zero if there was none.
	outage time.Time
}

// RecordSuccess records that a request completed, with the given segments of its prompt.
func (s *RecentSuccesses) RecordSuccess(now time.Time, digest string, segments []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recordSuccess(s.digests, now, digest)
	for _, name := range segments {
		recordSuccess(s.segments, now, name)
	}
}

func recordSuccess(cache *lru.Cache[string, success], now time.Time, name string) {
	old, ok := cache.Get(name)
	if ok && old.crash.IsZero() {
		return
	}
	cache.Add(name, success{at: now, outage: old.crash})
}

// Suspects returns the digests of those requests lost in a crash that may have caused it:
// all that had not completed since an earlier outage. Crashes within outageWindow count as
// one outage.
func (s *RecentSuccesses) Suspects(now time.Time, lost []Lost) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, l := range lost {
		if !completedBefore(s.digests, now, l.Digest, l.At) {
			out = append(out, l.Digest)
		}
	}
	slices.Sort(out)

	return slices.Compact(out)
}

// SoundSegments returns those segments of the requests lost in a crash that cannot have caused
// it, because a request with them had completed since an earlier outage.
func (s *RecentSuccesses) SoundSegments(now time.Time, lost []Lost) []string {
	latest := make(map[string]time.Time)
	for _, l := range lost {
		for _, name := range l.Segments {
			if l.At.After(latest[name]) {
				latest[name] = l.At
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, at := range latest {
		if completedBefore(s.segments, now, name, at) {
			out = append(out, name)
		}
	}
	slices.Sort(out)

	return out
}

// completedBefore reports whether what was lost at a time, in a crash that is found now, had
// completed since an earlier outage.
func completedBefore(cache *lru.Cache[string, success], now time.Time, name string, lostAt time.Time) bool {
	last, ok := cache.Get(name)
	if !ok {
		return false
	}
	if last.at.After(lostAt) {
		return !last.outage.IsZero() && lostAt.Sub(last.outage) < outageWindow
	}
	if last.crash.IsZero() {
		last.crash = now
		cache.Add(name, last)
	}

	return lostAt.Sub(last.crash) < outageWindow
}
