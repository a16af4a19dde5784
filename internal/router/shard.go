package router

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shards is the number of parts of the request records. It only has to exceed
// the cores of a small host.
const shards = 32

// shard holds a part of the request records under its own lock.
type shard struct {
	mu      sync.Mutex
	flights map[string]*flight
}

func newShards() []*shard {
	out := make([]*shard, shards)
	for i := range out {
		out[i] = &shard{flights: make(map[string]*flight)}
	}

	return out
}

func (r *Router) shard(id string) *shard {
	return r.shards[xxhash.Sum64String(id)%shards]
}

func (s *shard) add(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights[f.request.ID] = f
}

func (s *shard) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, id)
}

func (s *shard) list() []*flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*flight, 0, len(s.flights))
	for _, f := range s.flights {
		out = append(out, f)
	}

	return out
}
