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
	// renewInterval is a third of the lease, so that one lost message does not let
	// it expire.
	renewInterval = time.Second
	// redialDelay is the time between attempts to connect to an agent that is down.
	redialDelay = 200 * time.Millisecond
	// withdrawalTimeout is how long an unconfirmed withdrawal is retried while the
	// agent is unreachable. By then the lease of 3 s has expired and freed its grants.
	withdrawalTimeout = 10 * time.Second
	welcomeTimeout    = 3 * time.Second
	// silenceTimeout is the time without a message after which an agent counts as
	// unreachable. Agents report their load every second, so three reports are
	// missing by then.
	silenceTimeout = 3500 * time.Millisecond
	// openTimeout bounds how long an attempt waits for a session. Waiting for a host
	// that drops packets must not use up the time in which another server could
	// answer.
	openTimeout = time.Second
)

// agentConn manages the session with one agent. It connects on demand and again
// after a failure. The session's control stream carries Hello, Renew and Withdraw.
type agentConn struct {
	serverName string
	r          *Router

	mu              sync.Mutex
	session         *messenger.Session // nil while disconnected
	controlStream   *sender
	epoch           uint64                // of the agent's last welcome
	dialing         chan struct{}         // closed when the current dial ends, nil if there is none
	dialFailed      time.Time             // time of the last failed dial, zero if the last one succeeded
	err             error                 // of the last dial, nil after a success
	downSince       time.Time             // zero while connected
	lastUsed        time.Time             // a stream was opened or ended, or an attempt withdrawn
	lastMessage     time.Time             // when the agent's last message arrived
	streams         int                   // open streams of attempts
	pending         map[string]withdrawal // not confirmed yet, by attempt id
	redialScheduled bool                  // a timer for the next dial is running
}

// withdrawal is an unconfirmed withdrawal of an attempt.
type withdrawal struct {
	epoch       uint64 // of the agent that granted, 0 if none did
	onConfirmed func(ran bool)
}

var errNotConnected = errors.New("the agent is down")

// openStream opens a stream for an attempt. The caller calls streamEnded after it
// has closed the stream.
func (c *agentConn) openStream(ctx context.Context) (*messenger.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	session, err := c.ensureSession(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.Open(ctx)
	if err != nil {
		return nil, errors.Newf("open stream to %s: %w", c.serverName, err)
	}
	c.mu.Lock()
	c.streams++
	c.lastUsed = c.r.timers.Now()
	c.mu.Unlock()

	return stream, nil
}

// streamEnded records the end of a stream from openStream.
func (c *agentConn) streamEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams--
	c.lastUsed = c.r.timers.Now()
}

// ensureSession returns the session and connects first if there is none. It fails
// at once within redialDelay of a failed dial.
func (c *agentConn) ensureSession(ctx context.Context) (*messenger.Session, error) {
	c.mu.Lock()
	if c.session != nil {
		defer c.mu.Unlock()

		return c.session, nil
	}
	now := c.r.timers.Now()
	if c.dialing == nil {
		if !c.dialFailed.IsZero() && now.Sub(c.dialFailed) < redialDelay {
			defer c.mu.Unlock()

			return nil, errors.Newf("connect to %s: %w", c.serverName, c.err)
		}
		c.dialing = make(chan struct{})
		go c.dial()
	}
	dialing := c.dialing
	c.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, errors.Newf("wait for session: %w", ctx.Err())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return nil, errors.Newf("connect to %s: %w", c.serverName, c.err)
	}

	return c.session, nil
}

// dial connects and, on success, starts the session's control stream and sends the
// pending withdrawals.
func (c *agentConn) dial() {
	session, stream, epoch, err := c.connect()
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	now := c.r.timers.Now()
	if err != nil {
		c.err, c.dialFailed = err, now
		if c.downSince.IsZero() {
			c.downSince = now
		}
		c.r.log.Warn().Str("server", c.serverName).Str("error", err.Error()).Msg("cannot connect to agent")
		c.scheduleRedial()

		return
	}
	if c.epoch != 0 && c.epoch != epoch {
		c.r.log.Warn().Str("server", c.serverName).Uint64("epoch", epoch).Msg("agent restarted")
		c.r.metrics.agentRestarts.Inc()
	}
	c.session, c.epoch, c.err = session, epoch, nil
	c.downSince, c.dialFailed, c.lastUsed, c.lastMessage = time.Time{}, time.Time{}, now, now
	c.controlStream = newSender(stream, nil)
	for id, w := range c.pending {
		c.controlStream.send(withdrawCall(id, w.epoch))
	}
	c.r.metrics.agentSessions.Inc()
	go c.readControlStream(session, stream)
}

// connect opens a session and its control stream and exchanges Hello and Welcome.
// It returns the agent's epoch.
func (c *agentConn) connect() (*messenger.Session, *messenger.Stream, uint64, error) {
	server := c.r.control.View().Server(c.serverName)
	if server == nil {
		return nil, nil, 0, errors.New("the server is not in the configuration")
	}
	session, err := messenger.Dial(c.r.ctx, server.GetAddr())
	if err != nil {
		return nil, nil, 0, errors.Newf("connect: %w", err)
	}
	stream, epoch, err := c.hello(session)
	if err != nil {
		_ = session.Close()

		return nil, nil, 0, err
	}

	return session, stream, epoch, nil
}

