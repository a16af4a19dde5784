package admitter

import (
	"math"
	"time"
)

// crowded is the part of the first-token target above which a rank counts as
// having others wait, so that shares are enforced.
const crowded = 0.5

// meter is a count that decays exponentially.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) read(now time.Time, window time.Duration) float64 {
	if d := now.Sub(m.at); d > 0 {
		m.value *= math.Exp(-d.Seconds() / window.Seconds())
		m.at = now
	}

	return m.value
}

func (m *meter) add(now time.Time, v float64, window time.Duration) {
	m.read(now, window)
	m.value += v
}

type server struct{ load Load }

// phase is the sum of the reports of a service's servers in one phase. Sums
// keep the cost of a decision independent of the number of servers.
type phase struct {
	servers     int
	total, free int
	rated       int
	rate        float64
	waits       []time.Duration // sums by rank
	gap         time.Duration   // sum
	gaps        int
	sent        float64 // work admitted since the reports: tokens, or pieces
}

func (p *phase) count(l Load, sign int) {
	p.servers += sign
	p.total += sign * l.Total
	p.free += sign * l.Free
	for len(p.waits) < len(l.Waits) {
		p.waits = append(p.waits, 0)
	}
	for r, w := range l.Waits {
		p.waits[r] += time.Duration(sign) * w
	}
	if l.Rate > 0 {
		p.rated += sign
		p.rate += float64(sign) * l.Rate
	}
	if l.Gap > 0 {
		p.gaps += sign
		p.gap += time.Duration(sign) * l.Gap
	}
}

func (p *phase) wait(rank int) time.Duration {
	if p.servers == 0 || rank >= len(p.waits) {
		return 0
	}

	return p.waits[rank] / time.Duration(p.servers)
}

// service is what the admitter knows of one service.
type service struct {
	phases  map[string]*phase
	ranks   []*usage
	retries *Budget
}

func (sv *service) resize(n int) {
	for len(sv.ranks) < n {
		sv.ranks = append(sv.ranks, &usage{callers: map[string]*meter{}})
	}
	sv.ranks = sv.ranks[:n]
}

func (sv *service) phase(name string) *phase {
	p := sv.phases[name]
	if p == nil {
		p = &phase{}
		sv.phases[name] = p
	}

	return p
}

// settle removes admitted work that the report of one server now includes.
func (sv *service) settle(_ time.Time, name string) {
	p := sv.phase(name)
	p.sent -= p.sent / float64(max(p.servers, 1))
}

// sent counts admitted work until the reports include it.
func (sv *service) sent(q Query) {
	if q.Plain {
		sv.phase("plain").sent++

		return
	}
	sv.phase("prefill").sent += float64(max(q.Tokens-q.Cached, 1))
	sv.phase("decode").sent += float64(q.Pieces)
}

// estimate predicts the first token and the time between tokens of a request.
// The decode load is that at the end of the prefill: decode memory is reserved
// before the prefill, so only the wait beyond the prefill's end delays it.
func (sv *service) estimate(_ time.Time, q Query, s Settings) (first, gap time.Duration, ok bool) {
	if q.Plain {
		p := sv.phase("plain")

		return p.wait(q.Rank), 0, p.servers > 0
	}
	pre, dec := sv.phase("prefill"), sv.phase("decode")
	if pre.servers == 0 || dec.servers == 0 {
		return 0, 0, false
	}
	rate := s.Prefill
	if pre.rated > 0 {
		rate = pre.rate / float64(pre.rated)
	}
	own := seconds(float64(max(q.Tokens-q.Cached, 0)) / rate)
	// Admitted work counts half: part of it is already served.
	queue := pre.wait(q.Rank) + seconds(pre.sent/2/rate/float64(pre.servers))
	memory := dec.wait(q.Rank)
	first = max(queue+own, memory) + s.Fixed
	if dec.gaps > 0 {
		gap = dec.gap / time.Duration(dec.gaps)
		// Occupancy that the admitted work adds, relative to that reported.
		if busy := dec.total - dec.free; busy > 0 {
			grown := math.Min(float64(busy)+dec.sent/2, float64(dec.total))
			gap = time.Duration(float64(gap) * math.Max(1, grown/float64(busy)))
		}
	}

	return first, gap, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// usage is what the callers of one rank have had.
type usage struct {
	callers map[string]*meter
	all     meter // work
	count   meter // requests
	running int
	debt    float64 // error of the refused fraction, carried to the next decision
}

// burst is how many mean requests a caller may have beyond its share. Without
// it, a rank with few requests refuses a caller after a single long prompt.
const burst = 3

// over tells whether a caller has had more than its share of the rank.
func (u *usage) over(now time.Time, caller string, share int, window time.Duration) bool {
	m := u.callers[caller]
	if m == nil {
		return false
	}
	all := u.all.read(now, window)
	spare := burst * all / max(u.count.read(now, window), 1)

	return m.read(now, window) > float64(share)/100*all+spare
}

// refuse turns an estimate around the target into a fraction that rises from
// 0 at 0.9 to 1 at 1.3 of the target. A sharp limit together with late reports
// would admit all and refuse all in turn.
func (u *usage) refuse(estimate, target time.Duration) bool {
	const low, high = 0.9, 1.3
	u.debt += min(max((float64(estimate)/float64(target)-low)/(high-low), 0), 1)
	if u.debt < 1 {
		return false
	}
	u.debt--

	return true
}

func (u *usage) admit(now time.Time, q Query, window time.Duration) {
	work := float64(q.Tokens + q.Limit)
	if q.Plain {
		work = 1
	}
	m := u.callers[q.Caller]
	if m == nil {
		u.forget(now, window)
		m = &meter{at: now}
		u.callers[q.Caller] = m
	}
	m.add(now, work, window)
	u.all.add(now, work, window)
	u.count.add(now, 1, window)
	u.running++
}

func (u *usage) done(Query) { u.running = max(u.running-1, 0) }

// forget bounds the callers by dropping some of those without recent work.
func (u *usage) forget(now time.Time, window time.Duration) {
	const visit, idle = 4, 0.5
	n := 0
	for name, m := range u.callers {
		if n++; n > visit {
			return
		}
		if m.read(now, window) < idle {
			delete(u.callers, name)
		}
	}
}
