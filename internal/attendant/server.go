package attendant

import (
	"context"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// serve handles one stream of an entry: the control stream of its session, or
// the stream of an attempt.
func (a *Attendant) serve(_ context.Context, s *messenger.Stream) {
	box := newOutbox(s)
	a.mu.Lock()
	a.boxes[box] = struct{}{}
	a.mu.Unlock()
	defer a.detach(box)
	var hello *wire.Hello
	for {
		var call wire.Call
		if err := s.Recv(&call); err != nil {
			return
		}
		if !a.receive(box, &call, &hello) {
			return
		}
	}
}

func (a *Attendant) detach(box *outbox) {
	a.mu.Lock()
	a.keeper.Detach(box)
	delete(a.watchers, box)
	delete(a.boxes, box)
	a.mu.Unlock()
	box.Close()
}

// receive handles one frame; it reports false to end the stream.
func (a *Attendant) receive(box *outbox, call *wire.Call, hello **wire.Hello) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Timer.Now()
	switch body := call.GetBody().(type) {
	case *wire.Call_Hello:
		ok, actions := a.keeper.Hello(now, body.Hello.GetEntry(), body.Hello.GetEpoch())
		a.perform(actions)
		if !ok {
			return false
		}
		*hello = body.Hello
		a.greet(now, box)
	case *wire.Call_Renew:
		if *hello == nil {
			return false
		}
		a.keeper.Renew(now, (*hello).GetEntry(), (*hello).GetEpoch())
	case *wire.Call_Ask:
		a.perform(a.keeper.Ask(now, box, body.Ask))
	case *wire.Call_Withdraw:
		a.perform(a.keeper.Withdraw(now, box, body.Withdraw))
	case nil:
		// A frame of a newer version.
	default:
		a.perform(a.keeper.Dispatch(now, box, call))
	}

	return true
}

// greet answers a Hello with the agent's epoch, its load and its cache.
func (a *Attendant) greet(now time.Time, box *outbox) {
	box.Send(&wire.Reply{Body: &wire.Reply_Welcome{Welcome: &wire.Welcome{
		Server: a.settings.Name, Epoch: a.epoch,
	}}})
	box.Send(a.loadReply(now))
	if len(a.prefixes) > 0 {
		added := make([]uint64, 0, len(a.prefixes))
		for prefix := range a.prefixes {
			added = append(added, prefix)
		}
		slices.Sort(added)
		box.Send(eventReply(a.events, added, nil))
	}
	a.watchers[box] = struct{}{}
}

func (a *Attendant) loadReply(now time.Time) *wire.Reply {
	load := a.queue.Load(now)
	m := &wire.Load{
		Total: int64(load.Total), Free: int64(load.Free), Rate: a.rate,
		Leaving: a.keeper.leaving != "",
	}
	if !a.keeper.up {
		m.Free = 0
	}
	for _, wait := range load.Waits {
		m.Waits = append(m.Waits, wait.Milliseconds())
	}

	return &wire.Reply{Body: &wire.Reply_Load{Load: m}}
}

func (a *Attendant) sendLoad(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.loadReply(now)
	for box := range a.watchers {
		box.Send(r)
	}
}

// cached passes a cache event of the engine on.
func (a *Attendant) cached(e driver.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, prefix := range e.Added {
		if len(a.prefixes) < maxPrefixes {
			a.prefixes[prefix] = struct{}{}
		}
	}
	for _, prefix := range e.Removed {
		delete(a.prefixes, prefix)
	}
	a.announce(e.Added, e.Removed)
}

// maxPrefixes bounds what is remembered of the engine's cache: events of
// evictions can be lost.
const maxPrefixes = 1 << 16

// forgetCache tells entries that the engine's cache is empty after a crash.
func (a *Attendant) forgetCache() {
	gone := make([]uint64, 0, len(a.prefixes))
	for prefix := range a.prefixes {
		gone = append(gone, prefix)
	}
	slices.Sort(gone)
	clear(a.prefixes)
	if len(gone) > 0 {
		a.announce(nil, gone)
	}
}

func (a *Attendant) announce(added, gone []uint64) {
	a.events++
	r := eventReply(a.events, added, gone)
	for box := range a.watchers {
		box.Send(r)
	}
}

func eventReply(seq uint64, added, gone []uint64) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Event{Event: &wire.Event{Seq: seq, Added: added, Gone: gone}}}
}
