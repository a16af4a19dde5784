package versioner

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts the origins that an entry keeps and looks up.
type metrics struct {
	streams  prometheus.GaugeFunc
	keepers  prometheus.GaugeFunc
	evicted  prometheus.CounterFunc
	copies   prometheus.Counter
	lookups  *prometheus.CounterVec
	children []prometheus.Collector
}

func newMetrics(v *Versioner) *metrics {
	m := &metrics{
		streams: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "damasklever_versioner_streams", Help: "Streams whose software version this entry keeps.",
		}, func() float64 { return float64(v.own.Size(v.s.Timer.Now())) }),
		keepers: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "damasklever_versioner_keepers", Help: "Agents and control hosts with a session that keep software versions of streams.",
		}, func() float64 {
			v.mu.Lock()
			defer v.mu.Unlock()

			return float64(len(v.sessions))
		}),
		evicted: prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "damasklever_versioner_evicted_total", Help: "Streams whose software version was forgotten because too many were kept.",
		}, func() float64 { return float64(v.own.Evicted()) }),
		copies: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "damasklever_versioner_copies_total", Help: "Software versions of streams given to agents and control hosts.",
		}),
		lookups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_versioner_lookups_total", Help: "Lookups of streams that callers took up, by result.",
		}, []string{"result"}),
	}
	m.children = []prometheus.Collector{m.streams, m.keepers, m.evicted, m.copies, m.lookups}

	return m
}

func (m *metrics) observeLookup(a Answer) { m.lookups.WithLabelValues(a.String()).Inc() }

// Describe implements prometheus.Collector.
func (v *Versioner) Describe(descs chan<- *prometheus.Desc) {
	for _, c := range v.metrics.children {
		c.Describe(descs)
	}
}

// Collect implements prometheus.Collector.
func (v *Versioner) Collect(out chan<- prometheus.Metric) {
	for _, c := range v.metrics.children {
		c.Collect(out)
	}
}
