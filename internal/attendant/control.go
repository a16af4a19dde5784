package attendant

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// View is the part of the configuration that an agent reads.
type View interface {
	Service(name string) *wire.Service
	Server(name string) *wire.Server
	Blocked(digest string, now time.Time) *wire.Block
	Ranks() []*wire.Rank
	Rules() []*wire.Rule
}

// Control is the agent's connection to the control hosts.
type Control interface {
	Start()
	Close()
	// Changed returns a channel that is closed when the view is replaced.
	Changed() <-chan struct{}
	View() View
	// Fresh reports whether a quorum has confirmed the view lately.
	Fresh(now time.Time) bool
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// subscribed adapts a subscriber.
type subscribed struct{ *subscriber.Subscriber }

// View implements Control.
func (s subscribed) View() View { return s.Subscriber.View() }

// alone is the Control of an agent without control hosts: nothing is configured
// and no command can be stored.
type alone struct{}

// Start implements Control.
func (alone) Start() {}

// Close implements Control.
func (alone) Close() {}

// Changed implements Control; the view never changes.
func (alone) Changed() <-chan struct{} { return nil }

// Fresh implements Control; there is no quorum.
func (alone) Fresh(time.Time) bool { return false }

// View implements Control.
func (alone) View() View { return emptyView{} }

// Propose implements Control; it always fails.
func (alone) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	return nil, errors.New("the agent has no control hosts")
}

type emptyView struct{}

// Service implements View.
func (emptyView) Service(string) *wire.Service { return nil }

// Server implements View.
func (emptyView) Server(string) *wire.Server { return nil }

// Blocked implements View.
func (emptyView) Blocked(string, time.Time) *wire.Block { return nil }

// Ranks implements View.
func (emptyView) Ranks() []*wire.Rank { return nil }

// Rules implements View.
func (emptyView) Rules() []*wire.Rule { return nil }

// connect builds the connection to the control hosts of the settings.
func (a *Attendant) connect(t timer.Service) (Control, error) {
	if a.deps.Control != nil {
		return a.deps.Control, nil
	}
	if len(a.settings.Control) == 0 {
		return alone{}, nil
	}
	s, err := subscriber.New(subscriber.Settings{
		Hosts:  a.settings.Control,
		Attach: a.attachment,
		// The subscriber may hold its own lock here, and the agent reads the
		// view under its lock, so this must not take it.
		Leaving: a.away.Load,
		Log:     a.deps.Log,
	}, t)
	if err != nil {
		return nil, errors.Newf("connect to control: %w", err)
	}

	return subscribed{s}, nil
}

func (a *Attendant) attach() *wire.Attach {
	s := a.settings
	a.mu.Lock()
	defer a.mu.Unlock()

	return &wire.Attach{
		Name: s.Name, Role: "agent", Addr: a.Addr(), Region: s.Region, Centre: s.Centre,
		Service: s.Service, Phase: a.phase, Pieces: s.Pieces, Epoch: a.epoch,
	}
}

// follow applies each new view until ctx ends.
func (a *Attendant) follow(ctx context.Context) {
	for {
		changed := a.control.Changed()
		a.apply(a.control.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// apply takes the operators' settings for this server from a view.
func (a *Attendant) apply(v View) {
	server := v.Server(a.settings.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.settings
	current.Phase = a.phase
	settings := queueSettings(current, v)
	now := a.deps.Timer.Now()
	if decisions, err := a.queue.Configure(now, settings); err != nil {
		a.deps.Log.Warn().Err(err).Str("server", a.settings.Name).Msg("ranks")
	} else {
		a.keeper.decide(now, decisions)
	}
	if !a.ending {
		if server.GetDrained() {
			a.perform(a.keeper.Leave(now, "drained by an operator"))
		} else {
			a.keeper.Return()
		}
		a.away.Store(server.GetDrained())
	}
	a.perform(a.keeper.take())
}

// queueSettings builds the granter's settings from the view.
func queueSettings(s Settings, v View) granter.Settings {
	q := granter.Defaults(int(s.Pieces))
	q.Lease = s.Lease
	switch s.Phase {
	case phasePlain:
		q.Slots = int(s.Pieces)
	case phasePrefill:
		q.Serial, q.Slots, q.Memory = true, int(s.Slots), int(s.Pieces)
	}
	ranks := v.Ranks()
	if len(ranks) == 0 {
		return q
	}
	levels := make(map[string]int, len(ranks))
	highest := 0
	for _, rank := range ranks {
		levels[rank.GetName()] = int(rank.GetLevel())
		highest = max(highest, int(rank.GetLevel()))
	}
	q.Ranks = make([]granter.Rank, highest+1)
	for _, rank := range ranks {
		q.Ranks[rank.GetLevel()].Floor = int(rank.GetFloor())
	}
	for _, rule := range v.Rules() {
		level, ok := levels[rule.GetRank()]
		if ok && (rule.GetService() == s.Service || rule.GetService() == "") {
			q.Ranks[level].Share = max(q.Ranks[level].Share, int(rule.GetShare()))
		}
	}
	for i := range q.Ranks {
		if q.Ranks[i].Share == 0 {
			q.Ranks[i].Share = defaultShare
		}
	}

	return q
}

// defaultShare is the percent of a rank that one caller may take where no rule
// says so.
const defaultShare = 50
