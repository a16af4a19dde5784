package admitter

import (
	"math"
	"time"
)

// contentionThreshold is the fraction of the first-token target above which
// requests of a rank are assumed to wait for each other. Shares are enforced only
// then.
const contentionThreshold = 0.5

// decayingSum is a sum that decays exponentially over time.
type decayingSum struct {
	value   float64
	updated time.Time
}

func (m *decayingSum) current(now time.Time, window time.Duration) float64 {
	if d := now.Sub(m.updated); d > 0 {
		m.value *= math.Exp(-d.Seconds() / window.Seconds())
		m.updated = now
	}

	return m.value
}

func (m *decayingSum) add(now time.Time, amount float64, window time.Duration) {
	m.current(now, window)
	m.value += amount
}

type server struct{ load Load }

// phaseLoad holds the sums of the load reports of a service's servers for one phase.
// Keeping sums makes the cost of a decision independent of the number of servers.
type phaseLoad struct {
	servers     int
	total, free int
	rateReports int
	rate        float64
	waitSums    []time.Duration // by rank
	gap         time.Duration
	gapReports  int
	admitted    float64 // work since the reports: tokens (prefill), blocks (decode) or requests (plain)
}

// apply adds a report to the sums, or removes it if sign is -1.
func (p *phaseLoad) apply(l Load, sign int) {
	p.servers += sign
	p.total += sign * l.Total
	p.free += sign * l.Free
	for len(p.waitSums) < len(l.Waits) {
		p.waitSums = append(p.waitSums, 0)
	}
	for r, w := range l.Waits {
		p.waitSums[r] += time.Duration(sign) * w
	}
	if l.PrefillRate > 0 {
		p.rateReports += sign
		p.rate += float64(sign) * l.PrefillRate
	}
	if l.TokenGap > 0 {
		p.gapReports += sign
		p.gap += time.Duration(sign) * l.TokenGap
	}
}

func (p *phaseLoad) meanWait(rank int) time.Duration {
	if p.servers == 0 || rank >= len(p.waitSums) {
		return 0
	}

	return p.waitSums[rank] / time.Duration(p.servers)
}

// service holds the load and the usage of one service.
type service struct {
	phases      map[string]*phaseLoad
	ranks       []*rankUsage
	retryBudget *Budget
}

func (sv *service) setRankCount(n int) {
	for len(sv.ranks) < n {
		sv.ranks = append(sv.ranks, &rankUsage{callers: map[string]*decayingSum{}})
	}
	sv.ranks = sv.ranks[:n]
}

func (sv *service) phaseLoad(name string) *phaseLoad {
	p := sv.phases[name]
	if p == nil {
		p = &phaseLoad{}
		sv.phases[name] = p
	}

	return p
}

// discountReported reduces the pending work by the share of one server, whose new
// report includes it.
func (sv *service) discountReported(_ time.Time, name string) {
	p := sv.phaseLoad(name)
	p.admitted -= p.admitted / float64(max(p.servers, 1))
}

// admitted counts the work of a request until the reports include it.
func (sv *service) admitted(q Query) {
	if q.Plain {
		sv.phaseLoad("plain").admitted++

		return
	}
	sv.phaseLoad("prefill").admitted += float64(max(q.Tokens-q.Cached, 1))
	sv.phaseLoad("decode").admitted += float64(q.Pieces)
}

// estimate predicts the time to first token and the time between tokens. Decode
// memory is reserved before the prefill, so a wait for it delays the first token
// only by the part that exceeds queue and prefill.
func (sv *service) estimate(_ time.Time, q Query, s Settings) (first, gap time.Duration, ok bool) {
	if q.Plain {
		p := sv.phaseLoad("plain")

		return p.meanWait(q.Rank), 0, p.servers > 0
	}
	prefill, decode := sv.phaseLoad("prefill"), sv.phaseLoad("decode")
	if prefill.servers == 0 || decode.servers == 0 {
		return 0, 0, false
	}
	rate := s.Prefill
	if prefill.rateReports > 0 {
		rate = prefill.rate / float64(prefill.rateReports)
	}
	promptTime := seconds(float64(max(q.Tokens-q.Cached, 0)) / rate)
	// Pending work counts half, because part of it has been served already.
	queueWait := prefill.meanWait(q.Rank) + seconds(prefill.admitted/2/rate/float64(prefill.servers))
	memoryWait := decode.meanWait(q.Rank)
	first = max(queueWait+promptTime, memoryWait) + s.FixedOverhead
	if decode.gapReports > 0 {
		gap = decode.gap / time.Duration(decode.gapReports)
		// The gap is scaled by the growth of the occupancy since the reports.
		if used := decode.total - decode.free; used > 0 {
			projected := math.Min(float64(used)+decode.admitted/2, float64(decode.total))
			gap = time.Duration(float64(gap) * math.Max(1, projected/float64(used)))
		}
	}

	return first, gap, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rankUsage tracks the recent work of a rank, in total and by caller.
type rankUsage struct {
	callers      map[string]*decayingSum
	totalWork    decayingSum // tokens, or calls of plain services
	requests     decayingSum
	running      int
	refusalCarry float64 // fractional rejections carried over to the next decision
}

// burstRequests is how many requests of average size a caller may send beyond its
// share. Without this allowance, a rank with few requests would reject a caller
// after a single long prompt.
const burstRequests = 3

// overShare reports whether a caller has used more than its share of the rank.
func (u *rankUsage) overShare(now time.Time, caller string, share int, window time.Duration) bool {
	m := u.callers[caller]
	if m == nil {
		return false
	}
	totalWork := u.totalWork.current(now, window)
	allowance := burstRequests * totalWork / max(u.requests.current(now, window), 1)

	return m.current(now, window) > float64(share)/100*totalWork+allowance
}

// shouldRefuse rejects a fraction of the requests that rises linearly from 0 at 0.9
// of the target to 1 at 1.3 of it. With a sharp limit, the delay of the reports
// would make the entry oscillate between admitting and rejecting everything.
func (u *rankUsage) shouldRefuse(estimate, target time.Duration) bool {
	const low, high = 0.9, 1.3
	u.refusalCarry += min(max((float64(estimate)/float64(target)-low)/(high-low), 0), 1)
	if u.refusalCarry < 1 {
		return false
	}
	u.refusalCarry--

	return true
}

func (u *rankUsage) recordStart(now time.Time, q Query, window time.Duration) {
	work := float64(q.Tokens + q.Limit)
	if q.Plain {
		work = 1
	}
	m := u.callers[q.Caller]
	if m == nil {
		u.evictIdleCallers(now, window)
		m = &decayingSum{updated: now}
		u.callers[q.Caller] = m
	}
	m.add(now, work, window)
	u.totalWork.add(now, work, window)
	u.requests.add(now, 1, window)
	u.running++
}

func (u *rankUsage) recordEnd(Query) { u.running = max(u.running-1, 0) }

// evictIdleCallers keeps the map of callers small: it looks at a few of them and
// drops those without recent work.
func (u *rankUsage) evictIdleCallers(now time.Time, window time.Duration) {
	const maxVisited, idleWork = 4, 0.5
	n := 0
	for name, m := range u.callers {
		if n++; n > maxVisited {
			return
		}
		if m.current(now, window) < idleWork {
			delete(u.callers, name)
		}
	}
}
