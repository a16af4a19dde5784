package versioner

import (
	"sync"
	"time"
)

const (
	// MaxIDBytes limits the ids of streams that are kept.
	MaxIDBytes = 128
	// maxTTL limits the time for which an origin is kept.
	maxTTL = 10 * time.Minute
)

// Origin is where a stream began: the pool, and the software version of the server that
// generated its first event.
type Origin struct{ Pool, Version string }

// Store holds the origins of streams for a limited time. It is safe for concurrent use.
type Store struct {
	limit int

	mu      sync.Mutex
	byID    map[string]*record
	oldest  []*record // in the order in which they were added
	evicted uint64
}

// record is the origin of one stream.
type record struct {
	id      string
	origin  Origin
	expires time.Time
	copies  []keeper // the keepers that have it; of entries only
}

// NewStore returns an empty store for at most limit streams. When it is full, it forgets the
// oldest.
func NewStore(limit int) *Store { return &Store{limit: limit, byID: make(map[string]*record)} }

// Put keeps the origin of a stream for the time ttl.
func (s *Store) Put(now time.Time, id string, o Origin, ttl time.Duration) { s.put(now, id, o, ttl) }

// put returns the record that holds the origin, or nil for an invalid id.
func (s *Store) put(now time.Time, id string, o Origin, ttl time.Duration) *record {
	if id == "" || len(id) > MaxIDBytes {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	expires := now.Add(min(max(ttl, 0), maxTTL))
	r := s.byID[id]
	if r == nil || r.origin != o {
		r = &record{id: id, origin: o}
		s.byID[id] = r
		s.oldest = append(s.oldest, r)
	}
	if expires.After(r.expires) {
		r.expires = expires
	}
	for len(s.byID) > s.limit {
		s.evicted++
		s.removeOldest()
	}

	return r
}

// Get returns the origin of a stream.
func (s *Store) Get(now time.Time, id string) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r == nil || !now.Before(r.expires) {
		return Origin{}, false
	}

	return r.origin, true
}

// Size returns the number of streams held.
func (s *Store) Size(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)

	return len(s.byID)
}

// Evicted returns the number of streams that were forgotten because the store was full.
func (s *Store) Evicted() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.evicted
}

// live returns the records that have not expired.
func (s *Store) live(now time.Time) []*record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	out := make([]*record, 0, len(s.byID))
	for _, r := range s.byID {
		out = append(out, r)
	}

	return out
}

// removeExpired removes the records at the front that have expired or were replaced. The
// caller must hold mu.
func (s *Store) removeExpired(now time.Time) {
	for len(s.oldest) > 0 {
		if r := s.oldest[0]; s.byID[r.id] == r && now.Before(r.expires) {
			return
		}
		s.removeOldest()
	}
}

// removeOldest removes the record at the front. The caller must hold mu.
func (s *Store) removeOldest() {
	r := s.oldest[0]
	s.oldest[0] = nil
	s.oldest = s.oldest[1:]
	if s.byID[r.id] == r {
		delete(s.byID, r.id)
	}
}
