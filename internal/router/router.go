// Package router is the entry process: it joins the callers' listener, the
// state machines of the requests, the control plane and the sessions to the
// agents.
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

	"github.com/damasklever/damasklever/internal/listener"
	"github.com/damasklever/damasklever/internal/timer"
)

// Router is an entry process.
type Router struct {
	settings Settings
	timers   timer.Service
	log      *log.Logger
	meter    *meter
	epoch    uint64 // differs for each start
	control  Control
	fleet    *fleet
	listener *listener.Listener
	ctx      context.Context //nolint:containedctx // it is the lifetime of the process
	cancel   context.CancelFunc
	count    atomic.Uint64 // requests so far
	shards   []*shard
	linksMu  sync.Mutex
	links    map[string]*link
	work     sync.WaitGroup // flights and settlements
	leaving  atomic.Bool
	started  atomic.Bool
	left     sync.Once
	ended    sync.Once
	done     chan struct{}
	stops    []func()
}

var _ listener.Backend = (*Router)(nil)

// New returns a router that Start sets in motion. It returns every fault of the
// settings at once.
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
		settings: s, timers: d.Timer, log: d.Log, meter: newMeter(s.Region, d.Registry), epoch: epoch,
		control: d.Control, fleet: fleet, shards: newShards(), links: make(map[string]*link),
		done: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if r.control == nil {
		if r.control, err = r.connect(); err != nil {
			return nil, err
		}
	}

	return r, nil
}

// Start connects to the control hosts and accepts callers.
func (r *Router) Start(_ context.Context) error {
	r.control.Start()
	go r.follow()
	l, err := listener.New(listener.Settings{
		Listen: r.settings.Listen, Body: r.settings.Body, Log: r.log,
	}, r, r.timers)
	if err != nil {
		r.control.Close()
		r.cancel()

		return errors.Newf("start listener: %w", err)
	}
	r.listener = l
	r.stops = append(r.stops, r.timers.Every(renewInterval, func(now time.Time) {
		r.eachLink(func(l *link) { l.renew(now) })
	}))
	r.started.Store(true)
	r.log.Info().Str("listen", l.Addr()).Uint64("epoch", r.epoch).Msg("accepting callers")

	return nil
}

// Addr returns the address that callers reach, "ip:port".
func (r *Router) Addr() string { return r.listener.Addr() }

// Ready reports whether the process has a configuration and isn't leaving.
func (r *Router) Ready() bool {
	return r.started.Load() && !r.leaving.Load() && r.control.View().Index() > 0
}

// Done is closed when the process has ended after Leave or Close.
func (r *Router) Done() <-chan struct{} { return r.done }

// Leave shuts down gracefully: the process reports that it isn't ready, accepts
// callers for the Linger setting, waits for the requests in flight and ends. A
// second call changes nothing.
func (r *Router) Leave() {
	r.left.Do(func() {
		r.leaving.Store(true)
		if r.listener != nil {
			r.listener.Leave()
		}
		r.log.Info().Dur("linger", r.settings.Linger).Msg("leaving")
		r.timers.After(r.settings.Linger, func(time.Time) { go r.drain() })
	})
}

func (r *Router) drain() {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	stop := r.timers.After(r.settings.Drain, func(time.Time) { cancel() })
	defer stop()
	if err := r.listener.Drain(ctx); err != nil {
		r.log.Warn().Str("error", err.Error()).Msg("drain")
	}
	settled := make(chan struct{})
	go func() {
		r.work.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-ctx.Done():
		r.log.Warn().Msg("requests in flight at the end of the drain")
	}
	_ = r.Close()
}

// Close ends the process at once. Callers see a broken connection, and agents
// free the memory when the lease ends.
func (r *Router) Close() error {
	r.ended.Do(func() {
		for _, stop := range r.stops {
			stop()
		}
		r.cancel()
		if r.listener != nil {
			r.listener.Close()
		}
		r.eachLink(func(l *link) { l.close() })
		r.control.Close()
		close(r.done)
	})

	return nil
}

// ID implements listener.Backend.
func (r *Router) ID() string {
	return r.settings.Name + "-" + strconv.FormatUint(r.epoch, 36) + "-" + strconv.FormatUint(r.count.Add(1), 36)
}