// hello opens the control stream, sends Hello and waits for Welcome.
func (c *agentConn) hello(session *messenger.Session) (*messenger.Stream, uint64, error) {
	stream, err := session.Open(c.r.ctx)
	if err != nil {
		return nil, 0, errors.Newf("open control stream: %w", err)
	}
	if err := stream.SetDeadline(time.Now().Add(welcomeTimeout)); err != nil {
		return nil, 0, errors.Newf("bound the welcome: %w", err)
	}
	hello := &wire.Hello{Entry: c.r.settings.Name, Epoch: c.r.epoch}
	if err := stream.Send(&wire.Call{Body: &wire.Call_Hello{Hello: hello}}); err != nil {
		return nil, 0, errors.Newf("say hello: %w", err)
	}
	var reply wire.Reply
	if err := stream.Recv(&reply); err != nil {
		return nil, 0, errors.Newf("wait for the welcome: %w", err)
	}
	welcome := reply.GetWelcome()
	if welcome == nil || welcome.GetServer() != c.serverName {
		return nil, 0, errors.Newf("got a welcome of %q, want of %q", welcome.GetServer(), c.serverName)
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return nil, 0, errors.Newf("unbound the stream: %w", err)
	}

	return stream, welcome.GetEpoch(), nil
}

// readControlStream handles the agent's messages on the control stream until it
// ends, and then closes the session.
func (c *agentConn) readControlStream(session *messenger.Session, stream *messenger.Stream) {
	for {
		var reply wire.Reply
		if err := stream.Recv(&reply); err != nil {
			break
		}
		now := c.r.timers.Now()
		c.mu.Lock()
		c.lastMessage = now
		c.mu.Unlock()
		switch body := reply.GetBody().(type) {
		case *wire.Reply_Load:
			c.r.fleet.observeLoad(now, c.serverName, body.Load)
		case *wire.Reply_Event:
			c.r.fleet.updateCache(now, c.serverName, body.Event)
		case *wire.Reply_Withdrawn:
			c.withdrawalConfirmed(body.Withdrawn)
		}
	}
	_ = session.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controlStream.close()
	c.session, c.controlStream = nil, nil
	c.downSince = c.r.timers.Now()
	c.r.metrics.agentSessions.Dec()
	c.r.log.Info().Str("server", c.serverName).Int("pending", len(c.pending)).Msg("agent session ended")
	c.scheduleRedial()
}

// withdrawalConfirmed removes a pending withdrawal and passes on whether the backend
// server had run the attempt.
func (c *agentConn) withdrawalConfirmed(m *wire.Withdrawn) {
	c.mu.Lock()
	w, ok := c.pending[m.GetId()]
	delete(c.pending, m.GetId())
	c.mu.Unlock()
	if ok {
		w.onConfirmed(m.GetRan())
	}
}

// withdraw tells the agent to end an attempt. The message is repeated in each new
// session until the agent confirms it, because otherwise the grant would live on
// with the renewed lease.
func (c *agentConn) withdraw(id string, epoch uint64, onConfirmed func(ran bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = withdrawal{epoch: epoch, onConfirmed: onConfirmed}
	c.lastUsed = c.r.timers.Now()
	if c.controlStream != nil {
		c.controlStream.send(withdrawCall(id, epoch))

		return
	}
	c.scheduleRedial()
}

func withdrawCall(id string, epoch uint64) *wire.Call {
	return &wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id, Epoch: epoch}}}
}

// scheduleRedial schedules a dial if withdrawals are pending and there is no
// session. After withdrawalTimeout it drops them. The caller holds c.mu.
func (c *agentConn) scheduleRedial() {
	if len(c.pending) == 0 || c.redialScheduled || c.session != nil || c.r.ctx.Err() != nil {
		return
	}
	if !c.downSince.IsZero() && c.r.timers.Now().Sub(c.downSince) > withdrawalTimeout {
		clear(c.pending)

		return
	}
	c.redialScheduled = true
	c.r.timers.After(redialDelay, func(time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.redialScheduled = false
		if c.session == nil && c.dialing == nil && len(c.pending) > 0 && c.r.ctx.Err() == nil {
			c.dialing = make(chan struct{})
			go c.dial()
		}
	})
}

// renewLease extends the lease. It closes the session instead if it is unused or if
// the agent has been silent for too long; the attempts then see a lost stream, so
// that other servers are asked.
func (c *agentConn) renewLease(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return
	}
	silent := now.Sub(c.lastMessage) > silenceTimeout
	if silent {
		c.r.log.Warn().Str("server", c.serverName).Dur("silence", now.Sub(c.lastMessage)).Msg("no message from agent, closing the session")
	}
	if silent || c.streams == 0 && len(c.pending) == 0 && now.Sub(c.lastUsed) > c.r.settings.IdleTimeout {
		session := c.session
		go func() { _ = session.Close() }()

		return
	}
	c.controlStream.send(&wire.Call{Body: &wire.Call_Renew{Renew: &wire.Renew{}}})
}

// close closes the session, if there is one.
func (c *agentConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil {
		_ = c.session.Close()
	}
}

// agentConn returns the connection to the agent of a server. It is created on first
// use.
func (r *Router) agentConn(server string) *agentConn {
	r.agentsMu.Lock()
	defer r.agentsMu.Unlock()
	conn := r.agents[server]
	if conn == nil {
		conn = &agentConn{serverName: server, r: r, pending: make(map[string]withdrawal), err: errNotConnected}
		r.agents[server] = conn
	}

	return conn
}

// eachAgent calls fn for every connection without holding the lock.
func (r *Router) eachAgent(fn func(c *agentConn)) {
	r.agentsMu.Lock()
	agents := make([]*agentConn, 0, len(r.agents))
	for _, c := range r.agents {
		agents = append(agents, c)
	}
	r.agentsMu.Unlock()
	for _, c := range agents {
		fn(c)
	}
}
