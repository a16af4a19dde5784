package lister

import (
	"sync"
	"time"
)

// Store stores the newest listing that a process has read or received. It rejects older
// listings, such as those of a deposed leader that was suspended in the meantime.
type Store struct {
	mu      sync.Mutex
	current *Listing
	changed chan struct{}
}

// NewStore returns a store without a listing.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Offer stores a listing if it is newer than the current one, and reports whether it did.
func (s *Store) Offer(l *Listing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.isNewer(s.current) {
		return false
	}
	differs := s.current == nil || s.current.digest != l.digest
	s.current = l
	if differs {
		close(s.changed)
		s.changed = make(chan struct{})
	}

	return true
}

// Current returns the newest listing, nil before the first.
func (s *Store) Current() *Listing {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.current
}

// Changed returns a channel that is closed when the listed hosts change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

// Age returns the age of the newest listing; ok is false before the first.
func (s *Store) Age(now time.Time) (age time.Duration, ok bool) {
	l := s.Current()
	if l == nil {
		return 0, false
	}

	return now.Sub(l.read), true
}
