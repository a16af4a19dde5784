package grantserver

import (
	"strings"
	"time"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/pacer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// firstShare is the part of a server that is granted at first after a start, 1/firstShare.
	firstShare = 4
	// progressInterval is the time between two reports while the server is limited. Each lets
	// the limit grow once.
	progressInterval = 2 * tick
	// promptFactor is how many times faster than output the memory of a request grows at most
	// before it is taken for the reading of its prompt.
	promptFactor = 4
	// readingFactor is how many times longer output takes while a server also reads a prompt.
	readingFactor = 2
	// minWorkShare is the part of its expected time below which a grant was not used.
	minWorkShare = 0.05
)

// pace limits the units in grants while the server has just started or recovered, if entries
// ask for that.
type pace struct {
	on       bool         // the last ask was to be paced
	pacer    *pacer.Pacer // nil before the first report
	phase    Phase        // for which pacer was created
	full     int          // units for which pacer was created
	reason   string       // of a limit that is not recorded yet
	recorder *pacer.Recorder
	work     map[string]*pacedWork // asks and grants by id
	inFlight float64               // units in grants
}

// pacedWork is an ask, or the grant that it has got.
type pacedWork struct {
	cost      time.Duration
	output    int // expected tokens, 0 if unknown
	units     float64
	grantedAt time.Time // zero while it waits
	grown     bool      // its progress was seen in reports
}

// paceSettings returns the limit that the grant queue has to keep, nil for none.
func (gs *Server) paceSettings() granter.Pace {
	if !gs.pace.on || gs.pace.pacer == nil {
		return nil
	}

	return gs.pace.pacer
}

// paceAsk notes an ask. The caller must hold gs.mu.
func (gs *Server) paceAsk(now time.Time, ask granter.Ask, a *wire.Ask) {
	p := &gs.pace
	if on := a.GetPaced(); on != p.on {
		p.on = on
		clear(p.work)
		p.inFlight = 0
		decisions, err := gs.granter.Configure(now, gs.granterSettings())
		if err != nil {
			gs.s.Log.Error().Err(err).Msg("cannot pace the grants")
		}
		gs.deliver(decisions)
		gs.recordPace(now)
	}
	if !p.on || p.work[ask.ID] != nil {
		return
	}
	if p.work == nil {
		p.work = make(map[string]*pacedWork)
	}
	w := &pacedWork{cost: ask.Cost, output: int(a.GetOutput()), units: float64(ask.Pieces)}
	if gs.report.Phase == Prefill {
		w.units = 1
	}
	p.work[ask.ID] = w
}

// paceDecision notes a decision. The caller must hold gs.mu.
func (gs *Server) paceDecision(now time.Time, d granter.Decision) {
	if d.Kind != granter.Granted {
		gs.paceDrop(d.ID)
	} else if w := gs.pace.work[d.ID]; w != nil {
		w.grantedAt = now
		gs.pace.inFlight += w.units
		if gs.pace.pacer != nil {
			gs.pace.pacer.Started()
		}
	}
}

// paceDrop forgets an ask or a grant about whose work nothing is known. The caller must hold
// gs.mu.
func (gs *Server) paceDrop(id string) *pacedWork {
	w := gs.pace.work[id]
	if w == nil {
		return nil
	}
	delete(gs.pace.work, id)
	if !w.grantedAt.IsZero() {
		gs.pace.inFlight -= w.units
	}

	return w
}

// paceEnd notes the end of the work of a grant. The caller must hold gs.mu.
func (gs *Server) paceEnd(now time.Time, id string, broken bool) {
	p := &gs.pace
	inFlight := p.inFlight
	w := gs.paceDrop(id)
	if w == nil || w.grantedAt.IsZero() || p.pacer == nil {
		return
	}
	took := now.Sub(w.grantedAt)
	_, limited := p.pacer.Limit(now)
	switch {
	case broken:
		// The reports tell whether the server has crashed. What else breaks work off, such as
		// a link of one entry, does not limit a server that is not limited already.
		if limited {
			p.pacer.Failed(now)
		}
	case float64(took) >= minWorkShare*float64(w.cost):
		m := pacer.Sample{InFlight: inFlight, Size: w.units}
		if gs.report.Phase == Prefill {
			// The speed of a decode server is told by its reports. How long an answer takes
			// depends on its length as well.
			m.Took, m.Expected = took, w.cost
		}
		p.pacer.Ended(now, m)
	}
	gs.recordPace(now)
}

