// Package pacer limits the work in flight at one server that has just started, restarted or
// recovered, or that asked for a pause. The limit is found from the server's answers: it
// grows while they keep to the time that was expected and falls when they do not.
//
// The load that it answers: the work of a whole pool is waiting, and a server that looks
// empty joins. All of it would go there at once, to a server that may still be cold or still
// be failing; kept away for a fixed time instead, a sound server stands idle.
package pacer

import (
	"math"
	"time"
)

const (
	// progressGrowth is the factor by which the limit grows with each round of progress.
	progressGrowth = 2
	// slowFactor is the factor by which the limit falls in one round at most, failureFactor the
	// one by which it falls with a failure.
	slowFactor    = 0.7
	failureFactor = 0.5
	// maxSampleTime limits the time that one answer stands for in the usual ratio.
	maxSampleTime = time.Second
	// answerFactor is the factor by which an answer lowers the number of recent failures,
	// maxRecent its maximum.
	answerFactor = 0.8
	maxRecent    = 5
	// failingTime is how long a failure is held against a server that gets no work.
	failingTime = 2 * time.Second
	// maxUsualStep bounds what one answer teaches, relative to what is usual: a single one that
	// hung must not make any slowness usual.
	maxUsualStep = 4
	// slowRounds is the number of rounds in which the limit of a slow server is expected to
	// double.
	slowRounds = 2
)

// Sample is what was seen of the work at a server.
type Sample struct {
	InFlight float64 // work at the server, with the work of the sample
	Size     float64 // work of the answer that has ended
	// Took and Expected are the actual and the expected time. Expected is 0 if unknown.
	Took, Expected time.Duration
}

// Pacer limits the work in flight at one server. It is not safe for concurrent use.
type Pacer struct {
	s     Settings
	paced bool
	limit float64
	// held is set if the limit has kept work back since it last grew.
	held bool
	// ceiling is how far the limit may grow: Full, or less if the last answer took longer than
	// tolerated.
	ceiling float64
	// failures counts the failed attempts since the last answer; probing is set while one
	// that was sent after a failure is in flight.
	failures  int
	probing   bool
	nextProbe time.Time
	// recent counts failures; each answer lowers it by a fixed part. It spaces the probes of a
	// server that fails some of its requests, too.
	recent float64
	// troubleAt is when the limit began or last had reason to fall.
	troubleAt         time.Time
	grownAt, fallenAt time.Time
	// usual is the ratio of actual to expected time that this server usually has, at least 1.
	// It outlasts restarts.
	usual   float64
	usualAt time.Time
}

// New returns a Pacer without a limit. Restart sets one.
func New(s Settings) (*Pacer, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Pacer{s: s, usual: 1}, nil
}

// Restart sets the lowest limit from the given time on, because the server has started,
// restarted or recovered then. The time may be in the future, for a server that has asked
// for a pause.
func (p *Pacer) Restart(now time.Time) {
	p.paced, p.limit, p.held, p.ceiling = true, p.s.Min, false, p.s.Full
	p.failures, p.probing, p.nextProbe, p.recent = 0, false, time.Time{}, 0
	p.troubleAt, p.grownAt, p.fallenAt = now, now, time.Time{}
}

// Limit returns the limit, and false if there is none.
func (p *Pacer) Limit(now time.Time) (float64, bool) {
	if p.paced && now.Sub(p.troubleAt) >= p.s.Expiry {
		p.end()
	}

	return p.limit, p.paced
}

// Usual returns the ratio of actual to expected time that the server usually has, at least 1.
func (p *Pacer) Usual() float64 { return p.usual }

// Failing reports whether all attempts since the last answer have failed, the last one a short
// time ago.
func (p *Pacer) Failing(now time.Time) bool {
	return p.paced && p.failures > 0 && now.Sub(p.troubleAt) < failingTime
}

// Admits reports whether more work may be sent to a server with the given work in flight.
// One piece of work, whatever its size, may always be in flight, unless the server fails one
// probe after the other.
func (p *Pacer) Admits(now time.Time, inFlight, more float64) bool {
	limit, paced := p.Limit(now)
	switch {
	case !paced:
		return true
	case now.Before(p.nextProbe):
		return false
	case inFlight > 0 && inFlight+more > limit:
		p.held = true

		return false
	}

	return true
}

// pausedAt reports whether the server rests, so that answers to earlier work do not raise the
// limit that it begins with.
func (p *Pacer) pausedAt(now time.Time) bool { return p.paced && now.Before(p.troubleAt) }

// Started records that work was sent to the server. After a failure it is a probe.
func (p *Pacer) Started() { p.probing = p.paced && p.failures > 0 }

