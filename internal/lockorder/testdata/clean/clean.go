// Package clean calls other parts without a mutex held, or from another goroutine.
package clean

import "sync"

// Receiver calls set without its mutex.
type Receiver struct {
	mu    sync.Mutex
	once  sync.Once
	count int
	set   func(int)
}

// Receive passes the count on.
func (r *Receiver) Receive() {
	r.mu.Lock()
	if r.count == 0 {
		r.mu.Unlock()

		return
	}
	count := r.count
	r.mu.Unlock()
	r.set(count)
}

// ReceiveLater passes the count on from another goroutine.
func (r *Receiver) ReceiveLater() {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.count
	go func() { r.set(count) }()
}

// Count returns the count.
func (r *Receiver) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.count
}

// Close stops the Receiver.
func (r *Receiver) Close() {
	r.once.Do(func() { r.withoutLock(func() { r.Count() }) })
}

// withoutLock calls fn.
func (r *Receiver) withoutLock(fn func()) {
	r.mu.Lock()
	r.unlock()
	fn()
}

func (r *Receiver) unlock() { r.mu.Unlock() }

// Holder asks the Receiver with its mutex held.
type Holder struct {
	mu       sync.Mutex
	receiver *Receiver
	share    int
}

// Share returns the share.
func (h *Holder) Share() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.receiver.withoutLock(func() { h.share++ })

	return h.share / h.receiver.Count()
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
	h.receiver = r

	return r, h
}
