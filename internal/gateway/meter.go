package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// meters counts and times the requests.
type meters struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

func newMeters() *meters {
	return &meters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_gateway_requests_total", Help: "Requests by pool, rank and status; 0 if the caller left.",
		}, []string{"pool", "rank", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "damasklever_gateway_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"pool", "rank", "status"}),
	}
}

// Describe implements prometheus.Collector.
func (m *meters) Describe(descs chan<- *prometheus.Desc) {
	m.requests.Describe(descs)
	m.seconds.Describe(descs)
}

// Collect implements prometheus.Collector.
func (m *meters) Collect(metrics chan<- prometheus.Metric) {
	m.requests.Collect(metrics)
	m.seconds.Collect(metrics)
}

func (m *meters) observe(pool string, rank int32, status int, took time.Duration) {
	r, s := strconv.Itoa(int(rank)), strconv.Itoa(status)
	m.requests.WithLabelValues(pool, r, s).Inc()
	m.seconds.WithLabelValues(pool, r, s).Observe(took.Seconds())
}
