package evaluator

import (
	"fmt"
	"math"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// scenario is one load on the fleet. Rates are multiples of the capacity.
type scenario struct {
	name     string
	rates    [3]float64 // by rank
	f        faults
	careless bool // one caller sends a third of all requests and retries at once
}

// mix is the part of each rank in the normal load.
var mix = [3]float64{0.2, 0.3, 0.5}

func normal(load float64) [3]float64 {
	return [3]float64{mix[0] * load, mix[1] * load, mix[2] * load}
}

// flood offers 10 times the capacity, of one rank besides a load of 0.8.
func flood(rank int) [3]float64 {
	rates := normal(0.8)
	rates[rank] = 10 - 0.8 + rates[rank]

	return rates
}

func scenarios() []scenario {
	list := []scenario{
		{name: "0.5", rates: normal(0.5)},
		{name: "0.8", rates: normal(0.8)},
		{name: "1.0", rates: normal(1)},
		{name: "2.0", rates: normal(2)},
	}
	for _, fl := range []struct {
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
			list = append(list, scenario{name: fl.name + f.name, rates: flood(fl.rank), f: f.f})
		}
	}

	return append(list, scenario{name: "careless", rates: normal(1.5), careless: true})
}

// Sizes of the requests. All ranks have the same sizes, so that the bound does
// not depend on which rank is served.
const (
	medianPrompt = 1200
	sigmaPrompt  = 1.25
	leastPrompt  = 30
	mostPrompt   = 30000
	leastLimit   = 16
	mostLimit    = 512
	plainPart    = 0.2 // of all requests are calls of the plain service
	meanPlain    = 60 * time.Millisecond
	maxResends   = 20
)

// expectedOutput is the part of the limit that an answer is expected to use.
const expectedOutput = 0.7

// request is one request and what became of it.
type request struct {
	id      string
	service string
	caller  string
	rank    int
	region  int
	entry   *entry
	tokens  int
	output  int
	limit   int
	prefix  []uint64
	work    time.Duration // plain service
	flow    flow
	arrived time.Time
	resends int

	query     admitter.Query
	first     time.Time
	last      time.Time
	over      bool
	done      bool
	refused   bool
	failure   string
	prefills  int
	spent     time.Duration // on prefills
	lastSpent time.Duration
}

func (r *request) plain() bool { return r.service == "booking" }

func (r *request) pieces() int { return (r.tokens + r.limit + pieceTokens - 1) / pieceTokens }

func (r *request) prefilled(d time.Duration) {
	r.prefills++
	r.spent += d
	r.lastSpent = d
}

func (r *request) emit(now time.Time) {
	if r.first.IsZero() {
		r.first = now.Add(delayCaller)
	}
	r.last = now.Add(delayCaller)
}

// good tells whether the answer met both targets.
func (r *request) good() bool {
	t := rankSettings[r.rank]
	if !r.done || r.first.Sub(r.arrived) > t.first {
		return false
	}

	return r.plain() || r.last.Sub(r.first) <= time.Duration(r.output-1)*t.gap
}

// wasted is the prefill time whose result did not lead to an answer.
func (r *request) wasted() time.Duration {
	if r.done {
		return r.spent - r.lastSpent
	}

	return r.spent
}

func (r *request) finish(w *world, o dispatcher.Outcome) {
	r.over = true
	if o.Result == dispatcher.Done {
		r.done = true
		if r.plain() {
			r.emit(w.now)
		}
	} else {
		r.refused = o.Result == dispatcher.NotRun
		r.failure = o.Reason
	}
	if !w.v.fifo {
		r.entry.admitter.Done(w.now, r.query)
	}
	w.again(r)
}

// again lets the careless caller resend at once.
func (w *world) again(r *request) {
	if r.done || r.caller != careless || r.resends >= maxResends {
		return
	}
	r.resends++
	w.after(2*delayCaller, func() { w.begin(r) })
}

const careless = "careless"

// arrive creates a request of a rank.
func (w *world) arrive(rank int, sc scenario) {
	r := &request{service: "summary", rank: rank, id: fmt.Sprint(len(w.requests)), arrived: w.now}
	if x := w.rand.Float64(); x < 0.4 {
		r.region = 0
	} else {
		r.region = 1 + int((x-0.4)/0.3)
	}
	r.caller = fmt.Sprint("caller", w.rand.IntN(12))
	if sc.careless && w.rand.IntN(3) == 0 {
		r.caller = careless
	}
	r.entry = w.entries[r.region]
	if w.rand.Float64() < plainPart {
		r.service = "booking"
		r.work = seconds(meanPlain.Seconds() * w.rand.ExpFloat64())
	} else {
		r.sizePrompt(w)
	}
	w.requests = append(w.requests, r)
	w.after(delayCaller, func() { w.begin(r) })
}

