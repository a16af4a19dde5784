package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/observer"
)

// Answer describes the answer to a model request.
type Answer struct {
	// Expected is the expected number of output tokens, and Planned one that few answers exceed.
	Expected, Planned int
	// Start is the expected time from the choice of a server to the first event, without the
	// wait for memory, and Left the time until the deadline.
	Start, Left time.Duration
	// Speed holds where no server of the pool has been measured.
	Speed observer.Speed
}

// Fit tells whether a server can complete an answer before the deadline.
type Fit int

const (
	// Fits means that an answer of the planned length is complete in time.
	Fits Fit = iota
	// Tight means that an answer of the expected length is.
	Tight
	// TooLong means that neither is.
	TooLong
)

// String returns the name of the fit for logs.
func (f Fit) String() string { return [...]string{"fits", "tight", "long"}[f] }

const (
	// speedDelay is the difference in cost between a server of the usual speed and one that
	// takes twice as long, for an answer of twice the usual length. It outweighs occupancyDelay,
	// so that servers are filled according to their speeds, and the distance to other data
	// centres, but not a wait for memory.
	speedDelay = 2 * occupancyDelay
	// fitMargin is the factor by which answers may take longer than at the measured speed: the
	// server's other requests, and their prompts, change while an answer is generated.
	fitMargin = 1.25
	// maxRatio bounds how far a length or a speed counts as different from the usual one.
	maxRatio = 3.0
	// minSlowness is the difference from the usual time below which servers count as equal, so
	// that requests are not sent to other data centres for a hiccup.
	minSlowness = 0.25
	// usualAge is how long the usual speed of a pool holds after none of its servers has one: as
	// long as agents keep theirs.
	usualAge = 30 * time.Second
	// usualWeight is the weight of one answer in the usual length of a pool.
	usualWeight = 1.0 / 32
)

// usual is what is usual in a pool.
type usual struct {
	speed  observer.Speed
	known  [2]time.Time // when a speed of a token and of a prompt token was last known
	output float64      // expected tokens of an answer
}

// UsualSpeed returns the median of the speeds of a pool's servers when any was last known, 0
// where none ever was.
func (p *Placer) UsualSpeed(pool string) observer.Speed {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.usualOf(pool).current(p.s.Now())
}

// current returns the usual speed, without what is out of date.
func (u *usual) current(now time.Time) observer.Speed {
	out := u.speed
	if now.Sub(u.known[tokenSpeed]) > usualAge {
		out.Token = 0
	}
	if now.Sub(u.known[promptSpeed]) > usualAge {
		out.Prompt = 0
	}

	return out
}

// Indexes of usual.known.
const (
	tokenSpeed = iota
	promptSpeed
)

// update sets a usual speed if it is known, and returns what holds.
func (u *usual) update(now time.Time, which int, known time.Duration) time.Duration {
	if known > 0 {
		u.known[which] = now
		if which == tokenSpeed {
			u.speed.Token = known
		} else {
			u.speed.Prompt = known
		}
	}
	if which == tokenSpeed {
		return u.current(now).Token
	}

	return u.current(now).Prompt
}

// usualOf returns what is usual in a pool. The caller must hold p.mu.
func (p *Placer) usualOf(pool string) *usual {
	u := p.usual[pool]
	if u == nil {
		u = &usual{}
		p.usual[pool] = u
	}

	return u
}

// applySpeeds adds the speeds of the servers to their costs. The caller must hold p.mu.
func (p *Placer) applySpeeds(q Query, stage Stage, list []Candidate) {
	if stage == Prefill {
		p.applyPromptSpeeds(q, list)

		return
	}
	u := p.usualOf(q.Pool)
	known := u.update(p.s.Now(), tokenSpeed, medianKnown(list, func(c *Candidate) time.Duration { return c.Speed.Token }))
	typical := cmp.Or(known, q.Answer.Speed.Token)
	length := u.ratio(q.Answer.Expected)
	for i := range list {
		c := &list[i]
		c.Speed.Token = cmp.Or(c.Speed.Token, typical)
		c.Fit, c.Finish = q.Answer.fit(c.wait+q.Answer.Start, c.Speed.Token)
		weight := length - 1
		if c.Fit != Fits {
			weight = maxRatio - 1
		}
		c.Cost += time.Duration(slowness(c.Speed.Token, typical) * weight * float64(speedDelay))
	}
}

// slowness returns by how much of the typical time a server takes longer, 0 if it is not much.
func slowness(token, typical time.Duration) float64 {
	if typical == 0 {
		return 0
	}
	s := min(float64(token)/float64(typical), maxRatio) - 1
	if math.Abs(s) < minSlowness {
		return 0
	}

	return s
}

