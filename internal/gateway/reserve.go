package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/borrower"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Lenders lend the memory of servers that have an agent.
type Lenders interface {
	Load(server string) (borrower.Load, bool)
	Ask(ctx context.Context, a borrower.Ask, servers []string) (*borrower.Grant, error)
	// Absent tells that no lender answers for a server, whatever it says itself.
	Absent(server string) bool
}

const (
	// decodeAsks and prefillAsks are the servers asked at a time: the load that an
	// entry knows is a little old, so the second one is the better choice now and
	// then. Up to crowdedAsks are asked while these have no room to spare.
	decodeAsks  = 2
	crowdedAsks = 8
	prefillAsks = 2
	// spareRoom is how many such requests a server must have room for to be sure of
	// some: other entries ask for it at the same time.
	spareRoom = 2
	// lateRanks is added to the rank of a request that can no longer be in time, so
	// that it takes only what the others leave.
	lateRanks = 5
	// leadTime is what a first event takes beside reading the prompt: two exchanges
	// between regions, the transfer and the first step.
	leadTime = 80 * time.Millisecond
)

// plan of one send of a model request.
type reservation struct {
	choice  placer.Choice
	decode  *borrower.Grant // nil without a lender
	prefill *borrower.Grant
	// hold is the name of the memory that a server without a lender has reserved.
	hold string
}

// release gives back what is still held, after a send that ended so.
func (r *reservation) release(e end) {
	switch {
	case r.decode == nil:
	case e == endUnsent || e == endBroken:
		r.decode.Broken()
	default:
		r.decode.Release()
	}
	if r.prefill != nil {
		r.prefill.Release()
	}
}

// errNoServer ends a request for which no server is known.
var errNoServer = errors.New("no server is known")

// reserve chooses the servers of a model request. Memory at a decode server comes
// first: a prompt that is read with nowhere to go is wasted. The error is a
// *borrower.RefusedError if the request is not worth waiting for.
func (f *flight) reserve() (*reservation, error) {
	q := placer.Query{Pool: f.pool, Prompt: f.hints.Prompt, Avoid: f.avoid}
	need := f.memory()
	decode := f.lent(q, placer.Decode, need, nil)
	if len(decode) == 0 {
		return f.unlent(q)
	}
	if r := f.holdBeside(q, decode, need); r != nil {
		return r, nil
	}
	grant, rank, err := f.borrowDecode(decode, need)
	if errors.Is(err, borrower.ErrDown) {
		return f.unlent(q)
	}
	if err != nil {
		return nil, err
	}
	out := &reservation{decode: grant}
	for _, c := range decode {
		if c.Server.ID == grant.Server {
			out.choice.Server = c.Server
		}
	}
	f.borrowPrefill(q, out, rank)

	return out, nil
}

// unlent chooses servers without lenders. Where these reserve nothing, it goes by what
// this process has sent them.
func (f *flight) unlent(q placer.Query) (*reservation, error) {
	if ttl := f.holdTime(); ttl > 0 {
		return f.hold(q, ttl)
	}
	c, ok := f.g.s.Placer.PickStream(f.g.s.Timer.Now(), q)
	if !ok {
		return nil, errNoServer
	}

	return &reservation{choice: c}, nil
}

// lent orders the servers of a stage that have lenders.
func (f *flight) lent(q placer.Query, stage placer.Stage, need int, other *placer.Server) []placer.Candidate {
	if f.g.s.Lenders == nil {
		return nil
	}
	class := f.class()

	return f.g.s.Placer.Rank(f.g.s.Timer.Now(), q, stage, need, other, func(id string) (placer.Lent, bool) {
		l, ok := f.g.s.Lenders.Load(id)
		out := placer.Lent{Total: l.Total, Free: l.Free, Leaving: l.Leaving}
		if len(l.Waits) > 0 {
			out.Wait = l.Waits[min(class, len(l.Waits)-1)]
		}

		return out, ok
	})
}

// memory is what the request will hold, in tokens: its prompt, and a part of its
// answer, since not all answers on a server grow to their limit at a time.
func (f *flight) memory() int {
	return f.hints.Prompt + int(f.g.s.Growth*float64(f.hints.Limit))
}

// duration is how long the answer is expected to take.
func (f *flight) duration() time.Duration {
	tokens := f.hints.Limit / 2
	if f.hints.Guess > 0 {
		tokens = min(max(f.hints.Guess, f.hints.Limit/8), f.hints.Limit)
	}

	return time.Duration(tokens) * f.g.s.Step
}

// reading is how long a prefill server takes for the prompt.
func (f *flight) reading() time.Duration {
	return time.Duration(f.hints.Prompt) * f.g.s.Read
}

// borrowDecode asks for memory, first for an answer in time, then for a late one
// below all that can be in time, if the backlog is expected to clear. It returns the
// rank that was granted.
func (f *flight) borrowDecode(candidates []placer.Candidate, need int) (*borrower.Grant, int, error) {
	a := borrower.Ask{
		ID: f.hints.ID, Phase: wire.Phase_PHASE_DECODE, Tokens: need, Cost: f.duration(), Service: f.pool, Caller: "-",
		Rank: f.class(),
	}
	servers := f.askable(candidates, need)
	target := time.Duration(f.path.GetTarget()) * time.Millisecond
	grant, err := f.askFor(target, a, servers)
	if errors.Is(err, errLate) {
		f.g.s.Crowded()
		grant, err = f.askLate(&a, servers)
	}
	switch {
	case err == nil:
		return grant, a.Rank, nil
	case errors.Is(err, errLate):
		return nil, 0, &borrower.RefusedError{Reason: "deadline", After: f.comeBack(candidates)}
	default:
		return nil, 0, err
	}
}

