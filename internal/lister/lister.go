// Package lister reads the platform's host list and passes the backend servers in it to
// the placer. The host list can be out of date or unavailable; the last list stays in
// use until the next one is read or received.
package lister

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Source reads the host list.
type Source interface {
	// List returns all servers, or an error if the list could not be read completely.
	List(ctx context.Context) ([]placer.Server, error)
}

// Sink receives the servers of each new list.
type Sink interface {
	SetServers(list []placer.Server)
}

// Settings of a lister. Source, Sink and Timer are required.
type Settings struct {
	Source Source
	Sink   Sink
	Timer  timer.Service
	Log    *log.Logger
	// Timeout limits the duration of one read.
	Timeout time.Duration
	// Pace determines when to read.
	Pace Pace
	// Processes returns the number of processes that read the list when no listings
	// arrive from a control host; nil means 1.
	Processes func() int
	// Random returns random numbers in [0, 1).
	Random func() float64
	// MinInterval is the minimum time between the last read and an early read.
	MinInterval time.Duration
}

const (
	// defaultInterval allows for two reads within the few seconds after which a leaving
	// server must not get new requests.
	defaultInterval = time.Second
	defaultTimeout  = 900 * time.Millisecond
	// defaultMinInterval limits the rate of reads while all servers of a pool are down.
	defaultMinInterval = 300 * time.Millisecond
)

// Defaults sets the optional fields that are zero to their defaults.
func (s *Settings) Defaults() {
	if s.Pace.Interval == 0 {
		s.Pace.Interval = defaultInterval
	}
	if s.Processes == nil {
		s.Processes = func() int { return 1 }
	}
	if s.Random == nil {
		s.Random = rand.Float64
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	if s.MinInterval == 0 {
		s.MinInterval = defaultMinInterval
	}
	if s.Log == nil {
		s.Log = logger.Discard()
	}
}

// Validate returns an error if a required field is missing or one of Pace.Interval,
// Pace.StaleAfter and Timeout is negative.
func (s *Settings) Validate() error {
	if s.Source == nil || s.Sink == nil || s.Timer == nil || s.Pace.Interval < 0 || s.Pace.StaleAfter < 0 || s.Timeout < 0 {
		return errors.New("settings of lister: source, sink and timer are required, and durations must not be negative")
	}

	return nil
}

// Lister keeps the host list of a process up to date.
type Lister struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // it is the lifetime of the lister
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	work   sync.WaitGroup
	// sinkMu keeps the lists that are passed to the sink in order. It is locked before mu.
	sinkMu        sync.Mutex
	mu            sync.Mutex
	reading       bool
	lastReadStart time.Time
	listedAt      time.Time // when the read of the current list began, zero before the first
	startedAt     time.Time // when Start was called
	delayFraction float64   // fraction of Pace.Gap by which this process delays its reads
	failing       bool
	size          int
	stopTimer     func()
	// received is the last listing on the current control connection; the next message
	// may contain only the changes to it. store has the newest listing of all connections.
	received *Listing
	store    *Store
}

// New checks the settings. Start must be called to begin reading.
func New(s Settings) (*Lister, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Lister{
		s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), size: -1, store: NewStore(), delayFraction: s.Random(),
	}, nil
}

// checksPerInterval is how many times per Pace.Interval the lister checks whether a read
// is due.
const checksPerInterval = 4

// Start begins to read the list as Pace requires. The first read starts at once if
// Pace.StaleAfter is 0, that is if no listings are expected from a control host.
func (l *Lister) Start() {
	l.mu.Lock()
	l.startedAt = l.s.Timer.Now()
	l.stopTimer = l.s.Timer.Every(l.s.Pace.Interval/checksPerInterval, func(now time.Time) {
		if l.due(now) {
			l.startRead()
		}
	})
	l.mu.Unlock()
	if l.s.Pace.StaleAfter == 0 {
		l.startRead()
	}
}

