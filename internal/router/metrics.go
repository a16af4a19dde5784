package router

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/dispatcher"
)

// metrics holds the Prometheus metrics of an entry. The number of label values is
// bounded: services and ranks come from the configuration, and a request for an
// unknown service is counted without any text from the caller.
type metrics struct {
	region            string
	requests          *prometheus.CounterVec
	goodRequests      *prometheus.CounterVec
	firstTokenSeconds *prometheus.HistogramVec
	tokenGapSeconds   *prometheus.HistogramVec
	requestsInFlight  *prometheus.GaugeVec
	retries           *prometheus.CounterVec
	prefillTokens     *prometheus.CounterVec
	outputTokens      *prometheus.CounterVec
	crossRegionBytes  *prometheus.CounterVec
	crossRegionCache  *prometheus.CounterVec
	claims            *prometheus.CounterVec
	agentSessions     prometheus.Gauge
	agentRestarts     prometheus.Counter
}

var (
	firstTokenBuckets = []float64{0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5, 10, 30, 60}
	tokenGapBuckets   = []float64{0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.3, 0.5, 1, 2}
)

const namespace = "damask"

// unknownLabel is the label value for a service or rank that is not configured, and
// for a claim whose result is unknown.
const unknownLabel = "unknown"

// newMetrics creates the metrics and registers them.
func newMetrics(region string, reg prometheus.Registerer) *metrics {
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
	m := &metrics{
		region:            region,
		requests:          counter("requests_total", "Requests by final outcome and HTTP status.", "outcome", "status"),
		goodRequests:      counter("good_requests_total", "Requests done within both latency targets of their rank."),
		firstTokenSeconds: histogram("first_token_seconds", "Time to first token.", firstTokenBuckets),
		tokenGapSeconds:   histogram("token_gap_seconds", "Time between tokens.", tokenGapBuckets),
		retries:           counter("retries_total", "Work started again elsewhere, by the phase that failed.", "phase"),
		prefillTokens:     counter("prefill_tokens_total", "Prompt tokens computed; wasted ones led to no answer.", "use"),
		outputTokens:      counter("output_tokens_total", "Tokens passed on to callers."),
		crossRegionBytes:  counter("billed_bytes_total", "Bytes sent to servers of other regions.", "kind"),
		crossRegionCache:  counter("billed_cache_tokens_total", "Tokens of KV cache imported across regions."),
		claims:            counter("claims_total", "Claims of non-idempotent calls by result.", "result"),
		requestsInFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "requests_in_flight", Help: "Requests without a final outcome.",
		}, labels()),
		agentSessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "agent_sessions", Help: "Open sessions to agents.",
		}),
		agentRestarts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "agent_restarts_total", Help: "Agents found with another epoch.",
		}),
	}
	reg.MustRegister(m.requestsInFlight, m.agentSessions, m.agentRestarts)

	return m
}

// labels returns the label values that all metrics of a request share, and more.
func (m *metrics) labels(f *inflight, more ...string) []string {
	rank := f.rank.GetName()
	if rank == "" {
		rank = unknownLabel
	}

	return append([]string{f.request.Service, rank, m.region}, more...)
}

// refuse counts a request that was not started. An empty service or rank is
// counted as unknown.
func (m *metrics) refuse(service, rank string, status int) {
	if service == "" {
		service = unknownLabel
	}
	if rank == "" {
		rank = unknownLabel
	}
	m.requests.WithLabelValues(service, rank, m.region, dispatcher.NotRun.String(), strconv.Itoa(status)).Inc()
}

// started counts a request as in flight.
func (m *metrics) started(f *inflight) {
	m.requestsInFlight.WithLabelValues(m.labels(f)...).Inc()
}

// firstToken records the time from the start of a request to its first token.
func (m *metrics) firstToken(f *inflight, d time.Duration) {
	m.firstTokenSeconds.WithLabelValues(m.labels(f)...).Observe(d.Seconds())
}

// tokenGap records the time between two tokens.
func (m *metrics) tokenGap(f *inflight, d time.Duration) {
	m.tokenGapSeconds.WithLabelValues(m.labels(f)...).Observe(d.Seconds())
}

// retried counts a retry by the phase that failed.
func (m *metrics) retried(f *inflight, a dispatcher.Retried) {
	m.retries.WithLabelValues(m.labels(f, phaseNames[a.Phase])...).Inc()
}

func (m *metrics) addCrossRegionBytes(f *inflight, kind string, bytes int) {
	m.crossRegionBytes.WithLabelValues(m.labels(f, kind)...).Add(float64(bytes))
}

func (m *metrics) addCrossRegionCache(f *inflight, tokens int64) {
	m.crossRegionCache.WithLabelValues(m.labels(f)...).Add(float64(tokens))
}

// claimResult counts a claim by its result.
func (m *metrics) claimResult(f *inflight, c dispatcher.Claimed) {
	result := "refused"
	switch {
	case c.OK && c.Fresh:
		result = "taken"
	case c.OK:
		result = "duplicate"
	case c.Conflict:
		result = "conflict"
	case c.Unknown:
		result = unknownLabel
	}
	m.claims.WithLabelValues(m.labels(f, result)...).Inc()
}

// ended records the final outcome of a request.
func (m *metrics) ended(f *inflight, _ time.Time, o dispatcher.Outcome) {
	m.requestsInFlight.WithLabelValues(m.labels(f)...).Dec()
	status := strconv.Itoa(statusOrZero(o.Status))
	if o.CallerGone {
		status = "gone"
	}
	m.requests.WithLabelValues(m.labels(f, o.Result.String(), status)...).Inc()
	use := "wasted"
	if o.Result == dispatcher.Done {
		use = "answered"
		if f.metLatencyTargets() {
			m.goodRequests.WithLabelValues(m.labels(f)...).Inc()
		}
	}
	if f.computedTokens > 0 {
		m.prefillTokens.WithLabelValues(m.labels(f, use)...).Add(float64(f.computedTokens))
	}
	if f.tokens > 0 {
		m.outputTokens.WithLabelValues(m.labels(f)...).Add(float64(f.tokens))
	}
}

// statusOrZero maps a status outside the range of HTTP to 0. Services can return any
// number, which would make the number of label values unbounded.
func statusOrZero(status int) int {
	if status < 100 || status > 599 {
		return 0
	}

	return status
}
