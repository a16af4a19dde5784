// Package registrar is the replicated state machine: it applies committed
// commands, answers queries and produces updates for subscribers. It starts no
// goroutine and reads no clock; the caller serialises all calls.
package registrar

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Registrar holds the state. The objects, answers and updates that it hands out
// are shared and read only: a change replaces an object and never alters it.
type Registrar struct {
	applied  uint64
	visible  uint64
	revision uint64
	fence    uint64 // last fencing token issued

	objects objects
	claims  claims
	results results
	crashes crashes
	history []*wire.Revised
	carried []*wire.Carried // engine orders that ended
}

// New returns an empty state.
func New() *Registrar {
	return &Registrar{
		objects: newObjects(), claims: newClaims(), results: newResults(), crashes: newCrashes(),
	}
}

// Apply applies the committed command at a log index. Now is the time in the log
// entry, so that all replicas decide alike. A command whose id was applied before
// gets its first result, with the index of that time. The result may be altered,
// except for its answer.
func (r *Registrar) Apply(index uint64, now time.Time, cmd *wire.Command) *wire.Result {
	if past := r.results.find(cmd); past != nil {
		r.applied = max(r.applied, index)

		return past
	}
	if index <= r.applied {
		return r.result(cmd, index, invalid("log index %d was applied before", index))
	}
	r.applied = index
	if fault := checkCommand(cmd); fault != nil {
		return r.result(cmd, index, fault)
	}
	r.sweep(index, now)
	res := r.result(cmd, index, r.dispatch(index, now, cmd))
	if !cmd.GetChange().GetDry() {
		r.results.add(now, cmd, res)
	}

	return res
}

// Check tells what Apply would answer to a change at this moment, without any
// effect. Commands other than changes are only checked for their form.
func (r *Registrar) Check(now time.Time, cmd *wire.Command) *wire.Result {
	if past := r.results.find(cmd); past != nil {
		return past
	}
	index := r.applied + 1
	if fault := checkCommand(cmd); fault != nil {
		return r.result(cmd, index, fault)
	}
	if cmd.GetChange() == nil {
		return r.result(cmd, index, done("the command is well formed"))
	}
	_, res := r.prepare(index, now, cmd)

	return r.result(cmd, index, res)
}

// Index returns the log index of the last change that subscribers see. Claims
// and other commands that subscribers don't see leave it as it is.
func (r *Registrar) Index() uint64 { return r.visible }

// Applied returns the log index of the last command applied.
func (r *Registrar) Applied() uint64 { return r.applied }

// Revision returns the operators' revision.
func (r *Registrar) Revision() uint64 { return r.revision }

// result completes an answer. The revision is the one after the command.
func (r *Registrar) result(cmd *wire.Command, index uint64, res *wire.Result) *wire.Result {
	res.Id = cmd.GetId()
	res.Index = index
	res.Revision = r.revision

	return res
}

func (r *Registrar) dispatch(index uint64, now time.Time, cmd *wire.Command) *wire.Result {
	switch body := cmd.GetBody().(type) {
	case *wire.Command_Change:
		return r.change(index, now, cmd)
	case *wire.Command_Claim:
		return r.claims.claim(now, body.Claim)
	case *wire.Command_Settle:
		return r.claims.settle(now, body.Settle)
	case *wire.Command_Absent:
		return r.claims.absent(now, body.Absent.GetEntry(), body.Absent.GetEpoch())
	case *wire.Command_Blame:
		return r.blame(index, now, body.Blame)
	case *wire.Command_Register:
		return r.register(index, now, body.Register)
	case *wire.Command_Plan:
		return r.replace(index, body.Plan)
	case *wire.Command_Report:
		return r.report(index, now, body.Report)
	default:
		return invalid("this kind of command does not change the replicated state")
	}
}

// sweep removes what ended before the command's time.
func (r *Registrar) sweep(index uint64, now time.Time) {
	r.claims.sweep(now)
	r.crashes.sweep(now)
	r.results.sweep(now)
	r.sweepBlocks(index, now)
}

// put stores an object that subscribers see.
func (r *Registrar) put(index uint64, k key, m object) {
	r.objects.put(index, k, m)
	if k.kind != parked {
		r.visible = index
	}
}

// drop removes an object that subscribers see.
func (r *Registrar) drop(index uint64, k key) {
	if r.objects.drop(index, k) && k.kind != parked {
		r.visible = index
	}
}
