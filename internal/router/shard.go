package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shards is the number of shards. It only has to be higher than the number of
// cores of a small host, to keep contention low.
const shards = 32

// shard holds some of the requests in flight under its own lock.
type shard struct {
	mu       sync.Mutex
	requests map[string]*inflight
}

func newShards() []*shard {
	out := make([]*shard, shards)
	for i := range out {
		out[i] = &shard{requests: make(map[string]*inflight)}
	}

	return out
}

// shard returns the shard of a request id.
func (r *Router) shard(id string) *shard {
	return r.shards[xxhash.Sum64String(id)%shards]
}

func (s *shard) add(f *inflight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[f.request.ID] = f
}

func (s *shard) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, id)
}

func (s *shard) list() []*inflight {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*inflight, 0, len(s.requests))
	for _, f := range s.requests {
		out = append(out, f)
	}

	return out
}
