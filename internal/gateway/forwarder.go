package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/accepter"
	"github.com/damasklever/damasklever/internal/attempter"
	"github.com/damasklever/damasklever/internal/budgeter"
	"github.com/damasklever/damasklever/internal/digester"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
	"github.com/damasklever/damasklever/internal/spender"
	"github.com/damasklever/damasklever/internal/wire"
)

// forwarder serves one request of a caller: it chooses servers, sends the request to them
// and passes the response on.
type forwarder struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context //nolint:containedctx // ends with the request
	hints Hints
	path  *wire.Path
	// customer is the customer that the request belongs to, nil if unknown.
	customer *wire.Customer
	// weight is that of the customer among those that compete for memory, 0 without one.
	weight        float64
	keysRequired  bool            // the plan requires API keys
	charged       spender.Request // to the customer's rate
	pool          string
	planVersion   uint64 // of the plan that routed the request
	requestTarget string // path and query as sent by the caller
	body          []byte
	// held counts the memory that the request takes.
	held *budgeter.Hold
	// conn is the caller's connection, nil if it is not counted.
	conn *accepter.Conn
	// digest identifies the request also when its caller sends it again under another id.
	digest string
	// segments are the digests of the segments that its prompt shares with other requests.
	segments []string
	arrived  time.Time
	deadline time.Time
	// attemptAt is when the last attempt to run the request began.
	attemptAt time.Time
	// attempts is what became of the request at the servers that it was sent to.
	attempts *attempter.Attempter
	// waitedForGrant is set once the request has waited for a server that limits its requests.
	waitedForGrant bool
	// prefills is the number of prefill servers that accepted the prompt.
	prefills int
	// mayHaveRun is set once the request may have run at a server.
	mayHaveRun bool
	// contacted are the servers that anything of this request was sent to.
	contacted []string
	// bound is set once the caller has an event of the stream. It must go on at servers of the
	// software version that generated it.
	bound   bool
	version string
	// bySpeed is set if servers of the pool are chosen by the speed that was measured.
	bySpeed bool
	// planned is the speed of the slowest of the servers that were asked, and fit how the answer
	// fits there, if servers are chosen by speed.
	planned observer.Speed
	fit     placer.Fit
	// recorded is set once the version is kept for other gateways.
	recorded bool
	// resetOnClose is set while the end of the caller's connection must not look like the end
	// of the response.
	resetOnClose bool
}

// errDeadline is the cause with which the context of a request ends at its deadline.
var errDeadline = errors.New("the request deadline has passed")

// handle serves one request.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	f := &forwarder{g: g, w: w, r: r, arrived: g.s.Timer.Now(), attempts: attempter.New(attempter.Settings{})}
	if !f.begin() {
		panic(http.ErrAbortHandler)
	}
	defer f.hold()()
	defer f.boundBody()() //nolint:contextcheck // uses the context of the request
	if !f.readRequest() { //nolint:contextcheck // uses the context of the request
		return
	}
	if !g.s.Drainer.Accepts(f.timeLeft()) {
		f.refuse(reasonStopping, g.s.RetryAfter)

		return
	}
	if !f.admit() {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := g.s.Timer.After(f.deadline.Sub(f.arrived), func(time.Time) { cancel(errDeadline) })
	defer stop()
	f.ctx = ctx
	if f.path.GetNature() == wire.Nature_NATURE_STREAM {
		if !f.resolveVersion() {
			return
		}
		g.countFirstSend(f.pool)
		f.serveStream() //nolint:contextcheck // a prompt kept at a server is freed after the request has ended
	} else {
		g.countFirstSend(f.pool)
		f.servePlain()
	}
}

