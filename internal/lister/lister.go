// Package lister follows the platform's host list and tells the placer which
// backend servers there are. The list lags and may fail; the last one read holds
// until the next.
package lister

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/timer"
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
	// Interval is the time between two reads, and Timeout bounds each.
	Interval, Timeout time.Duration
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
	if s.Interval == 0 {
		s.Interval = defaultInterval
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
	if s.Source == nil || s.Sink == nil || s.Timer == nil || s.Interval < 0 || s.Timeout < 0 {
		return errors.New("settings of lister: source, sink and timer must be set, durations not negative")
	}

	return nil
}

// Lister follows the list.
type Lister struct {
	s       Settings
	ctx     context.Context //nolint:containedctx // it is the lifetime of the lister
	cancel  context.CancelFunc
	done    chan struct{}
	once    sync.Once
	work    sync.WaitGroup
	mu      sync.Mutex
	reading bool
	begun   time.Time // of the last read
	read    time.Time // of the last list, zero before the first
	lost    bool
	size    int
	stop    func()
}

// New checks the settings; Start begins to read.
func New(s Settings) (*Lister, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Lister{s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), size: -1}, nil
}

// Start reads the list now and at each interval.
func (l *Lister) Start() {
	l.mu.Lock()
	l.stop = l.s.Timer.Every(l.s.Interval, func(time.Time) { l.begin() })
	l.mu.Unlock()
	l.begin()
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
	soon := l.s.Timer.Now().Sub(l.begun) >= l.s.Least
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
		if err == nil {
			l.s.Sink.SetServers(list)
		}
		l.end(len(list), err)
	}()
}

func (l *Lister) end(size int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	now := l.s.Timer.Now()
	switch {
	case err != nil:
		// One line for each loss, not for each read.
		if !l.lost && l.ctx.Err() == nil {
			l.s.Log.Warn().Dur("age", now.Sub(l.read)).Err(err).Msg("host list lost")
		}
		l.lost = true
	default:
		if l.lost || size != l.size {
			l.s.Log.Info().Int("servers", size).Int("before", l.size).Msg("host list read")
		}
		l.read, l.lost, l.size = now, false, size
	}
}
