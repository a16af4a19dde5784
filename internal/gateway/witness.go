package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
)

const (
	// gatherTime is how long the requests whose connections to one server break are taken
	// together: those of one crash break at the same moment.
	gatherTime = 100 * time.Millisecond
	// maxGathered bounds the requests of one crash.
	maxGathered = 256
)

// witness notes which requests were at a server when their connections to it broke, and
// finds out whether the server has crashed.
type witness struct {
	g *Gateway

	mu     sync.Mutex
	broken map[string]map[string]string // by server, the id of an attempt by the digest of its request
}

func newWitness(g *Gateway) *witness {
	return &witness{g: g, broken: make(map[string]map[string]string)}
}

// broke notes that the connection of a request to a server broke. Its caller is a request
// in flight.
func (w *witness) broke(f *flight, s *placer.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	digests := w.broken[s.ID]
	if digests == nil {
		digests = make(map[string]string)
		w.broken[s.ID] = digests
		w.g.work.Add(1)
		go func() {
			defer w.g.work.Done()
			w.examine(w.g.ctx, s)
		}()
	}
	if len(digests) < maxGathered {
		digests[f.digest] = f.hints.ID
	}
}

// examine gathers the requests that broke at a server, and finds out what became of it.
func (w *witness) examine(ctx context.Context, s *placer.Server) {
	w.gather(ctx)
	w.mu.Lock()
	digests := w.broken[s.ID]
	delete(w.broken, s.ID)
	w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	message := "connections to a server broke"
	err := w.g.s.Courier.Probe(ctx, s.Addr)
	if err != nil {
		message = "server crashed under requests"
	}
	w.g.s.Log.Warn().Str("server", s.ID).Str("addr", s.Addr).Strs("digests", slices.Sorted(maps.Keys(digests))).
		Strs("ids", slices.Sorted(maps.Values(digests))).Err(err).Msg(message)
}

func (w *witness) gather(ctx context.Context) {
	woken := make(chan struct{})
	defer w.g.s.Timer.After(gatherTime, func(time.Time) { close(woken) })()
	select {
	case <-woken:
	case <-ctx.Done():
	}
}
