// Package callback acquires the mutexes of two parts in opposite orders.
package callback

import "sync"

// Receiver calls set with its mutex held.
type Receiver struct {
	mu    sync.Mutex
	count int
	set   func(int)
}

// Receive passes the count on.
func (r *Receiver) Receive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(r.count)
}

// Count returns the count.
func (r *Receiver) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.count
}

type counter interface{ Count() int }

// Holder asks a counter with its mutex held.
type Holder struct {
	mu      sync.RWMutex
	counter counter
	share   int
}

// Share returns the share.
func (h *Holder) Share() int {
	h.mu.RLock()
	defer h.mu.RUnlock()

	return h.share / h.counter.Count()
}

// Set sets the share.
func (h *Holder) Set(share int) {
	h.mu.Lock()
	h.share = share
	h.mu.Unlock()
}

// New connects the two parts.
func New() (*Receiver, *Holder) {
	h := &Holder{}
	r := &Receiver{set: func(n int) { h.Set(n) }}
	h.counter = r

	return r, h
}
