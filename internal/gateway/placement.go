package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Agents are the agents that grant the memory of their backend servers to requests.
type Agents interface {
	Load(server string) (grantclient.Load, bool)
	Ask(ctx context.Context, a grantclient.Ask, servers []string) (*grantclient.Grant, error)
	// NeverConnected reports that no agent answers for a server, whatever the server itself states.
	NeverConnected(server string) bool
}

const (
	// decodeAsks and prefillAsks are the number of servers that are asked at the same time.
	// The load that an entry knows is slightly out of date, so the second server is
	// sometimes the better choice. Up to maxDecodeAsks are asked while these have no memory
	// to spare.
	decodeAsks    = 2
	maxDecodeAsks = 8
	prefillAsks   = 2
	// spareFactor is how many requests of the same size a server must have room for to be
	// considered to have memory to spare, since other entries ask for it at the same time.
	spareFactor = 2
	// lateRankOffset is added to the rank of a request that can no longer meet its target,
	// so that it only gets memory that no other request wants.
	lateRankOffset = 5
	// firstEventOverhead is the time to the first event in addition to processing the
	// prompt: two round trips between regions, the transfer and the first decoding step.
	firstEventOverhead = 80 * time.Millisecond
)

// placement is the choice of servers for one send of a model request, with the memory that
// was granted there.
type placement struct {
	choice  placer.Choice
	decode  *grantclient.Grant // nil if the server has no agent
	prefill *grantclient.Grant
	// reservationID is the name of the memory that a server without an agent has reserved.
	reservationID string
}

// release gives back the grants after a send with the given outcome.
func (p *placement) release(o outcome) {
	switch {
	case p.decode == nil:
	case o == outcomeUnsent || o == outcomeBroken:
		p.decode.ReleaseBroken()
	default:
		p.decode.Release()
	}
	if p.prefill != nil {
		p.prefill.Release()
	}
}

// errNoServer is returned if no server is known for a request.
var errNoServer = errors.New("no server is known")

// errNoVersion is returned for a stream whose software version no server has.
var errNoVersion = errors.New("no server has the version that began the stream")

// query describes the server that the request needs.
func (f *forwarder) query() placer.Query {
	return placer.Query{
		Pool: f.pool, Prompt: f.hints.Prompt, Avoid: f.attempts.Tried(), Bound: f.bound, Version: f.version,
		Speeds: f.bySpeed, Answer: f.expectedAnswer(), Unsafe: f.unsafe(),
	}
}

// reserve chooses the servers of a model request. It obtains memory at a decode server
// first, since processing a prompt is wasted work if there is no memory for its answer. The
// error is a *grantclient.RefusedError if waiting for memory is not worthwhile.
func (f *forwarder) reserve() (*placement, error) {
	q := f.query()
	if q.Bound && !f.g.s.Placer.Serves(f.g.s.Timer.Now(), q) {
		return nil, errNoVersion
	}
	need := f.memoryTokens()
	decode := f.rankWithAgents(q, placer.Decode, need, nil)
	if len(decode) == 0 {
		return f.reserveWithoutAgent(q)
	}
	if p := f.reserveBesideAgents(q, decode, need); p != nil {
		return p, nil
	}
	grant, rank, err := f.acquireDecode(decode, need)
	if errors.Is(err, grantclient.ErrUnreachable) {
		return f.reserveWithoutAgent(q)
	}
	if err != nil {
		return nil, err
	}
	out := &placement{decode: grant}
	for _, c := range decode {
		if c.Server.ID == grant.Server {
			out.choice.Server = c.Server
		}
	}
	f.acquirePrefill(q, out, rank)

	return out, nil
}

// reserveWithoutAgent chooses among servers without an agent. If they cannot reserve memory,
// the choice is based on what this process has sent to them.
func (f *forwarder) reserveWithoutAgent(q placer.Query) (*placement, error) {
	if ttl := f.reservationTTL(); ttl > 0 {
		return f.reserveAtServers(q, ttl)
	}
	c, ok := f.g.s.Placer.PickStream(f.g.s.Timer.Now(), q)
	if !ok {
		return nil, errNoServer
	}

	return &placement{choice: c}, nil
}

// rankWithAgents returns the servers of a stage that have an agent, the best first.
func (f *forwarder) rankWithAgents(q placer.Query, stage placer.Stage, need int, other *placer.Server) []placer.Candidate {
	if f.g.s.Agents == nil {
		return nil
	}
	priorityClass := f.priorityClass()

	return f.g.s.Placer.Rank(f.g.s.Timer.Now(), q, stage, need, other, func(id string) (placer.AgentLoad, bool) {
		l, ok := f.g.s.Agents.Load(id)
		out := placer.AgentLoad{Total: l.Total, Free: l.Free, Leaving: l.Leaving, Speed: l.Speed}
		if len(l.Waits) > 0 {
			out.Wait = l.Waits[min(priorityClass, len(l.Waits)-1)]
		}

		return out, ok
	})
}