// askLate asks for a request that can no longer be in time.
func (f *flight) askLate(a *borrower.Ask, servers []string) (*borrower.Grant, error) {
	limit := f.patience() - answerMargin
	l, now := line{f.pool, a.Rank}, f.g.s.Timer.Now()
	if left := limit - f.lead() - now.Sub(f.begun); !f.g.backlog.enter(now, l, left) {
		f.g.s.Log.Info().Str("id", f.hints.ID).Int("rank", l.rank).Dur("left", left).Msg("late and not expected to get memory")

		return nil, errLate
	}
	a.Rank += lateRanks
	grant, err := f.askFor(limit, *a, servers)
	f.g.backlog.leave(f.g.s.Timer.Now(), l, err == nil)

	return grant, err
}

// errLate ends the wait for a grant that would come too late.
var errLate = errors.New("the grant would come too late")

// answerMargin is the time before the caller gives up in which a refusal still
// reaches it, so that it comes back.
const answerMargin = 300 * time.Millisecond

// lead is what the first event takes after the memory is granted.
func (f *flight) lead() time.Duration { return f.reading() + leadTime }

// askFor asks for memory, and gives up with errLate when the first event can no longer
// come within a time from the request's arrival.
func (f *flight) askFor(limit time.Duration, a borrower.Ask, servers []string) (*borrower.Grant, error) {
	spent := f.g.s.Timer.Now().Sub(f.begun) + f.lead()
	if limit <= spent {
		return nil, errLate
	}
	// The lender only refuses what cannot even be late: its estimate is too rough to
	// give up a request that may still be in time.
	a.Due = f.patience() - spent
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	defer f.g.s.Timer.After(limit-spent, func(time.Time) { cancel(errLate) })()
	grant, err := f.g.s.Lenders.Ask(ctx, a, servers)
	f.noteAsk(a, servers, grant, err)

	return grant, err //nolint:wrapcheck // the borrower says what it waited for
}

// askable returns the servers to ask: the best ones while they have room to
// spare, else all, since the first to have some is not known.
func (f *flight) askable(candidates []placer.Candidate, need int) []string {
	asks := decodeAsks
	for _, c := range candidates[:min(asks, len(candidates))] {
		if l, _ := f.g.s.Lenders.Load(c.Server.ID); l.Free < spareRoom*need || l.Queued > 0 {
			asks = crowdedAsks
		}
	}
	var servers []string
	for _, c := range candidates[:min(asks, len(candidates))] {
		servers = append(servers, c.Server.ID)
	}

	return servers
}

// comeBack is when a server is expected to have room.
func (f *flight) comeBack(candidates []placer.Candidate) time.Duration {
	var least time.Duration
	for _, c := range candidates {
		l, ok := f.g.s.Lenders.Load(c.Server.ID)
		rank := min(f.class(), len(l.Waits)-1)
		if ok && rank >= 0 && (least == 0 || l.Waits[rank] < least) {
			least = l.Waits[rank]
		}
	}

	return least
}

// patience is how long the caller waits for the first event.
func (f *flight) patience() time.Duration {
	p := time.Duration(f.path.GetPatience()) * time.Millisecond
	if left := f.due.Sub(f.begun); p == 0 || p > left {
		return left
	}

	return p
}

// borrowPrefill takes a turn at a prefill server, unless the decode server itself
// is expected to be as fast.
func (f *flight) borrowPrefill(q placer.Query, r *reservation, rank int) {
	candidates := f.lent(q, placer.Prefill, 1, r.choice.Server)
	if len(candidates) == 0 || candidates[0].Cost > directRatio*f.reading()+leadTime {
		return
	}
	var servers []string
	for _, c := range candidates[:min(prefillAsks, len(candidates))] {
		servers = append(servers, c.Server.ID)
	}
	a := borrower.Ask{
		ID: f.hints.ID, Phase: wire.Phase_PHASE_PREFILL, Rank: rank, Tokens: 1, Cost: f.reading(), Service: f.pool,
		Caller: "-", Due: directRatio*f.reading() + leadTime,
	}
	grant, err := f.g.s.Lenders.Ask(f.ctx, a, servers)
	f.noteAsk(a, servers, grant, err)
	if err != nil {
		return
	}
	for _, c := range candidates {
		if c.Server.ID == grant.Server {
			r.prefill, r.choice.Prefill = grant, c.Server
		}
	}
}

// directRatio is how many times the reading at a prefill server the wait for one
// may last: a decode server reads at half the speed, and holds up the answers of
// the others meanwhile.
const directRatio = 3

// noteAsk logs what became of an ask.
func (f *flight) noteAsk(a borrower.Ask, servers []string, grant *borrower.Grant, err error) {
	entry := f.g.s.Log.Info().Str("id", a.ID).Str("phase", a.Phase.String()).Int("rank", a.Rank).
		Int("tokens", a.Tokens).Dur("due", a.Due).Strs("servers", servers)
	if grant != nil {
		entry = entry.Str("server", grant.Server).Dur("wait", grant.Wait)
	}
	var refused *borrower.RefusedError
	if errors.As(err, &refused) {
		entry = entry.Str("refused", refused.Reason).Dur("after", refused.After)
	} else if err != nil {
		entry = entry.Err(err)
	}
	entry.Msg("asked")
}
