package simulator

import (
	"fmt"
	"math"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// scenario is a load on all servers with faults. Rates are multiples of the
// capacity.
type scenario struct {
	name           string
	rates          [3]float64 // by rank
	f              faults
	retryingCaller bool // one caller sends a third of all requests and retries at once
}

// rankFractions are the fractions of the ranks in the normal load.
var rankFractions = [3]float64{0.2, 0.3, 0.5}

func normalRates(load float64) [3]float64 {
	return [3]float64{rankFractions[0] * load, rankFractions[1] * load, rankFractions[2] * load}
}

// floodRates returns a total load of 10 times the capacity: a normal load of 0.8, and
// the rest of one rank.
func floodRates(rank int) [3]float64 {
	rates := normalRates(0.8)
	rates[rank] = 10 - 0.8 + rates[rank]

	return rates
}

func scenarios() []scenario {
	list := []scenario{
		{name: "0.5", rates: normalRates(0.5)},
		{name: "0.8", rates: normalRates(0.8)},
		{name: "1.0", rates: normalRates(1)},
		{name: "2.0", rates: normalRates(2)},
	}
	for _, flood := range []struct {
		name string
		rank int
	}{{"flood low", 2}, {"flood urgent", 0}} {
		for _, f := range []struct {
			name string
			f    faults
		}{
			{"", faults{}},
			{" +kill", faults{kill: true}},
			{" +stall", faults{stall: 0.1}},
			{" +events", faults{loseEvents: 0.5}},
			{" +late", faults{lateLoad: 2 * time.Second}},
		} {
			list = append(list, scenario{name: flood.name + f.name, rates: floodRates(flood.rank), f: f.f})
		}
	}

	return append(list, scenario{name: "careless", rates: normalRates(1.5), retryingCaller: true})
}

// Sizes of the requests, in tokens. The sizes of all ranks have the same
// distribution, so that the bound does not depend on which rank is served.
const (
	medianPrompt   = 1200
	sigmaPrompt    = 1.25
	minPrompt      = 30
	maxPrompt      = 30000
	minOutputLimit = 16
	maxOutputLimit = 512
	plainFraction  = 0.2 // fraction of requests that are calls of the plain service
	meanPlainTime  = 60 * time.Millisecond
	maxResends     = 20
)

// expectedOutputFraction is the fraction of the output limit that a request is
// expected to use.
const expectedOutputFraction = 0.7

// request is a request and its result.
type request struct {
	id           string
	service      string
	caller       string
	rank         int
	region       int
	entry        *entry
	promptTokens int
	outputTokens int
	outputLimit  int
	prefix       []uint64
	serviceTime  time.Duration // of a plain call
	machine      machine
	arrived      time.Time
	resends      int

	query           admitter.Query
	firstToken      time.Time
	lastToken       time.Time
	finished        bool
	succeeded       bool
	refused         bool
	failure         string
	prefillCount    int
	prefillTime     time.Duration // engine time of all prefills
	lastPrefillTime time.Duration // engine time of the last prefill
}

func (r *request) plain() bool { return r.service == "booking" }

func (r *request) blocks() int {
	return (r.promptTokens + r.outputLimit + blockTokens - 1) / blockTokens
}

func (r *request) recordPrefill(d time.Duration) {
	r.prefillCount++
	r.prefillTime += d
	r.lastPrefillTime = d
}

func (r *request) recordToken(now time.Time) {
	if r.firstToken.IsZero() {
		r.firstToken = now.Add(delayCaller)
	}
	r.lastToken = now.Add(delayCaller)
}

// meetsTargets reports whether the answer met the targets for the first token and
// for the gap between tokens.
func (r *request) meetsTargets() bool {
	t := rankSettings[r.rank]
	if !r.succeeded || r.firstToken.Sub(r.arrived) > t.firstToken {
		return false
	}

	return r.plain() || r.lastToken.Sub(r.firstToken) <= time.Duration(r.outputTokens-1)*t.tokenGap
}

// wasted returns the time of the prefills whose result was not used for an answer.
func (r *request) wasted() time.Duration {
	if r.succeeded {
		return r.prefillTime - r.lastPrefillTime
	}

	return r.prefillTime
}

func (r *request) finish(sim *simulation, o dispatcher.Outcome) {
	r.finished = true
	if o.Result == dispatcher.Done {
		r.succeeded = true
		if r.plain() {
			r.recordToken(sim.now)
		}
	} else {
		r.refused = o.Result == dispatcher.NotRun
		r.failure = o.Reason
	}
	if !sim.v.baseline {
		r.entry.admitter.Done(sim.now, r.query)
	}
	sim.retryAtOnce(r)
}

// retryAtOnce sends a failed request of the retrying caller again, up to maxResends
// times. The only delay is the round trip to the caller.
func (sim *simulation) retryAtOnce(r *request) {
	if r.succeeded || r.caller != retryingCaller || r.resends >= maxResends {
		return
	}
	r.resends++
	sim.schedule(2*delayCaller, func() { sim.startRequest(r) })
}

// retryingCaller is the caller that sends failed requests again at once.
const retryingCaller = "careless"

// createRequest creates a request of a rank with a random region, caller and size.
func (sim *simulation) createRequest(rank int, sc scenario) {
	r := &request{service: "summary", rank: rank, id: fmt.Sprint(len(sim.requests)), arrived: sim.now}
	if x := sim.rand.Float64(); x < 0.4 {
		r.region = 0
	} else {
		r.region = 1 + int((x-0.4)/0.3)
	}
	r.caller = fmt.Sprint("caller", sim.rand.IntN(12))
	if sc.retryingCaller && sim.rand.IntN(3) == 0 {
		r.caller = retryingCaller
	}
	r.entry = sim.entries[r.region]
	if sim.rand.Float64() < plainFraction {
		r.service = "booking"
		r.serviceTime = seconds(meanPlainTime.Seconds() * sim.rand.ExpFloat64())
	} else {
		r.drawSizes(sim)
	}
	sim.requests = append(sim.requests, r)
	sim.schedule(delayCaller, func() { sim.startRequest(r) })
}

// drawSizes draws the prompt, the output limit and the output length of a model
// request.
func (r *request) drawSizes(sim *simulation) {
	n := medianPrompt * math.Exp(sigmaPrompt*sim.rand.NormFloat64())
	r.promptTokens = int(min(max(n, minPrompt), maxPrompt))
	r.outputLimit = minOutputLimit + sim.rand.IntN(maxOutputLimit-minOutputLimit)
	r.outputTokens = max(4, int(float64(r.outputLimit)*(0.4+0.6*sim.rand.Float64())))
	// A third of the prompts start with one of 20 shared documents. The prefix
	// hashes of the shared part have the top bit clear.
	document, common := 0, 0
	if sim.rand.IntN(3) == 0 {
		document = 1 + sim.rand.IntN(20)
		common = 1 + document%4
	}
	for i := range r.promptTokens / blockTokens {
		h := uint64(document)<<32 | uint64(i)
		if i >= common {
			h = sim.rand.Uint64() | 1<<63
		}
		r.prefix = append(r.prefix, h)
	}
}

// startRequest admits a request and starts its state machine.
func (sim *simulation) startRequest(r *request) {
	prefill := prefillOverhead + seconds(float64(r.promptTokens)/prefillRate)
	transfer := seconds(float64(r.promptTokens) * kvTokenBytes / prefillLinkRate)
	target := rankSettings[r.rank].firstToken
	req := dispatcher.Request{
		ID: fmt.Sprint(r.id, "/", r.resends), Kind: wire.Kind_KIND_MODEL, Service: r.service, Caller: r.caller,
		Rank: r.rank, Deadline: r.arrived.Add(3*target + 60*time.Second),
		Prefix: r.prefix, Tokens: int64(r.promptTokens), Limit: int64(r.outputLimit), Pieces: int64(r.blocks()), WorkTime: prefill,
		DecodeTime: seconds(float64(r.outputLimit) * expectedOutputFraction * tokenGapWith(engineBlocks/2).Seconds()),
		Limits:     dispatcher.Limits{ChunkTimeout: time.Minute, Transfer: 400*time.Millisecond + 2*transfer},
	}
	// 150 ms are left after the prefill and the transfer for the messages, one
	// token and some slack.
	req.GrantDeadline = sim.now.Add(target - prefill - transfer - 150*time.Millisecond)
	if r.plain() {
		req.Kind, req.Idempotent, req.Pieces, req.WorkTime = wire.Kind_KIND_PLAIN, true, 1, meanPlainTime
		req.GrantDeadline = sim.now.Add(target - 2*meanPlainTime)
	}
	r.finished, r.firstToken = false, time.Time{}
	if sim.v.baseline {
		req.GrantDeadline = req.Deadline
		r.machine = newBaseline(req, r.entry)
	} else {
		r.query = admitter.Query{
			Service: r.service, Caller: r.caller, Rank: r.rank, Tokens: r.promptTokens, Limit: r.outputLimit,
			Pieces: r.blocks(), Plain: r.plain(),
		}
		if v := r.entry.admitter.Admit(sim.now, r.query); !v.OK {
			r.finished, r.refused, r.failure = true, true, "admitter: "+v.Reason
			sim.retryAtOnce(r)

			return
		}
		r.machine = dispatcher.New(req, r.entry)
	}
	// The caller disconnects if it has no first token after twice the target.
	resend := r.resends
	sim.schedule(2*target, func() {
		if r.firstToken.IsZero() && !r.finished && r.resends == resend {
			sim.stepRequest(r, dispatcher.CallerGone{})
		}
	})
	sim.stepRequest(r, dispatcher.Started{})
}

// simulate runs a scenario and returns the simulation in its final state.
func simulate(v variant, sc scenario, seed uint64, length time.Duration) *simulation {
	sim := newSimulation(v, sc.f, seed)
	end := startTime.Add(length)
	for rank, rate := range sc.rates {
		mean := (1 - plainFraction) / (rate * capacity().requests)
		var next func()
		next = func() {
			if sim.now.Before(end) {
				sim.createRequest(rank, sc)
				sim.schedule(seconds(mean*sim.rand.ExpFloat64()), next)
			}
		}
		sim.schedule(seconds(mean*sim.rand.ExpFloat64()), next)
	}
	if sc.f.kill {
		sim.schedule(length/3, sim.serversByName["decode-0-1"].kill)
		sim.schedule(length/3+5*time.Second, func() {
			for _, e := range sim.entries {
				sim.updateServers(e)
			}
		})
	}
	// Answers in progress at the end get time to complete.
	sim.runUntil(end.Add(time.Minute))

	return sim
}