// fit returns whether the answer can be complete before the deadline on a server, and when the
// planned one is expected to be.
func (a *Answer) fit(start, token time.Duration) (f Fit, finish time.Duration) {
	finish = start + time.Duration(fitMargin*float64(a.Planned)*float64(token))
	switch {
	case finish <= a.Left:
		return Fits, finish
	case start+time.Duration(a.Expected)*token <= a.Left:
		return Tight, finish
	default:
		return TooLong, finish
	}
}

// applyPromptSpeeds adds the expected time for the prompt to the costs of prefill servers. The
// caller must hold p.mu.
func (p *Placer) applyPromptSpeeds(q Query, list []Candidate) {
	u := p.usualOf(q.Pool)
	known := u.update(p.s.Now(), promptSpeed, medianKnown(list, func(c *Candidate) time.Duration { return c.Speed.Prompt }))
	for i := range list {
		c := &list[i]
		c.Speed.Prompt = cmp.Or(c.Speed.Prompt, known, q.Answer.Speed.Prompt)
		c.Cost += time.Duration(q.Prompt) * c.Speed.Prompt
	}
}

// ratio returns an expected length as a multiple of the usual one, and counts it.
func (u *usual) ratio(expected int) float64 {
	if expected <= 0 {
		return 1
	}
	if u.output == 0 {
		u.output = float64(expected)
	}
	u.output += usualWeight * (float64(expected) - u.output)

	return min(float64(expected)/u.output, maxRatio)
}

// medianKnown returns the median of the times that are known, 0 if none is.
func medianKnown(list []Candidate, of func(*Candidate) time.Duration) time.Duration {
	var known []time.Duration
	for i := range list {
		if t := of(&list[i]); t > 0 {
			known = append(known, t)
		}
	}

	return lowerMedian(known)
}

// compareCandidates orders servers by how well the answer fits and by cost. Of servers on which
// it is too long, the one that is expected to complete it first is the best.
func compareCandidates(a, b Candidate) int {
	if a.Fit == TooLong && b.Fit == TooLong {
		return cmp.Or(cmp.Compare(a.Finish, b.Finish), cmp.Compare(a.Cost, b.Cost))
	}

	return cmp.Or(cmp.Compare(a.Fit, b.Fit), cmp.Compare(a.Cost, b.Cost))
}

// Suitable returns the candidates to ask, in this order, of those that Rank has returned: the
// ones on which the answer fits as well as on the first. If it fits, but only on servers without
// free memory, it returns those first that have some and on which the answer is tight.
func Suitable(candidates []Candidate) []Candidate {
	var best, tight []Candidate
	room := false
	for _, c := range candidates {
		switch {
		case c.Fit == candidates[0].Fit:
			best = append(best, c)
			room = room || c.wait == 0
		case c.Fit == Tight && c.wait == 0:
			tight = append(tight, c)
		}
	}
	if room {
		return best
	}

	return append(tight, best...)
}

// slowFactor is how many times the usual answer time of its pool a server without an agent
// takes to count as slow. Answer times also differ by the work of the requests.
const slowFactor = 2

// RecordTime records how long a server without an agent took to answer a request.
func (p *Placer) RecordTime(now time.Time, id string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[id] != nil {
		p.answers.Observe(now, id, took)
	}
}

// usualAnswer returns the median answer time of the servers of a pool, 0 if it is unknown or
// servers are not chosen by speed. The caller must hold p.mu.
func (p *Placer) usualAnswer(now time.Time, q Query) time.Duration {
	if !q.Speeds {
		return 0
	}
	var known []time.Duration
	for _, st := range p.pools[q.Pool] {
		if t := p.answers.Answer(now, st.ID); t > 0 {
			known = append(known, t)
		}
	}

	return lowerMedian(known)
}

// slowDelay returns the delay at a slow server beyond the typical answer time. Requests that
// this process has sent there have to be answered first. The caller must hold p.mu.
func (p *Placer) slowDelay(now time.Time, st *serverState, typical time.Duration) time.Duration {
	if typical == 0 {
		return 0
	}
	own := p.answers.Answer(now, st.ID)
	if own <= slowFactor*typical {
		return 0
	}

	return time.Duration(st.running+1) * (own - typical)
}

// lowerMedian returns the median of times, the lower one of two, or 0 if there are none.
func lowerMedian(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)

	return times[(len(times)-1)/2]
}
