// Package router implements the entry process. It accepts callers' requests, drives
// the state machine of each, and connects to the control plane and to the agents of
// the backend servers.
package router

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/semaphore"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/listener"
	"github.com/damasklever/damasklever/internal/timer"
)

// Router is an entry process.
type Router struct {
	settings     Settings
	timers       timer.Service
	log          *log.Logger
	metrics      *metrics
	registry     prometheus.Registerer
	answers      *semaphore.Weighted // bytes of large messages from agents
	answerBytes  int64               // all of answers
	epoch        uint64              // start time, distinguishes restarts
	control      Control
	fleet        *fleet
	listener     *listener.Listener
	ctx          context.Context //nolint:containedctx // ends with the process
	cancel       context.CancelFunc
	requestCount atomic.Uint64 // number of request ids given out
	shards       []*shard
	agentsMu     sync.Mutex
	agents       map[string]*agentConn // by server
	background   sync.WaitGroup        // requests in flight and settlements
	drainer      *drainer.Drainer
	started      atomic.Bool
	drainOnce    sync.Once
	closeOnce    sync.Once
	done         chan struct{}
	stopTimers   []func()
}

var _ listener.Backend = (*Router)(nil)

// New returns a router, which does nothing before Start. The error lists all invalid
// settings.
func New(s Settings, d Deps) (*Router, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("entry settings: %w", err)
	}
	if d.Log == nil {
		d.Log = &log.Logger{Level: log.PanicLevel}
	}
	if d.Registry == nil {
		d.Registry = prometheus.NewRegistry()
	}
	epoch := uint64(d.Timer.Now().UnixNano())
	fleet, err := newFleet(s.Region, s.Centre, epoch)
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings: s, timers: d.Timer, log: d.Log, metrics: newMetrics(s.Region, d.Registry), epoch: epoch,
		registry: d.Registry, control: d.Control, fleet: fleet, shards: newShards(), drainer: drainer.New(d.Timer), agents: make(map[string]*agentConn),
		done: make(chan struct{}),
	}
	r.answerBytes = s.Memory / answerShare
	r.answers = semaphore.NewWeighted(r.answerBytes)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if r.control == nil {
		if r.control, err = r.newControlClient(); err != nil {
			return nil, err
		}
	}

	return r, nil
}

// Start connects to the control hosts and starts to accept callers.
func (r *Router) Start(_ context.Context) error {
	r.control.Start()
	go r.watchConfiguration()
	l, err := listener.New(listener.Settings{
		Listen: r.settings.Listen, MaxBody: r.settings.MaxBody, Memory: r.settings.Memory, Log: r.log, Registry: r.registry,
	}, r, r.timers)
	if err != nil {
		r.control.Close()
		r.cancel()

		return errors.Newf("start listener: %w", err)
	}
	r.listener = l
	r.stopTimers = append(r.stopTimers, r.timers.Every(renewInterval, func(now time.Time) {
		r.eachAgent(func(l *agentConn) { l.renewLease(now) })
	}))
	r.started.Store(true)
	r.log.Info().Str("listen", l.Addr()).Uint64("epoch", r.epoch).Msg("accepting callers")

	return nil
}

// Addr returns the address on which callers are accepted, "ip:port".
func (r *Router) Addr() string { return r.listener.Addr() }

// Ready reports whether the process has a configuration and isn't shutting down.
func (r *Router) Ready() bool {
	return r.started.Load() && !r.drainer.Stopping() && r.control.View().Index() > 0
}

// Done returns a channel that is closed when the router has stopped after BeginDrain or
// Close.
func (r *Router) Done() <-chan struct{} { return r.done }

// BeginDrain starts a graceful shutdown: Ready returns false, callers are accepted for the
// Linger setting, then the router waits for the requests in flight, answers those that
// remain, and closes. A second call has no effect.
func (r *Router) BeginDrain() {
	r.drainOnce.Do(func() {
		s := r.settings
		limit := s.Linger + s.Drain - drainer.AnswerTime(s.Drain)
		ctx, cancel := context.WithCancel(r.ctx)
		r.timers.After(limit+drainer.MaxAnswerTime, func(time.Time) { cancel() })
		r.drainer.Begin(s.Linger, limit)
		r.limitRequests()
		if r.listener != nil {
			r.listener.BeginDrain()
		}
		r.log.Info().Dur("linger", s.Linger).Dur("drain", s.Drain).Msg("leaving")
		r.timers.After(s.Linger, func(time.Time) { go r.drain(ctx) })
	})
}

// limitRequests makes all requests in flight end before the process does.
func (r *Router) limitRequests() {
	for _, s := range r.shards {
		for _, f := range s.list() {
			f.limit()
		}
	}
}

// drain waits for requests and settlements until ctx ends, then closes.
func (r *Router) drain(ctx context.Context) {
	go func() {
		select {
		case <-r.drainer.Done():
			r.listener.RejectUnfinished()
		case <-r.done:
		}
	}()
	if err := r.listener.Drain(ctx); err != nil {
		r.log.Warn().Str("error", err.Error()).Msg("drain")
	}
	settled := make(chan struct{})
	go func() {
		r.background.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
		r.log.Warn().Msg("drain timed out with requests or settlements in progress")
	}
	_ = r.Close()
}

// Close stops the router immediately. Callers' connections break, and agents free the
// memory of its requests when the lease expires.
func (r *Router) Close() error {
	r.closeOnce.Do(func() {
		for _, stop := range r.stopTimers {
			stop()
		}
		r.drainer.Close()
		r.cancel()
		if r.listener != nil {
			r.listener.Close()
		}
		r.eachAgent(func(c *agentConn) { c.close() })
		r.control.Close()
		close(r.done)
	})

	return nil
}

// NewRequestID implements listener.Backend. The id is unique across entries and restarts.
func (r *Router) NewRequestID() string {
	return r.settings.Name + "-" + strconv.FormatUint(r.epoch, 36) + "-" + strconv.FormatUint(r.requestCount.Add(1), 36)
}
