// Package subscriber is the control-plane client in entries and agents. It holds
// the last view of the configuration, exchanges heartbeats with one control host
// and proposes commands.
package subscriber

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Stream is one ordered exchange of messages.
type Stream interface {
	Send(m proto.Message) error
	Recv(m proto.Message) error
	Close() error
}

// Session is a connection to one control host.
type Session interface {
	Open(ctx context.Context) (Stream, error)
	Close() error
}

// Dial connects to a control host, "ip:port".
type Dial func(ctx context.Context, addr string) (Session, error)

// Settings configure a Subscriber.
type Settings struct {
	// Hosts are the addresses of the control hosts, "ip:port".
	Hosts []string
	// Attach names and registers the process; its index is set by the subscriber.
	Attach *wire.Attach
	// Dial defaults to the messenger.
	Dial Dial
	// Flights returns the requests in flight for the next heartbeat; may be nil.
	Flights func() []*wire.Flight
	// Leaving reports whether the process is shutting down; may be nil.
	Leaving func() bool
	Log     *log.Logger
	// Beat is the time between heartbeats.
	Beat time.Duration
	// Stale is the age of the quorum's lease, and of the last message, beyond
	// which the subscriber switches to another control host.
	Stale time.Duration
	// MinWait and MaxWait bound the wait between attempts to connect.
	MinWait, MaxWait time.Duration
	// Answer is how long one control host has to answer a command.
	Answer time.Duration
}

// Subscriber holds the view. Its methods may be called from any goroutine.
type Subscriber struct{}

// New checks the settings and returns a subscriber that Start connects.
func New(s Settings, t timer.Service) (*Subscriber, error) { return &Subscriber{}, nil }

// Start begins to connect; it returns at once.
func (s *Subscriber) Start() {}

// Close ends the subscription. The last view stays readable.
func (s *Subscriber) Close() {}

// Done is closed when every goroutine has ended after Close.
func (s *Subscriber) Done() <-chan struct{} { return nil }

// View returns the current view, which never changes; it is empty with index 0
// before the first update.
func (s *Subscriber) View() *View { return &View{} }

// Changed returns a channel that is closed when the view is replaced. Take the
// channel first and read the view after it.
func (s *Subscriber) Changed() <-chan struct{} { return nil }

// Fresh reports whether a control host in touch with a quorum has confirmed the
// view within the Stale setting.
func (s *Subscriber) Fresh(now time.Time) bool { return false }

// Propose sends a command, which needs an id, until a control host gives its
// result. On an error a *ProposeError tells whether it may have been stored.
func (s *Subscriber) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	return nil, nil
}

// ProposeError says that a command got no final result.
type ProposeError struct {
	ID string
	// Stored reports whether the command may have been, or may yet be, stored.
	Stored bool
	Cause  error
}

// Error implements error.
func (e *ProposeError) Error() string { return "" }

// Unwrap returns the cause.
func (e *ProposeError) Unwrap() error { return e.Cause }
