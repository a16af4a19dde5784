package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/planner"
)

// answer is a whole response of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows a body that is too long to hold; nil if body is all.
	rest io.ReadCloser
}

// end says how one send ended.
type end int

const (
	endAnswered end = iota
	// endFailed: the server answered with a failure of its own.
	endFailed
	// endRefused: the request has not run there and never will.
	endRefused
	// endUnsent: the server was not reached.
	endUnsent
	// endBroken: the request may have run.
	endBroken
	// endGone: the caller has left.
	endGone
	// endDue: the answer is due and the request may have run.
	endDue
)

// String names the end for logs and metrics.
func (e end) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "broken", "gone", "due"}[e]
}

// maxUnsent bounds the servers that are tried without reaching one.
const maxUnsent = 4

// plain serves a request of a plain service.
func (f *flight) plain() {
	var kept *answer // a failure to pass on if the next send is no better
	for unsent := 0; unsent < maxUnsent && f.blocked() == 0; {
		now := f.g.s.Timer.Now()
		c, ok := f.g.s.Placer.PickPlain(now, placer.Query{Pool: f.pool, Avoid: f.avoid})
		if !ok {
			break
		}
		got, e, err := f.call(c.Server)
		f.g.s.Placer.Done(c.Server.ID)
		f.note(c, now, e, err)
		if e == endFailed {
			kept = got
		}
		switch {
		case e == endAnswered:
			f.pass(got)

			return
		case e == endGone:
			f.gone()

			return
		case e == endUnsent:
			unsent++
			f.avoid = append(f.avoid, c.Server.ID)

			continue
		case (e == endRefused || planner.Repeatable(f.path)) && f.again():
			continue
		}
		f.conclude(kept, e)

		return
	}
	if f.sends > 0 {
		f.conclude(kept, endBroken)

		return
	}
	f.unsent()
}

// unsent refuses a request that reached no server.
func (f *flight) unsent() {
	if left := f.blocked(); left > 0 {
		f.refuse(errBlocked.Error(), left)

		return
	}
	f.absent()
}

// conclude ends a request that is not sent again.
func (f *flight) conclude(kept *answer, e end) {
	switch {
	case kept != nil:
		f.pass(kept)
	case !f.ran:
		f.refuse("server refused", f.g.s.Return)
	case e == endDue:
		f.fail(http.StatusGatewayTimeout, "no answer in time")
	default:
		f.fail(http.StatusBadGateway, "the server failed")
	}
}

// call sends the request to one server and reads the whole answer.
func (f *flight) call(s *placer.Server) (*answer, end, error) {
	response, err := f.send(f.ctx, s, Send{Server: s.ID})
	if err != nil {
		return nil, f.broken(s, err), err
	}
	f.sent(s)
	body, ended, err := readHeld(response)
	if err != nil {
		return nil, f.broken(s, err), err
	}
	got := &answer{status: response.Status, header: response.Header, body: body}
	e := f.judge(s, response)
	switch {
	case ended:
		f.survived(e)
	case e == endAnswered:
		got.rest = response.Body
	default:
		_ = response.Body.Close()

		return nil, f.broken(s, errLong), errLong
	}

	return got, e, nil
}

// judge says what a response means and tells the placer.
func (f *flight) judge(s *placer.Server, r *courier.Response) end {
	refused := f.g.s.Dialect.Refused(r.Status, r.Header)
	f.ran = f.ran || !refused
	switch {
	case refused:
		f.g.s.Placer.Failed(f.g.s.Timer.Now(), s.ID)

		return endRefused
	case r.Status >= http.StatusInternalServerError:
		return endFailed
	default:
		f.g.s.Placer.Succeeded(s.ID)

		return endAnswered
	}
}

// survived notes that a server has run the request to its end, if it has.
func (f *flight) survived(e end) {
	if e == endAnswered || e == endFailed {
		f.g.witness.survivors.Ran(f.digest)
	}
}

// broken says what an error of a send means and tells the placer.
func (f *flight) broken(s *placer.Server, err error) end {
	unsent := errors.Is(err, courier.ErrNotSent)
	switch {
	case errors.Is(err, errDue) && !unsent:
		f.ran = true

		return endDue
	case f.ctx.Err() != nil && !errors.Is(err, errDue):
		return endGone
	}
	f.doubt(s, err)
	if unsent {
		return endUnsent
	}
	f.sent(s)
	f.ran = true
	f.g.witness.broke(f, s)

	return endBroken
}
