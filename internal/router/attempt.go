package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// attempt is one attempt to run a phase of a request on a server. It exchanges
// messages with the server's agent over its own stream. After the stream is lost,
// the next message opens a new one.
type attempt struct {
	f         *inflight
	id        string
	server    string
	agentConn *agentConn
	ctx       context.Context //nolint:containedctx // the attempt's lifetime is not bound to one call
	cancel    context.CancelFunc

	mu     sync.Mutex
	queue  []outgoingCall
	wake   chan struct{}
	stream *messenger.Stream
	sent   bool   // the agent may have received a message
	epoch  uint64 // of the agent when it granted, 0 before
}

// outgoingCall is a queued message to the agent.
type outgoingCall struct {
	call *wire.Call
	// reopen closes the current stream, even if it still works, and sends the
	// message on a new one.
	reopen bool
}

func (f *inflight) newAttempt(id, server string) *attempt {
	a := &attempt{f: f, id: id, server: server, agentConn: f.r.agentConn(server), wake: make(chan struct{}, 1)}
	a.ctx, a.cancel = context.WithCancel(f.r.ctx)
	f.attempts[id] = a
	go a.writeLoop()

	return a
}

// send queues a message for writeLoop. It does not block.
func (a *attempt) send(c outgoingCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, c)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes queued messages until the attempt is cancelled.
func (a *attempt) writeLoop() {
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
			a.writeCall(c)
		}
	}
}

// writeCall writes one message to the current stream, or to a new one if there is
// none.
func (a *attempt) writeCall(c outgoingCall) {
	a.mu.Lock()
	stream := a.stream
	if c.reopen && stream != nil {
		a.stream = nil
		_ = stream.Close()
		stream = nil
	}
	a.mu.Unlock()
	if stream == nil {
		opened, err := a.agentConn.openStream(a.ctx)
		if err != nil {
			a.report(dispatcher.ConnectionLost{ID: a.id, Reason: "the agent cannot be reached"})

			return
		}
		stream = opened
		if !a.attach(stream) {
			_ = stream.Close()
			a.agentConn.streamEnded()

			return
		}
	}
	if !a.markSent() {
		return
	}
	if err := stream.Send(c.call); err != nil {
		a.streamLost(stream)
	}
}

// markSent records that a message is about to be written. It returns false if the
// attempt has been cancelled.
func (a *attempt) markSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil {
		return false
	}
	a.sent = true

	return true
}

// attach makes stream the current one and starts to read it. It returns false if
// the attempt has been cancelled.
func (a *attempt) attach(stream *messenger.Stream) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx.Err() != nil {
		return false
	}
	a.stream = stream
	go a.readLoop(stream)

	return true
}

// readLoop passes the agent's replies to the state machine until the stream ends.
func (a *attempt) readLoop(stream *messenger.Stream) {
	defer a.agentConn.streamEnded()
	for {
		reply := new(wire.Reply)
		if err := stream.RecvWithin(reply, a.reserve); err != nil {
			a.streamLost(stream)

			return
		}
		if g := reply.GetGranted(); g != nil {
			a.mu.Lock()
			a.epoch = g.GetEpoch()
			a.mu.Unlock()
		}
		if e := replyEvent(reply); e != nil {
			a.report(e)
		}
	}
}

// reserve waits for memory for a large message from the agent. The agent keeps the message until
// then. The memory is freed when the answer has been written.
func (a *attempt) reserve(size int64) error {
	n := min(copiesOfAnswer*size, a.f.r.answerBytes)
	if err := a.f.r.answers.Acquire(a.ctx, n); err != nil {
		return errors.Newf("wait for other answers: %w", err)
	}
	a.f.keepAnswer(n)

	return nil
}

// streamLost closes a stream and reports the loss once. It reports nothing if the
// attempt has already replaced or closed the stream.
func (a *attempt) streamLost(stream *messenger.Stream) {
	a.mu.Lock()
	current := a.stream == stream
	if current {
		a.stream = nil
	}
	a.mu.Unlock()
	_ = stream.Close()
	if current {
		a.report(dispatcher.ConnectionLost{ID: a.id, Reason: "the connection to the agent broke"})
	}
}

