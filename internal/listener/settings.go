package listener

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/surveyor"
)

// Settings of a Listener.
type Settings struct {
	Listen        string        // ip:port for callers
	MaxBody       int64         // maximum size of a request body in bytes
	MaxHeader     int           // maximum size of the request line and the headers in bytes
	HeaderTimeout time.Duration // a caller that takes longer to send the headers gets status 408
	IdleTimeout   time.Duration // closes an idle connection, or one that sends a request slowly
	StallTimeout  time.Duration // closes a connection whose caller reads nothing for this long
	MaxBuffered   int           // maximum number of response bytes buffered for a slow caller
	MaxPipelined  int           // maximum number of requests queued on one connection
	// Memory is how many bytes of memory the process may use. A quarter of them are for
	// requests and an eighth for answers that callers have not read.
	Memory int64
	// MaxConnections is the maximum number of connections. If there are more, those that wait
	// longest for a request are closed.
	MaxConnections int64
	Log            *log.Logger
	Registry       prometheus.Registerer // optional
}

// defaultHeaderTimeout allows for several round trips over a bad line and is short enough
// that callers who never finish a header do not use up the connections.
const defaultHeaderTimeout = 10 * time.Second

// connectionShare leaves descriptors for the process's own connections: callers get one part in
// so many.
const connectionShare = 2

// Defaults sets the fields that are zero to their defaults.
func (s *Settings) Defaults() {
	setDefault(&s.Listen, "127.0.0.1:8080")
	setDefault(&s.MaxBody, 4<<20)
	setDefault(&s.MaxHeader, 32<<10)
	setDefault(&s.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&s.IdleTimeout, 2*time.Minute)
	setDefault(&s.StallTimeout, 30*time.Second)
	setDefault(&s.MaxBuffered, 72<<20) // more than the largest message from an agent
	setDefault(&s.MaxPipelined, 8)
	setDefault(&s.Memory, surveyor.Memory())
	setDefault(&s.MaxConnections, surveyor.Descriptors()/connectionShare)
	if s.Log == nil {
		s.Log = &log.Logger{Level: log.PanicLevel}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns all errors in the settings, joined.
func (s *Settings) Validate() error {
	var errs []error
	positive := func(name string, value int64) {
		if value <= 0 {
			errs = append(errs, errors.Newf("%s: got %d, want a positive value", name, value))
		}
	}
	if s.Listen == "" {
		errs = append(errs, errors.New("listen: no address"))
	}
	positive("body", s.MaxBody)
	positive("header", int64(s.MaxHeader))
	positive("head", int64(s.HeaderTimeout))
	positive("idle", int64(s.IdleTimeout))
	positive("stall", int64(s.StallTimeout))
	positive("buffer", int64(s.MaxBuffered))
	positive("pipeline", int64(s.MaxPipelined))
	positive("memory", s.Memory)
	positive("connections", s.MaxConnections)

	return errors.Join(errs...)
}
