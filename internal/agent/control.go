package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// View is the part of a configuration snapshot that an agent reads.
type View interface {
	Service(name string) *wire.Service
	Server(name string) *wire.Server
	Blocked(digest string, now time.Time) *wire.Block
	Ranks() []*wire.Rank
	Rules() []*wire.Rule
}

// Control is the client of the control hosts.
type Control interface {
	Start()
	Close()
	// Changed returns a channel that is closed when the view is replaced.
	Changed() <-chan struct{}
	View() View
	// Fresh reports whether a quorum has confirmed the view recently.
	Fresh(now time.Time) bool
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// subscriberControl adapts a subscriber to Control.
type subscriberControl struct{ *subscriber.Subscriber }

// View implements Control.
func (s subscriberControl) View() View { return s.Subscriber.View() }

// noControl is the Control of an agent without control hosts. Its view is empty and it
// rejects all commands.
type noControl struct{}

// Start implements Control.
func (noControl) Start() {}

// Close implements Control.
func (noControl) Close() {}

// Changed implements Control. The channel is never closed.
func (noControl) Changed() <-chan struct{} { return nil }

// Fresh implements Control. It is always false because there is no quorum.
func (noControl) Fresh(time.Time) bool { return false }

// View implements Control.
func (noControl) View() View { return emptyView{} }

// Propose implements Control. It always fails.
func (noControl) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	return nil, errors.New("the agent has no control hosts")
}

// emptyView is a View without any configuration.
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

// connectControl returns Deps.Control if set, and otherwise a client of the control
// hosts in the settings.
func (a *Agent) connectControl(t timer.Service) (Control, error) {
	if a.deps.Control != nil {
		return a.deps.Control, nil
	}
	if len(a.settings.Control) == 0 {
		return noControl{}, nil
	}
	s, err := subscriber.New(subscriber.Settings{
		Hosts:  a.settings.Control,
		Attach: a.initialAttach,
		// Leaving must not lock a.mu: the subscriber may call it while holding its
		// own lock, and the agent reads the view while holding a.mu.
		Leaving: a.leaving.Load,
		Log:     a.deps.Log,
	}, t)
	if err != nil {
		return nil, errors.Newf("connect to control: %w", err)
	}

	return subscriberControl{s}, nil
}

// attachRequest returns the registration of the agent with its current role.
func (a *Agent) attachRequest() *wire.Attach {
	s := a.settings
	a.mu.Lock()
	defer a.mu.Unlock()

	return &wire.Attach{
		Name: s.Name, Role: "agent", Addr: a.Addr(), Region: s.Region, Centre: s.Centre,
		Service: s.Service, Phase: a.phase, Pieces: s.Pieces, Epoch: a.epoch,
	}
}

// followView applies the current view and each new one until ctx ends.
func (a *Agent) followView(ctx context.Context) {
	for {
		changed := a.control.Changed()
		a.applyView(a.control.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyView applies the ranks, rules and drain state configured for this server.
func (a *Agent) applyView(v View) {
	server := v.Server(a.settings.Name)
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.settings
	current.Phase = a.phase
	settings := granterSettings(current, v)
	now := a.deps.Timer.Now()
	if decisions, err := a.queue.Configure(now, settings); err != nil {
		a.deps.Log.Warn().Err(err).Str("server", a.settings.Name).Msg("ranks")
	} else {
		a.machine.applyDecisions(now, decisions)
	}
	if !a.stopping {
		if server.GetDrained() {
			a.performActions(a.machine.BeginDrain(now, "drained by an operator"))
		} else {
			a.machine.EndDrain()
		}
		a.leaving.Store(server.GetDrained())
	}
	a.performActions(a.machine.takeActions())
}

// granterSettings returns the settings of the grant queue for an agent with settings s
// and the ranks and rules of v.
func granterSettings(s Settings, v View) granter.Settings {
	q := granter.Defaults(int(s.Pieces))
	q.Lease = s.Lease
	switch s.Phase {
	case phasePlain:
		q.Slots = int(s.Pieces)
	case phasePrefill:
		q.Serial, q.Slots, q.MemoryBlocks = true, int(s.Slots), int(s.Pieces)
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
			q.Ranks[i].Share = defaultCallerShare
		}
	}

	return q
}

// defaultCallerShare is the percentage of a rank that one caller may use if no rule
// sets another.
const defaultCallerShare = 50
