package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/damasklever/damasklever/internal/limiter"
	"github.com/damasklever/damasklever/internal/spender"
	"github.com/damasklever/damasklever/internal/wire"
)

// Limiter enforces the rate limits of customers.
type Limiter interface {
	// Take admits a request and returns nil, or returns the refusal if the customer is over
	// its rate.
	Take(now time.Time, c *wire.Customer, r spender.Request) *limiter.Refusal
	// Refund gives back the cost of a request that was admitted but has not run.
	Refund(c *wire.Customer, r spender.Request)
}

// noLimiter admits everything.
type noLimiter struct{}

// Take implements Limiter.
func (noLimiter) Take(time.Time, *wire.Customer, spender.Request) *limiter.Refusal { return nil }

// Refund implements Limiter.
func (noLimiter) Refund(*wire.Customer, spender.Request) {}

// callerID identifies the caller, so that equal requests of two callers are told apart: by
// the customer, otherwise by the key, otherwise by the host that the connection comes from.
func (f *forwarder) callerID() string {
	switch host, _, err := net.SplitHostPort(f.r.RemoteAddr); {
	case f.customer != nil:
		return f.customer.GetName()
	case f.hints.Key != "" || err != nil:
		return f.hints.Key
	default:
		return host
	}
}

// lowestRank is the least urgent rank; higher numbers are treated as this one.
const lowestRank = 9

// rank returns the priority of the request, 0 for the most urgent. The rank of a customer
// takes precedence over that of the path.
func (f *forwarder) rank() int32 {
	rank := f.path.GetRank()
	if f.customer != nil && f.customer.Rank != nil {
		rank = f.customer.GetRank()
	}

	return min(max(rank, 0), lowestRank)
}

// priorityClass returns the priority class in which the request asks agents for memory.
// Agents have as many classes again for late requests.
func (f *forwarder) priorityClass() int { return min(int(f.rank()), lateRankOffset-1) }

// admit charges the request to the rate of its customer. If the customer is over its rate,
// it refuses the request and returns false.
func (f *forwarder) admit() bool {
	if f.customer == nil {
		return true
	}
	// The rank of the customer applies among customers; among its own requests, that of the path
	// does.
	request := spender.Request{
		Rank: int(f.path.GetRank()), Path: f.path.GetName(),
		Cost: limiter.Cost(f.customer, f.hints.Prompt+f.hints.MaxOutputTokens),
	}
	if r := f.g.s.Limiter.Take(f.g.s.Timer.Now(), f.customer, request); r != nil {
		f.g.metrics.observeOverRate(f.path.GetRank(), r.Small)
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("customer", f.customer.GetName()).Str("path", request.Path).Int("rank", request.Rank).
			Float64("cost", request.Cost).Bool("small", r.Small).Float64("rate", r.Rate).Float64("level", r.Level).Float64("part", r.Part).
			Float64("credit", r.Credit).Float64("demand", r.Demand).Float64("all", f.customer.GetRate()).Dur("after", r.RetryAfter).
			Dur("age", r.Age).Msg("customer over its rate")
		f.refuseStatus(http.StatusTooManyRequests, "the customer is over its rate", r.RetryAfter)

		return false
	}
	f.charged = request

	return true
}

// refundRate gives back what the request was charged. It is called for requests that have
// not run.
func (f *forwarder) refundRate() {
	if f.charged.Cost > 0 {
		f.g.s.Limiter.Refund(f.customer, f.charged)
		f.charged = spender.Request{}
	}
}
