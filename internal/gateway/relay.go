package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/digester"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/planner"
	"github.com/damasklever/damasklever/internal/wire"
)

// flight is one request of a caller on its way.
type flight struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context //nolint:containedctx // it is the lifetime of the request
	hints Hints
	path  *wire.Path
	// customer is whose request it is, nil if that is not known.
	customer *wire.Customer
	guarded  bool    // by keys
	cost     float64 // taken from the customer's rate
	pool     string
	version  uint64 // of the plan
	target   string // path and query as the caller sent them
	body     []byte
	// digest identifies the request when its caller sends it again under another id.
	digest string
	begun  time.Time
	due    time.Time
	// sends counts the servers that the request was sent to.
	sends int
	// reads counts the prefill servers that accepted the prompt.
	reads int
	// ran tells that a send may have run.
	ran   bool
	avoid []string
	// met are the servers that were sent anything of this request.
	met []string
}

// errDue ends a request whose answer is due.
var errDue = errors.New("the answer is due")

// take serves one request.
func (g *Gateway) take(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	f := &flight{g: g, w: w, r: r, begun: g.s.Timer.Now()}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if !f.read() { //nolint:contextcheck // it uses the context of the request
		return
	}
	if !f.admit() {
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := g.s.Timer.After(f.due.Sub(f.begun), func(time.Time) { cancel(errDue) })
	defer stop()
	f.ctx = ctx
	g.first(f.pool)
	if f.path.GetNature() == wire.Nature_NATURE_STREAM {
		f.stream() //nolint:contextcheck // what a request leaves at a server is freed after its end
	} else {
		f.plain()
	}
}

// read routes the request and reads its body. It answers those that cannot be
// served and returns false.
func (f *flight) read() bool {
	hints, err := f.g.s.Dialect.Hints(f.r.Header)
	f.hints = hints
	if err != nil {
		f.fail(http.StatusBadRequest, err.Error())

		return false
	}
	f.g.prepare(f.r.Context())
	plan := f.g.s.Plan()
	if plan == nil {
		f.refuse("no plan yet", f.g.s.Return)

		return false
	}
	f.version = plan.Version()
	if f.target = target(f.r); f.target == "" {
		f.fail(http.StatusBadRequest, "the target is no path")

		return false
	}
	path, _, _ := strings.Cut(f.target, "?")
	if f.path = plan.Match(f.r.Host, path); f.path == nil {
		f.fail(http.StatusNotFound, "no path of the plan begins the target")

		return false
	}
	f.guarded, f.customer = plan.Guarded(), plan.Customer(f.hints.Key)
	if f.guarded && f.customer == nil && !f.path.GetOpen() {
		f.w.Header().Set("Www-Authenticate", f.g.s.Dialect.Challenge())
		f.fail(http.StatusUnauthorized, "the key is missing or unknown")

		return false
	}
	f.pool = planner.Choose(f.path, draw())
	limit := boundsOf(plan.Bounds()).body
	body, err := io.ReadAll(http.MaxBytesReader(f.w, f.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.fail(http.StatusRequestEntityTooLarge, "the body is over the limit")

		return false
	case err != nil:
		f.fail(http.StatusBadRequest, "the body cannot be read")

		return false
	}
	f.body = body
	f.digest = digester.Sum(f.caller(), f.r.Method, f.r.Host, f.target, string(body))
	f.due = f.begun.Add(time.Duration(f.path.GetTimeout()) * time.Millisecond)
	if wait := f.hints.Wait; wait > 0 && f.begun.Add(wait).Before(f.due) {
		f.due = f.begun.Add(wait)
	}

	return true
}

// target returns the path and query as they were sent, or "".
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	u, err := url.ParseRequestURI(r.RequestURI)
	if err != nil || u.Scheme == "" {
		return ""
	}

	return u.RequestURI()
}

// left is the time until the answer is due.
func (f *flight) left() time.Duration { return f.due.Sub(f.g.s.Timer.Now()) }

// more tells whether the request may be sent to another server.
func (f *flight) more() bool { return f.sends < max(int(f.path.GetAttempts()), 1) }

// again tells whether the request may be sent once more after a send that has
// not run, or that may be repeated.
func (f *flight) again() bool {
	return f.ctx.Err() == nil && f.more() && f.left() > minLeft && f.g.repeat(f.pool)
}

// minLeft is the least time in which another send can still bring an answer.
const minLeft = 50 * time.Millisecond

// request is one send of the flight.
func (f *flight) request(s Send) *courier.Request {
	s.Left, s.Rank, s.Customer, s.Guarded = f.left(), f.rank(), f.customer, f.guarded

	return &courier.Request{
		Method: f.r.Method, Target: f.target, Host: f.r.Host, Body: f.body,
		Header: f.g.s.Dialect.Header(f.r.Header, s),
	}
}

// sent counts a send that reached its server. A second one to the same server
// counts as one.
func (f *flight) sent(s *placer.Server) {
	if slices.Contains(f.avoid, s.ID) {
		return
	}
	f.sends++
	f.avoid = append(f.avoid, s.ID)
}