// memoryCaller returns the name under which agents divide memory and turns: that of the
// customer, and one for all requests without.
func (f *forwarder) memoryCaller() string {
	if f.customer == nil {
		return "-"
	}

	return f.customer.GetName()
}

// memoryTokens returns the memory to reserve for the request, in tokens: its prompt and a
// part of the maximum output, since the answers on a server do not all grow to their limit
// at the same time.
func (f *forwarder) memoryTokens() int {
	return f.hints.Prompt + int(f.g.s.OutputReserve*float64(f.hints.MaxOutputTokens))
}

// expectedOutput returns the expected number of output tokens.
func (f *forwarder) expectedOutput() int {
	if f.hints.OutputEstimate > 0 {
		return min(max(f.hints.OutputEstimate, f.hints.MaxOutputTokens/8), f.hints.MaxOutputTokens)
	}

	return f.hints.MaxOutputTokens / 2
}

// expectedDuration returns how long generating the answer is expected to take.
func (f *forwarder) expectedDuration() time.Duration {
	return time.Duration(f.expectedOutput()) * f.speed().Token
}

// prefillTime returns how long a prefill server takes to process the prompt.
func (f *forwarder) prefillTime() time.Duration {
	return time.Duration(f.hints.Prompt) * f.speed().Prompt
}

// acquireDecode asks for memory at a decode server: first for an answer that meets the
// target latency, and then, if the backlog is expected to clear, for a late one at a rank
// below all requests that can still meet their target. It returns the rank at which memory
// was granted.
func (f *forwarder) acquireDecode(candidates []placer.Candidate, need int) (*grantclient.Grant, int, error) {
	candidates = f.suitable(candidates)
	servers := f.serversToAsk(candidates, need)
	f.planned.Token = cmp.Or(slowest(candidates, servers).Token, f.planned.Token)
	a := grantclient.Ask{
		ID: f.hints.ID, Phase: wire.Phase_PHASE_DECODE, Tokens: need, Cost: f.expectedDuration(), Service: f.pool,
		Rank: f.priorityClass(), Caller: f.memoryCaller(), Weight: f.weight, Output: f.statedOutput(), Paced: f.paced(),
	}
	target := time.Duration(f.path.GetTarget()) * time.Millisecond
	grant, err := f.askWithin(target, a, servers)
	if errors.Is(err, errTooLate) {
		f.g.s.OnNoMemory()
		grant, err = f.askLate(&a, servers)
	}
	switch {
	case err == nil:
		return grant, a.Rank, nil
	case errors.Is(err, errTooLate):
		return nil, 0, &grantclient.RefusedError{Reason: "deadline", After: f.shortestWait(candidates)}
	default:
		return nil, 0, err
	}
}

// askLate asks for memory for a request that can no longer meet its target latency.
func (f *forwarder) askLate(a *grantclient.Ask, servers []string) (*grantclient.Grant, error) {
	limit := f.patience() - refusalMargin
	key, now := queueKey{f.pool, a.Rank}, f.g.s.Timer.Now()
	waiter := f.lateWaiter()
	if remaining := limit - f.timeToFirstEvent() - now.Sub(f.arrived); !f.g.backlog.enter(now, key, waiter, remaining) {
		f.g.s.Log.Info().Str("id", f.hints.ID).Int("rank", key.rank).Dur("left", remaining).Msg("late request not expected to get memory")

		return nil, errTooLate
	}
	a.Rank += lateRankOffset
	grant, err := f.askWithin(limit, *a, servers)
	f.g.backlog.leave(f.g.s.Timer.Now(), key, waiter, err == nil)

	return grant, err
}

// errTooLate ends the wait for a grant that would come too late.
var errTooLate = errors.New("the grant would come too late")

// refusalMargin is how long before the caller gives up a request is refused, so that the
// refusal still reaches the caller and it retries later.
const refusalMargin = 300 * time.Millisecond

// timeToFirstEvent returns the expected time from the grant of memory to the first event.
func (f *forwarder) timeToFirstEvent() time.Duration { return f.prefillTime() + firstEventOverhead }

