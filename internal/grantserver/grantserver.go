// Package grantserver implements the agent beside a backend server. It grants the backend
// server's memory to entry processes, which send their requests to that server themselves.
// It is the only authority for the memory, so that entries that do not coordinate with each
// other cannot overload the backend server, and urgent work goes first.
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
	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/versioner"
	"github.com/damasklever/damasklever/internal/wire"
)

// Reasons for a refusal, in addition to those of the granter.
const (
	reasonDown  = "down"  // the backend server does not answer
	reasonPhase = "phase" // the backend server runs another phase, or is changing to one
)

// evictionLogInterval is the minimum time between two warnings of forgotten origins.
const evictionLogInterval = 10 * time.Second

// tick is the interval between checks for expired asks and grants.
const tick = 50 * time.Millisecond

// Server grants the memory of one backend server to entries.
type Server struct {
	s          Settings
	listener   *messenger.Listener
	epoch      uint64
	ctx        context.Context //nolint:containedctx // lifetime of the grant server
	cancel     context.CancelFunc
	done       chan struct{}
	once       sync.Once
	wg         sync.WaitGroup
	stopTimers []func()
	metrics    *metrics

	mu           sync.Mutex
	granter      *granter.Granter // nil before the first report
	report       Report
	hasCustomers bool      // entries have asked for customers, which share each rank
	granterPhase Phase     // phase for which the granter was created
	ungranted    int       // tokens used by requests without a grant
	lastReportAt time.Time // time of the last successful report
	down         bool
	polling      bool
	// suspect holds the grants whose work the backend server may have broken off. Their memory is
	// granted again only after a report that was requested later. checking holds those that
	// the report in progress covers.
	suspect, checking []string
	leaving           bool // this process is shutting down
	clients           map[string]*client
	granted           map[string]string      // entry by grant
	waiting           map[string]granter.Ask // asks without a decision

	observer *observer.Observer
	turns    map[string]turn // prompts that are being processed, by grant
	// loggedSpeed is the speed that was last logged.
	loggedSpeed observer.Speed
	pace        pace

	origins *versioner.Store
	evicted uint64 // origins that were forgotten, at the last check
}

// New returns a grant server that does not run yet. Start makes it accept entries.
func New(s Settings) (*Server, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Server{
		s: s, origins: versioner.NewStore(s.Origins), ctx: ctx, cancel: cancel, done: make(chan struct{}), clients: make(map[string]*client),
		granted: make(map[string]string), waiting: make(map[string]granter.Ask), pace: pace{recorder: s.Pace},
		observer: observer.New(), turns: make(map[string]turn),
		metrics: newMetrics(), epoch: rand.Uint64(), down: true, //nolint:gosec // no secret
	}, nil
}

// Start accepts entries and starts to poll the backend server.
func (gs *Server) Start() error {
	listener, err := messenger.ListenWithin(gs.s.Limits, gs.s.Listen, gs.serve)
	if err != nil {
		return errors.Newf("start grant server: %w", err)
	}
	gs.listener = listener
	gs.stopTimers = append(gs.stopTimers,
		gs.s.Timer.Every(tick, gs.tick),
		gs.s.Timer.Every(gs.s.PollInterval, func(time.Time) { gs.poll() }),
		gs.s.Timer.Every(gs.s.MinPushInterval, gs.pushChanged),
		gs.s.Timer.Every(evictionLogInterval, gs.logEvicted),
	)
	gs.poll()

	return nil
}

// Addr returns the address on which entries connect, "ip:port".
func (gs *Server) Addr() string { return gs.listener.Addr() }

// Ready reports whether the backend server is up and its memory can be granted.
func (gs *Server) Ready() bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()

	return !gs.down && !gs.leaving
}

// BeginDrain refuses waiting and new asks from now on. Existing grants stay valid.
func (gs *Server) BeginDrain() {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	now := gs.s.Timer.Now()
	gs.leaving = true
	gs.refuseWaiting(now)
	gs.pushAll(now, true)
}

// Close stops the grant server and waits for its goroutines.
func (gs *Server) Close() {
	gs.once.Do(func() {
		// Under the mutex, because a poll that has seen the context open adds itself to wg.
		gs.mu.Lock()
		gs.cancel()
		gs.mu.Unlock()
		for _, stop := range gs.stopTimers {
			stop()
		}
		if gs.listener != nil {
			// This closes the sessions of all entries, which then use other servers.
			_ = gs.listener.Close()
		}
		gs.wg.Wait()
		close(gs.done)
	})
}

// Done returns a channel that is closed once Close has finished.
func (gs *Server) Done() <-chan struct{} { return gs.done }

// tick ends expired asks and grants.
func (gs *Server) tick(now time.Time) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.granter != nil {
		gs.paceTick(now)
		gs.deliver(gs.granter.Tick(now))
	}
}

