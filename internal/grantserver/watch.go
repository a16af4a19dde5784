package grantserver

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/granter"
)

const (
	// fullShare lets one caller use a whole rank while others do not ask.
	fullShare = 100
	// fairWindow is the period over which the grants of customers are compared. A customer that
	// begins to ask gets its share within about two thirds of it.
	fairWindow = 3 * time.Second
)

// poll reads the server's report unless a read is already in progress.
func (gs *Server) poll() {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.pollLocked()
}

// pollLocked is poll for callers that hold gs.mu.
func (gs *Server) pollLocked() {
	if gs.polling || gs.ctx.Err() != nil {
		return
	}
	gs.polling = true
	gs.checking, gs.suspect = append(gs.checking, gs.suspect...), nil
	gs.wg.Add(1)
	go func() {
		defer gs.wg.Done()
		ctx, cancel := context.WithTimeout(gs.ctx, gs.s.DownAfter)
		defer cancel()
		r, err := gs.s.ReportSource.Report(ctx)
		gs.handleReport(r, err)
	}()
}

// handleReport updates the state after a poll.
func (gs *Server) handleReport(r Report, err error) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.polling = false
	defer gs.resolveSuspect(err)
	now := gs.s.Timer.Now()
	if err != nil {
		// A refused connection means that the server process has gone and freed its memory.
		// It counts as down immediately, or its memory would look free.
		gone := errors.Is(err, syscall.ECONNREFUSED)
		if !gs.down && (gone || now.Sub(gs.lastReportAt) >= gs.s.DownAfter) {
			gs.down = true
			gs.s.Log.Warn().Dur("silent", now.Sub(gs.lastReportAt)).Err(err).Msg("server lost")
			gs.refuseWaiting(now)
			gs.pushAll(now, true)
		}

		return
	}
	since := now.Sub(gs.lastReportAt)
	gs.lastReportAt = now
	previous := gs.report
	gs.report = r
	restarted := gs.observeReport(now)
	changed := previous.ChangingStage && !r.ChangingStage
	if gs.granter == nil || gs.down || restarted || r.Phase != previous.Phase || r.Total != previous.Total || changed {
		gs.paceReset(now, previous, changed)
		gs.resetGranter(now)
	}
	gs.paceProgress(now, previous, since)
	if r.ChangingStage && !previous.ChangingStage {
		gs.s.Log.Info().Str("phase", string(r.Phase)).Msg("server is changing its phase")
		gs.refuseWaiting(now)
		gs.pushAll(now, true)
	}
	gs.updateUngranted(now, previous)
	if r.Fault != nil && previous.Fault == nil {
		gs.s.Log.Warn().Err(r.Fault).Msg("invalid server notice")
	}
	if r.Leaving && !previous.Leaving {
		gs.s.Log.Info().Msg("server is leaving")
		gs.deliver(gs.granter.Drain(now))
		gs.pushAll(now, true)
	}
}

// resolveSuspect ends the broken-off grants that were checked by this poll, once the
// server has answered or is known to be down. It polls again for those that were reported
// meanwhile. The caller must hold gs.mu.
func (gs *Server) resolveSuspect(err error) {
	if err == nil || gs.down {
		for _, id := range gs.checking {
			gs.endGrant(id, true)
		}
		gs.checking = nil
	}
	if err == nil && len(gs.suspect) > 0 {
		gs.pollLocked()
	}
}

// updateUngranted reserves the memory of requests that run without a grant. Their entry
// was frozen or cut off for longer than its lease, or could not reach this process. A
// request counts only if it is in two successive reports, since its grant may have been
// returned after the first one was made. The caller must hold gs.mu.
func (gs *Server) updateUngranted(now time.Time, previous Report) {
	if gs.report.Phase != Decode {
		return
	}
	withGrant := make(map[string]bool, len(gs.granted))
	for id := range gs.granted {
		// The grant client appends "/" and a number to the ID of the request, which may contain
		// slashes of the caller's own.
		withGrant[id[:max(strings.LastIndexByte(id, '/'), 0)]] = true
	}
	ungranted := 0
	for request, tokens := range gs.report.Requests {
		if _, before := previous.Requests[request]; before && !withGrant[request] {
			ungranted += tokens + gs.s.ExpectedGrowth
		}
	}
	if ungranted == gs.ungranted {
		return
	}
	gs.s.Log.Info().Int("tokens", ungranted).Int("before", gs.ungranted).Msg("memory in use without a grant")
	gs.ungranted = ungranted
	decisions, err := gs.granter.Configure(now, gs.granterSettings())
	if err != nil {
		gs.s.Log.Error().Err(err).Msg("cannot reserve memory in use without a grant")
	}
	gs.deliver(decisions)
}

// resetGranter starts a new grant queue for a server that has started or changed its phase
// or size. Previous grants are void. Waiting asks are carried over unless the phase has
// changed. The caller must hold gs.mu.
func (gs *Server) resetGranter(now time.Time) {
	if gs.report.Phase != gs.granterPhase {
		gs.refuseWaiting(now)
	}
	gs.granterPhase, gs.ungranted = gs.report.Phase, 0
	g, err := granter.New(gs.granterSettings())
	if err != nil {
		gs.s.Log.Error().Err(err).Msg("cannot create the grant queue of the server")
		gs.granter, gs.down = nil, true

		return
	}
	gs.granter, gs.down = g, false
	clear(gs.granted)
	clear(gs.turns)
	for _, ask := range gs.waiting {
		gs.askFor(now, ask)
	}
	gs.s.Log.Info().Str("phase", string(gs.report.Phase)).Int("total", gs.report.Total).
		Int64("born", gs.report.StartID).Msg("server is up")
	gs.pushAll(now, true)
}

// refuseWaiting refuses all waiting asks. The caller must hold gs.mu.
func (gs *Server) refuseWaiting(now time.Time) {
	if gs.granter != nil {
		gs.deliver(gs.granter.Drain(now))
	}
}

// granterSettings returns the settings of the grant queue. Its unit is a block of memory
// on a decode server and a prompt on a prefill server, which processes few at a time.
func (gs *Server) granterSettings() granter.Settings {
	total := (gs.report.Total - gs.ungranted) / gs.s.BlockSize
	if gs.report.Phase == Prefill {
		total = gs.s.ConcurrentPrompts
	}
	s := granter.Defaults(max(total, 1))
	s.Ranks = s.Ranks[:0]
	for rank := range gs.s.Ranks {
		floor := gs.s.Floor
		if rank == 0 {
			floor = 0
		}
		s.Ranks = append(s.Ranks, granter.Rank{Floor: floor, Share: fullShare})
	}
	s.Lease, s.Headroom, s.Pace = gs.s.Lease, gs.s.Headroom, gs.paceSettings()
	if gs.hasCustomers {
		s.FairWindow = fairWindow
	}
	if gs.report.Phase == Prefill {
		s.Headroom = 0
		s.Slots, s.Serial = gs.s.ConcurrentPrompts, true
	}

	return s
}
