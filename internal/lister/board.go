package lister

import (
	"sync"
	"time"
)

// Board holds the newest listing that a process has read or was told. A reader that was
// deposed while it stood still offers an older one, which is not taken.
type Board struct {
	mu      sync.Mutex
	current *Listing
	changed chan struct{}
}

// NewBoard returns a board without a listing.
func NewBoard() *Board { return &Board{changed: make(chan struct{})} }

// Offer takes a listing unless the one held was read after it.
func (b *Board) Offer(l *Listing) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.newer(b.current) {
		return false
	}
	other := b.current == nil || b.current.digest != l.digest
	b.current = l
	if other {
		close(b.changed)
		b.changed = make(chan struct{})
	}

	return true
}

// Current returns the listing held, nil before the first.
func (b *Board) Current() *Listing {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.current
}

// Changed returns a channel that is closed when other hosts are listed.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.changed
}

// Age returns how old the listing held is; ok is false before the first.
func (b *Board) Age(now time.Time) (age time.Duration, ok bool) {
	l := b.Current()
	if l == nil {
		return 0, false
	}

	return now.Sub(l.read), true
}
