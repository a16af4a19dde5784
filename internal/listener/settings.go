package listener

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Settings of a Listener.
type Settings struct {
	Listen   string        // ip:port for callers
	Body     int64         // most bytes of a request body
	Header   int           // most bytes of the request line and the headers
	Head     time.Duration // a caller that has not finished a header for this long gets 408
	Idle     time.Duration // an idle connection, or one that sends a request slowly, is closed
	Stall    time.Duration // a caller that reads nothing for this long is disconnected
	Buffer   int           // most bytes of responses that wait for a slow caller
	Pipeline int           // most requests that wait on one connection
	Log      *log.Logger
}

// defaultHead is some round trips over a bad line, and short enough that callers who
// never finish do not use up the connections.
const defaultHead = 10 * time.Second

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	defaults(&s.Listen, "127.0.0.1:8080")
	defaults(&s.Body, 4<<20)
	defaults(&s.Header, 32<<10)
	defaults(&s.Head, defaultHead)
	defaults(&s.Idle, 2*time.Minute)
	defaults(&s.Stall, 30*time.Second)
	defaults(&s.Buffer, 72<<20) // above the largest message of an agent
	defaults(&s.Pipeline, 8)
	if s.Log == nil {
		s.Log = &log.Logger{Level: log.PanicLevel}
	}
}

func defaults[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns every fault at once, joined.
func (s *Settings) Validate() error {
	var faults []error
	positive := func(name string, value int64) {
		if value <= 0 {
			faults = append(faults, errors.Newf("%s: got %d, want more than 0", name, value))
		}
	}
	if s.Listen == "" {
		faults = append(faults, errors.New("listen: no address"))
	}
	positive("body", s.Body)
	positive("header", int64(s.Header))
	positive("head", int64(s.Head))
	positive("idle", int64(s.Idle))
	positive("stall", int64(s.Stall))
	positive("buffer", int64(s.Buffer))
	positive("pipeline", int64(s.Pipeline))

	return errors.Join(faults...)
}
