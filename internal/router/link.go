package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// renewInterval is a third of the lease, so that one lost message does not
	// end it.
	renewInterval = time.Second
	// redialPause is the time between dials of an agent that is down.
	redialPause = 200 * time.Millisecond
	// keepWithdrawals is how long an unconfirmed withdrawal is repeated while
	// the agent is unreachable. By then the lease of 3 s has freed its grants.
	keepWithdrawals = 10 * time.Second
	welcomeTimeout  = 3 * time.Second
	// silence is the time without a message after which an agent counts as
	// unreachable. It sends its load each second, so three were lost.
	silence = 3500 * time.Millisecond
	// openTimeout bounds the wait of an attempt for a session. A host that drops
	// packets must not use up the time in which another server could answer.
	openTimeout = time.Second
)

// link is the session to one agent, dialled on demand. Its control stream
// carries Hello, Renew and Withdraw.
type link struct {
	name string
	r    *Router

	mu       sync.Mutex
	session  *messenger.Session // nil while down
	control  *sender
	epoch    uint64        // of the agent
	dialing  chan struct{} // closed at the end of the dial under way
	failed   time.Time     // of the last dial
	err      error
	down     time.Time // since when, zero while up
	used     time.Time
	heard    time.Time // last message of the agent
	streams  int
	pending  map[string]withdrawal
	repeated bool // a repetition of the withdrawals is scheduled
}

// withdrawal waits for its confirmation.
type withdrawal struct {
	epoch uint64 // of the agent that granted, 0 if none did
	done  func(ran bool)
}

var errDown = errors.New("the agent is down")

// open starts a stream for an attempt.
func (l *link) open(ctx context.Context) (*messenger.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	session, err := l.ready(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.Open(ctx)
	if err != nil {
		return nil, errors.Newf("open stream to %s: %w", l.name, err)
	}
	l.mu.Lock()
	l.streams++
	l.used = l.r.timers.Now()
	l.mu.Unlock()

	return stream, nil
}

// left is called when a stream of open has ended.
func (l *link) left() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams--
	l.used = l.r.timers.Now()
}

