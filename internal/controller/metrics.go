package controller

import "github.com/prometheus/client_golang/prometheus"

const namespace = "damask"

// gauges are the metrics of a control host, computed from its dump at each scrape.
var gauges = []struct {
	desc *prometheus.Desc
	read func(d Dump) float64
}{
	{gauge("control_leader", "1 while this host leads, otherwise 0."), func(d Dump) float64 {
		if d.Role == "leader" {
			return 1
		}

		return 0
	}},
	{gauge("control_term", "Term of the log."), func(d Dump) float64 { return float64(d.Term) }},
	{gauge("control_last_index", "Last entry of the log."), func(d Dump) float64 { return float64(d.Last) }},
	{gauge("control_commit_index", "Last committed entry."), func(d Dump) float64 { return float64(d.Commit) }},
	{gauge("control_applied_index", "Last applied entry."), func(d Dump) float64 { return float64(d.Applied) }},
	{gauge("control_revision", "Revision of the configuration."), func(d Dump) float64 { return float64(d.Revision) }},
	{gauge("control_lease_seconds", "Time since a majority was heard, -1 if never."), func(d Dump) float64 {
		if d.Lease < 0 {
			return -1
		}

		return float64(d.Lease) / millisPerSecond
	}},
	{gauge("control_attached_processes", "Entries and agents attached to this host."), func(d Dump) float64 {
		return float64(d.Attached)
	}},
	{gauge("control_waiting_commands", "Commands that wait for their commit."), func(d Dump) float64 {
		return float64(d.Waiting)
	}},
}

const millisPerSecond = 1000

func gauge(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, nil, nil)
}

var _ prometheus.Collector = (*Controller)(nil)

// Describe implements prometheus.Collector.
func (c *Controller) Describe(descs chan<- *prometheus.Desc) {
	for _, g := range gauges {
		descs <- g.desc
	}
}

// Collect implements prometheus.Collector.
func (c *Controller) Collect(metrics chan<- prometheus.Metric) {
	d := c.Dump()
	for _, g := range gauges {
		metrics <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, g.read(d))
	}
}
