package grantclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	dialTimeout = 500 * time.Millisecond
	// sendQueueSize is the maximum number of calls queued for one grant server.
	sendQueueSize = 1024
)

// link maintains the session with one grant server and reconnects when it ends.
type link struct {
	c      *Client
	server string
	addr   string
	ctx    context.Context //nolint:containedctx // lifetime of the link
	cancel context.CancelFunc

	mu            sync.Mutex
	out           chan *wire.Call // nil while there is no session
	load          *wire.Load
	lastHeard     time.Time
	everConnected bool // a session has been established at least once
	failures      int  // failed connection attempts and ended sessions
	pending       map[string]chan<- decision
	held          map[string]bool // grants in use
	epoch         uint64          // of the agent, if there is a session
	lookups       map[string][]chan<- *wire.Located
	quiet         bool  // no grants are asked for here
	birth         int64 // of the start of the server that the entry knows, 0 if unknown
}

// run keeps a session open until the link is cancelled.
func (l *link) run() {
	backoff := l.c.s.MinBackoff
	for l.ctx.Err() == nil {
		start := l.c.s.Timer.Now()
		err := l.session()
		l.failPending()
		if l.ctx.Err() != nil {
			return
		}
		if l.c.s.Timer.Now().Sub(start) > l.c.s.MaxBackoff {
			backoff = l.c.s.MinBackoff
		}
		// Attempts to reach a server without an agent always fail and are not logged.
		if !l.neverConnected() {
			l.c.s.Log.Info().Str("server", l.server).Str("addr", l.addr).Dur("wait", backoff).Err(err).Msg("session with grant server ended, reconnecting")
		}
		pause := time.NewTimer(backoff)
		select {
		case <-pause.C:
		case <-l.ctx.Done():
		}
		pause.Stop()
		backoff = min(2*backoff, l.maxBackoff())
	}
}

// neverConnected reports whether several attempts have failed and none has succeeded.
func (l *link) neverConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.everConnected && l.failures > 1
}

// maxBackoff returns the maximum time between two connection attempts.
func (l *link) maxBackoff() time.Duration {
	if l.neverConnected() {
		return l.c.s.AbsentBackoff
	}

	return l.c.s.MaxBackoff
}

// session connects and runs one session until it fails or the grant server falls silent.
func (l *link) session() error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	dial, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	session, err := messenger.Dial(dial, l.addr)
	if err != nil {
		return errors.Newf("connect: %w", err)
	}
	defer func() { _ = session.Close() }()
	stream, err := session.Open(ctx)
	if err != nil {
		return errors.Newf("open stream: %w", err)
	}
	defer context.AfterFunc(ctx, func() { _ = session.Close() })()
	out := make(chan *wire.Call, sendQueueSize)
	l.mu.Lock()
	out <- l.hello()
	l.lastHeard = l.c.s.Timer.Now()
	l.mu.Unlock()
	defer l.c.s.Timer.Every(l.c.s.Renew, func(now time.Time) {
		if l.timedOut(now) {
			cancel()

			return
		}
		select {
		case out <- &wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}}:
		default:
			cancel()
		}
	})()
	l.c.wg.Add(1)
	go func() {
		defer l.c.wg.Done()
		defer cancel()
		writeCalls(ctx, stream, out)
	}()
	for {
		r := &wire.Reply{}
		if err := stream.Recv(r); err != nil {
			return errors.Newf("read reply: %w", err)
		}
		l.handleReply(r, out)
	}
}

// hello returns the first call of a session. The caller must hold l.mu.
func (l *link) hello() *wire.Call {
	return &wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{
		Entry: l.c.s.Name, Birth: l.birth, Grants: slices.Collect(maps.Keys(l.held)), Quiet: l.quiet,
	}}}
}

// setQuiet sets whether no grants are asked for at this server.
func (l *link) setQuiet(quiet bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quiet != quiet {
		l.quiet = quiet
		l.enqueue(l.hello())
	}
}

// setBirth sets which start of the server the entry knows.
func (l *link) setBirth(birth int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.birth != birth {
		l.birth = birth
		l.enqueue(l.hello())
	}
}

// isQuiet reports whether no grants are asked for at this server.
func (l *link) isQuiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.quiet
}

