// Package imitator provides a fake inference engine and a fake plain service
// for tests and the demo. Both speak HTTP with JSON bodies on loopback and keep
// all state in memory.
package imitator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// PieceTokens is the size of one memory piece in tokens.
const PieceTokens = 2048

// EngineSettings describes one fake engine. Rates are per second.
type EngineSettings struct {
	Name        string        // stays over crashes; random if empty
	Role        string        // prefill or decode; an order can change it
	Pieces      int64         // memory for requests
	Cache       int           // prefix hashes kept
	PrefillRate float64       // uncached tokens
	DecodeRate  float64       // tokens of each stream
	LinkRate    float64       // tokens of KV cache exported over all links
	Keep        time.Duration // time until an unused prefill result is evicted
	EventDelay  time.Duration // delay of cache events
	EventGap    int           // every EventGap-th cache event is lost, 0 for none
	LoadDelay   time.Duration // age of the load report
	CheckFence  bool          // reject engine orders with a stale fencing token
	Restart     time.Duration // time that a crashed engine is down
	Crash       string        // a prompt that contains this text crashes the engine
	LoadTime    time.Duration // time that an engine order takes
}

// Defaults fills the fields that are zero.
func (s *EngineSettings) Defaults() {
	setDefault(&s.Name, "engine-"+strconv.FormatUint(rand.Uint64(), 36)) //nolint:gosec // no secret
	setDefault(&s.Role, "decode")
	setDefault(&s.Pieces, 40)
	setDefault(&s.Cache, 256)
	setDefault(&s.PrefillRate, 40_000)
	setDefault(&s.DecodeRate, 60)
	setDefault(&s.LinkRate, 400_000)
	setDefault(&s.Keep, 800*time.Millisecond)
	setDefault(&s.EventDelay, 200*time.Millisecond)
	setDefault(&s.LoadDelay, 500*time.Millisecond)
	setDefault(&s.Restart, 500*time.Millisecond)
	setDefault(&s.Crash, "[crash]")
	setDefault(&s.LoadTime, 50*time.Millisecond)
}

// Validate reports every fault at once.
func (s *EngineSettings) Validate() error {
	var err error
	if s.Role != "prefill" && s.Role != "decode" {
		err = errors.Join(err, errors.Newf("role %q is neither prefill nor decode", s.Role))
	}
	if s.Pieces < 1 {
		err = errors.Join(err, errors.Newf("pieces %d is less than 1", s.Pieces))
	}
	if s.PrefillRate <= 0 || s.DecodeRate <= 0 || s.LinkRate <= 0 {
		err = errors.Join(err, errors.New("a rate is not positive"))
	}
	if s.EventGap < 0 {
		err = errors.Join(err, errors.Newf("event gap %d is negative", s.EventGap))
	}

	return err
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
