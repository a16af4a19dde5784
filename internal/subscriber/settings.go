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

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	defaultBeat = 2 * time.Second
	// defaultStale is three heartbeats: one lost or late heartbeat must not make
	// all processes of a host move at once.
	defaultStale   = 6 * time.Second
	defaultMinWait = 100 * time.Millisecond
	defaultMaxWait = 5 * time.Second
	// defaultAnswer is longer than a control host waits for a commit and for its
	// leader, so that a host that answers "pending" is heard.
	defaultAnswer = 10 * time.Second
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

// Settings configure a Subscriber or a Client.
type Settings struct {
	// Hosts are the addresses of the control hosts, "ip:port".
	Hosts []string
	// Attach names and registers the process; its index is set by the subscriber.
	// A Client has none.
	Attach *wire.Attach
	// Dial defaults to the messenger.
	Dial Dial
	// Flights returns the requests in flight for the next heartbeat; may be nil.
	// It must not block. The 100 that are the most late are reported.
	Flights func() []*wire.Flight
	// Leaving reports whether the process is shutting down; may be nil. It must
	// not block.
	Leaving func() bool
	// Listing takes the host list that a control host passes on, the first message of a
	// connection or a later one; nil if the process needs none. It must not block.
	Listing func(first bool, m *wire.Listing)
	// Usages returns what customers have used here, for the next heartbeat; may be nil. It
	// must not block.
	Usages func() []*wire.Usage
	// Allot takes what this process may admit of customers, and the number of entries; nil
	// if it serves none. It must not block.
	Allot func(entries int, allotments []*wire.Allotment)
	// Log receives one line an event; nil discards them.
	Log *log.Logger
	// Beat is the time between heartbeats.
	Beat time.Duration
	// Stale is the age of the quorum's lease, and of the last message, beyond
	// which the subscriber switches to another control host.
	Stale time.Duration
	// MinWait and MaxWait bound the wait between attempts to connect.
	MinWait, MaxWait time.Duration
	// Answer is how long one control host has to answer a command.
	Answer time.Duration
	// Rand returns numbers from 0 to 1 for the first host and for jitter, so that
	// processes that lose a host at the same time do not move together.
	Rand func() float64
}

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	if s.Dial == nil {
		s.Dial = dialMessenger
	}
	if s.Log == nil {
		s.Log = reporter.Discard()
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
	if s.Allot == nil {
		s.Allot = func(int, []*wire.Allotment) {}
	}
	if s.Leaving == nil {
		s.Leaving = func() bool { return false }
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.Beat, defaultBeat},
		{&s.Stale, defaultStale},
		{&s.MinWait, defaultMinWait},
		{&s.MaxWait, defaultMaxWait},
		{&s.Answer, defaultAnswer},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	var faults []error
	add := func(bad bool, text string) {
		if bad {
			faults = append(faults, errors.New(text))
		}
	}
	add(len(s.Hosts) == 0, "hosts: at least one control host is needed")
	add(slices.ContainsFunc(s.Hosts, func(h string) bool {
		_, _, err := net.SplitHostPort(h)

		return err != nil
	}), "hosts: want ip:port for each")
	add(s.Beat <= 0 || s.MinWait <= 0 || s.Answer <= 0, "durations: must be positive")
	add(s.Stale <= s.Beat, "stale: must be longer than beat")
	add(s.MaxWait < s.MinWait, "maxwait: must not be shorter than minwait")
	if err := errors.Join(faults...); err != nil {
		return errors.Newf("settings of subscriber: %w", err)
	}

	return nil
}

func (s *Settings) validateAttach() error {
	if s.Attach.GetName() == "" || (s.Attach.GetRole() != "entry" && s.Attach.GetRole() != "agent") {
		return errors.New("settings of subscriber: attach needs a name and the role entry or agent")
	}

	return nil
}

// session adapts a messenger session.
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

// backoff doubles the wait after each failure. The jitter takes up to half off.
type backoff struct {
	min, max, next time.Duration
	rand           func() float64
}

func newBackoff(s *Settings) backoff { return backoff{min: s.MinWait, max: s.MaxWait, rand: s.Rand} }

func (b *backoff) wait() time.Duration {
	b.next = min(max(b.next*2, b.min), b.max)

	return b.next - time.Duration(b.rand()*float64(b.next)/2)
}

func (b *backoff) reset() { b.next = 0 }
