package grantserver

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/granter"
)

// metrics counts the decisions on asks. It has no label for customers, of which there may be
// thousands; the log names them.
type metrics struct {
	decisions *prometheus.CounterVec
	work      *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_grantserver_decisions_total",
			Help: "Decisions on asks by rank, and by reason: granted, or why not.",
		}, []string{"rank", "reason"}),
		work: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "damasklever_grantserver_granted_work_total",
			Help: "Granted memory blocks, or turns of a prefill server, times the expected seconds, by rank.",
		}, []string{"rank"}),
	}
}

var (
	tokenTimeDesc = prometheus.NewDesc("damasklever_agent_token_seconds",
		"Measured time for each output token of a request, 0 if unknown.", nil, nil)
	promptTimeDesc = prometheus.NewDesc("damasklever_agent_prompt_seconds",
		"Measured time for each prompt token, 0 if unknown.", nil, nil)
)

// observe counts the decision on an ask.
func (m *metrics) observe(d granter.Decision, ask granter.Ask) {
	if ask.ID == "" {
		return
	}
	rank, reason := strconv.Itoa(ask.Rank), d.Reason
	if d.Kind == granter.Granted {
		reason = "granted"
		m.work.WithLabelValues(rank).Add(float64(ask.Pieces) * ask.Cost.Seconds())
	}
	m.decisions.WithLabelValues(rank, reason).Inc()
}

// Describe implements prometheus.Collector.
func (gs *Server) Describe(descs chan<- *prometheus.Desc) {
	gs.metrics.decisions.Describe(descs)
	gs.metrics.work.Describe(descs)
	descs <- tokenTimeDesc
	descs <- promptTimeDesc
}

// Collect implements prometheus.Collector.
func (gs *Server) Collect(out chan<- prometheus.Metric) {
	gs.metrics.decisions.Collect(out)
	gs.metrics.work.Collect(out)
	gs.mu.Lock()
	speed := gs.observer.Speed(gs.s.Timer.Now())
	gs.mu.Unlock()
	out <- prometheus.MustNewConstMetric(tokenTimeDesc, prometheus.GaugeValue, speed.Token.Seconds())
	out <- prometheus.MustNewConstMetric(promptTimeDesc, prometheus.GaugeValue, speed.Prompt.Seconds())
}
