package messenger

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/budgeter"
	"github.com/damasklever/damasklever/internal/surveyor"
)

const (
	// memoryShare is the share of the process's memory for messages that are being received
	// and for streams, and sessionShare that of its descriptors for sessions: one part in so
	// many.
	memoryShare  = 4
	sessionShare = 2

	// streamCost is about what a stream holds without a message.
	streamCost = 16 << 10 // bytes

	// copiesOfMessage is how often a message is in memory while it is received: in a buffer
	// and decoded.
	copiesOfMessage = 2

	// noPatience lets a new session replace one without a message, however new.
	noPatience = time.Nanosecond
)

// Limits bounds what a Listener holds for its peers. Fields that are zero get their defaults.
type Limits struct {
	// Memory is how many bytes of memory the process may use. A quarter of them are for
	// messages that are being received and for open streams.
	Memory int64
	// Sessions is the maximum number of sessions. If there are more, the oldest ones on which
	// no message was received are closed.
	Sessions int64
	// Registry gets the metrics of messages and sessions; nil for none.
	Registry prometheus.Registerer
}

// Defaults sets the fields that are zero.
func (l *Limits) Defaults() {
	if l.Memory == 0 {
		l.Memory = surveyor.Memory()
	}
	if l.Sessions == 0 {
		l.Sessions = max(1, surveyor.Descriptors()/sessionShare)
	}
}

// budgets bound what all peers hold together.
type budgets struct {
	memory   *budgeter.Budget // bytes
	sessions *budgeter.Budget // number of sessions
}

func newBudgets(l Limits) (budgets, error) {
	l.Defaults()
	memory, err := budgeter.New(budgeter.Settings{Name: "messages", Limit: l.Memory / memoryShare, Clock: budgeter.SystemClock{}})
	if err != nil {
		return budgets{}, errors.Newf("set up budget of memory: %w", err)
	}
	sessions, err := budgeter.New(budgeter.Settings{Name: "sessions", Limit: l.Sessions, Patience: noPatience, Clock: budgeter.SystemClock{}})
	if err != nil {
		return budgets{}, errors.Newf("set up budget of sessions: %w", err)
	}

	for _, budget := range []*budgeter.Budget{memory, sessions} {
		if l.Registry == nil {
			break
		}
		if err := l.Registry.Register(budget); err != nil {
			return budgets{}, errors.Newf("register metrics of budgets: %w", err)
		}
	}

	return budgets{memory: memory, sessions: sessions}, nil
}

// admitSession counts a session. It closes the connection and returns nil if there is no room.
func (b budgets) admitSession(conn net.Conn) *budgeter.Hold {
	hold := b.sessions.Open(func(error) { go func() { _ = conn.Close() }() })
	if hold.Grow(1) != nil {
		hold.Close()
		_ = conn.Close()

		return nil
	}

	return hold
}

// admitStream counts a stream of a session. It returns nil if there is no room.
func (b budgets) admitStream(inner *yamux.Stream, session *budgeter.Hold) *streamHold {
	h := &streamHold{budget: b.memory, session: session, abort: func() { _ = abort(inner) }}
	h.hold = b.memory.Open(func(error) { go h.abort() })
	if h.hold.Grow(streamCost) != nil {
		h.close()

		return nil
	}

	return h
}

// streamHold counts what a stream holds. A stream without a complete message, and a message
// that is incomplete, is dropped for another one.
type streamHold struct {
	budget  *budgeter.Budget
	hold    *budgeter.Hold
	session *budgeter.Hold
	abort   func() // breaks the stream
	once    sync.Once
}

// openMessage counts the next message.
func (h *streamHold) openMessage() *budgeter.Hold {
	if h == nil {
		return nil
	}

	return h.budget.Open(func(error) { go h.abort() })
}

// received is called after each message.
func (h *streamHold) received() {
	if h == nil {
		return
	}
	h.once.Do(func() {
		_ = h.hold.Complete()
		_ = h.session.Complete()
	})
}

func (h *streamHold) close() {
	if h != nil {
		h.hold.Close()
	}
}
