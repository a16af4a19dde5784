package observer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tokenSpan is the time over which the growth of a request is measured, and minTokenSpan
	// the shortest such time. Reports count memory in blocks of many tokens, so that shorter
	// spans would be inaccurate.
	tokenSpan    = time.Second
	minTokenSpan = 400 * time.Millisecond
	// smoothing is the time constant with which measurements are averaged. It is shorter than
	// most answers and longer than single hiccups of a server.
	smoothing = 2 * time.Second
	// changeFactor is the factor by which a measurement differs from the average when the
	// server has become slower or faster, and changeReports the number of successive such
	// measurements after which they replace the average.
	changeFactor  = 1.5
	changeReports = 2
	// minToken and maxToken bound plausible measurements.
	minToken = 200 * time.Microsecond
	maxToken = time.Second
)

// tokenMeter measures the time for each output token from successive reports.
type tokenMeter struct {
	span    time.Duration // over which growth is measured, tokenSpan if 0
	reports []report
	average time.Duration
	latest  time.Time // of the last measurement
	// slower and faster count the last measurements that were far above or below average.
	slower, faster int
}

// report is what is kept of one report: the tokens of the requests that were generating.
type report struct {
	at     time.Time
	tokens map[string]int
}

// observe adds one report.
func (m *tokenMeter) observe(now time.Time, runs map[string]Run) {
	m.reports = slices.DeleteFunc(m.reports, func(r report) bool { return now.Sub(r.at) > cmp.Or(m.span, tokenSpan) })
	next := report{at: now, tokens: make(map[string]int, len(runs))}
	var all []growth
	for id, run := range runs {
		if run.Events <= 0 {
			continue
		}
		next.tokens[id] = run.Tokens
		if g, ok := m.growth(now, id, run.Tokens); ok {
			all = append(all, g)
		}
	}
	m.reports = append(m.reports, next)
	// Without any growth, the first span was too short to tell a speed.
	if grown(all) || len(all) > 0 && m.average > 0 {
		m.add(now, tokenTime(all))
	}
}

// growth is how much a request has grown in which time.
type growth struct {
	elapsed time.Duration
	tokens  int
}

func (g growth) rate() float64 { return float64(g.tokens) / g.elapsed.Seconds() }

// growth returns the growth of a request since the oldest report in which it was generating. ok
// is false if that is not long ago, or if the request has lost its memory in the meantime.
func (m *tokenMeter) growth(now time.Time, id string, tokens int) (g growth, ok bool) {
	for _, r := range m.reports {
		if before, generating := r.tokens[id]; generating {
			g = growth{now.Sub(r.at), tokens - before}

			return g, g.elapsed >= minTokenSpan && g.tokens >= 0
		}
	}

	return growth{}, false
}

// grown reports whether a request has grown.
func grown(all []growth) bool {
	return slices.ContainsFunc(all, func(g growth) bool { return g.tokens > 0 })
}

// tokenTime returns the time per token over the requests whose growth is in the middle half: a
// request may be read in again after it has lost its memory, or may wait for memory.
func tokenTime(all []growth) time.Duration {
	slices.SortFunc(all, func(a, b growth) int {
		return cmp.Or(cmp.Compare(a.rate(), b.rate()), cmp.Compare(a.elapsed, b.elapsed))
	})
	var elapsed time.Duration
	tokens, rest := 0, len(all)/4
	for _, g := range all[rest : len(all)-rest] {
		elapsed += g.elapsed
		tokens += g.tokens
	}

	return min(max(elapsed/time.Duration(max(tokens, 1)), minToken), maxToken)
}

// add averages a measurement, unless the server has changed its speed.
func (m *tokenMeter) add(now time.Time, t time.Duration) {
	if float64(t) > changeFactor*float64(m.average) {
		m.slower++
	} else {
		m.slower = 0
	}
	if changeFactor*float64(t) < float64(m.average) {
		m.faster++
	} else {
		m.faster = 0
	}
	if m.average == 0 || m.slower >= changeReports || m.faster >= changeReports {
		m.average = t
	} else {
		weight := min(now.Sub(m.latest).Seconds()/smoothing.Seconds(), 1)
		m.average += time.Duration(weight * float64(t-m.average))
	}
	m.latest = now
}

func (m *tokenMeter) value(now time.Time) time.Duration {
	if now.Sub(m.latest) > maxAge {
		return 0
	}

	return m.average
}

// median returns the middle one of a list that is not empty.
func median(times []time.Duration) time.Duration {
	slices.Sort(times)

	return times[len(times)/2]
}
