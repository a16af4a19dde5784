// Package observer keeps what is measured of backend servers and forgets it when a server
// starts again. An Observer at the agent of a server measures its speed from its reports and
// from the prompts that it has read. A Book at an entry measures the answer times of servers
// that have no agent.
//
// It answers the load of servers whose speeds differ: a long answer that a slow server cannot
// complete before its deadline, and a server that slows down while it is in use.
package observer

import (
	"time"
)

// Speed is what was measured of a server since its start. Unknown times are 0.
type Speed struct {
	// Token is the time for each output token of a request at the current load, and Prompt
	// the time in which a prefill server processes one prompt token.
	Token, Prompt time.Duration
}

// Run is one running request in a report of a server.
type Run struct {
	Tokens int // in memory: the prompt as far as it is processed, and the output
	Events int // that were generated; the prompt is still being processed while there are none
}

// Fact is something else that is known of a server and that does not outlive the server's
// process.
type Fact interface {
	// Forget is called when another process of the server is seen, also for the first one.
	Forget(now time.Time)
}

// Observer keeps what is known of one server. It is not safe for concurrent use.
type Observer struct {
	birth int64
	known bool // birth is set
	facts []Fact
	// interval is that of the reports, 0 if there are several in each tokenSpan.
	interval time.Duration
	tokens   tokenMeter
	turns    promptMeter
}

// New returns an Observer of one server. The facts are forgotten together with what the
// Observer measures itself.
func New(facts ...Fact) *Observer { return &Observer{facts: facts} }

// NewSparse returns an Observer that gets a report of the server only once in each interval.
func NewSparse(interval time.Duration) *Observer {
	return &Observer{tokens: tokenMeter{span: 2 * interval}, interval: interval}
}

// Born reports which process of the server is running, by a number that differs for each. It
// forgets everything and returns true if this is another process than before.
func (o *Observer) Born(now time.Time, birth int64) bool {
	if o.known && birth == o.birth {
		return false
	}
	restarted := o.known
	o.birth, o.known = birth, true
	o.tokens, o.turns = tokenMeter{span: 2 * o.interval}, promptMeter{}
	for _, f := range o.facts {
		f.Forget(now)
	}

	return restarted
}

// ObserveReport records a report of the server: its running requests by id.
func (o *Observer) ObserveReport(now time.Time, runs map[string]Run) { o.tokens.observe(now, runs) }

// ObserveTurn records that a prefill server has processed a prompt of the given length. The
// server was free to begin with it since granted.
func (o *Observer) ObserveTurn(granted, ended time.Time, tokens int) {
	o.turns.observe(granted, ended, tokens)
}

// Speed returns the speed of the server. What was not measured for maxAge is unknown: the server
// may have recovered without being used.
func (o *Observer) Speed(now time.Time) Speed {
	return Speed{Token: o.tokens.value(now), Prompt: o.turns.value(now)}
}

// maxAge is how long a speed is known after its last measurement.
const maxAge = 30 * time.Second
