// Package versioner keeps at which software version of its server each stream began, so that
// it goes on at that version only. An entry keeps the streams that it has served and gives
// each to a few agents, which outlive all entries, and to some control hosts, of which a
// majority outlives all agents. Nothing waits for these keepers when a stream begins; they are
// asked when a caller takes a stream up that another entry has served.
package versioner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
)

// Keepers are the sessions with the processes that keep origins: the agents, under the names
// of their servers, and the control hosts.
type Keepers interface {
	// Epoch returns a number that differs for each start of a keeper. It returns false if there
	// is no session.
	Epoch(name string) (uint64, bool)
	// NeverConnected reports that no keeper answers under a name.
	NeverConnected(name string) bool
	// Connecting reports that the first session with a keeper is being opened.
	Connecting(name string) bool
	// Keep gives an origin to a keeper, without waiting for it. It returns false if that is not
	// possible.
	Keep(name, id string, o Origin, ttl time.Duration) bool
	// Locate asks a keeper for the origin of a stream; known is false if the keeper does not
	// have it.
	Locate(ctx context.Context, name, id string) (o Origin, known bool, err error)
}

// Answer says what is known of a stream.
type Answer int

const (
	// Known means that the origin of the stream is known.
	Known Answer = iota
	// Unknown means that no keeper has it, or that there are no keepers.
	Unknown
	// Unsure means that a keeper that may have it has not answered.
	Unsure
)

// String returns the name of the answer for logs and metrics.
func (a Answer) String() string { return [...]string{"known", "unknown", "unsure"}[a] }

const (
	// defaultLimit limits the streams that an entry keeps.
	defaultLimit = 16_384
	// locateTimeout limits the time to ask for a stream. It covers a connection to keepers in
	// another region, since an entry that has just started has none yet.
	locateTimeout = 500 * time.Millisecond
	// sessionPollInterval is the interval at which a lookup checks for new sessions.
	sessionPollInterval = 20 * time.Millisecond
	// repairInterval is the interval at which origins are given to other keepers in place of
	// those that are gone.
	repairInterval = 500 * time.Millisecond
)

// Settings configures a Versioner. Keepers and Timer are required.
type Settings struct {
	Keepers Keepers
	Timer   timer.Service
	Log     *log.Logger
	// Limit is the number of streams that are kept.
	Limit int
}

// Defaults sets zero fields to their default values.
func (s *Settings) Defaults() {
	if s.Limit == 0 {
		s.Limit = defaultLimit
	}
	if s.Log == nil {
		s.Log = logger.Discard()
	}
}

// Validate checks that the required fields are set.
func (s *Settings) Validate() error {
	if s.Keepers == nil || s.Timer == nil || s.Limit < 1 {
		return errors.New("versioner settings: Keepers and Timer are required, and Limit must be positive")
	}

	return nil
}

// Versioner keeps the origins of the streams of one entry. It is safe for concurrent use.
type Versioner struct {
	s         Settings
	metrics   *metrics
	own       *Store
	stopTimer func()
	done      chan struct{}
	once      sync.Once

	mu       sync.Mutex
	agents   *keeperSet
	controls *keeperSet
	sessions []keeper // with the keepers at the last repair
}

// New returns a Versioner that knows no keepers.
func New(s Settings) (*Versioner, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	v := &Versioner{s: s, own: NewStore(s.Limit), done: make(chan struct{}), agents: &keeperSet{}, controls: &keeperSet{}}
	v.metrics = newMetrics(v)
	v.stopTimer = s.Timer.Every(repairInterval, v.repair)

	return v, nil
}

// Close stops giving origins to keepers.
func (v *Versioner) Close() {
	v.once.Do(func() {
		v.stopTimer()
		close(v.done)
	})
}

// Done returns a channel that is closed by Close.
func (v *Versioner) Done() <-chan struct{} { return v.done }

// SetServers replaces the list of servers beside which the agents run.
func (v *Versioner) SetServers(list []placer.Server) {
	agents := newAgentSet(list)
	v.mu.Lock()
	v.agents = agents
	v.mu.Unlock()
	v.repair(v.s.Timer.Now())
}

// SetControlHosts replaces the names of the control hosts: the members of the control group,
// which get origins, and other hosts, which may have been members and are only asked.
func (v *Versioner) SetControlHosts(members, others []string) {
	controls := newControlSet(members, others)
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Equal(controls.ready, v.controls.ready) && slices.Equal(controls.all, v.controls.all) {
		return
	}
	v.s.Log.Info().Strs("members", controls.ready).Strs("hosts", controls.all).Msg("control hosts that keep software versions changed")
	v.controls = controls
}

// Agents returns the servers whose agents the entry must have sessions with.
func (v *Versioner) Agents() []string {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.agents.all
}

// Record keeps the origin of a stream that begins, for the time ttl, and gives it to keepers.
func (v *Versioner) Record(id string, o Origin, ttl time.Duration) {
	now := v.s.Timer.Now()
	r := v.own.put(now, id, o, ttl)
	if r == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.distribute(now, r)
}

// distribute gives an origin to the agents and the control hosts that should keep it and do not
// have it yet. The caller must hold mu.
func (v *Versioner) distribute(now time.Time, r *record) {
	v.distributeWithin(v.agents, now, r)
	v.distributeWithin(v.controls, now, r)
}

// distributeWithin gives an origin to keepers of one set. The caller must hold mu.
func (v *Versioner) distributeWithin(set *keeperSet, now time.Time, r *record) {
	kept := 0
	for _, name := range rank(r.id, set.ready, len(set.ready)) {
		if kept == set.copies {
			return
		}
		epoch, ok := v.s.Keepers.Epoch(name)
		if !ok {
			continue
		}
		k := keeper{name, epoch}
		if slices.Contains(r.copies, k) {
			kept++

			continue
		}
		if !v.s.Keepers.Keep(name, r.id, r.origin, r.expires.Sub(now)) {
			continue
		}
		r.copies = append(r.copies, k)
		v.metrics.copies.Inc()
		kept++
	}
}

// repair gives the origins to other keepers where the sessions with them have changed.
func (v *Versioner) repair(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var sessions []keeper
	for _, set := range []*keeperSet{v.agents, v.controls} {
		for _, name := range set.ready {
			if epoch, ok := v.s.Keepers.Epoch(name); ok {
				sessions = append(sessions, keeper{name, epoch})
			}
		}
	}
	if slices.Equal(sessions, v.sessions) {
		return
	}
	v.sessions = sessions
	for _, r := range v.own.live(now) {
		v.distribute(now, r)
	}
}

// Locate returns the origin of a stream. It asks keepers unless this entry has served the
// stream.
func (v *Versioner) Locate(ctx context.Context, id string) (Origin, Answer) {
	if o, ok := v.own.Get(v.s.Timer.Now(), id); ok {
		v.metrics.observeLookup(Known)

		return o, Known
	}
	if id == "" || len(id) > MaxIDBytes {
		return Origin{}, Unknown
	}
	l := &lookup{v: v, id: id, asked: make(map[string]bool), replies: make(chan reply, 2*maxLookups)}
	o, answer := l.run(ctx)
	v.metrics.observeLookup(answer)

	return o, answer
}
