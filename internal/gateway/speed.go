package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/placer"
)

// plannedFactor is how many times as long as the caller's estimate an answer may become that a
// server must be able to complete. The estimate is accurate at the median and often far off: half
// of all answers are longer, some of them several times.
const plannedFactor = 3

// expectedAnswer describes the answer for the choice of a server.
func (f *forwarder) expectedAnswer() placer.Answer {
	planned := f.hints.MaxOutputTokens
	if f.hints.OutputEstimate > 0 {
		planned = min(plannedFactor*f.hints.OutputEstimate, planned)
	}

	return placer.Answer{
		Expected: f.expectedOutput(), Planned: max(planned, f.expectedOutput()), Start: f.timeToFirstEvent(), Left: f.timeLeft(),
		Speed: f.speed(),
	}
}

// statedOutput returns the expected number of output tokens for the agents, 0 if they neither
// measure their servers' speed nor pace them.
func (f *forwarder) statedOutput() int {
	if !f.bySpeed && !f.paced() {
		return 0
	}

	return f.expectedOutput()
}

// turnTokens returns the size of an ask for a turn at a prefill server. Agents measure the
// speed of their servers with it, and grant the turn whatever its size.
func (f *forwarder) turnTokens() int {
	if !f.bySpeed {
		return 1
	}

	return max(f.hints.Prompt, 1)
}

// speed returns the speed that is planned with: of the servers that were asked, otherwise the
// usual one of the pool, and the configured one where none was measured.
func (f *forwarder) speed() observer.Speed {
	var usual observer.Speed
	if f.bySpeed {
		usual = f.g.s.Placer.UsualSpeed(f.pool)
	}

	return observer.Speed{
		Token:  cmp.Or(f.planned.Token, usual.Token, f.g.s.OutputTokenTime),
		Prompt: cmp.Or(f.planned.Prompt, usual.Prompt, f.g.s.PromptTokenTime),
	}
}

// slowest returns the longest times of the servers that are asked, 0 where they are not known.
func slowest(candidates []placer.Candidate, servers []string) observer.Speed {
	var out observer.Speed
	for _, c := range candidates {
		if slices.Contains(servers, c.Server.ID) {
			out.Token, out.Prompt = max(out.Token, c.Speed.Token), max(out.Prompt, c.Speed.Prompt)
		}
	}

	return out
}

// suitable returns the decode servers to ask. One on which the answer cannot be complete before
// the deadline is not asked if there is another: the answer would be cut off, after it has taken
// memory and time from others.
func (f *forwarder) suitable(candidates []placer.Candidate) []placer.Candidate {
	if !f.bySpeed {
		return candidates
	}
	if f.fit = candidates[0].Fit; f.fit != placer.Fits {
		f.g.metrics.observeUnfit(f.pool, f.priorityClass(), f.fit.String())
	}

	return placer.Suitable(candidates)
}

// prefillDelay returns the delay until a prefill server begins with the prompt.
func (f *forwarder) prefillDelay(c placer.Candidate) time.Duration {
	return c.Cost - time.Duration(f.hints.Prompt)*c.Speed.Prompt
}

// recordTime records how long a server without an agent took to answer the request.
func (f *forwarder) recordTime(s *placer.Server, o outcome) {
	if o == outcomeAnswered && f.bySpeed {
		now := f.g.s.Timer.Now()
		f.g.s.Placer.RecordTime(now, s.ID, now.Sub(f.attemptAt))
	}
}
