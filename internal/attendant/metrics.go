package attendant

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const metricsSpace = "damask_agent"

// maxRankLabel bounds the rank label. Ranks come from entries; a faulty one must
// not create series without limit.
const maxRankLabel = 9

// meter counts what the agent does. The service and region are the agent's own,
// so the labels are bounded.
type meter struct {
	asks    *prometheus.CounterVec
	refused *prometheus.CounterVec
	ended   *prometheus.CounterVec
	age     *prometheus.HistogramVec
	crashes prometheus.Counter
	held    *prometheus.GaugeVec
}

var _ observer = (*meter)(nil)

func newMeter(s Settings) *meter {
	fixed := prometheus.Labels{"service": s.Service, "region": s.Region}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsSpace, Name: name, Help: help, ConstLabels: fixed,
		}, labels)
	}

	return &meter{
		asks:    counter("asks_total", "Asks passed to the grant queue.", "rank"),
		refused: counter("refused_total", "Asks and dispatches refused.", "rank", "reason"),
		ended:   counter("ended_total", "Attempts that ended after a grant.", "rank", "status"),
		age: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsSpace, Name: "age_seconds", ConstLabels: fixed,
			Help:    "Time from the ask of an attempt to its end.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
		}, []string{"rank"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsSpace, Name: "crashes_total", ConstLabels: fixed,
			Help: "Crashes of the backend server.",
		}),
		held: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsSpace, Name: "pieces", ConstLabels: fixed,
			Help: "Memory pieces or call slots of the backend server.",
		}, []string{"state"}),
	}
}

func (m *meter) register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.asks, m.refused, m.ended, m.age, m.crashes, m.held} {
		if err := r.Register(c); err != nil {
			return errors.Newf("register metrics: %w", err)
		}
	}

	return nil
}

// Asked implements observer.
func (m *meter) Asked(a *attempt) { m.asks.WithLabelValues(rankLabel(a.rank)).Inc() }

// Refused implements observer.
func (m *meter) Refused(rank int32, reason string) {
	word, _, _ := strings.Cut(reason, ":")
	m.refused.WithLabelValues(rankLabel(rank), word).Inc()
}

// Ended implements observer.
func (m *meter) Ended(a *attempt, status string, age time.Duration) {
	status = strings.ToLower(strings.TrimPrefix(status, "STATUS_"))
	m.ended.WithLabelValues(rankLabel(a.rank), status).Inc()
	m.age.WithLabelValues(rankLabel(a.rank)).Observe(age.Seconds())
}

// Crashed implements observer.
func (m *meter) Crashed() { m.crashes.Inc() }

func (m *meter) load(total, free int) {
	m.held.WithLabelValues("total").Set(float64(total))
	m.held.WithLabelValues("free").Set(float64(free))
}

func rankLabel(rank int32) string {
	if rank < 0 || rank > maxRankLabel {
		return "other"
	}

	return strconv.Itoa(int(rank))
}
