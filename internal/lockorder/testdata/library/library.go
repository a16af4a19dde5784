// Package library acquires two mutexes in opposite orders, one of them in calls of other
// packages.
package library

import (
	"slices"
	"sort"
	"sync"
)

// A compares with its mutex.
type A struct {
	mu     sync.Mutex
	values []int
}

// Len implements sort.Interface.
func (a *A) Len() int { return len(a.values) }

// Swap implements sort.Interface.
func (a *A) Swap(i, j int) { a.values[i], a.values[j] = a.values[j], a.values[i] }

// Less implements sort.Interface.
func (a *A) Less(i, j int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.values[i] < a.values[j]
}

// B sorts with its mutex held.
type B struct {
	mu sync.Mutex
	n  int
}

// Sort sorts the values of a.
func (b *B) Sort(a *A) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sort.Sort(a)
}

// Find uses b in a function that is called with the mutex of a.
func (a *A) Find(b *B) bool {
	unlock := a.lock()
	defer unlock()

	return slices.ContainsFunc(a.values, func(v int) bool {
		b.mu.Lock()
		defer b.mu.Unlock()

		return v == b.n
	})
}

func (a *A) lock() func() {
	a.mu.Lock()

	return a.mu.Unlock
}
