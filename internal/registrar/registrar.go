// Package registrar implements the replicated state machine of the control hosts. It
// applies committed commands, answers queries and builds updates for subscribers. It
// starts no goroutines and reads no clock. Calls must be serialised by the caller.
package registrar

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Registrar holds the replicated state. The objects, answers and updates that it
// returns are shared and must not be modified: a change replaces an object instead of
// modifying it.
type Registrar struct {
	applied  uint64 // log index of the last command applied
	visible  uint64 // log index of the last change that subscribers see
	revision uint64 // number of operator changes
	fence    uint64 // last fencing token issued

	objects     objects
	claims      claims
	results     results
	crashes     crashes
	history     []*wire.Revised
	endedOrders []*wire.Carried // engine orders that succeeded or failed
}

// New returns an empty state.
func New() *Registrar {
	return &Registrar{
		objects: newObjects(), claims: newClaims(), results: newResults(), crashes: newCrashes(),
	}
}

// Apply applies the committed command at a log index. The time now is the one in the
// log entry, so that all replicas get the same result. A command with an id that was
// applied before gets the first result again, with the original index. The caller may
// modify the result, except for its answer.
func (r *Registrar) Apply(index uint64, now time.Time, cmd *wire.Command) *wire.Result {
	if previous := r.results.find(cmd); previous != nil {
		r.applied = max(r.applied, index)

		return previous
	}
	if index <= r.applied {
		return r.result(cmd, index, invalid("log index %d was applied before", index))
	}
	r.applied = index
	if rejection := checkCommand(cmd); rejection != nil {
		return r.result(cmd, index, rejection)
	}
	r.removeExpired(index, now)
	res := r.result(cmd, index, r.dispatch(index, now, cmd))
	if !cmd.GetChange().GetDry() {
		r.results.add(now, cmd, res)
	}

	return res
}

// DryRun returns what Apply would return for a change at this moment, but has no
// effect. Of other commands it only checks that they are well formed.
func (r *Registrar) DryRun(now time.Time, cmd *wire.Command) *wire.Result {
	if previous := r.results.find(cmd); previous != nil {
		return previous
	}
	index := r.applied + 1
	if rejection := checkCommand(cmd); rejection != nil {
		return r.result(cmd, index, rejection)
	}
	if cmd.GetChange() == nil {
		return r.result(cmd, index, done("the command is well formed"))
	}
	_, res := r.prepare(index, now, cmd)

	return r.result(cmd, index, res)
}

// Index returns the log index of the last change that subscribers see. Claims and
// other commands invisible to subscribers do not change it.
func (r *Registrar) Index() uint64 { return r.visible }

// AppliedIndex returns the log index of the last command applied.
func (r *Registrar) AppliedIndex() uint64 { return r.applied }

// Revision returns the number of the last operator change.
func (r *Registrar) Revision() uint64 { return r.revision }

// result sets the id, index and revision of a result. The revision is the one after
// the command.
func (r *Registrar) result(cmd *wire.Command, index uint64, res *wire.Result) *wire.Result {
	res.Id = cmd.GetId()
	res.Index = index
	res.Revision = r.revision

	return res
}

// dispatch applies a command according to its type.
func (r *Registrar) dispatch(index uint64, now time.Time, cmd *wire.Command) *wire.Result {
	switch body := cmd.GetBody().(type) {
	case *wire.Command_Change:
		return r.change(index, now, cmd)
	case *wire.Command_Claim:
		return r.claims.claim(now, body.Claim)
	case *wire.Command_Settle:
		return r.claims.settle(now, body.Settle)
	case *wire.Command_Absent:
		return r.claims.markAbsent(now, body.Absent.GetEntry(), body.Absent.GetEpoch())
	case *wire.Command_Blame:
		return r.blame(index, now, body.Blame)
	case *wire.Command_Clear:
		return r.clearSegments(index, body.Clear)
	case *wire.Command_Register:
		return r.register(index, now, body.Register)
	case *wire.Command_Plan:
		return r.replacePlan(index, body.Plan)
	case *wire.Command_Versions:
		return r.replaceVersions(index, now, body.Versions)
	case *wire.Command_Report:
		return r.recordOrderEnd(index, now, body.Report)
	default:
		return invalid("this kind of command does not change the replicated state")
	}
}

// removeExpired removes everything that expired before the time of the command.
func (r *Registrar) removeExpired(index uint64, now time.Time) {
	r.claims.removeExpired(now)
	r.crashes.removeExpired(now)
	r.results.removeExpired(now)
	r.removeExpiredBlocks(index, now)
}

// put stores an object. Subscribers see it unless its kind is departed.
func (r *Registrar) put(index uint64, k key, m object) {
	r.objects.put(index, k, m)
	if k.kind != departed {
		r.visible = index
	}
}

// remove deletes an object. Subscribers see that unless its kind is departed.
func (r *Registrar) remove(index uint64, k key) {
	if r.objects.remove(index, k) && k.kind != departed {
		r.visible = index
	}
}
