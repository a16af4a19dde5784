package grantserver

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/granter"
)

// fullShare lets one caller use a whole rank, because the lender does not tell callers apart.
const fullShare = 100

// poll reads the server's report unless a read is already in progress.
func (l *Server) poll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pollLocked()
}

// pollLocked is poll for callers that hold l.mu.
func (l *Server) pollLocked() {
	if l.polling || l.ctx.Err() != nil {
		return
	}
	l.polling = true
	l.checking, l.suspect = append(l.checking, l.suspect...), nil
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		ctx, cancel := context.WithTimeout(l.ctx, l.s.DownAfter)
		defer cancel()
		r, err := l.s.ReportSource.Report(ctx)
		l.handleReport(r, err)
	}()
}

// handleReport updates the state after a poll.
func (l *Server) handleReport(r Report, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polling = false
	defer l.resolveSuspect(err)
	now := l.s.Timer.Now()
	if err != nil {
		// A refused connection means that the server process has gone and freed its memory.
		// It counts as down immediately, or its memory would look free.
		gone := errors.Is(err, syscall.ECONNREFUSED)
		if !l.down && (gone || now.Sub(l.lastReportAt) >= l.s.DownAfter) {
			l.down = true
			l.s.Log.Warn().Dur("silent", now.Sub(l.lastReportAt)).Err(err).Msg("server lost")
			l.refuseWaiting(now)
			l.pushAll(now, true)
		}

		return
	}
	l.lastReportAt = now
	previous := l.report
	l.report = r
	if l.granter == nil || l.down || r.StartID != previous.StartID || r.Phase != previous.Phase || r.Total != previous.Total {
		l.resetGranter(now)
	}
	l.updateUngranted(now, previous)
	if r.Leaving && !previous.Leaving {
		l.s.Log.Info().Msg("server is leaving")
		l.deliver(l.granter.Drain(now))
		l.pushAll(now, true)
	}
}

// resolveSuspect ends the broken-off grants that were checked by this poll, once the
// server has answered or is known to be down. It polls again for those that were reported
// meanwhile. The caller must hold l.mu.
func (l *Server) resolveSuspect(err error) {
	if err == nil || l.down {
		for _, id := range l.checking {
			l.endGrant(id)
		}
		l.checking = nil
	}
	if err == nil && len(l.suspect) > 0 {
		l.pollLocked()
	}
}

// updateUngranted reserves the memory of requests that run without a grant. Their entry
// was frozen or cut off for longer than its lease, or could not reach this process. A
// request counts only if it is in two successive reports, since its grant may have been
// returned after the first one was made. The caller must hold l.mu.
func (l *Server) updateUngranted(now time.Time, previous Report) {
	if l.report.Phase != Decode {
		return
	}
	withGrant := make(map[string]bool, len(l.granted))
	for id := range l.granted {
		// The borrower appends "/" and a number to the ID of the request, which may contain
		// slashes of the caller's own.
		withGrant[id[:max(strings.LastIndexByte(id, '/'), 0)]] = true
	}
	ungranted := 0
	for request, tokens := range l.report.Requests {
		if _, before := previous.Requests[request]; before && !withGrant[request] {
			ungranted += tokens + l.s.ExpectedGrowth
		}
	}
	if ungranted == l.ungranted {
		return
	}
	l.s.Log.Info().Int("tokens", ungranted).Int("before", l.ungranted).Msg("memory in use without a grant")
	l.ungranted = ungranted
	decisions, err := l.granter.Configure(now, l.granterSettings())
	if err != nil {
		l.s.Log.Error().Err(err).Msg("cannot reserve memory in use without a grant")
	}
	l.deliver(decisions)
}

// resetGranter starts a new grant queue for a server that has started or changed its phase
// or size. Previous grants are void. Waiting asks are carried over unless the phase has
// changed. The caller must hold l.mu.
func (l *Server) resetGranter(now time.Time) {
	if l.report.Phase != l.granterPhase {
		l.refuseWaiting(now)
	}
	l.granterPhase, l.ungranted = l.report.Phase, 0
	g, err := granter.New(l.granterSettings())
	if err != nil {
		l.s.Log.Error().Err(err).Msg("cannot create the grant queue of the server")
		l.granter, l.down = nil, true

		return
	}
	l.granter, l.down = g, false
	clear(l.granted)
	for _, ask := range l.waiting {
		l.deliver(l.granter.Ask(now, ask))
	}
	l.s.Log.Info().Str("phase", string(l.report.Phase)).Int("total", l.report.Total).
		Int64("born", l.report.StartID).Msg("server is up")
	l.pushAll(now, true)
}

// refuseWaiting refuses all waiting asks. The caller must hold l.mu.
func (l *Server) refuseWaiting(now time.Time) {
	if l.granter != nil {
		l.deliver(l.granter.Drain(now))
	}
}

// granterSettings returns the settings of the grant queue. Its unit is a block of memory
// on a decode server and a prompt on a prefill server, which processes few at a time.
func (l *Server) granterSettings() granter.Settings {
	total := (l.report.Total - l.ungranted) / l.s.BlockSize
	if l.report.Phase == Prefill {
		total = l.s.ConcurrentPrompts
	}
	s := granter.Defaults(max(total, 1))
	s.Ranks = s.Ranks[:0]
	for rank := range l.s.Ranks {
		floor := l.s.Floor
		if rank == 0 {
			floor = 0
		}
		s.Ranks = append(s.Ranks, granter.Rank{Floor: floor, Share: fullShare})
	}
	s.Lease, s.Headroom = l.s.Lease, l.s.Headroom
	if l.report.Phase == Prefill {
		s.Headroom = 0
		s.Slots, s.Serial = l.s.ConcurrentPrompts, true
	}

	return s
}
