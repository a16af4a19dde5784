// Package lender is the slim agent beside one backend server: it lends the
// server's memory to entries that send their requests to the server themselves.
// It is the only authority for that memory, so that entries which do not know of
// each other never overload the server, and urgent work goes first.
package lender

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// Reasons of refusals beside those of the granter.
const (
	reasonDown = "down"  // the server does not answer
	reasonRole = "phase" // the server does other work
)

// tick is the time between two looks for expired asks and grants.
const tick = 50 * time.Millisecond

// Lender lends the memory of one server.
type Lender struct {
	s        Settings
	listener *messenger.Listener
	epoch    uint64
	ctx      context.Context //nolint:containedctx // it is the lifetime of the lender
	cancel   context.CancelFunc
	done     chan struct{}
	once     sync.Once
	work     sync.WaitGroup
	stops    []func()

	mu      sync.Mutex
	granter *granter.Granter // nil before the first report
	report  Report
	lent    Phase     // work that the granter is for
	foreign int       // tokens in use without a grant
	heard   time.Time // last report
	down    bool
	looking bool
	// doubted are the grants whose work the server may have broken off. Their memory is
	// lent again after a report that was asked for later; checked are those that the
	// report under way is for.
	doubted, checked []string
	leaving          bool // this process is shutting down
	clients          map[string]*client
	granted          map[string]string      // entry by grant
	waiting          map[string]granter.Ask // asks without a decision
}

// New checks the settings; Start accepts entries.
func New(s Settings) (*Lender, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Lender{
		s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), clients: make(map[string]*client),
		granted: make(map[string]string), waiting: make(map[string]granter.Ask),
		epoch: rand.Uint64(), down: true, //nolint:gosec // no secret
	}, nil
}

// Start accepts entries and begins to watch the server.
func (l *Lender) Start() error {
	listener, err := messenger.Listen(l.s.Listen, l.serve)
	if err != nil {
		return errors.Newf("start lender: %w", err)
	}
	l.listener = listener
	l.stops = append(l.stops,
		l.s.Timer.Every(tick, l.tick),
		l.s.Timer.Every(l.s.Look, func(time.Time) { l.look() }),
		l.s.Timer.Every(l.s.Push, l.push),
	)
	l.look()

	return nil
}

// Addr returns the address for entries, "ip:port".
func (l *Lender) Addr() string { return l.listener.Addr() }

// Ready tells whether the server can be lent.
func (l *Lender) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.down && !l.leaving
}

// Leave refuses new asks; grants keep running.
func (l *Lender) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.pushAll(l.s.Timer.Now(), true)
}

// Close ends the lender.
func (l *Lender) Close() {
	l.once.Do(func() {
		l.cancel()
		for _, stop := range l.stops {
			stop()
		}
		if l.listener != nil {
			// It closes the sessions of all entries, which then go elsewhere.
			_ = l.listener.Close()
		}
		l.work.Wait()
		close(l.done)
	})
}

// Done is closed by Close.
func (l *Lender) Done() <-chan struct{} { return l.done }

func (l *Lender) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.granter != nil {
		l.deliver(l.granter.Tick(now))
	}
}

// ask takes one ask of an entry.
func (l *Lender) ask(c *client, a *wire.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := l.unfit(a.GetPhase())
	if reason != "" {
		c.send(refusal(a.GetId(), reason, 0))

		return
	}
	now := l.s.Timer.Now()
	ask := granter.Ask{
		ID: a.GetId(), Entry: c.name, Caller: a.GetCaller(), Service: a.GetService(), Rank: int(a.GetRank()),
		Due:    now.Add(time.Duration(a.GetDue()) * time.Millisecond),
		Pieces: int(a.GetPieces()+int64(l.s.Block)-1) / l.s.Block,
		Cost:   time.Duration(a.GetCost()) * time.Microsecond,
	}
	l.waiting[ask.ID] = ask
	l.deliver(l.granter.Ask(now, ask))
}

// unfit tells why work of a phase cannot be lent for, or "". It needs the lock.
func (l *Lender) unfit(p wire.Phase) string {
	want := Decode
	if p == wire.Phase_PHASE_PREFILL {
		want = Prefill
	}
	switch {
	case l.granter == nil || l.down:
		return reasonDown
	case l.leaving || l.report.Leaving:
		return granter.ReasonDrain
	case l.report.Phase != want:
		return reasonRole
	}

	return ""
}

func refusal(id, reason string, after time.Duration) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Refused{
		Id: id, Reason: reason, After: after.Milliseconds(),
	}}}
}

// withdraw ends an ask or a grant that was not used.
func (l *Lender) withdraw(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.granted, id)
	delete(l.waiting, id)
	if l.granter != nil {
		l.deliver(l.granter.Withdraw(l.s.Timer.Now(), id))
	}
}

// settle frees the grants of an entry that it no longer uses. It needs the lock.
func (l *Lender) settle(entry string, used []string) {
	for id, holder := range l.granted {
		if holder == entry && !slices.Contains(used, id) {
			delete(l.granted, id)
			l.deliver(l.granter.Withdraw(l.s.Timer.Now(), id))
		}
	}
}

// release ends a grant whose work has ended. If it was broken off, the server may be
// gone, and its memory, which looks free, would draw all other work there.
func (l *Lender) release(id string, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if broken && !l.down {
		l.s.Log.Info().Str("id", id).Msg("server is in doubt")
		l.doubted = append(l.doubted, id)
		l.lookLocked()

		return
	}
	l.free(id)
}

// free ends a grant. It needs the lock.
func (l *Lender) free(id string) {
	delete(l.granted, id)
	if l.granter != nil {
		l.deliver(l.granter.Release(l.s.Timer.Now(), id))
	}
}

// deliver sends decisions to the entries they are for. It needs the lock.
func (l *Lender) deliver(decisions []granter.Decision) {
	for _, d := range decisions {
		c := l.clients[d.Entry]
		delete(l.waiting, d.ID)
		if d.Kind == granter.Granted {
			l.granted[d.ID] = d.Entry
		} else {
			delete(l.granted, d.ID)
		}
		l.s.Log.Info().Str("id", d.ID).Str("entry", d.Entry).Int("kind", int(d.Kind)).Str("reason", d.Reason).
			Dur("after", d.After).Msg("decided")
		if c == nil {
			continue
		}
		if d.Kind == granter.Granted {
			c.send(&wire.Reply{Body: &wire.Reply_Granted{Granted: &wire.Granted{Id: d.ID, Epoch: l.epoch}}})
		} else {
			c.send(refusal(d.ID, d.Reason, d.After))
		}
	}
}
