package pacer

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/logger"
)

// Reasons for which the work at a server is limited.
const (
	ReasonStarted  = "started"  // or restarted
	ReasonNew      = "new"      // the server has joined the pool
	ReasonRecovery = "recovery" // the server answers again
	ReasonStage    = "stage"    // the server has changed its stage
	ReasonFailure  = "failure"  // an attempt failed
	ReasonPause    = "pause"    // the server has asked for a pause
)

// Recorder logs and counts the limits of servers. It is safe for concurrent use. A nil
// Recorder records nothing.
type Recorder struct {
	log    *log.Logger
	begun  *prometheus.CounterVec
	limits *prometheus.GaugeVec

	mu      sync.Mutex
	begunAt map[string]time.Time // by server
}

// NewRecorder returns a Recorder that writes to a log, which may be nil.
func NewRecorder(l *log.Logger) *Recorder {
	if l == nil {
		l = logger.Discard()
	}

	return &Recorder{
		log: l, begunAt: make(map[string]time.Time),
		begun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_pacer_restarts_total", Help: "Times that the work at a server was limited anew, by reason.",
		}, []string{"reason"}),
		limits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "damasklever_pacer_limit", Help: "Work that may be in flight at a server while it is limited.",
		}, []string{"server"}),
	}
}

// Began records that the work at a server is limited anew.
func (r *Recorder) Began(now time.Time, server, reason string, p *Pacer, inFlight float64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.begunAt[server]; !known {
		r.begunAt[server] = now
	}
	limit, _ := p.Limit(now)
	r.begun.WithLabelValues(reason).Inc()
	r.limits.WithLabelValues(server).Set(limit)
	r.log.Info().Str("server", server).Str("reason", reason).Float64("limit", limit).Float64("inflight", inFlight).
		Float64("ratio", p.Usual()).Msg("pace begins")
}

// Update records the limit of a server, or that it has ended.
func (r *Recorder) Update(now time.Time, server string, p *Pacer, inFlight float64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	begunAt, known := r.begunAt[server]
	if !known {
		return
	}
	if limit, paced := p.Limit(now); paced {
		r.limits.WithLabelValues(server).Set(limit)

		return
	}
	r.forget(server)
	r.log.Info().Str("server", server).Dur("took", now.Sub(begunAt)).Float64("inflight", inFlight).
		Float64("ratio", p.Usual()).Msg("pace ends")
}

// Forget drops a server that is no longer known.
func (r *Recorder) Forget(server string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(server)
}

func (r *Recorder) forget(server string) {
	delete(r.begunAt, server)
	r.limits.DeleteLabelValues(server)
}

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(descs chan<- *prometheus.Desc) {
	r.begun.Describe(descs)
	r.limits.Describe(descs)
}

// Collect implements prometheus.Collector.
func (r *Recorder) Collect(out chan<- prometheus.Metric) {
	r.begun.Collect(out)
	r.limits.Collect(out)
}
