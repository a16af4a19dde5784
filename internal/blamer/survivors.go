package blamer

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// defaultSurvivors is the number of digests that a process remembers: those of some
	// minutes.
	defaultSurvivors = 1024
	// outageTime is how long several servers take to go down for one reason.
	outageTime = 2 * time.Second
)

// Survivors remembers requests that servers have lately run to an end. It answers the
// load of callers who send the same harmless request again and again while servers crash
// for other reasons, one by one or many at a time: such a request is at many crashes, and
// in between it runs well. Its methods may be called from any goroutine.
type Survivors struct {
	mu sync.Mutex
	// digests has for each digest the first crash since its last good run, zero if it has
	// been at none.
	digests *lru.Cache[string, time.Time]
}

// NewSurvivors returns an empty memory.
func NewSurvivors() (*Survivors, error) {
	digests, err := lru.New[string, time.Time](defaultSurvivors)
	if err != nil {
		return nil, errors.Newf("memory of requests that ran to an end: %w", err)
	}

	return &Survivors{digests: digests}, nil
}

// Ran notes that a server has run a request to its end.
func (s *Survivors) Ran(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digests.Add(digest, time.Time{})
}

// Suspects returns the digests that may have caused a crash at which they were in flight:
// those that have not run to an end since the outage before.
func (s *Survivors) Suspects(now time.Time, digests []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.DeleteFunc(slices.Clone(digests), func(d string) bool {
		crash, ran := s.digests.Get(d)
		if ran && crash.IsZero() {
			s.digests.Add(d, now)
		}

		return ran && (crash.IsZero() || now.Sub(crash) < outageTime)
	})
}
