package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/borrower"
	"github.com/damasklever/damasklever/internal/placer"
)

const (
	// holdAsks is the number of servers that are asked for memory before a pause.
	holdAsks = 6
	// holdPause is the pause of the most urgent rank; the others pause longer, so that
	// memory that comes free goes to the urgent ones first.
	holdPause = 60 * time.Millisecond
	// holdTimeout bounds one such call: an exchange between regions, a lost packet
	// included.
	holdTimeout = 300 * time.Millisecond
	// fullWait is how long a server that had no memory is not asked again: some answers
	// end meanwhile.
	fullWait = 200 * time.Millisecond
)

// errFull says that a server has no memory to reserve.
var errFull = errors.New("no memory to reserve")

// holdTime is how long servers without a lender reserve memory, 0 if they do not.
func (f *flight) holdTime() time.Duration {
	plan := f.g.s.Plan()
	if plan == nil {
		return 0
	}

	return time.Duration(plan.Pool(f.pool).GetEngine().GetReserve()) * time.Millisecond
}

// hold reserves memory at a server without a lender, by the server itself, which alone
// knows what it has. What is sent there then neither waits nor is preempted. The error is
// a *borrower.RefusedError if no server has memory in time.
func (f *flight) hold(q placer.Query, ttl time.Duration) (*reservation, error) {
	target := time.Duration(f.path.GetTarget()) * time.Millisecond
	r, err := f.holdWithin(q, ttl, target)
	if !errors.Is(err, errLate) {
		return r, err
	}
	limit := f.patience() - answerMargin
	l, now := line{f.pool, int(f.rank())}, f.g.s.Timer.Now()
	if left := limit - f.lead() - now.Sub(f.begun); !f.g.backlog.enter(now, l, left) {
		f.g.s.Log.Info().Str("id", f.hints.ID).Int("rank", l.rank).Dur("left", left).Msg("late and not expected to get memory")

		return nil, &borrower.RefusedError{Reason: "deadline"}
	}
	r, err = f.holdWithin(q, ttl, limit)
	f.g.backlog.leave(f.g.s.Timer.Now(), l, err == nil)
	if errors.Is(err, errLate) {
		err = &borrower.RefusedError{Reason: "deadline"}
	}

	return r, err
}

// holdWithin asks one server after the other, and gives up with errLate when the first
// event can no longer come within a time from the request's arrival.
func (f *flight) holdWithin(q placer.Query, ttl, limit time.Duration) (*reservation, error) {
	for f.ctx.Err() == nil {
		if f.g.s.Timer.Now().Sub(f.begun)+f.lead() >= limit {
			return nil, errLate
		}
		candidates := f.g.s.Placer.RankUnlent(f.g.s.Timer.Now(), q)
		for _, c := range candidates[:min(holdAsks, len(candidates))] {
			if r := f.holdAt(q, c.Server, ttl); r != nil {
				return r, nil
			}
		}
		if len(candidates) == 0 && f.g.s.Placer.Count(f.pool) == 0 {
			return nil, errNoServer
		}
		f.pause(time.Duration((1 + rand.Float64()) * float64(f.rank()+1) * float64(holdPause))) //nolint:gosec // no secret
	}

	return nil, context.Cause(f.ctx)
}

// holdBeside reserves memory at a server without a lender in a pool where others have
// one, if the best of these has none to spare. It returns nil if it finds none at once.
func (f *flight) holdBeside(q placer.Query, lent []placer.Candidate, need int) *reservation {
	ttl := f.holdTime()
	if l, ok := f.g.s.Lenders.Load(lent[0].Server.ID); ttl == 0 || ok && l.Free >= spareRoom*need && l.Queued == 0 {
		return nil
	}
	asks := holdAsks
	for _, c := range f.g.s.Placer.RankUnlent(f.g.s.Timer.Now(), q) {
		if asks == 0 || f.ctx.Err() != nil {
			break
		}
		if !f.g.s.Lenders.Absent(c.Server.ID) {
			continue
		}
		asks--
		if r := f.holdAt(q, c.Server, ttl); r != nil {
			return r
		}
	}

	return nil
}

// holdAt asks one server, and returns nil if it reserves nothing.
func (f *flight) holdAt(q placer.Query, s *placer.Server, ttl time.Duration) *reservation {
	hold, err := f.takeHold(s, ttl)
	if err == nil {
		return f.claim(q, s, hold)
	}
	if errors.Is(err, errFull) {
		f.g.s.Placer.Full(f.g.s.Timer.Now(), s.ID, fullWait)
	} else {
		f.doubt(s, err)
	}
	f.g.s.Log.Debug().Str("id", f.hints.ID).Str("server", s.ID).Err(err).Msg("memory not reserved")

	return nil
}

// pause waits for a time or until the request ends.
func (f *flight) pause(d time.Duration) {
	woken := make(chan struct{})
	defer f.g.s.Timer.After(d, func(time.Time) { close(woken) })()
	select {
	case <-woken:
	case <-f.ctx.Done():
	}
}

// claim makes the reservation of the request, or returns nil if the server is not listed
// any more.
func (f *flight) claim(q placer.Query, s *placer.Server, hold string) *reservation {
	c, ok := f.g.s.Placer.Claim(f.g.s.Timer.Now(), q, s.ID)
	if !ok {
		f.dropHold(s, hold)

		return nil
	}

	return &reservation{choice: c, hold: hold}
}

// takeHold asks a server to reserve memory.
func (f *flight) takeHold(s *placer.Server, ttl time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(f.ctx, holdTimeout)
	defer cancel()
	response, err := f.g.s.Courier.Do(ctx, s.Addr, f.g.s.Dialect.Reserve(s, f.memory(), ttl))
	if err != nil {
		return "", errors.Newf("reserve memory: %w", err)
	}
	f.hear(s, response)
	body, err := readAll(response)
	switch {
	case err != nil:
		return "", errors.Newf("reserve memory: %w", err)
	case response.Status == http.StatusServiceUnavailable:
		return "", errFull
	case response.Status != http.StatusOK:
		return "", errors.Newf("reserve memory: status %d", response.Status)
	}
	hold, err := f.g.s.Dialect.Reserved(body)
	if err != nil {
		return "", errors.Newf("reserve memory: %w", err)
	}
	f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Int("tokens", f.memory()).Str("hold", hold).Msg("memory reserved")

	return hold, nil
}

// dropHold gives reserved memory back that was not used.
func (f *flight) dropHold(s *placer.Server, hold string) {
	if hold != "" {
		f.tell(s, f.g.s.Dialect.Unreserve(s, hold), "reservation dropped")
	}
}