// paceReset limits the grants of a server that has started, recovered or changed its stage.
// It is called before the grant queue is replaced. The caller must hold gs.mu.
func (gs *Server) paceReset(now time.Time, previous Report, stageChanged bool) {
	p := &gs.pace
	for id, w := range p.work {
		if !w.grantedAt.IsZero() {
			delete(p.work, id)
		}
	}
	p.inFlight = 0
	switch first := gs.granter == nil; {
	case first && len(gs.report.Requests) > 0:
		// This process has started, not the server.
	case first || gs.report.StartID != previous.StartID:
		p.reason = pacer.ReasonStarted
	case stageChanged || gs.report.Phase != previous.Phase:
		p.reason = pacer.ReasonStage
	case gs.down:
		p.reason = pacer.ReasonRecovery
	}
	full := gs.fullUnits()
	if p.pacer == nil || p.phase != gs.report.Phase || p.full != full {
		created, err := pacer.New(pacer.Settings{Full: float64(full), Min: max(float64(full)/firstShare, 1)})
		if err != nil {
			gs.s.Log.Error().Err(err).Msg("cannot pace the server")

			return
		}
		p.pacer, p.phase, p.full = created, gs.report.Phase, full
	}
	if p.reason != "" {
		p.pacer.Restart(now)
		gs.recordPace(now)
	}
}

// fullUnits returns the units of the whole server. The caller must hold gs.mu.
func (gs *Server) fullUnits() int {
	if gs.report.Phase == Prefill {
		return gs.s.ConcurrentPrompts
	}

	return max(gs.report.Total/gs.s.BlockSize, 1)
}

// paceTick reads the next report early while the server is limited and at work. The caller must
// hold gs.mu.
func (gs *Server) paceTick(now time.Time) {
	gs.recordPace(now)
	if p := &gs.pace; p.on && p.pacer != nil && p.inFlight > 0 && now.Sub(gs.lastReportAt) >= progressInterval {
		if _, limited := p.pacer.Limit(now); limited {
			gs.pollLocked()
		}
	}
}

// paceProgress notes how the requests in two successive reports have progressed. The caller
// must hold gs.mu.
func (gs *Server) paceProgress(now time.Time, previous Report, since time.Duration) {
	p := &gs.pace
	if !p.on || p.pacer == nil || gs.report.Phase != Decode || since < tick || gs.report.StartID != previous.StartID {
		return
	}
	var took, expected time.Duration
	reading := false
	for id, w := range p.work {
		// The grant client appends "/" and a number to the ID of the request.
		request := id[:max(strings.LastIndexByte(id, '/'), 0)]
		tokens, running := gs.report.Requests[request]
		if w.grantedAt.IsZero() || !running {
			continue
		}
		before, ranBefore := previous.Requests[request]
		tookOne, expectedOne := w.progress(tokens-before, since, ranBefore)
		took += tookOne
		expected += expectedOne
		reading = reading || !w.grown
	}
	if reading {
		expected *= readingFactor
	}
	if expected > 0 {
		p.pacer.Progressed(now, pacer.Sample{InFlight: p.inFlight, Took: took, Expected: expected})
	}
	gs.recordPace(now)
}

// progress returns the time and the expected time of the output tokens by which the memory of a
// request has grown, 0 if the request has not written any yet.
func (w *pacedWork) progress(grown int, since time.Duration, ranBefore bool) (took, expected time.Duration) {
	if !ranBefore || w.output <= 0 {
		return 0, 0
	}
	expected = time.Duration(max(grown, 0)) * (w.cost / time.Duration(w.output))
	if !w.grown && (grown <= 0 || expected > promptFactor*since) {
		return 0, 0
	}
	w.grown = true

	return since, expected
}

// recordPace logs and counts what has become of the limit. The caller must hold gs.mu.
func (gs *Server) recordPace(now time.Time) {
	p := &gs.pace
	if !p.on || p.pacer == nil {
		return
	}
	if _, limited := p.pacer.Limit(now); limited && p.reason != "" {
		p.recorder.Began(now, gs.s.Backend, p.reason, p.pacer, p.inFlight)
	}
	p.reason = ""
	p.recorder.Update(now, gs.s.Backend, p.pacer, p.inFlight)
}