func (r *request) sizePrompt(w *world) {
	n := medianPrompt * math.Exp(sigmaPrompt*w.rand.NormFloat64())
	r.tokens = int(min(max(n, leastPrompt), mostPrompt))
	r.limit = leastLimit + w.rand.IntN(mostLimit-leastLimit)
	r.output = max(4, int(float64(r.limit)*(0.4+0.6*w.rand.Float64())))
	// A third of the prompts start with one of 20 common documents.
	document, common := 0, 0
	if w.rand.IntN(3) == 0 {
		document = 1 + w.rand.IntN(20)
		common = 1 + document%4
	}
	for i := range r.tokens / pieceTokens {
		h := uint64(document)<<32 | uint64(i)
		if i >= common {
			h = w.rand.Uint64() | 1<<63
		}
		r.prefix = append(r.prefix, h)
	}
}

// begin admits a request and starts its flow.
func (w *world) begin(r *request) {
	prefill := prefillFixed + seconds(float64(r.tokens)/prefillRate)
	transfer := seconds(float64(r.tokens) * tokenBytes / linkRate)
	target := rankSettings[r.rank].first
	req := dispatcher.Request{
		ID: fmt.Sprint(r.id, "/", r.resends), Kind: wire.Kind_KIND_MODEL, Service: r.service, Caller: r.caller,
		Rank: r.rank, End: r.arrived.Add(3*target + 60*time.Second),
		Prefix: r.prefix, Tokens: int64(r.tokens), Limit: int64(r.limit), Pieces: int64(r.pieces()), Work: prefill,
		Stream: seconds(float64(r.limit) * expectedOutput * gapOf(enginePieces/2).Seconds()),
		Limits: dispatcher.Limits{Gap: time.Minute, Transfer: 250*time.Millisecond + 2*transfer},
	}
	// Messages, one token and some slack have to fit after the prefill too.
	req.Start = w.now.Add(target - prefill - transfer - 150*time.Millisecond)
	if r.plain() {
		req.Kind, req.Idempotent, req.Pieces, req.Work = wire.Kind_KIND_PLAIN, true, 1, meanPlain
		req.Start = w.now.Add(target - 2*meanPlain)
	}
	r.over, r.first = false, time.Time{}
	if w.v.fifo {
		req.Start = req.End
		r.flow = newNaive(req, r.entry)
	} else {
		r.query = admitter.Query{
			Service: r.service, Caller: r.caller, Rank: r.rank, Tokens: r.tokens, Limit: r.limit,
			Pieces: r.pieces(), Plain: r.plain(),
		}
		if v := r.entry.admitter.Admit(w.now, r.query); !v.OK {
			r.over, r.refused, r.failure = true, true, "admitter: "+v.Reason
			w.again(r)

			return
		}
		r.flow = dispatcher.New(req, r.entry)
	}
	// A caller without a first token leaves after twice its target.
	resend := r.resends
	w.after(2*target, func() {
		if r.first.IsZero() && !r.over && r.resends == resend {
			w.step(r, dispatcher.Gone{})
		}
	})
	w.step(r, dispatcher.Begin{})
}

// simulate runs a scenario and returns the world at its end.
func simulate(v version, sc scenario, seed uint64, length time.Duration) *world {
	w := newWorld(v, sc.f, seed)
	end := start.Add(length)
	for rank, rate := range sc.rates {
		mean := (1 - plainPart) / (rate * capacity().requests)
		var next func()
		next = func() {
			if w.now.Before(end) {
				w.arrive(rank, sc)
				w.after(seconds(mean*w.rand.ExpFloat64()), next)
			}
		}
		w.after(seconds(mean*w.rand.ExpFloat64()), next)
	}
	if sc.f.kill {
		w.after(length/3, w.byName["decode-0-1"].kill)
		w.after(length/3+5*time.Second, func() {
			for _, e := range w.entries {
				w.view(e)
			}
		})
	}
	// Answers still running at the end are given time to complete.
	w.run(end.Add(time.Minute))

	return w
}
