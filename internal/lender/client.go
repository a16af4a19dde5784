package lender

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// clientBacklog is the number of replies that wait for one entry. An entry that
// reads too slowly is disconnected, and its lease frees what it holds.
const clientBacklog = 1024

// client is the session of one entry.
type client struct {
	name   string
	out    chan *wire.Reply
	cancel context.CancelFunc
	pushed time.Time
	load   *wire.Load
}

// send queues a reply. It never blocks.
func (c *client) send(r *wire.Reply) {
	select {
	case c.out <- r:
	default:
		c.cancel()
	}
}

// serve handles the stream of one entry.
func (l *Lender) serve(ctx context.Context, s *messenger.Stream) {
	var hello wire.Call
	if s.Recv(&hello) != nil || hello.GetHello().GetEntry() == "" {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &client{name: hello.GetHello().GetEntry(), out: make(chan *wire.Reply, clientBacklog), cancel: cancel}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	l.join(c, hello.GetHello().GetGrants())
	defer l.leave(c)
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		c.write(ctx, s)
	}()
	for {
		var call wire.Call
		if s.Recv(&call) != nil {
			return
		}
		l.renew(c)
		switch body := call.GetBody().(type) {
		case *wire.Call_Ask:
			l.ask(c, body.Ask)
		case *wire.Call_Withdraw:
			l.withdraw(body.Withdraw.GetId())
		case *wire.Call_Release:
			l.release(body.Release.GetId(), body.Release.GetBroken()) //nolint:contextcheck // a look outlives the session
		}
	}
}

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

// join makes the session the one of its entry; an older one is ended.
func (l *Lender) join(c *client, used []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.clients[c.name]; old != nil {
		old.cancel()
	}
	l.clients[c.name] = c
	l.settle(c.name, used)
	c.send(&wire.Reply{Body: &wire.Reply_Welcome{Welcome: &wire.Welcome{Server: l.s.Server, Epoch: l.epoch}}})
	l.pushTo(c, l.s.Timer.Now(), l.current(), true)
	l.s.Log.Info().Str("entry", c.name).Int("entries", len(l.clients)).Msg("entry joined")
}

func (l *Lender) leave(c *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[c.name] == c {
		delete(l.clients, c.name)
	}
	l.s.Log.Info().Str("entry", c.name).Int("entries", len(l.clients)).Msg("entry left")
}

func (l *Lender) renew(c *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.granter != nil {
		l.granter.Renew(l.s.Timer.Now(), c.name)
	}
}

// current is the load as entries see it. It needs the lock.
func (l *Lender) current() *wire.Load {
	if l.granter == nil || l.down || l.leaving || l.report.Leaving {
		return &wire.Load{Leaving: true}
	}
	in := l.granter.Load(l.s.Timer.Now())
	out := &wire.Load{Total: int64(in.Total), Free: int64(in.Free)}
	if l.report.Phase == Decode {
		out.Total, out.Free = out.Total*int64(l.s.Block), out.Free*int64(l.s.Block)
	}
	for _, n := range in.Queued {
		out.Queued += int64(n)
	}
	for _, w := range in.Waits {
		out.Waits = append(out.Waits, w.Milliseconds())
	}

	return out
}

func (l *Lender) push(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pushAll(now, false)
}

// pushAll sends the load to the entries for which it has changed.
func (l *Lender) pushAll(now time.Time, always bool) {
	if len(l.clients) == 0 {
		return
	}
	load := l.current()
	for _, c := range l.clients {
		l.pushTo(c, now, load, always)
	}
}

func (l *Lender) pushTo(c *client, now time.Time, load *wire.Load, always bool) {
	if !always && now.Sub(c.pushed) < l.s.Pulse && proto.Equal(load, c.load) {
		return
	}
	c.pushed, c.load = now, load
	c.send(&wire.Reply{Body: &wire.Reply_Load{Load: load}})
}
