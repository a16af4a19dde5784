package router

import (
	"context"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// attempt carries the messages of one attempt over a stream of its own. After a
// lost stream the next message opens a new one.
type attempt struct {
	f      *flight
	id     string
	server string
	link   *link
	ctx    context.Context //nolint:containedctx // it is the lifetime of the attempt
	cancel context.CancelFunc

	mu     sync.Mutex
	queue  []frame
	wake   chan struct{}
	stream *messenger.Stream
	asked  bool   // a message may have left
	epoch  uint64 // of the agent that granted
}

// frame is a message to the agent.
type frame struct {
	call *wire.Call
	// renew asks for a new stream even if the present one seems to be alive.
	renew bool
}

func (f *flight) newAttempt(id, server string) *attempt {
	a := &attempt{f: f, id: id, server: server, link: f.r.link(server), wake: make(chan struct{}, 1)}
	a.ctx, a.cancel = context.WithCancel(f.r.ctx)
	f.attempts[id] = a
	go a.run()

	return a
}

func (a *attempt) send(c frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, c)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *attempt) run() {
	for {
		select {
		case <-a.wake:
		case <-a.ctx.Done():
			return
		}
		a.mu.Lock()
		batch := a.queue
		a.queue = nil
		a.mu.Unlock()
		for _, c := range batch {
			a.write(c)
		}
	}
}

// write sends one frame on the present stream or on a new one.
func (a *attempt) write(c frame) {
	a.mu.Lock()
	stream := a.stream
	if c.renew && stream != nil {
		a.stream = nil
		_ = stream.Close()
		stream = nil
	}
	a.mu.Unlock()
	if stream == nil {
		opened, err := a.link.open(a.ctx)
		if err != nil {
			a.report(dispatcher.Lost{ID: a.id, Reason: "the agent cannot be reached"})

			return
		}
		stream = opened
		if !a.attach(stream) {
			_ = stream.Close()
			a.link.left()

			return
		}
	}
	if !a.mark() {
		return
	}
	if err := stream.Send(c.call); err != nil {
		a.lost(stream)
	}
}

// mark notes that a message is about to leave, unless the attempt has ended.
func (a *attempt) mark() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil {
		return false
	}
	a.asked = true

	return true
}

func (a *attempt) attach(stream *messenger.Stream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil {
		return false
	}
	a.stream = stream
	go a.read(stream)

	return true
}

func (a *attempt) read(stream *messenger.Stream) {
	defer a.link.left()
	for {
		reply := new(wire.Reply)
		if err := stream.Recv(reply); err != nil {
			a.lost(stream)

			return
		}
		if g := reply.GetGranted(); g != nil {
			a.mu.Lock()
			a.epoch = g.GetEpoch()
			a.mu.Unlock()
		}
		if e := event(reply); e != nil {
			a.report(e)
		}
	}
}

// lost reports the end of a stream once, unless the attempt has left it.
func (a *attempt) lost(stream *messenger.Stream) {
	a.mu.Lock()
	current := a.stream == stream
	if current {
		a.stream = nil
	}
	a.mu.Unlock()
	_ = stream.Close()
	if current {
		a.report(dispatcher.Lost{ID: a.id, Reason: "the connection to the agent broke"})
	}
}

func (a *attempt) report(e dispatcher.Event) {
	if a.ctx.Err() == nil {
		a.f.step(e)
	}
}

// withdraw ends the attempt at the agent. The stream of a claimed call stays
// open for an answer that is still worth recording.
func (a *attempt) withdraw(keep bool) {
	a.mu.Lock()
	asked, epoch := a.asked, a.epoch
	if !asked || !keep {
		a.end()
	}
	a.mu.Unlock()
	if !asked {
		return
	}
	a.link.withdraw(a.id, epoch, func(ran bool) {
		a.f.step(dispatcher.Withdrawn{ID: a.id, Ran: ran})
	})
}

// end closes the stream. a.mu is held.
func (a *attempt) end() {
	a.cancel()
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
}

func (a *attempt) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end()
}

// event translates a reply of an agent.
func event(r *wire.Reply) dispatcher.Event {
	switch b := r.GetBody().(type) {
	case *wire.Reply_Granted:
		return dispatcher.Granted{ID: b.Granted.GetId()}
	case *wire.Reply_Refused:
		return dispatcher.Refused{
			ID: b.Refused.GetId(), Reason: b.Refused.GetReason(), After: milliseconds(b.Refused.GetAfter()),
		}
	case *wire.Reply_Withdrawn:
		return dispatcher.Withdrawn{ID: b.Withdrawn.GetId(), Ran: b.Withdrawn.GetRan()}
	case *wire.Reply_Prefilled:
		p := b.Prefilled

		return dispatcher.Prefilled{
			ID: p.GetId(), Handle: p.GetHandle(), Source: p.GetSource(), Tokens: p.GetTokens(), Cached: p.GetCached(),
		}
	case *wire.Reply_Imported:
		return dispatcher.Imported{ID: b.Imported.GetId()}
	case *wire.Reply_Chunk:
		c := b.Chunk

		return dispatcher.Arrived{ID: c.GetId(), Seq: c.GetSeq(), Text: c.GetText(), Tokens: c.GetTokens()}
	case *wire.Reply_Ended:
		e := b.Ended

		return dispatcher.Ended{ID: e.GetId(), Status: e.GetStatus(), Chunks: e.GetChunks(), Reason: e.GetReason()}
	case *wire.Reply_Answer:
		n := b.Answer

		return dispatcher.Answered{ID: n.GetId(), Status: int(n.GetStatus()), Headers: n.GetHeaders(), Body: n.GetBody()}
	default:
		return nil
	}
}

// ask returns the message of an Ask.
func (f *flight) ask(now time.Time, a dispatcher.Ask) *wire.Call {
	return &wire.Call{Body: &wire.Call_Ask{Ask: &wire.Ask{
		Id: a.ID, Request: f.request.ID, Phase: a.Phase, Rank: int32(f.request.Rank),
		Due: max(a.Due.Sub(now).Milliseconds(), 1), Pieces: a.Pieces, Cost: a.Cost.Microseconds(),
		Hold: a.Hold.Microseconds(), Caller: f.request.Caller, Service: f.request.Service,
		Digest: f.request.Digest, Entry: f.r.settings.Name, Epoch: f.r.epoch, Alone: a.Alone,
	}}}
}

// dispatch returns the message of an action that dispatches work.
func (f *flight) dispatch(action dispatcher.Action) (string, frame) {
	r := f.request
	switch a := action.(type) {
	case dispatcher.Prefill:
		return a.ID, frame{call: &wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{
			Id: a.ID, Prompt: r.Prompt, Prefix: r.Prefix, Tokens: r.Tokens,
		}}}}
	case dispatcher.Import:
		return a.ID, frame{call: &wire.Call{Body: &wire.Call_Import{Import: &wire.Import{
			Id: a.ID, Handle: a.Handle, Source: a.Source, Tokens: a.Tokens,
		}}}}
	case dispatcher.Decode:
		return a.ID, frame{renew: a.Resume, call: &wire.Call{Body: &wire.Call_Decode{Decode: &wire.Decode{
			Id: a.ID, Offset: a.Offset, Limit: a.Limit,
		}}}}
	case dispatcher.Run:
		return a.ID, frame{call: &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
			Id: a.ID, Method: r.Method, Path: r.Path, Headers: r.Headers, Body: r.Body, Key: r.Key,
		}}}}
	default:
		return "", frame{}
	}
}
