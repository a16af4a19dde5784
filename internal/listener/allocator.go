package listener

import "github.com/lesismal/nbio/mempool"

// minBuffer is the capacity of a small buffer. Bodies that arrive in small chunks are kept in
// buffers of this size.
const minBuffer = 512 // bytes

// allocator replaces nbio's pools, which hand out a buffer of many megabytes for a few bytes
// if one is free, so that the memory of a connection is not bounded by what it has sent.
type allocator struct{ mempool.Allocator }

func newAllocator() allocator { return allocator{mempool.NewSTD()} }

// Malloc implements mempool.Allocator.
func (allocator) Malloc(size int) *[]byte {
	buffer := make([]byte, size, max(size, minBuffer))

	return &buffer
}

// Free implements mempool.Allocator. The parser of a rejected request keeps its pointer until
// the connection is closed, so Free drops the bytes themselves.
func (allocator) Free(buffer *[]byte) {
	if buffer != nil {
		*buffer = nil
	}
}