// readRequest routes the request and reads its body. It answers requests that cannot be
// served and returns false for them.
func (f *forwarder) readRequest() bool {
	hints, err := f.g.s.Dialect.Hints(f.r.Header)
	f.hints = hints
	if err != nil {
		f.fail(http.StatusBadRequest, err.Error())

		return false
	}
	f.g.waitInitialized(f.r.Context())
	plan := f.g.s.Plan()
	if plan == nil {
		f.refuse("no plan yet", f.g.s.RetryAfter)

		return false
	}
	f.planVersion = plan.Version()
	if f.requestTarget = requestTarget(f.r); f.requestTarget == "" {
		f.fail(http.StatusBadRequest, "the target is no path")

		return false
	}
	path, _, _ := strings.Cut(f.requestTarget, "?")
	f.path = plan.Match(f.r.Host, path)
	f.keysRequired, f.customer = plan.RequiresKey(), plan.Customer(f.hints.Key)
	if f.customer != nil {
		f.weight = plan.Weight(f.customer)
	}
	if f.keysRequired && f.customer == nil && !f.path.GetOpen() {
		// Also without a path: a key that is revoked must not tell which paths there are.
		f.w.Header().Set("Www-Authenticate", f.g.s.Dialect.Challenge())
		f.fail(http.StatusUnauthorized, "the key is missing or unknown")

		return false
	}
	if f.path == nil {
		f.fail(http.StatusNotFound, "no path of the plan begins the target")

		return false
	}
	f.pool = matcher.ChoosePool(f.path, randomFraction())
	f.attempts = attempter.New(attempter.Settings{Runs: int(f.path.GetAttempts()), Offers: plan.Balance(f.pool).GetOffers()})
	f.bySpeed = plan.Balance(f.pool).GetSpeeds()
	if !f.readBody(boundsOf(plan.Bounds()).body) {
		return false
	}
	f.digest = digester.SumBody(f.body, f.callerID(), f.r.Method, f.r.Host, f.requestTarget)
	for _, id := range f.hints.Segments {
		f.segments = append(f.segments, digester.Segment(id))
	}
	f.deadline = f.arrived.Add(time.Duration(f.path.GetTimeout()) * time.Millisecond)
	if wait := f.hints.Timeout; wait > 0 && f.arrived.Add(wait).Before(f.deadline) {
		f.deadline = f.arrived.Add(wait)
	}

	return true
}

// boundBody ends reads of the request's body when the request must be answered. Without a handler
// that reads it, net/http does so before it writes an answer. The returned function takes it back.
func (f *forwarder) boundBody() func() bool {
	if f.r.Body == http.NoBody {
		return func() bool { return true }
	}

	return context.AfterFunc(f.r.Context(), f.interruptBody)
}

// requestTarget returns the path and query as the caller sent them, or "" if the target has
// no path.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	u, err := url.ParseRequestURI(r.RequestURI)
	if err != nil || u.Scheme == "" {
		return ""
	}

	return u.RequestURI()
}

// timeLeft returns the time until the deadline of the request.
func (f *forwarder) timeLeft() time.Duration { return f.deadline.Sub(f.g.s.Timer.Now()) }

// deadlineUnit is the unit in which servers are told the time left.
const deadlineUnit = time.Millisecond

// mayRetry reports whether the request may be sent again after an attempt in which it has
// not run, or after any attempt if it is safe to repeat. It charges the retry budget.
func (f *forwarder) mayRetry() bool {
	return f.ctx.Err() == nil && f.attempts.Left() && f.timeLeft() > minRetryTime && f.fits() && f.g.takeRetry(f.pool)
}

// minRetryTime is the shortest time in which another attempt can still bring an answer.
const minRetryTime = 50 * time.Millisecond

// newRequest returns the request to send in one attempt.
func (f *forwarder) newRequest(s Attempt) *requester.Request {
	s.TimeLeft, s.Rank, s.Customer, s.KeysRequired = f.timeLeft(), f.rank(), f.customer, f.keysRequired

	return &requester.Request{
		Method: f.r.Method, Target: f.requestTarget, Host: f.r.Host, Body: f.body,
		Header: f.g.s.Dialect.Header(f.r.Header, s),
	}
}

// countResponse counts an attempt that a server has answered.
func (f *forwarder) countResponse(s *placer.Server, r *requester.Response) {
	if f.g.s.Dialect.IsRefusal(r.Status, r.Header) {
		f.attempts.NoteRefused(s.ID)
	} else {
		f.attempts.NoteRun(s.ID)
	}
}
