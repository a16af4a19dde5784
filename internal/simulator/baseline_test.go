package simulator

import (
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// baseline is the state machine that the policy is compared with. It uses servers
// in turn, first come first served, and asks for decode memory only after the
// prefill.
type baseline struct {
	req      dispatcher.Request
	policy   dispatcher.Policy
	attempts int
	prefill  string // ID of the attempt, or empty
	decode   string
	servers  map[string]string // by attempt ID
	started  bool
	finished bool
	restarts int
}

const (
	maxBaselineRestarts     = 5
	baselineTransferTimeout = 2 * time.Second // a longer transfer is taken as stalled
)

func newBaseline(req dispatcher.Request, policy dispatcher.Policy) *baseline {
	return &baseline{req: req, policy: policy, servers: map[string]string{}}
}

// newAttempt asks the next server for a grant.
func (b *baseline) newAttempt(now time.Time, phase wire.Phase, blocks int64, cost time.Duration) (string, []dispatcher.Action) {
	b.attempts++
	id := b.req.ID + "." + strconv.Itoa(b.attempts)
	b.servers[id] = b.policy.Pick(now, &b.req, dispatcher.Selection{Phase: phase, Count: 1})[0]

	return id, []dispatcher.Action{dispatcher.Ask{
		ID: id, Server: b.servers[id], Phase: phase, Due: b.req.Deadline, Pieces: blocks, Cost: cost,
	}}
}

func (b *baseline) start(now time.Time) (out []dispatcher.Action) {
	if b.req.Kind == wire.Kind_KIND_PLAIN {
		b.decode, out = b.newAttempt(now, wire.Phase_PHASE_PLAIN, 1, b.req.WorkTime)
	} else {
		b.prefill, out = b.newAttempt(now, wire.Phase_PHASE_PREFILL, 1, b.req.WorkTime)
	}

	return out
}

func (b *baseline) finish(o dispatcher.Outcome) []dispatcher.Action {
	b.finished = true

	return append([]dispatcher.Action{dispatcher.Finish{Outcome: o}}, b.withdrawAll()...)
}

func (b *baseline) withdrawAll() (out []dispatcher.Action) {
	for _, id := range []string{b.prefill, b.decode} {
		if id != "" {
			out = append(out, dispatcher.Withdraw{ID: id, Server: b.servers[id]})
		}
	}
	b.prefill, b.decode = "", ""

	return out
}

// restart withdraws all attempts and starts the request again, unless tokens have
// been sent or the limit of restarts is reached.
func (b *baseline) restart(now time.Time) []dispatcher.Action {
	if b.restarts++; b.restarts > maxBaselineRestarts || b.started {
		return b.finish(dispatcher.Outcome{Result: dispatcher.MayHaveRun, Reason: "failed"})
	}
	out := b.withdrawAll()

	return append(out, b.start(now)...)
}

// Step implements machine.
func (b *baseline) Step(now time.Time, e dispatcher.Event) (out []dispatcher.Action) {
	if b.finished {
		return nil
	}
	switch e := e.(type) {
	case dispatcher.Started:
		return b.start(now)
	case dispatcher.Granted:
		switch {
		case e.ID == b.prefill:
			return []dispatcher.Action{dispatcher.Prefill{ID: e.ID, Server: b.servers[e.ID]}}
		case e.ID == b.decode && b.req.Kind == wire.Kind_KIND_PLAIN:
			return []dispatcher.Action{dispatcher.Run{ID: e.ID, Server: b.servers[e.ID]}}
		case e.ID == b.decode:
			return []dispatcher.Action{
				dispatcher.Import{ID: e.ID, Server: b.servers[e.ID], Handle: b.prefill},
				dispatcher.RequestWake{At: now.Add(baselineTransferTimeout)},
			}
		}
	case dispatcher.Prefilled:
		if e.ID == b.prefill {
			b.decode, out = b.newAttempt(now, wire.Phase_PHASE_DECODE, b.req.Pieces, b.req.DecodeTime)
		}
	case dispatcher.Imported:
		if e.ID == b.decode {
			b.started = true
			out = []dispatcher.Action{dispatcher.Decode{ID: e.ID, Server: b.servers[e.ID]}}
		}
	case dispatcher.ChunkReceived:
		out = []dispatcher.Action{dispatcher.Emit{Seq: e.Seq}}
	case dispatcher.ResponseReceived:
		out = b.finish(dispatcher.Outcome{Result: dispatcher.Done})
	case dispatcher.Ended:
		switch {
		case e.Status == wire.Status_STATUS_DONE && e.ID == b.decode:
			out = b.finish(dispatcher.Outcome{Result: dispatcher.Done})
		case e.ID == b.decode || e.ID == b.prefill:
			out = b.restart(now)
		}
	case dispatcher.TimerFired:
		if b.decode != "" && !b.started {
			out = b.restart(now)
		}
	case dispatcher.ConnectionLost:
		if e.ID == b.decode || e.ID == b.prefill {
			out = b.restart(now)
		}
	case dispatcher.Refused:
		if e.ID == b.decode || e.ID == b.prefill {
			out = b.restart(now)
		}
	case dispatcher.CallerGone:
		out = b.finish(dispatcher.Outcome{Result: dispatcher.MayHaveRun, CallerGone: true})
	}

	return out
}