// askWithin asks for memory. It returns errTooLate when the first event can no longer arrive
// within limit, counted from the arrival of the request.
func (f *forwarder) askWithin(limit time.Duration, a grantclient.Ask, servers []string) (*grantclient.Grant, error) {
	spent := f.g.s.Timer.Now().Sub(f.arrived) + f.timeToFirstEvent()
	if limit <= spent {
		return nil, errTooLate
	}
	// The agent only refuses requests that would be too late even for the caller's patience:
	// its estimate is too rough to give up a request that may still meet its target.
	a.Due = f.patience() - spent
	bound, release := f.g.s.Drainer.Bound(f.ctx, f.expectedTime(false))
	defer release()
	ctx, cancel := context.WithCancelCause(bound)
	defer cancel(nil)
	defer f.g.s.Timer.After(limit-spent, func(time.Time) { cancel(errTooLate) })()
	grant, err := f.g.s.Agents.Ask(ctx, a, servers)
	f.logAsk(a, servers, grant, err)

	return grant, err //nolint:wrapcheck // the grant client's errors name the operation
}

// serversToAsk returns the servers to ask: the best ones while they have memory to spare,
// otherwise more of them, since it is not known which server will have memory first.
func (f *forwarder) serversToAsk(candidates []placer.Candidate, need int) []string {
	asks := decodeAsks
	for _, c := range candidates[:min(asks, len(candidates))] {
		if l, _ := f.g.s.Agents.Load(c.Server.ID); l.Free < spareFactor*need || l.Queued > 0 {
			asks = maxDecodeAsks
		}
	}
	var servers []string
	for _, c := range candidates[:min(asks, len(candidates))] {
		servers = append(servers, c.Server.ID)
	}

	return servers
}

// shortestWait returns the shortest time in which a server is expected to have memory.
func (f *forwarder) shortestWait(candidates []placer.Candidate) time.Duration {
	var least time.Duration
	for _, c := range candidates {
		l, ok := f.g.s.Agents.Load(c.Server.ID)
		rank := min(f.priorityClass(), len(l.Waits)-1)
		if ok && rank >= 0 && (least == 0 || l.Waits[rank] < least) {
			least = l.Waits[rank]
		}
	}

	return least
}

// patience returns how long the caller waits for the first event.
func (f *forwarder) patience() time.Duration {
	p := time.Duration(f.path.GetPatience()) * time.Millisecond
	if left := f.deadline.Sub(f.arrived); p == 0 || p > left {
		return left
	}

	return p
}

// acquirePrefill acquires a turn at a prefill server, unless the decode server is expected
// to process the prompt as fast.
func (f *forwarder) acquirePrefill(q placer.Query, p *placement, rank int) {
	candidates := f.rankWithAgents(q, placer.Prefill, 1, p.choice.Server)
	if len(candidates) == 0 || f.prefillDelay(candidates[0]) > prefillWaitFactor*f.prefillTime()+firstEventOverhead {
		return
	}
	var servers []string
	for _, c := range candidates[:min(prefillAsks, len(candidates))] {
		servers = append(servers, c.Server.ID)
	}
	f.planned.Prompt = cmp.Or(slowest(candidates, servers).Prompt, f.planned.Prompt)
	a := grantclient.Ask{
		ID: f.hints.ID, Phase: wire.Phase_PHASE_PREFILL, Rank: rank, Tokens: f.turnTokens(), Cost: f.prefillTime(), Service: f.pool,
		Caller: f.memoryCaller(), Weight: f.weight, Due: prefillWaitFactor*f.prefillTime() + firstEventOverhead,
		Output: f.statedOutput(), Paced: f.paced(),
	}
	ctx, release := f.g.s.Drainer.Bound(f.ctx, f.expectedTime(false))
	defer release()
	grant, err := f.g.s.Agents.Ask(ctx, a, servers)
	f.logAsk(a, servers, grant, err)
	if err != nil {
		return
	}
	for _, c := range candidates {
		if c.Server.ID == grant.Server {
			p.prefill, p.choice.Prefill = grant, c.Server
		}
	}
}

// prefillWaitFactor limits the wait for a prefill server to this multiple of its processing
// time. Processing the prompt at the decode server instead takes twice as long, and delays
// the answers of other requests there in the meantime.
const prefillWaitFactor = 3

// logAsk logs the result of asking for memory or for a turn.
func (f *forwarder) logAsk(a grantclient.Ask, servers []string, grant *grantclient.Grant, err error) {
	entry := f.g.s.Log.Info().Str("id", a.ID).Str("phase", a.Phase.String()).Int("rank", a.Rank).
		Int("tokens", a.Tokens).Dur("due", a.Due).Strs("servers", servers)
	if a.Output > 0 {
		entry = entry.Int("output", a.Output).Str("fit", f.fit.String()).Dur("token", f.planned.Token).Dur("prompt", f.planned.Prompt)
	}
	if grant != nil {
		entry = entry.Str("server", grant.Server).Dur("wait", grant.Wait)
	}
	var refused *grantclient.RefusedError
	if errors.As(err, &refused) {
		entry = entry.Str("refused", refused.Reason).Dur("after", refused.After)
	} else if err != nil {
		entry = entry.Err(err)
	}
	entry.Msg("asked")
}
