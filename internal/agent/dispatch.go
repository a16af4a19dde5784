package agent

import (
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/wire"
)

// Dispatch handles Prefill, Import, Decode and Run. It refuses a call without a grant.
func (m *machine) Dispatch(now time.Time, s stream, call *wire.Call) []action {
	id := callID(call)
	a := m.attempts[id]
	if a == nil || a.stage == stageQueued {
		m.sendRefused(s, id, m.missingGrantReason(now, id), 0)

		return m.takeActions()
	}
	a.stream = s
	switch {
	case a.finalReply != nil:
		m.resendAnswer(a, call)
	case !a.acceptsCall(call):
		m.sendRefused(s, id, reasonPhase, 0)
	case a.stage == stageCancelling:
		m.sendRefused(s, id, reasonWithdrawn, 0)
	case a.stage == stageGranted && !m.fits(a.cost):
		m.refuseAttempt(now, a, reasonLeaving+": "+m.drainReason, 0)
		m.applyDecisions(now, m.queue.Withdraw(now, id))
	case a.stage == stageGranted:
		a.call = call
		m.useGrant(now, a)
	case a.stage == stageReady && call.GetDecode() != nil:
		a.call = call
		m.startCall(now, a, stageDecoding)
	case a.stage == stageDecoding && call.GetDecode() != nil:
		m.sendChunks(a, call.GetDecode().GetOffset())
	case a.stage == stageReady:
		m.resendState(a)
	}

	return m.takeActions()
}

// missingGrantReason returns the reason for refusing a call without a grant.
func (m *machine) missingGrantReason(now time.Time, id string) string {
	if m.queue.Withdrawn(now, id) {
		return reasonWithdrawn
	}

	return reasonUnknown
}

// acceptsCall reports whether the call fits the attempt's phase and stage.
func (a *attempt) acceptsCall(call *wire.Call) bool {
	switch call.GetBody().(type) {
	case *wire.Call_Prefill:
		return a.phase == wire.Phase_PHASE_PREFILL
	case *wire.Call_Import:
		return a.phase == wire.Phase_PHASE_DECODE && a.stage != stageDecoding
	case *wire.Call_Decode:
		return a.phase == wire.Phase_PHASE_DECODE &&
			(a.stage == stageReady || a.stage == stageDecoding || a.stage == stageCancelling)
	case *wire.Call_Run:
		return a.phase == wire.Phase_PHASE_PLAIN
	default:
		return false
	}
}

// useGrant starts the dispatched work if the granted units are free. If they are only
// promised, the work starts when the grant queue confirms the grant.
func (m *machine) useGrant(now time.Time, a *attempt) {
	switch d := m.queue.Confirm(now, a.id); d.Kind {
	case granter.Confirmed:
		m.startWork(now, a)
	case granter.Waiting:
		m.setStage(now, a, stageHeld)
	default:
		m.refuseAttempt(now, a, d.Reason, d.After)
	}
}

// startWork starts the work of an attempt whose units are free.
func (m *machine) startWork(now time.Time, a *attempt) { m.startCall(now, a, stageRunning) }

// startCall sends the attempt's call to the backend server and moves the attempt to
// the given stage.
func (m *machine) startCall(now time.Time, a *attempt, to stage) {
	a.sent = true
	m.setStage(now, a, to)
	m.correlator.Start(now, a.digest, a.suspect)
	m.addAction(action{
		kind: actStart, id: a.id, call: a.call, units: a.units, rank: a.rank,
		offset: int64(len(a.chunks)),
	})
	if to == stageDecoding {
		m.sendChunks(a, a.call.GetDecode().GetOffset())
	}
}

// resendAnswer resends the chunks from the requested offset and the final reply to an
// entry that reconnects after the end of the attempt.
func (m *machine) resendAnswer(a *attempt, call *wire.Call) {
	if d := call.GetDecode(); d != nil {
		m.sendChunks(a, d.GetOffset())
	}
	a.stream.Send(a.finalReply)
}

// sendChunks sends the chunks received so far, starting at offset.
func (m *machine) sendChunks(a *attempt, offset int64) {
	for i := max(offset, 0); i < int64(len(a.chunks)); i++ {
		a.stream.Send(a.chunks[i])
	}
}

// Chunk handles the next chunk of an answer from the engine.
func (m *machine) Chunk(id, text string, tokens int64) {
	a := m.attempts[id]
	if a == nil || a.stage != stageDecoding {
		return
	}
	r := &wire.Reply{Body: &wire.Reply_Chunk{Chunk: &wire.Chunk{
		Id: id, Seq: int64(len(a.chunks)), Text: text, Tokens: tokens,
	}}}
	a.chunks = append(a.chunks, r)
	if a.stream != nil {
		a.stream.Send(r)
	}
}

// Detach removes a closed stream from all attempts. Their grants remain until the
// lease of the entry expires.
func (m *machine) Detach(s stream) {
	for _, a := range m.attempts {
		if a.stream == s {
			a.stream = nil
		}
		if a.withdrawStream == s {
			a.withdrawStream = nil
		}
	}
	for _, d := range m.deferred {
		if d.stream == s {
			d.stream = nil
		}
	}
}

// callID returns the id of the attempt that a call belongs to.
func callID(call *wire.Call) string {
	switch body := call.GetBody().(type) {
	case *wire.Call_Prefill:
		return body.Prefill.GetId()
	case *wire.Call_Import:
		return body.Import.GetId()
	case *wire.Call_Decode:
		return body.Decode.GetId()
	case *wire.Call_Run:
		return body.Run.GetId()
	default:
		return ""
	}
}

// newLeaseID returns the id of an entry process's lease. It contains the epoch, because
// each start of the process has its own lease.
func newLeaseID(entry string, epoch uint64) string {
	return entry + "#" + strconv.FormatUint(epoch, 10)
}

func grantedReply(id string, epoch uint64) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Granted{Granted: &wire.Granted{Id: id, Epoch: epoch}}}
}

func endedReply(id string, status wire.Status, chunks int64, reason string) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Ended{Ended: &wire.Ended{
		Id: id, Status: status, Chunks: chunks, Reason: reason,
	}}}
}