// Ended records an answer.
func (p *Pacer) Ended(now time.Time, m Sample) {
	if p.pausedAt(now) {
		return
	}
	p.answered()
	if p.judge(now, m) && p.used(m.InFlight) {
		p.grow(now, p.limit+m.Size)
	}
}

// Progressed records the progress of all work in flight since the last such record. Its
// times are the sums over that work.
func (p *Pacer) Progressed(now time.Time, m Sample) {
	if p.pausedAt(now) {
		return
	}
	p.answered()
	if p.judge(now, m) && p.used(m.InFlight) && now.Sub(p.grownAt) >= p.s.Round {
		p.grow(now, p.limit*progressGrowth)
	}
}

// Failed records an attempt that the server refused or broke off, or that did not reach it.
func (p *Pacer) Failed(now time.Time) {
	if _, paced := p.Limit(now); !paced {
		p.Restart(now)
		p.failures, p.recent = 1, 1

		return
	}
	if now.Before(p.troubleAt) {
		return // what was sent before the pause tells nothing new
	}
	p.limit = max(p.limit*failureFactor, p.s.Min)
	p.troubleAt = now
	if p.probing || p.failures == 0 {
		p.failures++
		if p.recent = min(p.recent+1, maxRecent); p.recent >= 2 {
			p.nextProbe = now.Add(min(p.s.MinProbe<<int(p.recent-2), p.s.MaxProbe))
		}
		p.probing = false
	}
}

// answered ends the probing, unless the work had been sent before the failure.
func (p *Pacer) answered() {
	p.recent *= answerFactor
	if p.probing || p.failures == 0 {
		p.failures, p.probing, p.nextProbe = 0, false, time.Time{}
	}
}

// Until estimates the time until the limit reaches the given work if the answers keep to
// what is expected.
func (p *Pacer) Until(now time.Time, work float64) time.Duration {
	limit, paced := p.Limit(now)
	if !paced {
		return 0
	}
	probe := max(p.nextProbe.Sub(now), 0)
	if work <= limit {
		return probe
	}
	rounds := math.Ceil(math.Log2(min(work, p.s.Full)/limit)) + 1
	if p.ceiling < p.s.Full {
		rounds *= slowRounds
	}

	return max(min(time.Duration(rounds*float64(p.s.Round)), p.troubleAt.Add(p.s.Expiry).Sub(now)), probe)
}

// judge applies the speed of a sample, and reports whether the limit may grow. A server that
// is several times slower than tolerated holds as many times less work, so that what it holds
// takes no longer than on a sound server. A sample without an expected time is as good as the
// last one that had it.
func (p *Pacer) judge(now time.Time, m Sample) bool {
	if m.Expected > 0 && m.Took > 0 {
		ratio := float64(m.Took) / float64(m.Expected)
		p.ceiling = max(p.s.Full*min(p.s.Tolerance*p.usual/ratio, 1), p.s.Min)
		p.learn(now, ratio)
	}
	if _, paced := p.Limit(now); !paced {
		return false
	}
	if p.ceiling < p.s.Full {
		p.troubleAt = later(p.troubleAt, now)
	}
	if p.limit > p.ceiling && now.Sub(p.fallenAt) >= p.s.Round {
		p.limit, p.fallenAt = max(p.limit*slowFactor, p.ceiling), now
	}

	return p.limit < p.ceiling
}

// learn follows the ratio of the server, so that one that is slower than expected for good,
// rather than cold, is not limited for good.
func (p *Pacer) learn(now time.Time, ratio float64) {
	if p.usualAt.IsZero() {
		p.usualAt = now
	}
	since := min(max(now.Sub(p.usualAt), 0), maxSampleTime)
	p.usualAt = now
	weight := 1 - math.Exp(-since.Seconds()/p.s.Adapt.Seconds())
	ratio = min(ratio, maxUsualStep*p.usual)
	p.usual = max(p.usual+weight*(ratio-p.usual), 1)
}

// used reports whether the limit is in use: growth beyond what the server has shown would
// mean nothing.
func (p *Pacer) used(inFlight float64) bool { return p.held || 2*inFlight >= p.limit }

// grow raises the limit, and ends it when it reaches full use.
func (p *Pacer) grow(now time.Time, limit float64) {
	p.limit, p.grownAt, p.held = min(limit, p.ceiling), now, false
	if p.limit >= p.s.Full {
		p.end()
	}
}

func (p *Pacer) end() {
	p.paced, p.limit, p.held, p.ceiling = false, p.s.Full, false, p.s.Full
	p.failures, p.probing, p.nextProbe, p.recent = 0, false, time.Time{}, 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
