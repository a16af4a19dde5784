package subscriber

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	defaultHeartbeatInterval = 2 * time.Second
	// defaultStaleAfter is three heartbeat intervals: a single lost or late heartbeat
	// must not make all processes attached to a host switch to other hosts at once.
	defaultStaleAfter = 6 * time.Second
	defaultMinBackoff = 100 * time.Millisecond
	defaultMaxBackoff = 5 * time.Second
	// defaultResponseTimeout is longer than a control host waits for a commit and for
	// its leader, so that its result "pending" is received before the timeout.
	defaultResponseTimeout = 10 * time.Second
)

// Stream is one ordered stream of messages in each direction.
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

// Settings configures a Subscriber or a Client.
type Settings struct {
	// Hosts are the addresses of the control hosts, "ip:port".
	Hosts []string
	// Attach identifies and registers the process; the subscriber sets its index. A
	// Client does not use it.
	Attach *wire.Attach
	// Dial connects to a control host; the default is messenger.Dial.
	Dial Dial
	// Flights returns the requests in flight for the next heartbeat; may be nil. It
	// must not block. Only the 100 requests furthest past their target are reported.
	Flights func() []*wire.Flight
	// Leaving reports whether the process is shutting down; may be nil. It must
	// not block.
	Leaving func() bool
	// Listing receives the host list that a control host forwards; nil if the process
	// does not need it. first is true for the first list on a connection. It must not
	// block.
	Listing func(first bool, m *wire.Listing)
	// Usages returns what customers have used on this process, for the next heartbeat;
	// may be nil. It must not block.
	Usages func() []*wire.Usage
	// SetAllotments receives the number of entries and the share of each customer's
	// quota that this process may admit; nil if it serves no customers. It must not
	// block.
	SetAllotments func(entries int, allotments []*wire.Allotment)
	// Throttles returns what this process knows of servers that limit their requests, for
	// the next heartbeat; may be nil. It must not block.
	Throttles func() []*wire.Throttle
	// SetGrants receives how many requests this process may send to such servers; may be
	// nil. It must not block.
	SetGrants func(grants []*wire.RequestGrant)
	// Log is the logger for connection events; if nil, nothing is logged.
	Log *log.Logger
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// StaleAfter is the maximum time since the control host last had contact with a
	// quorum, and since its last message. If either is exceeded, the subscriber
	// switches to another control host.
	StaleAfter time.Duration
	// MinBackoff and MaxBackoff are the limits of the backoff between connection
	// attempts.
	MinBackoff, MaxBackoff time.Duration
	// ResponseTimeout is the time after which a request to one control host times out.
	ResponseTimeout time.Duration
	// Rand returns random numbers from 0 to 1. They select the first host and the jitter
	// of the backoff, so that processes which lose a host at the same time do not all
	// reconnect at the same time.
	Rand func() float64
}

// Defaults sets the fields that are zero.
func (s *Settings) Defaults() {
	if s.Dial == nil {
		s.Dial = dialMessenger
	}
	if s.Log == nil {
		s.Log = logger.Discard()
	}
	if s.Rand == nil {
		s.Rand = rand.Float64
	}
	if s.Flights == nil {
		s.Flights = func() []*wire.Flight { return nil }
	}
	if s.Usages == nil {
		s.Usages = func() []*wire.Usage { return nil }
	}
	if s.SetAllotments == nil {
		s.SetAllotments = func(int, []*wire.Allotment) {}
	}
	if s.Throttles == nil {
		s.Throttles = func() []*wire.Throttle { return nil }
	}
	if s.SetGrants == nil {
		s.SetGrants = func([]*wire.RequestGrant) {}
	}
	if s.Leaving == nil {
		s.Leaving = func() bool { return false }
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.HeartbeatInterval, defaultHeartbeatInterval},
		{&s.StaleAfter, defaultStaleAfter},
		{&s.MinBackoff, defaultMinBackoff},
		{&s.MaxBackoff, defaultMaxBackoff},
		{&s.ResponseTimeout, defaultResponseTimeout},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// Validate reports all invalid settings in one error.
func (s *Settings) Validate() error {
	var errs []error
	add := func(bad bool, text string) {
		if bad {
			errs = append(errs, errors.New(text))
		}
	}
	add(len(s.Hosts) == 0, "hosts: at least one control host is required")
	add(slices.ContainsFunc(s.Hosts, func(h string) bool {
		_, _, err := net.SplitHostPort(h)

		return err != nil
	}), "hosts: want ip:port for each")
	add(s.HeartbeatInterval <= 0 || s.MinBackoff <= 0 || s.ResponseTimeout <= 0,
		"heartbeat interval, minimum backoff and response timeout: must be positive")
	add(s.StaleAfter <= s.HeartbeatInterval, "stale after: must be longer than the heartbeat interval")
	add(s.MaxBackoff < s.MinBackoff, "maximum backoff: must not be shorter than the minimum backoff")
	if err := errors.Join(errs...); err != nil {
		return errors.Newf("subscriber settings: %w", err)
	}

	return nil
}

func (s *Settings) validateAttach() error {
	if s.Attach.GetName() == "" || (s.Attach.GetRole() != "entry" && s.Attach.GetRole() != "agent") {
		return errors.New("subscriber settings: attach: must have a name and the role entry or agent")
	}

	return nil
}

// session adapts a messenger.Session to Session.
type session struct{ *messenger.Session }

// Open implements Session.
func (s session) Open(ctx context.Context) (Stream, error) {
	stream, err := s.Session.Open(ctx)
	if err != nil {
		return nil, errors.Newf("open stream to control: %w", err)
	}

	return stream, nil
}

func dialMessenger(ctx context.Context, addr string) (Session, error) {
	s, err := messenger.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Newf("connect to control: %w", err)
	}

	return session{s}, nil
}

// backoff doubles the wait after each failure, up to max. Random jitter shortens each
// wait by up to half.
type backoff struct {
	min, max, current time.Duration
	rand              func() float64
}

func newBackoff(s *Settings) backoff {
	return backoff{min: s.MinBackoff, max: s.MaxBackoff, rand: s.Rand}
}

// wait returns the time to wait before the next attempt.
func (b *backoff) wait() time.Duration {
	b.current = min(max(b.current*2, b.min), b.max)

	return b.current - time.Duration(b.rand()*float64(b.current)/2)
}

func (b *backoff) reset() { b.current = 0 }
