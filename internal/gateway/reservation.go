package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/placer"
)

const (
	// reserveAttempts is the number of servers that are asked to reserve memory before a
	// pause.
	reserveAttempts = 6
	// reserveRetryPause is the pause of the most urgent rank. Other ranks pause longer, so
	// that memory that becomes free goes to urgent requests first.
	reserveRetryPause = 60 * time.Millisecond
	// reserveTimeout limits one such call. It allows for one round trip between regions and
	// one lost packet.
	reserveTimeout = 300 * time.Millisecond
	// fullServerPause is how long a server that had no memory is not asked again. Some
	// answers end in this time.
	fullServerPause = 200 * time.Millisecond
)

// requestsWithReservation is the number of requests that a reservation and its use count for
// at a server that limits its requests.
const requestsWithReservation = 2

// errNoMemory is returned if a server has no memory to reserve.
var errNoMemory = errors.New("no memory to reserve")

// reservationTTL returns for how long servers without an agent reserve memory; 0 if they
// cannot reserve.
func (f *forwarder) reservationTTL() time.Duration {
	plan := f.g.s.Plan()
	if plan == nil {
		return 0
	}

	return time.Duration(plan.Pool(f.pool).GetEngine().GetReserve()) * time.Millisecond
}

// reserveAtServers reserves memory at a server without an agent. The server does this
// itself, since it alone knows its memory. A request that is sent with a reservation neither
// waits at the server nor is preempted. The error is a *grantclient.RefusedError if no server
// has memory in time.
func (f *forwarder) reserveAtServers(q placer.Query, ttl time.Duration) (*placement, error) {
	target := time.Duration(f.path.GetTarget()) * time.Millisecond
	p, err := f.reserveWithin(q, ttl, target)
	if !errors.Is(err, errTooLate) {
		return p, err
	}
	limit := f.patience() - refusalMargin
	key, now := queueKey{f.pool, int(f.rank())}, f.g.s.Timer.Now()
	if remaining := limit - f.timeToFirstEvent() - now.Sub(f.arrived); !f.g.backlog.enter(now, key, f.lateWaiter(), remaining) {
		f.g.s.Log.Info().Str("id", f.hints.ID).Int("rank", key.rank).Dur("left", remaining).Msg("late request not expected to get memory")

		return nil, &grantclient.RefusedError{Reason: "deadline"}
	}
	p, err = f.reserveWithin(q, ttl, limit)
	f.g.backlog.leave(f.g.s.Timer.Now(), key, f.lateWaiter(), err == nil)
	if errors.Is(err, errTooLate) {
		err = &grantclient.RefusedError{Reason: "deadline"}
	}

	return p, err
}

// reserveWithin asks one server after the other. It returns errTooLate when the first event
// can no longer arrive within limit, counted from the arrival of the request.
func (f *forwarder) reserveWithin(q placer.Query, ttl, limit time.Duration) (*placement, error) {
	for f.ctx.Err() == nil {
		if !f.fits() {
			return nil, drainer.ErrStopping
		}
		if f.g.s.Timer.Now().Sub(f.arrived)+f.timeToFirstEvent() >= limit {
			return nil, errTooLate
		}
		candidates := f.g.s.Placer.RankWithoutAgent(f.g.s.Timer.Now(), q)
		for _, c := range candidates[:min(reserveAttempts, len(candidates))] {
			if p := f.reserveAt(q, c.Server, ttl); p != nil {
				return p, nil
			}
		}
		now := f.g.s.Timer.Now()
		if q.Bound && !f.g.s.Placer.Serves(now, q) {
			return nil, errNoVersion
		}
		if len(candidates) == 0 && (f.g.s.Placer.Count(f.pool) == 0 || len(f.g.s.Placer.Exhausted(now, q)) > 0) {
			return nil, errNoServer
		}
		f.sleep(time.Duration((1 + rand.Float64()) * float64(f.rank()+1) * float64(reserveRetryPause))) //nolint:gosec // not used for security
	}

	return nil, context.Cause(f.ctx)
}

