package agent

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const metricsNamespace = "damask_agent"

// maxRankLabel is the highest rank with its own label. Ranks are sent by entries, and a
// faulty entry must not create an unlimited number of time series.
const maxRankLabel = 9

// metrics are the Prometheus metrics of an agent. The service and region labels are
// constant, so the number of time series is bounded.
type metrics struct {
	asks    *prometheus.CounterVec
	refused *prometheus.CounterVec
	ended   *prometheus.CounterVec
	age     *prometheus.HistogramVec
	crashes prometheus.Counter
	units   *prometheus.GaugeVec
}

var _ recorder = (*metrics)(nil)

func newMetrics(s Settings) *metrics {
	fixed := prometheus.Labels{"service": s.Service, "region": s.Region}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: name, Help: help, ConstLabels: fixed,
		}, labels)
	}

	return &metrics{
		asks:    counter("asks_total", "Asks passed to the grant queue.", "rank"),
		refused: counter("refused_total", "Asks and dispatches refused.", "rank", "reason"),
		ended:   counter("ended_total", "Attempts that ended after a grant.", "rank", "status"),
		age: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "age_seconds", ConstLabels: fixed,
			Help:    "Time from the ask of an attempt to its end.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
		}, []string{"rank"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "crashes_total", ConstLabels: fixed,
			Help: "Crashes of the backend server.",
		}),
		units: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Name: "pieces", ConstLabels: fixed,
			Help: "Memory pieces or call slots of the backend server.",
		}, []string{"state"}),
	}
}

func (m *metrics) register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.asks, m.refused, m.ended, m.age, m.crashes, m.units} {
		if err := r.Register(c); err != nil {
			return errors.Newf("register metrics: %w", err)
		}
	}

	return nil
}

// Asked implements recorder.
func (m *metrics) Asked(a *attempt) { m.asks.WithLabelValues(rankLabel(a.rank)).Inc() }

// Refused implements recorder.
func (m *metrics) Refused(rank int32, reason string) {
	word, _, _ := strings.Cut(reason, ":")
	m.refused.WithLabelValues(rankLabel(rank), word).Inc()
}

// Ended implements recorder.
func (m *metrics) Ended(a *attempt, status string, age time.Duration) {
	status = strings.ToLower(strings.TrimPrefix(status, "STATUS_"))
	m.ended.WithLabelValues(rankLabel(a.rank), status).Inc()
	m.age.WithLabelValues(rankLabel(a.rank)).Observe(age.Seconds())
}

// Crashed implements recorder.
func (m *metrics) Crashed() { m.crashes.Inc() }

// load sets the number of units of the backend server.
func (m *metrics) load(total, free int) {
	m.units.WithLabelValues("total").Set(float64(total))
	m.units.WithLabelValues("free").Set(float64(free))
}

// rankLabel returns the value of the rank label.
func rankLabel(rank int32) string {
	if rank < 0 || rank > maxRankLabel {
		return "other"
	}

	return strconv.Itoa(int(rank))
}