// writeCalls sends queued calls until the session ends.
func writeCalls(ctx context.Context, stream *messenger.Stream, out <-chan *wire.Call) {
	for {
		select {
		case c := <-out:
			if stream.Send(c) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// timedOut reports whether the grant server has been silent for too long.
func (l *link) timedOut(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.lastHeard) > l.c.s.SilenceTimeout
}

// handleReply processes one message of the grant server.
func (l *link) handleReply(r *wire.Reply, out chan *wire.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard = l.c.s.Timer.Now()
	switch body := r.GetBody().(type) {
	case *wire.Reply_Welcome:
		l.out, l.everConnected, l.epoch = out, true, body.Welcome.GetEpoch()
	case *wire.Reply_Load:
		l.load = body.Load
	case *wire.Reply_Granted:
		id := body.Granted.GetId()
		if !l.deliver(decision{link: l, id: id, granted: true}) {
			// The ask was withdrawn while the grant was in transit.
			l.enqueue(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id}}})
		}
	case *wire.Reply_Located:
		for _, waiting := range l.lookups[body.Located.GetId()] {
			waiting <- body.Located // never blocks: each waits for one reply
		}
		delete(l.lookups, body.Located.GetId())
	case *wire.Reply_Refused:
		l.deliver(decision{link: l, id: body.Refused.GetId(), refused: RefusedError{
			Reason: body.Refused.GetReason(), After: time.Duration(body.Refused.GetAfter()) * time.Millisecond,
		}})
	}
}

// deliver passes a decision to the ask that waits for it, and returns false if there is
// none. The caller must hold l.mu.
func (l *link) deliver(d decision) bool {
	ch := l.pending[d.id]
	if ch == nil {
		return false
	}
	delete(l.pending, d.id)
	if d.granted {
		l.held[d.id] = true
	}
	ch <- d // never blocks: the buffer has room for one decision of each grant server

	return true
}

// failPending refuses all asks that wait for a session that has ended.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out, l.load = nil, nil
	l.failures++
	for id, waiting := range l.lookups {
		for _, ch := range waiting {
			close(ch)
		}
		delete(l.lookups, id)
	}
	for id := range l.pending {
		l.deliver(decision{link: l, id: id, refused: RefusedError{Reason: "down"}})
	}
}

// ask sends an ask to the grant server. It returns false if there is no session or its send
// queue is full.
func (l *link) ask(id string, a Ask, decisions chan<- decision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		return false
	}
	l.pending[id] = decisions
	if !l.enqueue(&wire.Call{Body: &wire.Call_Ask{Ask: &wire.Ask{
		Id: id, Request: a.ID, Phase: a.Phase, Rank: int32(a.Rank), Due: a.Due.Milliseconds(),
		Pieces: int64(a.Tokens), Cost: a.Cost.Microseconds(), Caller: a.Caller, Weight: a.Weight, Service: a.Service,
		Output: int64(a.Output), Paced: a.Paced,
	}}}) {
		delete(l.pending, id)

		return false
	}

	return true
}

// unused reports whether no ask is waiting and no grant is in use.
func (l *link) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.pending) == 0 && len(l.held) == 0
}

// withdraw cancels an ask. If it was granted meanwhile, the grant is returned.
func (l *link) withdraw(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	delete(l.held, id)
	l.enqueue(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id}}})
}

// release returns a grant. Without a session, the hello message of the next session no
// longer lists the grant, which tells the grant server that its memory is free.
func (l *link) release(id string, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, id)
	l.enqueue(&wire.Call{Body: &wire.Call_Release{Release: &wire.Release{Id: id, Broken: broken}}})
}

// enqueue queues a call and returns false if it cannot. Grants held by a session that is
// down are freed when its lease expires. The caller must hold l.mu.
func (l *link) enqueue(c *wire.Call) bool {
	if l.out == nil {
		return false
	}
	select {
	case l.out <- c:
		return true
	default:
		return false
	}
}

// lastLoad returns the latest load, or false while there is none.
func (l *link) lastLoad() (Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil || l.load == nil {
		return Load{}, false
	}
	out := Load{
		Total: int(l.load.GetTotal()), Free: int(l.load.GetFree()), Queued: int(l.load.GetQueued()),
		Leaving: l.load.GetLeaving(), Age: l.c.s.Timer.Now().Sub(l.lastHeard),
		Limit: l.load.GetLimit(),
		Speed: observer.Speed{
			Token:  time.Duration(l.load.GetSpeed().GetToken()) * time.Microsecond,
			Prompt: time.Duration(l.load.GetSpeed().GetPrompt()),
		},
	}
	for _, w := range l.load.GetWaits() {
		out.Waits = append(out.Waits, time.Duration(w)*time.Millisecond)
	}

	return out, true
}
