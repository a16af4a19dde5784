package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/placer"
)

// readApart has the prefill server of a choice read the prompt. It returns the handle
// under which the prompt is kept, or "" if the decode server is to read it itself.
func (f *flight) readApart(r *reservation) string {
	s, begun := r.choice.Prefill, f.g.s.Timer.Now()
	defer f.g.s.Placer.Done(s.ID)
	handle, err := "", error(nil)
	if f.mayPrefill(r.prefill != nil) {
		handle, err = f.prefill(s)
	} else {
		err = errBudget
	}
	switch {
	case r.prefill == nil:
	case err != nil && f.ctx.Err() == nil && !errors.Is(err, errBudget):
		r.prefill.Broken()
	default:
		r.prefill.Release()
	}
	if err != nil {
		f.note(placer.Choice{Server: s}, begun, endBroken, err)
	}

	return handle
}

// errBudget keeps a send back for which the budget of its pool has no room.
var errBudget = errors.New("the budget of further sends is used up")

// mayPrefill tells whether the prompt may be sent to a prefill server. Only the first
// such send that a server accepts is free. A server that has lent a turn accepts; any
// other one may refuse, as many do at a time when they are full, and each refusal
// counts as a further send.
func (f *flight) mayPrefill(lent bool) bool {
	if f.reads > 0 {
		return f.g.repeat(f.pool)
	}

	return lent || f.g.spared(f.pool)
}

// countPrefill counts a send to a prefill server that it did not accept, unless the
// budget was asked for it before.
func (f *flight) countPrefill(accepted bool, err error) {
	if f.reads == 0 && !accepted && !errors.Is(err, courier.ErrNotSent) {
		f.g.charge(f.pool)
	}
	if accepted {
		f.reads++
	}
}

// silentRatio is how many times the reading of a prompt its server may take: twice as
// long as with another prompt beside it. A server that falls silent later than that
// leaves no time for the decode server to read the prompt itself.
const silentRatio = 4

// errSilent ends the wait for a prefill server.
var errSilent = errors.New("the prefill server is silent")

// prefill has a server read the prompt and returns the handle under which it
// keeps it.
func (f *flight) prefill(s *placer.Server) (string, error) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	defer f.g.s.Timer.After(silentRatio*f.reading()+leadTime, func(time.Time) { cancel(errSilent) })()
	response, err := f.send(ctx, s, Send{Server: s.ID, Prefill: true})
	f.countPrefill(err == nil && response.Status == http.StatusOK, err)
	if err != nil {
		f.doubt(s, err)
		if !errors.Is(err, courier.ErrNotSent) && ctx.Err() == nil {
			f.g.witness.broke(f, s)
		}

		return "", errors.Newf("prefill: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAll(response)
	if err != nil {
		f.g.s.Placer.Failed(f.g.s.Timer.Now(), s.ID)

		return "", errors.Newf("prefill: %w", err)
	}
	if response.Status != http.StatusOK {
		f.g.s.Placer.Failed(f.g.s.Timer.Now(), s.ID)

		return "", errors.Newf("prefill: status %d", response.Status)
	}
	handle, err := f.g.s.Dialect.Handle(body)
	if err != nil {
		return "", errors.Newf("prefill: %w", err)
	}
	f.g.s.Placer.Read(f.g.s.Timer.Now(), s.ID)

	return handle, nil
}