func (l *Lister) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.listedAt
	if newest.IsZero() {
		// Without a list no request can be served, so wait for First instead of StaleAfter.
		newest = l.startedAt.Add(l.s.Pace.First - l.s.Pace.StaleAfter)
	}

	return l.s.Pace.Due(now, newest, l.lastReadStart, l.s.Processes(), l.delayFraction)
}

// ReceiveListing applies a listing received from a control host. first reports whether it
// is the first one on its connection.
func (l *Lister) ReceiveListing(first bool, m *wire.Listing) {
	l.sinkMu.Lock()
	defer l.sinkMu.Unlock()
	l.mu.Lock()
	if first {
		l.received = nil
	}
	now := l.s.Timer.Now()
	next, err := ApplyMessage(now, l.received, m)
	if err != nil {
		l.mu.Unlock()
		l.s.Log.Warn().Uint64("term", m.GetTerm()).Uint64("number", m.GetNumber()).Err(err).Msg("ignored unusable host listing")

		return
	}
	l.received = next
	old := l.store.Current()
	if !l.store.Offer(next) || next.ReadTime().Before(l.listedAt) {
		l.mu.Unlock()

		return
	}
	// If this process has read the list itself since old, the sink has that list, so the
	// digests cannot be compared.
	changed := old == nil || old.Digest() != next.Digest() || l.listedAt.After(old.ReadTime())
	l.recordList(len(next.hosts), next.ReadTime(), "received")
	l.mu.Unlock()
	if changed {
		l.s.Sink.SetServers(next.Servers())
	}
}

// Close stops reading and waits for a read in progress.
func (l *Lister) Close() {
	l.once.Do(func() {
		l.cancel()
		l.mu.Lock()
		if l.stopTimer != nil {
			l.stopTimer()
		}
		l.mu.Unlock()
		l.work.Wait()
		close(l.done)
	})
}

// Done is closed by Close.
func (l *Lister) Done() <-chan struct{} { return l.done }

// Known reports whether a list has been read or received.
func (l *Lister) Known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return !l.listedAt.IsZero()
}

// ReadEarly reads the list early. It is called when no listed server could be reached.
func (l *Lister) ReadEarly() {
	l.mu.Lock()
	now := l.s.Timer.Now()
	// While listings arrive, the next one shows a change as early as a read would.
	receiving := l.s.Pace.StaleAfter > 0 && !l.listedAt.IsZero() && now.Sub(l.listedAt) < l.s.Pace.StaleAfter
	allowed := !receiving && now.Sub(l.lastReadStart) >= l.s.MinInterval
	l.mu.Unlock()
	if allowed {
		l.startRead()
	}
}

// startRead starts a read unless one is in progress.
func (l *Lister) startRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reading || l.ctx.Err() != nil {
		return
	}
	l.reading, l.lastReadStart = true, l.s.Timer.Now()
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		ctx, cancel := context.WithTimeout(l.ctx, l.s.Timeout)
		defer cancel()
		list, err := l.s.Source.List(ctx)
		l.sinkMu.Lock()
		defer l.sinkMu.Unlock()
		if l.finishRead(len(list), err) {
			l.s.Sink.SetServers(list)
		}
	}()
}

// finishRead ends a read and reports whether its list is the newest.
func (l *Lister) finishRead(size int, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if err != nil {
		// Log only the first of several consecutive failures.
		if !l.failing && l.ctx.Err() == nil {
			l.s.Log.Warn().Dur("age", l.s.Timer.Now().Sub(l.listedAt)).Err(err).Msg("failed to read host list")
		}
		l.failing = true

		return false
	}
	if l.lastReadStart.Before(l.listedAt) {
		return false
	}
	l.recordList(size, l.lastReadStart, "read directly")

	return true
}

// recordList records the time and size of a new list. It logs a change of the size and the
// first list after a failure. The caller holds mu.
func (l *Lister) recordList(size int, listedAt time.Time, source string) {
	if l.failing || size != l.size {
		l.s.Log.Info().Int("servers", size).Int("before", l.size).Str("source", source).Msg("host list read")
	}
	l.listedAt, l.failing, l.size = listedAt, false, size
}
