package grantserver

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/observer"
	"github.com/damasklever/damasklever/internal/wire"
)

// turn is a prompt that the server is processing under a grant.
type turn struct {
	at     time.Time // of the grant
	tokens int
}

// speedLogFactor is the factor by which a speed changes before it is logged again.
const speedLogFactor = 1.3

// observeReport passes the latest report on to the observer. It returns true if the server has
// started again. The caller must hold gs.mu.
func (gs *Server) observeReport(now time.Time) bool {
	restarted := gs.observer.Born(now, gs.report.StartID)
	if restarted {
		gs.s.Log.Info().Int64("born", gs.report.StartID).Msg("server has started again, its speed is forgotten")
	}
	if gs.report.Phase == Decode {
		runs := make(map[string]observer.Run, len(gs.report.Requests))
		for id, tokens := range gs.report.Requests {
			runs[id] = observer.Run{Tokens: tokens, Events: gs.report.Events[id]}
		}
		gs.observer.ObserveReport(now, runs)
	}
	gs.logSpeed(now)

	return restarted
}

// logSpeed logs the speed of the server once it is known, and when it has changed.
func (gs *Server) logSpeed(now time.Time) {
	speed := gs.observer.Speed(now)
	if !hasChanged(gs.loggedSpeed.Token, speed.Token) && !hasChanged(gs.loggedSpeed.Prompt, speed.Prompt) {
		return
	}
	gs.s.Log.Info().Int64("token_us", speed.Token.Microseconds()).Int64("prompt_ns", speed.Prompt.Nanoseconds()).
		Int("running", len(gs.report.Requests)).Msg("speed of the server")
	gs.loggedSpeed = speed
}

func hasChanged(before, after time.Duration) bool {
	return float64(max(before, after)) > speedLogFactor*float64(min(before, after))
}

// beginTurn records that a prompt may be processed. The caller must hold gs.mu, and the ask must
// still be waiting.
func (gs *Server) beginTurn(id string) {
	if ask, ok := gs.waiting[id]; ok && gs.granterPhase == Prefill {
		gs.turns[id] = turn{gs.s.Timer.Now(), ask.Pieces * gs.s.BlockSize}
	}
}

// endTurn measures the turn of a prompt that has been processed. The caller must hold gs.mu.
func (gs *Server) endTurn(id string, broken bool) {
	t, ok := gs.turns[id]
	delete(gs.turns, id)
	if ok && !broken {
		gs.observer.ObserveTurn(t.at, gs.s.Timer.Now(), t.tokens)
	}
}

// expectedCost returns the expected processing time of an ask: at the measured speed of the
// server if that and the size of the work are known, otherwise as the entry states it. The
// caller must hold gs.mu.
func (gs *Server) expectedCost(now time.Time, a *wire.Ask) time.Duration {
	speed := gs.observer.Speed(now)
	switch {
	case a.GetOutput() <= 0:
	case a.GetPhase() == wire.Phase_PHASE_DECODE && speed.Token > 0:
		return time.Duration(a.GetOutput()) * speed.Token
	case a.GetPhase() == wire.Phase_PHASE_PREFILL && speed.Prompt > 0:
		return time.Duration(a.GetPieces()) * speed.Prompt
	}

	return time.Duration(a.GetCost()) * time.Microsecond
}

// withSpeed returns a load with the measured speed of the server. Loads are compared without
// it, since it changes with each report.
func (gs *Server) withSpeed(now time.Time, load *wire.Load) *wire.Load {
	speed := gs.observer.Speed(now)
	if load.GetLeaving() || speed == (observer.Speed{}) {
		return load
	}
	out, _ := proto.Clone(load).(*wire.Load)
	out.Speed = &wire.Speed{Token: speed.Token.Microseconds(), Prompt: speed.Prompt.Nanoseconds()}

	return out
}
