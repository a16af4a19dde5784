package grantserver

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// sendQueueSize is the maximum number of replies queued for one entry. An entry that reads
// too slowly is disconnected, and its grants are freed when its lease expires.
const sendQueueSize = 1024

// client is the session with one entry.
type client struct {
	name     string
	birth    int64 // of the start of the backend server that the entry knows, 0 if it does not
	out      chan *wire.Reply
	cancel   context.CancelFunc
	lastPush time.Time
	load     *wire.Load
	quiet    bool // the entry does not use the loads
}

// send queues a reply. It never blocks: if the queue is full, the session ends.
func (c *client) send(r *wire.Reply) {
	select {
	case c.out <- r:
	default:
		c.cancel()
	}
}

// serve runs the session of one entry until its stream ends.
func (gs *Server) serve(ctx context.Context, s *messenger.Stream) {
	var hello wire.Call
	if s.Recv(&hello) != nil || hello.GetHello().GetEntry() == "" {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &client{
		name: hello.GetHello().GetEntry(), birth: hello.GetHello().GetBirth(), quiet: hello.GetHello().GetQuiet(),
		out: make(chan *wire.Reply, sendQueueSize), cancel: cancel,
	}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	gs.register(c, hello.GetHello().GetGrants())
	defer gs.unregister(c)
	gs.wg.Add(1)
	go func() {
		defer gs.wg.Done()
		c.write(ctx, s)
	}()
	for {
		var call wire.Call
		if s.Recv(&call) != nil {
			return
		}
		gs.renew(c)
		switch body := call.GetBody().(type) {
		case *wire.Call_Ask:
			gs.ask(c, body.Ask)
		case *wire.Call_Withdraw:
			gs.withdraw(body.Withdraw.GetId())
		case *wire.Call_Hello:
			gs.updateClient(c, body.Hello)
		case *wire.Call_Keep:
			gs.keep(body.Keep.GetOrigin())
		case *wire.Call_Locate:
			gs.locate(c, body.Locate.GetId())
		case *wire.Call_Release:
			gs.release(body.Release.GetId(), body.Release.GetBroken()) //nolint:contextcheck // the poll outlives the session
		}
	}
}

// write sends queued replies until the session ends.
func (c *client) write(ctx context.Context, s *messenger.Stream) {
	defer c.cancel()
	for {
		select {
		case r := <-c.out:
			if s.Send(r) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// register makes c the session of its entry and ends an older one. The grants of the
// entry that are not listed in used are freed.
func (gs *Server) register(c *client, used []string) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if old := gs.clients[c.name]; old != nil {
		old.cancel()
	}
	gs.clients[c.name] = c
	gs.releaseUnused(c.name, used)
	c.send(&wire.Reply{Body: &wire.Reply_Welcome{Welcome: &wire.Welcome{Server: gs.s.Backend, Epoch: gs.epoch}}})
	gs.pushTo(c, gs.s.Timer.Now(), gs.currentLoad(), true)
	gs.s.Log.Info().Str("entry", c.name).Int("entries", len(gs.clients)).Msg("entry connected")
}

// updateClient applies another Hello of an entry: whether it gets the load each time it changes,
// and which start of the server it knows.
func (gs *Server) updateClient(c *client, hello *wire.Hello) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	c.quiet, c.birth = hello.GetQuiet(), hello.GetBirth()
	gs.pushTo(c, gs.s.Timer.Now(), gs.currentLoad(), true)
}

func (gs *Server) unregister(c *client) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.clients[c.name] == c {
		delete(gs.clients, c.name)
	}
	gs.s.Log.Info().Str("entry", c.name).Int("entries", len(gs.clients)).Msg("entry disconnected")
}

func (gs *Server) renew(c *client) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.granter != nil {
		gs.granter.Renew(gs.s.Timer.Now(), c.name)
	}
}

// currentLoad returns the load as reported to entries, except for the speed. The caller must hold gs.mu.
func (gs *Server) currentLoad() *wire.Load {
	if gs.granter == nil || gs.down || gs.leaving || gs.report.Leaving {
		return &wire.Load{Leaving: true}
	}
	if gs.report.ChangingStage {
		return &wire.Load{Leaving: true, Limit: gs.report.Limit}
	}
	in := gs.granter.Load(gs.s.Timer.Now())
	out := &wire.Load{Total: int64(in.Total), Free: int64(in.Free), Limit: gs.report.Limit}
	if gs.report.Phase == Decode {
		out.Total, out.Free = out.Total*int64(gs.s.BlockSize), out.Free*int64(gs.s.BlockSize)
	}
	for _, n := range in.Queued {
		out.Queued += int64(n)
	}
	for _, w := range in.Waits {
		out.Waits = append(out.Waits, w.Milliseconds())
	}

	return out
}

func (gs *Server) pushChanged(now time.Time) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.pushAll(now, false)
}

// pushAll sends the load to the entries for which it has changed, or to all of them if
// always is set. The caller must hold gs.mu.
func (gs *Server) pushAll(now time.Time, always bool) {
	if len(gs.clients) == 0 {
		return
	}
	load := gs.currentLoad()
	for _, c := range gs.clients {
		gs.pushTo(c, now, load, always)
	}
}

// pushTo sends the load to one entry if it has changed and the entry uses it, if nothing was
// sent for MaxPushInterval, or if always is set. The caller must hold gs.mu.
func (gs *Server) pushTo(c *client, now time.Time, load *wire.Load, always bool) {
	load = gs.loadFor(c, load)
	if !always && now.Sub(c.lastPush) < gs.s.MaxPushInterval && (c.quiet || proto.Equal(load, c.load)) {
		return
	}
	c.lastPush, c.load = now, load
	c.send(&wire.Reply{Body: &wire.Reply_Load{Load: gs.withSpeed(now, load)}})
}
