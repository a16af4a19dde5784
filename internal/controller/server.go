package controller

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/compressor"
	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	entryRole = "entry"
	agentRole = "agent"
	// registerInterval is the time between attempts to register a process.
	registerInterval = 500 * time.Millisecond
	// updateInterval is the minimum time between two updates to one process. Without it,
	// when thousands of processes register at the same time, each would get a separate
	// update for each of the others.
	updateInterval = 50 * time.Millisecond
	// leaseUnknown is the lease in milliseconds sent by a host that has not heard from a
	// majority since it started.
	leaseUnknown = math.MaxInt32
)

// serve handles one stream from an attached process, an operator or a control host.
func (c *Controller) serve(ctx context.Context, s *messenger.Stream) {
	var r wire.Request
	if s.Recv(&r) != nil {
		return
	}
	select {
	case <-c.serving:
	case <-ctx.Done():
		return
	}
	switch body := r.GetBody().(type) {
	case *wire.Request_Attach:
		c.serveProcess(ctx, s, body.Attach)
	case *wire.Request_Join:
		c.acceptJoin(s, body.Join) //nolint:contextcheck // links live as long as the process
	case *wire.Request_Command:
		result := c.execute(ctx, body.Command, r.GetForwarded())
		_ = s.Send(&wire.Response{Body: &wire.Response_Result{Result: result}})
	case *wire.Request_Query:
		_ = s.Send(&wire.Response{Body: &wire.Response_Table{Table: c.query(ctx, body.Query)}})
	case *wire.Request_Greet:
		_ = s.Send(&wire.Response{Body: &wire.Response_Greeting{Greeting: c.identityReply()}})
	case *wire.Request_Quotas:
		_ = s.Send(&wire.Response{Body: &wire.Response_Quotas{Quotas: c.quotas.exchange(c.s.Timer.Now(), c.attachments, body.Quotas)}})
	case *wire.Request_Census:
		_ = s.Send(&wire.Response{Body: &wire.Response_Count{Count: c.attachments.count(body.Census, c.s.Number)}})
	}
}

// acceptJoin passes the messages from another control host to the replication core. It
// expels the sender if its data directory is older than one seen before.
func (c *Controller) acceptJoin(s *messenger.Stream, j *wire.Join) {
	c.links.setAddr(j.GetFrom(), j.GetAddr())
	if seen, ok := c.writeCounts.acceptJoin(j); !ok {
		c.s.Log.Error().Str("id", formatMemberID(j.GetFrom())).Uint64("mark", j.GetMark()).Uint64("seen", seen).
			Msg("data directory of member is older than one seen before; expelling the member")
		c.links.send(&wire.Peer{From: c.self.GetId(), To: j.GetFrom(), Body: &wire.Peer_Expel{
			Expel: &wire.Expel{Mark: seen, Start: j.GetStart()},
		}})

		return
	}
	for {
		m := &wire.Peer{}
		if s.Recv(m) != nil {
			return
		}
		c.writeCounts.record(j, m.GetMark())
		if !c.bootstrapped.Load() {
			continue
		}
		select {
		case c.peerMessages <- m:
		case <-c.loopDone:
			return
		}
	}
}

// serveProcess serves an attached process until its stream or ctx ends.
func (c *Controller) serveProcess(ctx context.Context, s *messenger.Stream, a *wire.Attach) {
	if a.GetName() == "" || a.GetRole() != entryRole && a.GetRole() != agentRole {
		c.s.Log.Warn().Str("name", a.GetName()).Str("role", a.GetRole()).Msg("rejected attach: name missing or unknown role")

		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attachment := c.attachments.add(a)
	c.s.Log.Info().Str("name", a.GetName()).Str("role", a.GetRole()).Uint64("index", a.GetIndex()).Msg("attached")
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		c.register(ctx, &wire.Register{Attach: a}, "register")
	}()
	go func() {
		defer cancel()
		for {
			var b wire.Beat
			if s.Recv(&b) != nil {
				return
			}
			c.attachments.recordHeartbeat(c.s.Timer.Now(), attachment, &b)
		}
	}()
	c.sendNotices(ctx, s, a)
	cancel()
	_ = s.Close()
	<-registered
	leaving := c.attachments.remove(attachment)
	c.s.Log.Info().Str("name", a.GetName()).Str("role", a.GetRole()).Bool("leaving", leaving).Msg("detached")
	if leaving {
		// ctx has already ended with the stream.
		bounded, cancel := c.withTimeout(context.WithoutCancel(ctx), c.s.CommitTimeout)
		defer cancel()
		c.register(bounded, &wire.Register{Attach: a, Gone: true}, "leave")
	}
}

