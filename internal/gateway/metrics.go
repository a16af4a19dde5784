package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts requests and measures their duration.
type metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	// unframedEnds counts answers that ended with their connections.
	unframedEnds *prometheus.CounterVec
	// resumed counts streams that callers took up again.
	resumed *prometheus.CounterVec
	// unfit counts answers that fitted no server before their deadline.
	unfit *prometheus.CounterVec
	// overRate counts requests that were refused because their customers were over their rates.
	overRate *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_gateway_requests_total", Help: "Requests by pool, rank and status; 0 if the caller left.",
		}, []string{"pool", "rank", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "damasklever_gateway_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"pool", "rank", "status"}),
		unframedEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_gateway_unframed_ends_total",
			Help: "Answers of servers that ended with their connections, by whether the server ran on.",
		}, []string{"whole"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_gateway_resumed_total",
			Help: "Streams that callers took up again, by whether the software version that began them was known.",
		}, []string{"known"}),
		unfit: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_gateway_unfit_total",
			Help: "Answers that no server was expected to complete before the deadline, by pool, rank and fit.",
		}, []string{"pool", "rank", "fit"}),
		overRate: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_gateway_over_rate_total",
			Help: "Requests refused because their customers were over their rates, by rank of the path and by size.",
		}, []string{"rank", "size"}),
	}
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(descs chan<- *prometheus.Desc) {
	m.requests.Describe(descs)
	m.seconds.Describe(descs)
	m.unframedEnds.Describe(descs)
	m.resumed.Describe(descs)
	m.unfit.Describe(descs)
	m.overRate.Describe(descs)
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	m.requests.Collect(out)
	m.seconds.Collect(out)
	m.unframedEnds.Collect(out)
	m.resumed.Collect(out)
	m.unfit.Collect(out)
	m.overRate.Collect(out)
}

func (m *metrics) observe(pool string, rank int32, status int, took time.Duration) {
	r, s := strconv.Itoa(int(rank)), strconv.Itoa(status)
	m.requests.WithLabelValues(pool, r, s).Inc()
	m.seconds.WithLabelValues(pool, r, s).Observe(took.Seconds())
}

func (m *metrics) observeUnframedEnd(whole bool) {
	m.unframedEnds.WithLabelValues(strconv.FormatBool(whole)).Inc()
}

func (m *metrics) observeResumed(known bool) {
	m.resumed.WithLabelValues(strconv.FormatBool(known)).Inc()
}

func (m *metrics) observeUnfit(pool string, rank int, fit string) {
	m.unfit.WithLabelValues(pool, strconv.Itoa(rank), fit).Inc()
}

func (m *metrics) observeOverRate(rank int32, small bool) {
	size := "large"
	if small {
		size = "small"
	}
	m.overRate.WithLabelValues(strconv.Itoa(int(min(max(rank, 0), lowestRank))), size).Inc()
}
