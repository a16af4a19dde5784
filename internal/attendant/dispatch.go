package attendant

import (
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/wire"
)

// Dispatch handles Prefill, Import, Decode and Run. Without a grant the
// dispatch is discarded.
func (k *keeper) Dispatch(now time.Time, l link, call *wire.Call) []action {
	id := callID(call)
	a := k.attempts[id]
	if a == nil || a.stage == stageQueued {
		k.refuse(l, id, k.unknown(now, id), 0)

		return k.take()
	}
	a.link = l
	switch {
	case a.final != nil:
		k.replay(a, call)
	case !a.accepts(call):
		k.refuse(l, id, reasonPhase, 0)
	case a.stage == stageCancelling:
		k.refuse(l, id, reasonWithdrawn, 0)
	case a.stage == stageGranted:
		a.call = call
		k.use(now, a)
	case a.stage == stageReady && call.GetDecode() != nil:
		a.call = call
		k.begin(now, a, stageDecoding)
	case a.stage == stageDecoding && call.GetDecode() != nil:
		k.chunksFrom(a, call.GetDecode().GetOffset())
	case a.stage == stageReady:
		k.repeat(a)
	}

	return k.take()
}

// unknown names why there is no grant.
func (k *keeper) unknown(now time.Time, id string) string {
	if k.queue.Withdrawn(now, id) {
		return reasonWithdrawn
	}

	return reasonUnknown
}

// accepts reports whether the call fits the attempt's phase and stage.
func (a *attempt) accepts(call *wire.Call) bool {
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

// use confirms the grant's units and starts the work when they are free.
func (k *keeper) use(now time.Time, a *attempt) {
	switch d := k.queue.Use(now, a.id); d.Kind {
	case granter.Firm:
		k.start(now, a)
	case granter.Waiting:
		k.move(now, a, stageHeld)
	default:
		k.forgetRefused(now, a, d.Reason, d.After)
	}
}

func (k *keeper) start(now time.Time, a *attempt) { k.begin(now, a, stageRunning) }

// begin hands the attempt's call to the backend server.
func (k *keeper) begin(now time.Time, a *attempt, to stage) {
	a.sent = true
	k.move(now, a, to)
	k.blamer.Start(now, a.digest, a.suspect)
	k.do(action{
		kind: actStart, id: a.id, call: a.call, pieces: a.pieces, rank: a.rank,
		offset: int64(len(a.chunks)),
	})
	if to == stageDecoding {
		k.chunksFrom(a, a.call.GetDecode().GetOffset())
	}
}

// replay answers an entry that came back after the end.
func (k *keeper) replay(a *attempt, call *wire.Call) {
	if d := call.GetDecode(); d != nil {
		k.chunksFrom(a, d.GetOffset())
	}
	a.link.Send(a.final)
}

func (k *keeper) chunksFrom(a *attempt, offset int64) {
	for i := max(offset, 0); i < int64(len(a.chunks)); i++ {
		a.link.Send(a.chunks[i])
	}
}

// Chunk takes the next part of an answer from the engine.
func (k *keeper) Chunk(id, text string, tokens int64) {
	a := k.attempts[id]
	if a == nil || a.stage != stageDecoding {
		return
	}
	r := &wire.Reply{Body: &wire.Reply_Chunk{Chunk: &wire.Chunk{
		Id: id, Seq: int64(len(a.chunks)), Text: text, Tokens: tokens,
	}}}
	a.chunks = append(a.chunks, r)
	if a.link != nil {
		a.link.Send(r)
	}
}

// Detach notes that the stream of an attempt is gone. The grant stays until the
// entry's lease ends.
func (k *keeper) Detach(l link) {
	for _, a := range k.attempts {
		if a.link == l {
			a.link = nil
		}
		if a.withdrawer == l {
			a.withdrawer = nil
		}
	}
	for _, p := range k.deferred {
		if p.link == l {
			p.link = nil
		}
	}
}

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

// leaseName is the name of an entry process's lease. Each start of the process
// has its own.
func leaseName(entry string, epoch uint64) string {
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