// ask handles an ask of an entry.
func (gs *Server) ask(c *client, a *wire.Ask) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	reason := gs.refusalReason(a.GetPhase())
	if reason != "" {
		c.send(refusedReply(a.GetId(), reason, 0))

		return
	}
	now := gs.s.Timer.Now()
	ask := granter.Ask{
		ID: a.GetId(), Entry: c.name, Caller: a.GetCaller(), Weight: a.GetWeight(), Service: a.GetService(), Rank: int(a.GetRank()),
		Due:    now.Add(time.Duration(a.GetDue()) * time.Millisecond),
		Pieces: int(a.GetPieces()+int64(gs.s.BlockSize)-1) / gs.s.BlockSize,
		Cost:   gs.expectedCost(now, a),
	}
	gs.noteCustomer(now, ask.Caller)
	gs.paceAsk(now, ask, a)
	gs.waiting[ask.ID] = ask
	gs.askFor(now, ask)
}

// noteCustomer divides the ranks among customers from the first ask of a customer on. The
// caller must hold gs.mu.
func (gs *Server) noteCustomer(now time.Time, caller string) {
	if gs.hasCustomers || caller == noCaller || caller == "" {
		return
	}
	gs.hasCustomers = true
	gs.s.Log.Info().Str("customer", caller).Msg("ranks are divided among customers")
	decisions, err := gs.granter.Configure(now, gs.granterSettings())
	if err != nil {
		gs.s.Log.Error().Err(err).Msg("cannot divide ranks among customers")
	}
	gs.deliver(decisions)
}

// refusalReason returns why work of a phase cannot be granted now, or "". The caller must
// hold gs.mu.
func (gs *Server) refusalReason(p wire.Phase) string {
	want := Decode
	if p == wire.Phase_PHASE_PREFILL {
		want = Prefill
	}
	switch {
	case gs.granter == nil || gs.down:
		return reasonDown
	case gs.leaving || gs.report.Leaving:
		return granter.ReasonDrain
	case gs.report.Phase != want || gs.report.ChangingStage:
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
func (gs *Server) withdraw(id string) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	delete(gs.granted, id)
	delete(gs.waiting, id)
	delete(gs.turns, id)
	gs.paceDrop(id)
	if gs.granter != nil {
		gs.deliver(gs.granter.Withdraw(gs.s.Timer.Now(), id))
	}
}

// releaseUnused ends the grants of an entry that are not listed in used. The caller must
// hold gs.mu.
func (gs *Server) releaseUnused(entry string, used []string) {
	for id, holder := range gs.granted {
		if holder == entry && !slices.Contains(used, id) {
			delete(gs.granted, id)
			delete(gs.turns, id)
			gs.paceDrop(id)
			gs.deliver(gs.granter.Withdraw(gs.s.Timer.Now(), id))
		}
	}
}

// release ends a grant whose work has ended. If the work was broken off, the
// backend server may have crashed. Its memory would look free and attract all other work,
// so the grant ends only after the backend server has been polled.
func (gs *Server) release(id string, broken bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.endTurn(id, broken)
	if broken && !gs.down {
		gs.s.Log.Info().Str("id", id).Msg("server is in doubt")
		gs.suspect = append(gs.suspect, id)
		gs.pollLocked()

		return
	}
	gs.endGrant(id, false)
}

// endGrant returns the memory of a grant. The caller must hold gs.mu.
func (gs *Server) endGrant(id string, broken bool) {
	delete(gs.granted, id)
	gs.paceEnd(gs.s.Timer.Now(), id, broken)
	if gs.granter != nil {
		gs.deliver(gs.granter.Release(gs.s.Timer.Now(), id))
	}
}

// deliver records decisions and sends them to their entries. The caller must hold gs.mu.
func (gs *Server) deliver(decisions []granter.Decision) {
	for _, d := range decisions {
		c := gs.clients[d.Entry]
		ask := gs.waiting[d.ID]
		gs.paceDecision(gs.s.Timer.Now(), d)
		if d.Kind == granter.Granted {
			gs.granted[d.ID] = d.Entry
			gs.beginTurn(d.ID)
		} else {
			delete(gs.granted, d.ID)
			delete(gs.turns, d.ID)
		}
		delete(gs.waiting, d.ID)
		gs.logDecision(d, ask)
		gs.metrics.observe(d, ask)
		if c == nil {
			continue
		}
		if d.Kind == granter.Granted {
			c.send(&wire.Reply{Body: &wire.Reply_Granted{Granted: &wire.Granted{Id: d.ID, Epoch: gs.epoch}}})
		} else {
			c.send(refusedReply(d.ID, d.Reason, d.After))
		}
	}
}

// logDecision logs a decision. ask is empty if the decision ends a grant.
func (gs *Server) logDecision(d granter.Decision, ask granter.Ask) {
	line := gs.s.Log.Info().Str("id", d.ID).Str("entry", d.Entry).Int("kind", int(d.Kind)).Str("reason", d.Reason).Dur("after", d.After)
	if ask.ID != "" && ask.Caller != noCaller {
		line = line.Str("customer", ask.Caller).Float64("weight", ask.Weight).Int("rank", ask.Rank).Int("units", ask.Pieces)
	}
	line.Msg("decided")
}

// noCaller is the caller of asks without a customer.
const noCaller = "-"
