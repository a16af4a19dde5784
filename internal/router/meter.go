package router

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/dispatcher"
)

// meter holds the metrics of an entry. All labels are bounded: services and
// ranks come from the configuration, and requests for an unknown service carry
// none of the caller's words.
type meter struct {
	region   string
	requests *prometheus.CounterVec
	good     *prometheus.CounterVec
	firsts   *prometheus.HistogramVec
	gaps     *prometheus.HistogramVec
	flying   *prometheus.GaugeVec
	retries  *prometheus.CounterVec
	prefill  *prometheus.CounterVec
	output   *prometheus.CounterVec
	crossing *prometheus.CounterVec
	cache    *prometheus.CounterVec
	claims   *prometheus.CounterVec
	sessions prometheus.Gauge
	restarts prometheus.Counter
}

var (
	firstBuckets = []float64{0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10, 30, 60}
	gapBuckets   = []float64{0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.3, 0.5, 1, 2}
)

const namespace = "damask"

// unknown is the label of a request whose service or rank is not configured.
const unknown = "unknown"

func newMeter(region string, reg prometheus.Registerer) *meter {
	labels := func(more ...string) []string { return append([]string{"service", "rank", "region"}, more...) }
	counter := func(name, help string, more ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels(more...))
		reg.MustRegister(c)

		return c
	}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: name, Help: help, Buckets: buckets,
		}, labels())
		reg.MustRegister(h)

		return h
	}
	m := &meter{
		region:   region,
		requests: counter("requests_total", "Requests by final outcome and HTTP status.", "outcome", "status"),
		good:     counter("good_requests_total", "Requests done within both latency targets of their rank."),
		firsts:   histogram("first_token_seconds", "Time to first token.", firstBuckets),
		gaps:     histogram("token_gap_seconds", "Time between tokens.", gapBuckets),
		retries:  counter("retries_total", "Work started again elsewhere, by the phase that failed.", "phase"),
		prefill:  counter("prefill_tokens_total", "Prompt tokens computed; wasted ones led to no answer.", "use"),
		output:   counter("output_tokens_total", "Tokens passed on to callers."),
		crossing: counter("billed_bytes_total", "Bytes sent to servers of other regions.", "kind"),
		cache:    counter("billed_cache_tokens_total", "Tokens of KV cache imported across regions."),
		claims:   counter("claims_total", "Claims of non-idempotent calls by result.", "result"),
		flying: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "requests_in_flight", Help: "Requests without a final outcome.",
		}, labels()),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "agent_sessions", Help: "Open sessions to agents.",
		}),
		restarts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "agent_restarts_total", Help: "Agents found with another epoch.",
		}),
	}
	reg.MustRegister(m.flying, m.sessions, m.restarts)

	return m
}

func (m *meter) labels(f *flight, more ...string) []string {
	rank := f.rank.GetName()
	if rank == "" {
		rank = unknown
	}

	return append([]string{f.request.Service, rank, m.region}, more...)
}

// refused counts a request that was not started. The service is empty if it is
// unknown.
func (m *meter) refused(service, rank string, status int) {
	if service == "" {
		service = unknown
	}
	if rank == "" {
		rank = unknown
	}
	m.requests.WithLabelValues(service, rank, m.region, dispatcher.NotRun.String(), strconv.Itoa(status)).Inc()
}

func (m *meter) began(f *flight) { m.flying.WithLabelValues(m.labels(f)...).Inc() }

func (m *meter) first(f *flight, d time.Duration) {
	m.firsts.WithLabelValues(m.labels(f)...).Observe(d.Seconds())
}

func (m *meter) gap(f *flight, d time.Duration) {
	m.gaps.WithLabelValues(m.labels(f)...).Observe(d.Seconds())
}

func (m *meter) retried(f *flight, a dispatcher.Retried) {
	m.retries.WithLabelValues(m.labels(f, phases[a.Phase])...).Inc()
}

func (m *meter) billed(f *flight, kind string, bytes int) {
	m.crossing.WithLabelValues(m.labels(f, kind)...).Add(float64(bytes))
}

func (m *meter) billedCache(f *flight, tokens int64) {
	m.cache.WithLabelValues(m.labels(f)...).Add(float64(tokens))
}

func (m *meter) claimed(f *flight, c dispatcher.Claimed) {
	result := "refused"
	switch {
	case c.OK && c.Fresh:
		result = "taken"
	case c.OK:
		result = "duplicate"
	case c.Conflict:
		result = "conflict"
	case c.Unknown:
		result = unknown
	}
	m.claims.WithLabelValues(m.labels(f, result)...).Inc()
}

func (m *meter) ended(f *flight, _ time.Time, o dispatcher.Outcome) {
	m.flying.WithLabelValues(m.labels(f)...).Dec()
	status := strconv.Itoa(bounded(o.Status))
	if o.Gone {
		status = "gone"
	}
	m.requests.WithLabelValues(m.labels(f, o.Result.String(), status)...).Inc()
	use := "wasted"
	if o.Result == dispatcher.Done {
		use = "answered"
		if f.inTime() {
			m.good.WithLabelValues(m.labels(f)...).Inc()
		}
	}
	if f.prefills > 0 {
		m.prefill.WithLabelValues(m.labels(f, use)...).Add(float64(f.prefills))
	}
	if f.tokens > 0 {
		m.output.WithLabelValues(m.labels(f)...).Add(float64(f.tokens))
	}
}

// bounded maps a status that a service made up to 0.
func bounded(status int) int {
	if status < 100 || status > 599 {
		return 0
	}

	return status
}
