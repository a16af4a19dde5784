// Package lister follows the platform's host list and tells the placer which
// backend servers there are. The list lags and may fail; the last one read holds
// until the next.
package lister

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Source reads the host list.
type Source interface {
	// List returns all servers, or an error if it could not be read as a whole.
	List(ctx context.Context) ([]placer.Server, error)
}

// Sink takes the servers.
type Sink interface {
	SetServers(list []placer.Server)
}

// Settings of a lister. Source, Sink and Timer have no defaults.
type Settings struct {
	Source Source
	Sink   Sink
	Timer  timer.Service
	Log    *log.Logger
	// Timeout bounds one read.
	Timeout time.Duration
	// Pace decides when to read.
	Pace Pace
	// Processes returns how many processes read the list when nobody passes it on; nil
	// for one.
	Processes func() int
	// Draw returns numbers from 0 to below 1.
	Draw func() float64
	// Least is the time between two reads at least, when Hurry asks for one.
	Least time.Duration
}

const (
	// defaultInterval leaves two reads within the few seconds after which a leaving
	// server must get no new work.
	defaultInterval = time.Second
	defaultTimeout  = 900 * time.Millisecond
	// defaultLeast bounds what a whole pool that is down costs in calls.
	defaultLeast = 300 * time.Millisecond
)

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	if s.Pace.Interval == 0 {
		s.Pace.Interval = defaultInterval
	}
	if s.Processes == nil {
		s.Processes = func() int { return 1 }
	}
	if s.Draw == nil {
		s.Draw = rand.Float64
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	if s.Least == 0 {
		s.Least = defaultLeast
	}
	if s.Log == nil {
		s.Log = reporter.Discard()
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	if s.Source == nil || s.Sink == nil || s.Timer == nil || s.Pace.Interval < 0 || s.Pace.Stale < 0 || s.Timeout < 0 {
		return errors.New("settings of lister: source, sink and timer must be set, durations not negative")
	}

	return nil
}

// Lister follows the list.
type Lister struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // it is the lifetime of the lister
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	work   sync.WaitGroup
	// handing orders the lists that are handed to the sink; it is locked before mu.
	handing sync.Mutex
	mu      sync.Mutex
	reading bool
	begun   time.Time // of the last read
	read    time.Time // of the last list, zero before the first
	began   time.Time // start of this process
	share   float64   // of the gap between two reads by which this process is late
	lost    bool
	size    int
	stop    func()
	// told is the last listing of the connection over which they come, and board the
	// newest of all.
	told  *Listing
	board *Board
}

// New checks the settings; Start begins to read.
func New(s Settings) (*Lister, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Lister{
		s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), size: -1, board: NewBoard(), share: s.Draw(),
	}, nil
}

// looks is how often in an interval it is decided whether to read.
const looks = 4

// Start reads the list at the pace of the settings, at once if that has no listings to
// wait for.
func (l *Lister) Start() {
	l.mu.Lock()
	l.began = l.s.Timer.Now()
	l.stop = l.s.Timer.Every(l.s.Pace.Interval/looks, func(now time.Time) {
		if l.due(now) {
			l.begin()
		}
	})
	l.mu.Unlock()
	if l.s.Pace.Stale == 0 {
		l.begin()
	}
}

func (l *Lister) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := l.read
	if fresh.IsZero() {
		// It has nothing to serve with, so it waits for less.
		fresh = l.began.Add(l.s.Pace.First - l.s.Pace.Stale)
	}

	return l.s.Pace.Due(now, fresh, l.begun, l.s.Processes(), l.share)
}

// Take follows a listing that was passed on, the first one of a connection or not.
func (l *Lister) Take(first bool, m *wire.Listing) {
	l.handing.Lock()
	defer l.handing.Unlock()
	l.mu.Lock()
	if first {
		l.told = nil
	}
	now := l.s.Timer.Now()
	next, err := Next(now, l.told, m)
	if err != nil {
		l.mu.Unlock()
		l.s.Log.Warn().Uint64("term", m.GetTerm()).Uint64("number", m.GetNumber()).Err(err).Msg("listing not taken")

		return
	}
	l.told = next
	old := l.board.Current()
	if !l.board.Offer(next) || next.Read().Before(l.read) {
		l.mu.Unlock()

		return
	}
	// What this process has read itself since counts as another list.
	other := old == nil || old.Digest() != next.Digest() || l.read.After(old.Read())
	l.note(len(next.hosts), next.Read(), "passed on")
	l.mu.Unlock()
	if other {
		l.s.Sink.SetServers(next.Servers())
	}
}

// Close ends the reading.
func (l *Lister) Close() {
	l.once.Do(func() {
		l.cancel()
		l.mu.Lock()
		if l.stop != nil {
			l.stop()
		}
		l.mu.Unlock()
		l.work.Wait()
		close(l.done)
	})
}

// Done is closed by Close.
func (l *Lister) Done() <-chan struct{} { return l.done }

// Known tells whether the list has been read.
func (l *Lister) Known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.read.IsZero()
}

// Hurry reads the list soon, because no server that it names could be reached.
func (l *Lister) Hurry() {
	l.mu.Lock()
	now := l.s.Timer.Now()
	// While listings come, the next one shows as soon as the list does.
	told := l.s.Pace.Stale > 0 && !l.read.IsZero() && now.Sub(l.read) < l.s.Pace.Stale
	soon := !told && now.Sub(l.begun) >= l.s.Least
	l.mu.Unlock()
	if soon {
		l.begin()
	}
}

// begin starts a read unless one is under way.
func (l *Lister) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reading || l.ctx.Err() != nil {
		return
	}
	l.reading, l.begun = true, l.s.Timer.Now()
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		ctx, cancel := context.WithTimeout(l.ctx, l.s.Timeout)
		defer cancel()
		list, err := l.s.Source.List(ctx)
		l.handing.Lock()
		defer l.handing.Unlock()
		if l.end(len(list), err) {
			l.s.Sink.SetServers(list)
		}
	}()
}

// end tells whether the list that was read is the newest.
func (l *Lister) end(size int, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if err != nil {
		// One line for each loss, not for each read.
		if !l.lost && l.ctx.Err() == nil {
			l.s.Log.Warn().Dur("age", l.s.Timer.Now().Sub(l.read)).Err(err).Msg("host list lost")
		}
		l.lost = true

		return false
	}
	if l.begun.Before(l.read) {
		return false
	}
	l.note(size, l.begun, "read here")

	return true
}

// note logs a change of the list's size or the end of a loss. It needs the lock.
func (l *Lister) note(size int, read time.Time, source string) {
	if l.lost || size != l.size {
		l.s.Log.Info().Int("servers", size).Int("before", l.size).Str("source", source).Msg("host list read")
	}
	l.read, l.lost, l.size = read, false, size
}
