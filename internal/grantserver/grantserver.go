// Package grantserver implements the agent beside a backend server. It grants the server's
// memory to entry processes, which send their requests to the server themselves. It is
// the only authority for that memory, so that entries that do not coordinate with each
// other cannot overload the server, and urgent work goes first.
package grantserver

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

// Reasons for a refusal, in addition to those of the granter.
const (
	reasonDown  = "down"  // the server does not answer
	reasonPhase = "phase" // the server runs another phase
)

// tick is the interval between checks for expired asks and grants.
const tick = 50 * time.Millisecond

// Server grants the memory of one backend server to entries.
type Server struct {
	s          Settings
	listener   *messenger.Listener
	epoch      uint64
	ctx        context.Context //nolint:containedctx // lifetime of the lender
	cancel     context.CancelFunc
	done       chan struct{}
	once       sync.Once
	wg         sync.WaitGroup
	stopTimers []func()

	mu           sync.Mutex
	granter      *granter.Granter // nil before the first report
	report       Report
	granterPhase Phase     // phase for which the granter was created
	ungranted    int       // tokens used by requests without a grant
	lastReportAt time.Time // time of the last successful report
	down         bool
	polling      bool
	// suspect holds the grants whose work the server may have broken off. Their memory is
	// granted again only after a report that was requested later. checking holds those that
	// the report in progress covers.
	suspect, checking []string
	leaving           bool // this process is shutting down
	clients           map[string]*client
	granted           map[string]string      // entry by grant
	waiting           map[string]granter.Ask // asks without a decision
}

// New returns a lender that does not run yet. Start accepts entries.
func New(s Settings) (*Server, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Server{
		s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), clients: make(map[string]*client),
		granted: make(map[string]string), waiting: make(map[string]granter.Ask),
		epoch: rand.Uint64(), down: true, //nolint:gosec // no secret
	}, nil
}

// Start accepts entries and starts to poll the server.
func (l *Server) Start() error {
	listener, err := messenger.Listen(l.s.Listen, l.serve)
	if err != nil {
		return errors.Newf("start lender: %w", err)
	}
	l.listener = listener
	l.stopTimers = append(l.stopTimers,
		l.s.Timer.Every(tick, l.tick),
		l.s.Timer.Every(l.s.PollInterval, func(time.Time) { l.poll() }),
		l.s.Timer.Every(l.s.MinPushInterval, l.pushChanged),
	)
	l.poll()

	return nil
}

// Addr returns the address on which entries connect, "ip:port".
func (l *Server) Addr() string { return l.listener.Addr() }

// Ready reports whether the server is up and its memory can be granted.
func (l *Server) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.down && !l.leaving
}

// BeginDrain refuses new asks from now on. Existing grants stay valid.
func (l *Server) BeginDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.pushAll(l.s.Timer.Now(), true)
}

// Close stops the lender and waits for its goroutines.
func (l *Server) Close() {
	l.once.Do(func() {
		l.cancel()
		for _, stop := range l.stopTimers {
			stop()
		}
		if l.listener != nil {
			// This closes the sessions of all entries, which then use other servers.
			_ = l.listener.Close()
		}
		l.wg.Wait()
		close(l.done)
	})
}

// Done returns a channel that is closed once Close has finished.
func (l *Server) Done() <-chan struct{} { return l.done }

// tick ends expired asks and grants.
func (l *Server) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.granter != nil {
		l.deliver(l.granter.Tick(now))
	}
}

// ask handles an ask of an entry.
func (l *Server) ask(c *client, a *wire.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := l.refusalReason(a.GetPhase())
	if reason != "" {
		c.send(refusedReply(a.GetId(), reason, 0))

		return
	}
	now := l.s.Timer.Now()
	ask := granter.Ask{
		ID: a.GetId(), Entry: c.name, Caller: a.GetCaller(), Service: a.GetService(), Rank: int(a.GetRank()),
		Due:    now.Add(time.Duration(a.GetDue()) * time.Millisecond),
		Pieces: int(a.GetPieces()+int64(l.s.BlockSize)-1) / l.s.BlockSize,
		Cost:   time.Duration(a.GetCost()) * time.Microsecond,
	}
	l.waiting[ask.ID] = ask
	l.deliver(l.granter.Ask(now, ask))
}

// refusalReason returns why work of a phase cannot be granted now, or "". The caller must
// hold l.mu.
func (l *Server) refusalReason(p wire.Phase) string {
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
		return reasonPhase
	}

	return ""
}

func refusedReply(id, reason string, after time.Duration) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Refused{
		Id: id, Reason: reason, After: after.Milliseconds(),
	}}}
}

// withdraw cancels an ask, or a grant that was not used.
func (l *Server) withdraw(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.granted, id)
	delete(l.waiting, id)
	if l.granter != nil {
		l.deliver(l.granter.Withdraw(l.s.Timer.Now(), id))
	}
}

// releaseUnused ends the grants of an entry that are not listed in used. The caller must
// hold l.mu.
func (l *Server) releaseUnused(entry string, used []string) {
	for id, holder := range l.granted {
		if holder == entry && !slices.Contains(used, id) {
			delete(l.granted, id)
			l.deliver(l.granter.Withdraw(l.s.Timer.Now(), id))
		}
	}
}

// release ends a grant whose work has ended. If the work was broken off, the server may
// have crashed. Its memory would look free and attract all other work, so the grant ends
// only after the server has been polled.
func (l *Server) release(id string, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if broken && !l.down {
		l.s.Log.Info().Str("id", id).Msg("server is in doubt")
		l.suspect = append(l.suspect, id)
		l.pollLocked()

		return
	}
	l.endGrant(id)
}

// endGrant returns the memory of a grant. The caller must hold l.mu.
func (l *Server) endGrant(id string) {
	delete(l.granted, id)
	if l.granter != nil {
		l.deliver(l.granter.Release(l.s.Timer.Now(), id))
	}
}

// deliver records decisions and sends them to their entries. The caller must hold l.mu.
func (l *Server) deliver(decisions []granter.Decision) {
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
			c.send(refusedReply(d.ID, d.Reason, d.After))
		}
	}
}
