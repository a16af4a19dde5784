package agent

import (
	"context"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// handleStream reads one stream of an entry until it ends. It is either the control
// stream of a session, which begins with Hello, or the stream of an attempt.
func (a *Agent) handleStream(_ context.Context, s *messenger.Stream) {
	box := newOutbox(s)
	a.mu.Lock()
	a.outboxes[box] = struct{}{}
	a.mu.Unlock()
	defer a.closeStream(box)
	var hello *wire.Hello
	for {
		var call wire.Call
		if err := s.Recv(&call); err != nil {
			return
		}
		if !a.handleCall(box, &call, &hello) {
			return
		}
	}
}

// closeStream removes the outbox of a stream that has ended.
func (a *Agent) closeStream(box *outbox) {
	a.mu.Lock()
	a.machine.Detach(box)
	delete(a.controlStreams, box)
	delete(a.outboxes, box)
	a.mu.Unlock()
	box.Close()
}

// handleCall handles one message of an entry. It returns false to end the stream. hello
// is the Hello received on this stream, if any.
func (a *Agent) handleCall(box *outbox, call *wire.Call, hello **wire.Hello) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Timer.Now()
	switch body := call.GetBody().(type) {
	case *wire.Call_Hello:
		ok, actions := a.machine.Hello(now, body.Hello.GetEntry(), body.Hello.GetEpoch())
		a.performActions(actions)
		if !ok {
			return false
		}
		*hello = body.Hello
		a.sendWelcome(now, box)
	case *wire.Call_Renew:
		if *hello == nil {
			return false
		}
		a.machine.Renew(now, (*hello).GetEntry(), (*hello).GetEpoch())
	case *wire.Call_Ask:
		a.performActions(a.machine.Ask(now, box, body.Ask))
	case *wire.Call_Withdraw:
		a.performActions(a.machine.Withdraw(now, box, body.Withdraw))
	case nil:
		// The message has a type that this version does not know. It is ignored.
	default:
		a.performActions(a.machine.Dispatch(now, box, call))
	}

	return true
}

// sendWelcome answers a Hello with the agent's epoch, its load and the prefixes cached
// by the engine. From then on the stream receives load and cache events.
func (a *Agent) sendWelcome(now time.Time, box *outbox) {
	box.Send(&wire.Reply{Body: &wire.Reply_Welcome{Welcome: &wire.Welcome{
		Server: a.settings.Name, Epoch: a.epoch,
	}}})
	box.Send(a.loadReply(now))
	if len(a.cachedPrefixes) > 0 {
		added := make([]uint64, 0, len(a.cachedPrefixes))
		for prefix := range a.cachedPrefixes {
			added = append(added, prefix)
		}
		slices.Sort(added)
		box.Send(eventReply(a.cacheEventSeq, added, nil))
	}
	a.controlStreams[box] = struct{}{}
}

// loadReply returns a Load message with the state of the grant queue. While the backend
// server is down, it reports no free units.
func (a *Agent) loadReply(now time.Time) *wire.Reply {
	load := a.queue.Load(now)
	m := &wire.Load{
		Total: int64(load.Total), Free: int64(load.Free), Rate: a.rate,
		Leaving: a.machine.drainReason != "",
	}
	if !a.machine.backendUp {
		m.Free = 0
	}
	for _, wait := range load.Waits {
		m.Waits = append(m.Waits, wait.Milliseconds())
	}

	return &wire.Reply{Body: &wire.Reply_Load{Load: m}}
}

// sendLoad sends a Load message on all control streams.
func (a *Agent) sendLoad(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.loadReply(now)
	for box := range a.controlStreams {
		box.Send(r)
	}
}

// applyCacheEvent records a cache event of the engine and forwards it to the entries.
func (a *Agent) applyCacheEvent(e driver.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, prefix := range e.Added {
		if len(a.cachedPrefixes) < maxPrefixes {
			a.cachedPrefixes[prefix] = struct{}{}
		}
	}
	for _, prefix := range e.Removed {
		delete(a.cachedPrefixes, prefix)
	}
	a.sendCacheEvent(e.Added, e.Removed)
}

// maxPrefixes limits the number of cached prefixes that are remembered. Without a limit
// they could grow forever, because eviction events can be lost.
const maxPrefixes = 1 << 16

// clearCachedPrefixes reports all cached prefixes as removed, because the engine's
// cache is empty after a crash. The caller holds mu.
func (a *Agent) clearCachedPrefixes() {
	removed := make([]uint64, 0, len(a.cachedPrefixes))
	for prefix := range a.cachedPrefixes {
		removed = append(removed, prefix)
	}
	slices.Sort(removed)
	clear(a.cachedPrefixes)
	if len(removed) > 0 {
		a.sendCacheEvent(nil, removed)
	}
}

// sendCacheEvent sends a cache event on all control streams. The caller holds mu.
func (a *Agent) sendCacheEvent(added, removed []uint64) {
	a.cacheEventSeq++
	r := eventReply(a.cacheEventSeq, added, removed)
	for box := range a.controlStreams {
		box.Send(r)
	}
}

func eventReply(seq uint64, added, removed []uint64) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Event{Event: &wire.Event{Seq: seq, Added: added, Gone: removed}}}
}