// report passes an event to the state machine unless the attempt was cancelled.
func (a *attempt) report(e dispatcher.Event) {
	if a.ctx.Err() == nil {
		a.f.step(e)
	}
}

// withdraw tells the agent to end the attempt, if it may know of it. With
// keepStream the stream stays open, because the answer of a claimed call is still
// worth recording.
func (a *attempt) withdraw(keepStream bool) {
	a.mu.Lock()
	sent, epoch := a.sent, a.epoch
	if !sent || !keepStream {
		a.cancelAndClose()
	}
	a.mu.Unlock()
	if !sent {
		return
	}
	a.agentConn.withdraw(a.id, epoch, func(ran bool) {
		a.f.step(dispatcher.Withdrawn{ID: a.id, Ran: ran})
	})
}

// cancelAndClose cancels the attempt and closes its stream. The caller holds a.mu.
func (a *attempt) cancelAndClose() {
	a.cancel()
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
}

func (a *attempt) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelAndClose()
}

// replyEvent converts an agent's reply to an event of the state machine, nil if it
// is none.
func replyEvent(r *wire.Reply) dispatcher.Event {
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

		return dispatcher.ChunkReceived{ID: c.GetId(), Seq: c.GetSeq(), Text: c.GetText(), Tokens: c.GetTokens()}
	case *wire.Reply_Ended:
		e := b.Ended

		return dispatcher.Ended{ID: e.GetId(), Status: e.GetStatus(), Chunks: e.GetChunks(), Reason: e.GetReason()}
	case *wire.Reply_Answer:
		n := b.Answer

		return dispatcher.ResponseReceived{ID: n.GetId(), Status: int(n.GetStatus()), Headers: n.GetHeaders(), Body: n.GetBody()}
	default:
		return nil
	}
}

// askCall builds the message for an Ask action.
func (f *inflight) askCall(now time.Time, a dispatcher.Ask) *wire.Call {
	return &wire.Call{Body: &wire.Call_Ask{Ask: &wire.Ask{
		Id: a.ID, Request: f.request.ID, Phase: a.Phase, Rank: int32(f.request.Rank),
		Due: max(a.Due.Sub(now).Milliseconds(), 1), Pieces: a.Pieces, Cost: a.Cost.Microseconds(),
		Hold: a.Hold.Microseconds(), Caller: f.request.Caller, Service: f.request.Service,
		Digest: f.request.Digest, Entry: f.r.settings.Name, Epoch: f.r.epoch, Alone: a.Alone,
	}}}
}

// dispatchCall builds the message for an action that dispatches work, and returns
// it with the id of the attempt.
func (f *inflight) dispatchCall(action dispatcher.Action) (string, outgoingCall) {
	r := f.request
	switch a := action.(type) {
	case dispatcher.Prefill:
		return a.ID, outgoingCall{call: &wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{
			Id: a.ID, Prompt: r.Prompt, Prefix: r.Prefix, Tokens: r.Tokens,
		}}}}
	case dispatcher.Import:
		return a.ID, outgoingCall{call: &wire.Call{Body: &wire.Call_Import{Import: &wire.Import{
			Id: a.ID, Handle: a.Handle, Source: a.Source, Tokens: a.Tokens,
		}}}}
	case dispatcher.Decode:
		return a.ID, outgoingCall{reopen: a.Resume, call: &wire.Call{Body: &wire.Call_Decode{Decode: &wire.Decode{
			Id: a.ID, Offset: a.Offset, Limit: a.Limit,
		}}}}
	case dispatcher.Run:
		return a.ID, outgoingCall{call: &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
			Id: a.ID, Method: r.Method, Path: r.Path, Headers: r.Headers, Body: r.Body, Key: r.Key,
		}}}}
	default:
		return "", outgoingCall{}
	}
}
