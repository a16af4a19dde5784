package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/damasklever/damasklever/internal/limiter"
	"github.com/damasklever/damasklever/internal/wire"
)

// Limiter keeps customers within their rates.
type Limiter interface {
	// Take admits a request and returns nil, or says why it is over the rate.
	Take(now time.Time, c *wire.Customer, cost float64) *limiter.Refusal
	// Return gives back what a request took that has not run.
	Return(c *wire.Customer, cost float64)
}

// noLimiter admits everything.
type noLimiter struct{}

// Take implements Limiter.
func (noLimiter) Take(time.Time, *wire.Customer, float64) *limiter.Refusal { return nil }

// Return implements Limiter.
func (noLimiter) Return(*wire.Customer, float64) {}

// caller tells the requests of two callers apart that are alike otherwise: by their
// customer, or else by their key or the host that they connect from.
func (f *flight) caller() string {
	switch host, _, err := net.SplitHostPort(f.r.RemoteAddr); {
	case f.customer != nil:
		return f.customer.GetName()
	case f.hints.Key != "" || err != nil:
		return f.hints.Key
	default:
		return host
	}
}

// lowestRank is the last rank that is told apart.
const lowestRank = 9

// rank is the request's rank, 0 for the most urgent.
func (f *flight) rank() int32 {
	rank := f.path.GetRank()
	if f.customer != nil && f.customer.Rank != nil {
		rank = f.customer.GetRank()
	}

	return min(max(rank, 0), lowestRank)
}

// class is the priority class in which the request asks lenders. They have as many classes
// again for requests that are late.
func (f *flight) class() int { return min(int(f.rank()), lateRanks-1) }

// admit takes the request from its customer's rate. It refuses one that is beyond it, and
// returns false.
func (f *flight) admit() bool {
	if f.customer == nil {
		return true
	}
	cost := limiter.Cost(f.customer, f.hints.Prompt+f.hints.Limit)
	if r := f.g.s.Limiter.Take(f.g.s.Timer.Now(), f.customer, cost); r != nil {
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("customer", f.customer.GetName()).Float64("cost", cost).
			Float64("rate", r.Rate).Float64("level", r.Level).Float64("all", f.customer.GetRate()).Dur("age", r.Age).Msg("over the rate")
		f.refuseWith(http.StatusTooManyRequests, "the customer is over its rate", r.After)

		return false
	}
	f.cost = cost

	return true
}

// unadmit gives back what a request took that has not run.
func (f *flight) unadmit() {
	if f.cost > 0 {
		f.g.s.Limiter.Return(f.customer, f.cost)
		f.cost = 0
	}
}
