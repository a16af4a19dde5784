package registrar

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// Results of changes are kept long enough for an operator to resend a change after
	// an outage. At 6,800 changes a day the number suffices for two days.
	changeResultTTL  = 48 * time.Hour
	maxChangeResults = 16_384
	// Processes resend commands within seconds. It is safe to apply these commands
	// twice, so a short time is enough.
	otherResultTTL  = 10 * time.Minute
	maxOtherResults = 65_536
	// maxNameBytes limits names so that they fit into logs and tables.
	maxNameBytes = 256
)

func makeResult(outcome wire.Outcome, format string, args []any) *wire.Result {
	// errors.Newf would record a stack trace, which is too slow to do for every claim.
	return &wire.Result{Outcome: outcome, Text: fmt.Errorf(format, args...).Error()}
}

func done(format string, args ...any) *wire.Result {
	return makeResult(wire.Outcome_OUTCOME_DONE, format, args)
}

func invalid(format string, args ...any) *wire.Result {
	return makeResult(wire.Outcome_OUTCOME_INVALID, format, args)
}

func refused(format string, args ...any) *wire.Result {
	return makeResult(wire.Outcome_OUTCOME_REFUSED, format, args)
}

func conflict(format string, args ...any) *wire.Result {
	return makeResult(wire.Outcome_OUTCOME_CONFLICT, format, args)
}

// checkCommand returns the result for a command without id or body, or nil.
func checkCommand(cmd *wire.Command) *wire.Result {
	if cmd.GetId() == "" {
		return invalid("the command has no id")
	}
	if cmd.GetBody() == nil {
		return invalid("the command is empty")
	}

	return nil
}

// fingerprint returns a hash that distinguishes commands that have the same id by
// mistake. The command itself is not kept, because a change can be megabytes long and
// its result is kept for days.
func fingerprint(cmd *wire.Command) string {
	return strconv.FormatUint(xxhash.Sum64String(fingerprintInput(cmd)), 16)
}

// fingerprintInput returns the text that fingerprint hashes. It is built from fields
// and not from the encoding, which may differ between versions.
func fingerprintInput(cmd *wire.Command) string {
	switch body := cmd.GetBody().(type) {
	case *wire.Command_Change:
		var b strings.Builder
		b.WriteString("change " + strconv.FormatInt(cmd.GetExpect(), 10) + " " + body.Change.GetText())
		for _, e := range body.Change.GetEdits() {
			b.WriteString("\n" + e.GetVerb() + " " + e.GetKind() + " " + e.GetName())
		}

		return b.String()
	case *wire.Command_Claim:
		return "claim " + body.Claim.GetKey() + " " + body.Claim.GetRequest()
	case *wire.Command_Settle:
		return "settle " + body.Settle.GetKey() + " " + body.Settle.GetStage().String()
	case *wire.Command_Absent:
		return "absent " + body.Absent.GetEntry() + " " + strconv.FormatUint(body.Absent.GetEpoch(), 10)
	case *wire.Command_Blame:
		return "blame " + body.Blame.GetCrash()
	case *wire.Command_Clear:
		return "clear " + strings.Join(body.Clear.GetSegments(), " ")
	case *wire.Command_Register:
		return "register " + body.Register.GetAttach().GetName() + " " + strconv.FormatBool(body.Register.GetGone())
	case *wire.Command_Plan:
		return "plan " + strconv.FormatUint(body.Plan.GetVersion(), 10) + " " + string(body.Plan.GetSource())
	case *wire.Command_Versions:
		return "versions " + body.Versions.GetPool() + " " + strings.Join(body.Versions.GetVersions(), " ")
	case *wire.Command_Report:
		return "report " + body.Report.GetServer() + " " + body.Report.GetOrder()
	default:
		return ""
	}
}

// results stores the results of commands, so that a command that is sent again gets
// the first result.
type results struct {
	byID    map[string]*wire.Past
	changes queue[*wire.Past]
	others  queue[*wire.Past]
}

func newResults() results { return results{byID: make(map[string]*wire.Past)} }

// find returns the result of a command that was applied before, or nil. If the id
// belongs to a different command, the result is invalid.
func (s *results) find(cmd *wire.Command) *wire.Result {
	past, ok := s.byID[cmd.GetId()]
	if !ok || cmd.GetChange().GetDry() {
		return nil
	}
	if past.GetMark() != fingerprint(cmd) {
		res := invalid("id %s was used for another command", cmd.GetId())
		res.Id = cmd.GetId()
		res.Index = past.GetResult().GetIndex()
		res.Revision = past.GetResult().GetRevision()

		return res
	}

	return copyResult(past.GetResult())
}

func (s *results) add(now time.Time, cmd *wire.Command, res *wire.Result) {
	past := &wire.Past{
		Result: copyResult(res), Mark: fingerprint(cmd), Time: now.UnixMilli(), Change: cmd.GetChange() != nil,
	}
	s.push(past)
}

func (s *results) push(past *wire.Past) {
	s.byID[past.GetResult().GetId()] = past
	if past.GetChange() {
		s.changes.push(past)
		s.trim(&s.changes, maxChangeResults)
	} else {
		s.others.push(past)
		s.trim(&s.others, maxOtherResults)
	}
}

func (s *results) trim(q *queue[*wire.Past], limit int) {
	for q.len() > limit {
		s.removeOldest(q)
	}
}

func (s *results) removeOldest(q *queue[*wire.Past]) {
	delete(s.byID, q.pop().GetResult().GetId())
}

func (s *results) removeExpired(now time.Time) {
	for s.changes.len() > 0 && s.changes.front().GetTime() <= now.Add(-changeResultTTL).UnixMilli() {
		s.removeOldest(&s.changes)
	}
	for s.others.len() > 0 && s.others.front().GetTime() <= now.Add(-otherResultTTL).UnixMilli() {
		s.removeOldest(&s.others)
	}
}

// copyResult returns a copy that shares only the answer.
func copyResult(r *wire.Result) *wire.Result {
	return &wire.Result{
		Id: r.GetId(), Outcome: r.GetOutcome(), Revision: r.GetRevision(), Index: r.GetIndex(),
		Text: r.GetText(), Winner: r.GetWinner(), Stage: r.GetStage(), Fresh: r.GetFresh(),
		Answer: r.GetAnswer(),
	}
}

// queue is a FIFO queue.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int            { return len(q.items) - q.head }
func (q *queue[T]) front() T            { return q.items[q.head] }
func (q *queue[T]) push(item T)         { q.items = append(q.items, item) }
func (q *queue[T]) all() []T            { return q.items[q.head:] }
func (q *queue[T]) shouldCompact() bool { return q.head > 64 && q.head*2 > len(q.items) }

func (q *queue[T]) pop() T {
	var zero T
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.shouldCompact() {
		q.items = append([]T(nil), q.items[q.head:]...)
		q.head = 0
	}

	return item
}
