package budgeter

import "github.com/prometheus/client_golang/prometheus"

// metrics counts who was refused and who had to give way.
type metrics struct {
	used, limit *prometheus.Desc
	refused     prometheus.Counter
	dropped     *prometheus.CounterVec
}

// newMetrics returns the metrics of the budget with a name.
func newMetrics(name string) *metrics {
	labels := prometheus.Labels{"budget": name}

	return &metrics{
		used:  prometheus.NewDesc("damasklever_budget_used", "What is held for callers now.", nil, labels),
		limit: prometheus.NewDesc("damasklever_budget_limit", "What may be held for callers, 0 for no limit.", nil, labels),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "damasklever_budget_refused_total", Help: "Times that a caller was refused because nothing was left for it.",
			ConstLabels: labels,
		}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_budget_dropped_total", Help: "Incomplete requests and connections that were ended, by cause.",
			ConstLabels: labels,
		}, []string{"cause"}),
	}
}

// Describe implements prometheus.Collector.
func (b *Budget) Describe(descs chan<- *prometheus.Desc) {
	descs <- b.metrics.used
	descs <- b.metrics.limit
	b.metrics.refused.Describe(descs)
	b.metrics.dropped.Describe(descs)
}

// Collect implements prometheus.Collector.
func (b *Budget) Collect(out chan<- prometheus.Metric) {
	out <- prometheus.MustNewConstMetric(b.metrics.used, prometheus.GaugeValue, float64(b.Used()))
	out <- prometheus.MustNewConstMetric(b.metrics.limit, prometheus.GaugeValue, float64(b.s.Limit))
	b.metrics.refused.Collect(out)
	b.metrics.dropped.Collect(out)
}