// register proposes a registration and retries until it is decided. Each stream uses a
// new id, so that a process that had been declared absent is registered again when it
// returns.
func (c *Controller) register(ctx context.Context, r *wire.Register, verb string) {
	a := r.GetAttach()
	attach := &wire.Attach{
		Name: a.GetName(), Role: a.GetRole(), Addr: a.GetAddr(), Region: a.GetRegion(), Centre: a.GetCentre(),
		Service: a.GetService(), Phase: a.GetPhase(), Pieces: a.GetPieces(), Epoch: a.GetEpoch(),
	}
	cmd := &wire.Command{
		Id:     fmt.Sprintf("%s/%s/%s/%d/%x", verb, a.GetRole(), a.GetName(), a.GetEpoch(), rand.Uint64()), //nolint:gosec // no secret
		Who:    a.GetName(),
		Expect: -1,
		Body:   &wire.Command_Register{Register: &wire.Register{Attach: attach, Gone: r.GetGone()}},
	}
	for ctx.Err() == nil && c.ctx.Err() == nil {
		result := c.execute(ctx, cmd, false)
		switch result.GetOutcome() {
		case wire.Outcome_OUTCOME_REFUSED, wire.Outcome_OUTCOME_PENDING:
			c.sleep(ctx, registerInterval)
		case wire.Outcome_OUTCOME_INVALID:
			c.s.Log.Warn().Str("name", a.GetName()).Str("text", result.GetText()).Msg("registration of process is invalid")

			return
		default:
			return
		}
	}
}

// sendNotices sends an update after each change and a pulse at each interval. Entries
// also get the host list.
func (c *Controller) sendNotices(ctx context.Context, s *messenger.Stream, a *wire.Attach) {
	// The first pulse directly follows the first update, because a subscriber refuses
	// bookings until it knows that this host hears from a majority.
	pulse := make(chan struct{}, 1)
	pulse <- struct{}{}
	stop := c.s.Timer.Every(c.s.PulseInterval, func(time.Time) {
		select {
		case pulse <- struct{}{}:
		default:
		}
	})
	defer stop()
	sent, first := a.GetIndex(), true
	var held *lister.Listing
	for ctx.Err() == nil {
		changeSignal, listed := c.attachments.changeSignal(), c.hosts.store.Changed()
		if a.GetRole() == entryRole {
			var err error
			if held, err = c.sendListing(s, held); err != nil {
				return
			}
		}
		next, err := c.sendUpdate(s, sent, first)
		if err != nil {
			return
		}
		sent, first = next, false
		select {
		case <-ctx.Done():
		case <-changeSignal:
			c.sleep(ctx, updateInterval)
		case <-listed:
		case <-pulse:
			if c.sendPulse(s, sent, a) != nil {
				return
			}
		}
	}
}

// sendUpdate sends the changes after index sent. If this host is behind the subscriber, it
// sends nothing, because a subscriber never goes back to an older state.
func (c *Controller) sendUpdate(s *messenger.Stream, sent uint64, first bool) (uint64, error) {
	var update *update
	ran := c.do(func() {
		if index := c.state.Index(); index < sent || index == sent && !first {
			return
		}
		if c.updates[sent] == nil {
			c.updates[sent] = newUpdate(c.state.UpdateSince(sent))
		}
		update = c.updates[sent]
	})
	if !ran && c.bootstrapped.Load() {
		return sent, ErrClosed
	}
	if update == nil {
		return sent, nil
	}
	notice, err := update.notice()
	if err != nil {
		c.s.Log.Error().Uint64("index", update.index).Err(err).Msg("failed to compress update")

		return sent, err
	}
	if err := s.Send(notice); err != nil {
		return sent, errors.Newf("send update: %w", err)
	}

	return max(sent, update.index), nil
}

// update holds the changes after an index. It is compressed once, outside the event loop,
// for all processes that are at the same index.
type update struct {
	index  uint64
	notice func() (*wire.Notice, error)
}

func newUpdate(u *wire.Update) *update {
	return &update{
		index:  u.GetIndex(),
		notice: sync.OnceValues(func() (*wire.Notice, error) { return compressor.Compress(u) }),
	}
}

// sendPulse sends a heartbeat with the index of the last update sent, or the index of this
// host if that is lower. Sending an index that this host has applied but not yet sent
// would make the subscriber assume that it has missed updates.
func (c *Controller) sendPulse(s *messenger.Stream, sent uint64, a *wire.Attach) error {
	p := &wire.Pulse{Lease: leaseUnknown}
	if a.GetRole() == entryRole {
		if q := c.quotas.ofEntry(c.s.Timer.Now(), entryID{a.GetName(), a.GetEpoch()}); q != nil {
			p.Allotted, p.Allotments, p.Grants = true, q.GetAllotments(), q.GetGrants()
		}
	}
	c.do(func() {
		for _, m := range c.members.GetVoters() {
			p.Hosts = append(p.Hosts, m.GetAddr())
		}
		p.Entries = int32(c.state.Entries())
		p.Index = min(c.state.Index(), sent)
		if lease := c.core.Lease(c.s.Timer.Now()); lease >= 0 {
			p.Lease = min(lease.Milliseconds(), leaseUnknown)
		}
	})
	if err := s.Send(&wire.Notice{Body: &wire.Notice_Pulse{Pulse: p}}); err != nil {
		return errors.Newf("send pulse: %w", err)
	}

	return nil
}
