package borrower

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	dialTimeout = 500 * time.Millisecond
	// callBacklog is the number of calls that wait for one lender.
	callBacklog = 1024
)

// link is the session with one lender.
type link struct {
	b      *Borrower
	server string
	addr   string
	ctx    context.Context //nolint:containedctx // it is the lifetime of the link
	cancel context.CancelFunc

	mu      sync.Mutex
	out     chan *wire.Call // nil while down
	load    *wire.Load
	heard   time.Time
	met     bool // a session has been there
	failed  int  // attempts to connect, or sessions, that have ended
	pending map[string]chan<- verdict
	held    map[string]bool // grants in use
}

// run keeps a session until the link is cancelled.
func (l *link) run() {
	wait := l.b.s.MinWait
	for l.ctx.Err() == nil {
		begun := l.b.s.Timer.Now()
		err := l.session()
		l.fail()
		if l.ctx.Err() != nil {
			return
		}
		if l.b.s.Timer.Now().Sub(begun) > l.b.s.MaxWait {
			wait = l.b.s.MinWait
		}
		// A server without an agent is no loss that needs a line for each attempt.
		if !l.absent() {
			l.b.s.Log.Info().Str("server", l.server).Str("addr", l.addr).Dur("wait", wait).Err(err).Msg("lender lost")
		}
		pause := time.NewTimer(wait)
		select {
		case <-pause.C:
		case <-l.ctx.Done():
		}
		pause.Stop()
		wait = min(2*wait, l.longest())
	}
}

// absent tells that there has never been a session, although several were tried.
func (l *link) absent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.met && l.failed > 1
}

// longest is the longest wait between two attempts to connect.
func (l *link) longest() time.Duration {
	if l.absent() {
		return l.b.s.Absent
	}

	return l.b.s.MaxWait
}

// session runs one session until it breaks or falls silent.
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
	out := make(chan *wire.Call, callBacklog)
	l.mu.Lock()
	out <- &wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{
		Entry: l.b.s.Name, Grants: slices.Collect(maps.Keys(l.held)),
	}}}
	l.heard = l.b.s.Timer.Now()
	l.mu.Unlock()
	defer l.b.s.Timer.Every(l.b.s.Renew, func(now time.Time) {
		if l.silent(now) {
			cancel()

			return
		}
		select {
		case out <- &wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}}:
		default:
			cancel()
		}
	})()
	l.b.work.Add(1)
	go func() {
		defer l.b.work.Done()
		defer cancel()
		write(ctx, stream, out)
	}()
	for {
		r := &wire.Reply{}
		if err := stream.Recv(r); err != nil {
			return errors.Newf("read reply: %w", err)
		}
		l.take(r, out)
	}
}

func write(ctx context.Context, stream *messenger.Stream, out <-chan *wire.Call) {
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

func (l *link) silent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.heard) > l.b.s.Silence
}

// take handles one reply.
func (l *link) take(r *wire.Reply, out chan *wire.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = l.b.s.Timer.Now()
	switch body := r.GetBody().(type) {
	case *wire.Reply_Welcome:
		l.out, l.met = out, true
	case *wire.Reply_Load:
		l.load = body.Load
	case *wire.Reply_Granted:
		id := body.Granted.GetId()
		if !l.answer(verdict{link: l, id: id, granted: true}) {
			// It was withdrawn while the grant was on its way.
			l.post(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id}}})
		}
	case *wire.Reply_Refused:
		l.answer(verdict{link: l, id: body.Refused.GetId(), refused: RefusedError{
			Reason: body.Refused.GetReason(), After: time.Duration(body.Refused.GetAfter()) * time.Millisecond,
		}})
	}
}

// answer passes a verdict to the ask that waits for it. It needs the lock.
func (l *link) answer(v verdict) bool {
	ch := l.pending[v.id]
	if ch == nil {
		return false
	}
	delete(l.pending, v.id)
	if v.granted {
		l.held[v.id] = true
	}
	ch <- v // it has room for one verdict of each lender

	return true
}

// fail answers everything that waits for a session that has ended.
func (l *link) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out, l.load = nil, nil
	l.failed++
	for id := range l.pending {
		l.answer(verdict{link: l, id: id, refused: RefusedError{Reason: "down"}})
	}
}

// ask sends an ask; it returns false while there is no session.
func (l *link) ask(id string, a Ask, answers chan<- verdict) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		return false
	}
	l.pending[id] = answers
	if !l.post(&wire.Call{Body: &wire.Call_Ask{Ask: &wire.Ask{
		Id: id, Request: a.ID, Phase: a.Phase, Rank: int32(a.Rank), Due: a.Due.Milliseconds(),
		Pieces: int64(a.Tokens), Cost: a.Cost.Microseconds(), Caller: a.Caller, Service: a.Service,
	}}}) {
		delete(l.pending, id)

		return false
	}

	return true
}

// unused tells whether no ask waits and no grant is in use.
func (l *link) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return len(l.pending) == 0 && len(l.held) == 0
}

// withdraw ends an ask. A grant that has arrived meanwhile is given back.
func (l *link) withdraw(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
	delete(l.held, id)
	l.post(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id}}})
}

// release ends a grant. If there is no session, the next one tells that it is
// not used any more.
func (l *link) release(id string, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, id)
	l.post(&wire.Call{Body: &wire.Call_Release{Release: &wire.Release{Id: id, Broken: broken}}})
}

// post queues a call. It needs the lock. What a session that is down holds is
// freed by its lease.
func (l *link) post(c *wire.Call) bool {
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

func (l *link) current() (Load, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil || l.load == nil {
		return Load{}, false
	}
	out := Load{
		Total: int(l.load.GetTotal()), Free: int(l.load.GetFree()), Queued: int(l.load.GetQueued()),
		Leaving: l.load.GetLeaving(), Age: l.b.s.Timer.Now().Sub(l.heard),
	}
	for _, w := range l.load.GetWaits() {
		out.Waits = append(out.Waits, time.Duration(w)*time.Millisecond)
	}

	return out, true
}
