// Package variable acquires a mutex that is a variable in a sync.Once, and the other way round.
package variable

import "sync"

var global sync.RWMutex

// T has a sync.Once.
type T struct{ once sync.Once }

// Close acquires the variable in the sync.Once.
func (t *T) Close() {
	t.once.Do(func() {
		global.RLock()
		defer global.RUnlock()
	})
}

// Reset calls Close with the variable acquired.
func (t *T) Reset() {
	global.Lock()
	t.Close()
	global.Unlock()
}