// ready returns the session, dialled if need be.
func (l *link) ready(ctx context.Context) (*messenger.Session, error) {
	l.mu.Lock()
	if l.session != nil {
		defer l.mu.Unlock()

		return l.session, nil
	}
	now := l.r.timers.Now()
	if l.dialing == nil {
		if !l.failed.IsZero() && now.Sub(l.failed) < redialPause {
			defer l.mu.Unlock()

			return nil, errors.Newf("reach %s: %w", l.name, l.err)
		}
		l.dialing = make(chan struct{})
		go l.dial()
	}
	dialing := l.dialing
	l.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, errors.Newf("wait for session: %w", ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil {
		return nil, errors.Newf("reach %s: %w", l.name, l.err)
	}

	return l.session, nil
}

func (l *link) dial() {
	session, stream, epoch, err := l.greet()
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	now := l.r.timers.Now()
	if err != nil {
		l.err, l.failed = err, now
		if l.down.IsZero() {
			l.down = now
		}
		l.r.log.Warn().Str("server", l.name).Str("error", err.Error()).Msg("agent unreachable")
		l.repeat()

		return
	}
	if l.epoch != 0 && l.epoch != epoch {
		l.r.log.Warn().Str("server", l.name).Uint64("epoch", epoch).Msg("agent restarted")
		l.r.meter.restarts.Inc()
	}
	l.session, l.epoch, l.err = session, epoch, nil
	l.down, l.failed, l.used, l.heard = time.Time{}, time.Time{}, now, now
	l.control = newSender(stream, nil)
	for id, w := range l.pending {
		l.control.send(withdrawCall(id, w.epoch))
	}
	l.r.meter.sessions.Inc()
	go l.listen(session, stream)
}

// greet connects and exchanges Hello and Welcome.
func (l *link) greet() (*messenger.Session, *messenger.Stream, uint64, error) {
	server := l.r.control.View().Server(l.name)
	if server == nil {
		return nil, nil, 0, errors.New("the server is not in the configuration")
	}
	session, err := messenger.Dial(l.r.ctx, server.GetAddr())
	if err != nil {
		return nil, nil, 0, errors.Newf("connect: %w", err)
	}
	stream, epoch, err := l.hello(session)
	if err != nil {
		_ = session.Close()

		return nil, nil, 0, err
	}

	return session, stream, epoch, nil
}

func (l *link) hello(session *messenger.Session) (*messenger.Stream, uint64, error) {
	stream, err := session.Open(l.r.ctx)
	if err != nil {
		return nil, 0, errors.Newf("open control stream: %w", err)
	}
	if err := stream.SetDeadline(time.Now().Add(welcomeTimeout)); err != nil {
		return nil, 0, errors.Newf("bound the welcome: %w", err)
	}
	hello := &wire.Hello{Entry: l.r.settings.Name, Epoch: l.r.epoch}
	if err := stream.Send(&wire.Call{Body: &wire.Call_Hello{Hello: hello}}); err != nil {
		return nil, 0, errors.Newf("say hello: %w", err)
	}
	var reply wire.Reply
	if err := stream.Recv(&reply); err != nil {
		return nil, 0, errors.Newf("wait for the welcome: %w", err)
	}
	welcome := reply.GetWelcome()
	if welcome == nil || welcome.GetServer() != l.name {
		return nil, 0, errors.Newf("got a welcome of %q, want of %q", welcome.GetServer(), l.name)
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return nil, 0, errors.Newf("unbound the stream: %w", err)
	}

	return stream, welcome.GetEpoch(), nil
}

// listen reads the control stream until the session ends.
func (l *link) listen(session *messenger.Session, stream *messenger.Stream) {
	for {
		var reply wire.Reply
		if err := stream.Recv(&reply); err != nil {
			break
		}
		now := l.r.timers.Now()
		l.mu.Lock()
		l.heard = now
		l.mu.Unlock()
		switch body := reply.GetBody().(type) {
		case *wire.Reply_Load:
			l.r.fleet.observe(now, l.name, body.Load)
		case *wire.Reply_Event:
			l.r.fleet.cached(now, l.name, body.Event)
		case *wire.Reply_Withdrawn:
			l.confirmed(body.Withdrawn)
		}
	}
	_ = session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.control.close()
	l.session, l.control = nil, nil
	l.down = l.r.timers.Now()
	l.r.meter.sessions.Dec()
	l.r.log.Info().Str("server", l.name).Int("pending", len(l.pending)).Msg("session ended")
	l.repeat()
}

func (l *link) confirmed(m *wire.Withdrawn) {
	l.mu.Lock()
	w, ok := l.pending[m.GetId()]
	delete(l.pending, m.GetId())
	l.mu.Unlock()
	if ok {
		w.done(m.GetRan())
	}
}

// withdraw ends an attempt at the agent. It is repeated until the agent
// confirms it, because otherwise the renewed lease would keep the grant.
func (l *link) withdraw(id string, epoch uint64, done func(ran bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[id] = withdrawal{epoch: epoch, done: done}
	l.used = l.r.timers.Now()
	if l.control != nil {
		l.control.send(withdrawCall(id, epoch))

		return
	}
	l.repeat()
}

func withdrawCall(id string, epoch uint64) *wire.Call {
	return &wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id, Epoch: epoch}}}
}

// repeat dials again while withdrawals wait. l.mu is held.
func (l *link) repeat() {
	if len(l.pending) == 0 || l.repeated || l.session != nil || l.r.ctx.Err() != nil {
		return
	}
	if !l.down.IsZero() && l.r.timers.Now().Sub(l.down) > keepWithdrawals {
		clear(l.pending)

		return
	}
	l.repeated = true
	l.r.timers.After(redialPause, func(time.Time) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.repeated = false
		if l.session == nil && l.dialing == nil && len(l.pending) > 0 && l.r.ctx.Err() == nil {
			l.dialing = make(chan struct{})
			go l.dial()
		}
	})
}

// renew extends the lease, or closes a session that is not used or silent. The
// attempts of a silent session are lost, so that other servers are asked.
func (l *link) renew(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil {
		return
	}
	silent := now.Sub(l.heard) > silence
	if silent {
		l.r.log.Warn().Str("server", l.name).Dur("silence", now.Sub(l.heard)).Msg("agent silent")
	}
	if silent || l.streams == 0 && len(l.pending) == 0 && now.Sub(l.used) > l.r.settings.Idle {
		session := l.session
		go func() { _ = session.Close() }()

		return
	}
	l.control.send(&wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}})
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
	}
}

// link returns the link to a server.
func (r *Router) link(server string) *link {
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	l := r.links[server]
	if l == nil {
		l = &link{name: server, r: r, pending: make(map[string]withdrawal), err: errDown}
		r.links[server] = l
	}

	return l
}

func (r *Router) eachLink(fn func(l *link)) {
	r.linksMu.Lock()
	links := make([]*link, 0, len(r.links))
	for _, l := range r.links {
		links = append(links, l)
	}
	r.linksMu.Unlock()
	for _, l := range links {
		fn(l)
	}
}