// reserveBesideAgents reserves memory at a server without an agent in a pool where other
// servers have one, if the best of those has no memory to spare. It returns nil if no server
// has memory at once.
func (f *forwarder) reserveBesideAgents(q placer.Query, withAgents []placer.Candidate, need int) *placement {
	ttl := f.reservationTTL()
	if l, ok := f.g.s.Agents.Load(withAgents[0].Server.ID); ttl == 0 || ok && l.Free >= spareFactor*need && l.Queued == 0 {
		return nil
	}
	asks := reserveAttempts
	for _, c := range f.g.s.Placer.RankWithoutAgent(f.g.s.Timer.Now(), q) {
		if asks == 0 || f.ctx.Err() != nil {
			break
		}
		if !f.g.s.Agents.NeverConnected(c.Server.ID) {
			continue
		}
		asks--
		if p := f.reserveAt(q, c.Server, ttl); p != nil {
			return p
		}
	}

	return nil
}

// reserveAt asks one server, and returns nil if it reserves nothing.
func (f *forwarder) reserveAt(q placer.Query, s *placer.Server, ttl time.Duration) *placement {
	reservationID, err := f.requestReservation(s, ttl)
	if err == nil {
		return f.claimServer(q, s, reservationID)
	}
	if errors.Is(err, errNoMemory) {
		f.g.s.Placer.MarkFull(f.g.s.Timer.Now(), s.ID, fullServerPause)
	} else {
		f.noteError(s, err)
	}
	f.g.s.Log.Debug().Str("id", f.hints.ID).Str("server", s.ID).Err(err).Msg("memory not reserved")

	return nil
}

// sleep waits for a duration or until the request ends.
func (f *forwarder) sleep(d time.Duration) {
	woken := make(chan struct{})
	defer f.g.s.Timer.After(d, func(time.Time) { close(woken) })()
	select {
	case <-woken:
	case <-f.ctx.Done():
	}
}

// claimServer returns the placement of the request at the server that has reserved memory,
// or nil if the server is no longer listed.
func (f *forwarder) claimServer(q placer.Query, s *placer.Server, reservationID string) *placement {
	c, ok := f.g.s.Placer.PickReserved(f.g.s.Timer.Now(), q, s.ID)
	if !ok {
		f.dropReservation(s, reservationID)

		return nil
	}

	return &placement{choice: c, reservationID: reservationID}
}

// requestReservation asks a server to reserve memory and returns the name of the
// reservation.
func (f *forwarder) requestReservation(s *placer.Server, ttl time.Duration) (string, error) {
	// The request that uses the reservation is counted with it.
	if !f.g.s.Throttler.Take(f.g.s.Timer.Now(), s.ID, requestsWithReservation) {
		return "", errors.Newf("reserve memory: %w", errThrottled)
	}
	reserved := false
	defer func() {
		if !reserved {
			f.g.s.Throttler.Refund(s.ID, requestsWithReservation-1)
		}
	}()
	ctx, cancel := context.WithTimeout(f.ctx, reserveTimeout)
	defer cancel()
	response, err := f.g.s.Requester.Do(ctx, s.Addr, f.g.s.Dialect.ReserveRequest(s, f.memoryTokens(), ttl))
	if err != nil {
		return "", errors.Newf("reserve memory: %w", err)
	}
	f.applyNotice(s, response, time.Time{})
	body, err := readBody(f.held, response)
	switch {
	case err != nil:
		return "", errors.Newf("reserve memory: %w", err)
	case response.Status == http.StatusServiceUnavailable:
		return "", errNoMemory
	case response.Status != http.StatusOK:
		return "", errors.Newf("reserve memory: status %d", response.Status)
	}
	reservationID, err := f.g.s.Dialect.ParseReservation(body)
	if err != nil {
		return "", errors.Newf("reserve memory: %w", err)
	}
	reserved = true
	f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Int("tokens", f.memoryTokens()).Str("hold", reservationID).Msg("memory reserved")

	return reservationID, nil
}

// dropReservation releases a reservation that was not used.
func (f *forwarder) dropReservation(s *placer.Server, reservationID string) {
	if reservationID != "" {
		f.notifyServer(s, f.g.s.Dialect.ReleaseRequest(s, reservationID), "unused reservation released")
	}
}
