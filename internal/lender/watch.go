package lender

import (
	"context"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/granter"
)

// wholeShare lets one caller use all of its rank: callers are not told apart here.
const wholeShare = 100

// look reads the server's report unless a read is under way.
func (l *Lender) look() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lookLocked()
}

// lookLocked needs the lock.
func (l *Lender) lookLocked() {
	if l.looking || l.ctx.Err() != nil {
		return
	}
	l.looking = true
	l.checked, l.doubted = append(l.checked, l.doubted...), nil
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		ctx, cancel := context.WithTimeout(l.ctx, l.s.Lost)
		defer cancel()
		r, err := l.s.Gauge.Report(ctx)
		l.take(r, err)
	}()
}

// take follows a report.
func (l *Lender) take(r Report, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.looking = false
	defer l.clear(err)
	now := l.s.Timer.Now()
	if err != nil {
		// Where nothing listens any more the server's process is gone, and what it held
		// with it: its memory must not look free for another moment.
		gone := errors.Is(err, syscall.ECONNREFUSED)
		if !l.down && (gone || now.Sub(l.heard) >= l.s.Lost) {
			l.down = true
			l.s.Log.Warn().Dur("silent", now.Sub(l.heard)).Err(err).Msg("server lost")
			l.drop(now)
			l.pushAll(now, true)
		}

		return
	}
	l.heard = now
	old := l.report
	l.report = r
	if l.granter == nil || l.down || r.Born != old.Born || r.Phase != old.Phase || r.Total != old.Total {
		l.begin(now)
	}
	l.reserve(now, old)
	if r.Leaving && !old.Leaving {
		l.s.Log.Info().Msg("server is leaving")
		l.deliver(l.granter.Drain(now))
		l.pushAll(now, true)
	}
}

// clear lends the memory of grants whose server has answered since they were broken
// off, and looks again for those that came meanwhile. It needs the lock.
func (l *Lender) clear(err error) {
	if err == nil || l.down {
		for _, id := range l.checked {
			l.free(id)
		}
		l.checked = nil
	}
	if err == nil && len(l.doubted) > 0 {
		l.lookLocked()
	}
}

// reserve keeps back the memory of requests that run without a grant: their entry
// was frozen or cut off for longer than its lease, or could not reach this
// process. A request must be in two reports, since a grant may have been given
// back after the report was made. It needs the lock.
func (l *Lender) reserve(now time.Time, old Report) {
	if l.report.Phase != Decode {
		return
	}
	lent := make(map[string]bool, len(l.granted))
	for id := range l.granted {
		// The borrower has put its own number behind the request's id, in which a caller
		// may have used slashes too.
		lent[id[:max(strings.LastIndexByte(id, '/'), 0)]] = true
	}
	foreign := 0
	for request, tokens := range l.report.Runs {
		if _, before := old.Runs[request]; before && !lent[request] {
			foreign += tokens + l.s.Growth
		}
	}
	if foreign == l.foreign {
		return
	}
	l.s.Log.Info().Int("tokens", foreign).Int("before", l.foreign).Msg("memory in use without a grant")
	l.foreign = foreign
	decisions, err := l.granter.Configure(now, l.granterSettings())
	if err != nil {
		l.s.Log.Error().Err(err).Msg("memory not kept back")
	}
	l.deliver(decisions)
}

// begin lends a server that has started or changed its work. What was lent of the
// one before is gone with it; what waited for it waits on, unless the work is
// another. It needs the lock.
func (l *Lender) begin(now time.Time) {
	if l.report.Phase != l.lent {
		l.drop(now)
	}
	l.lent, l.foreign = l.report.Phase, 0
	g, err := granter.New(l.granterSettings())
	if err != nil {
		l.s.Log.Error().Err(err).Msg("server cannot be lent")
		l.granter, l.down = nil, true

		return
	}
	l.granter, l.down = g, false
	clear(l.granted)
	for _, ask := range l.waiting {
		l.deliver(l.granter.Ask(now, ask))
	}
	l.s.Log.Info().Str("phase", string(l.report.Phase)).Int("total", l.report.Total).
		Int64("born", l.report.Born).Msg("server found")
	l.pushAll(now, true)
}

// drop refuses everything that waits. It needs the lock.
func (l *Lender) drop(now time.Time) {
	if l.granter != nil {
		l.deliver(l.granter.Drain(now))
	}
}

// granterSettings makes memory the unit of a decode server, and prompts that of a
// prefill server, which reads few at a time.
func (l *Lender) granterSettings() granter.Settings {
	total := (l.report.Total - l.foreign) / l.s.Block
	if l.report.Phase == Prefill {
		total = l.s.Readers
	}
	s := granter.Defaults(max(total, 1))
	s.Ranks = s.Ranks[:0]
	for rank := range l.s.Ranks {
		floor := l.s.Floor
		if rank == 0 {
			floor = 0
		}
		s.Ranks = append(s.Ranks, granter.Rank{Floor: floor, Share: wholeShare})
	}
	s.Lease, s.Headroom = l.s.Lease, l.s.Headroom
	if l.report.Phase == Prefill {
		s.Headroom = 0
		s.Slots, s.Serial = l.s.Readers, true
	}

	return s
}
