package pacer

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/defaulter"
)

// Settings configures a Pacer. Work is counted in a unit of the owner's choice, for example
// requests or blocks of memory. Full is required.
type Settings struct {
	// Full is the work in flight of a server in full use. A limit that has reached it ends.
	Full float64
	// Min is the first and the lowest limit.
	Min float64
	// Tolerance is how many times the expected time an answer may take.
	Tolerance float64
	// Adapt is the time constant with which lasting slowness becomes what is expected.
	Adapt time.Duration
	// Round is the minimum time between two decreases for slow answers, and between two
	// increases for progress.
	Round time.Duration
	// Expiry is the time without a slow or failed answer after which the limit ends, also if
	// the server got no work.
	Expiry time.Duration
	// MinProbe and MaxProbe bound the time between failed probes. The first one is sent at
	// once.
	MinProbe, MaxProbe time.Duration
}

const (
	defaultMin       = 1.0
	defaultTolerance = 1.5
	defaultAdapt     = 4 * time.Second
	defaultRound     = 100 * time.Millisecond
	defaultExpiry    = 10 * time.Second
	defaultMinProbe  = 250 * time.Millisecond
	defaultMaxProbe  = time.Second
)

// Defaults sets zero fields to their default values.
func (s *Settings) Defaults() {
	defaulter.Default(&s.Min, defaultMin)
	defaulter.Default(&s.Tolerance, defaultTolerance)
	defaulter.Default(&s.Adapt, defaultAdapt)
	defaulter.Default(&s.Round, defaultRound)
	defaulter.Default(&s.Expiry, defaultExpiry)
	defaulter.Default(&s.MinProbe, defaultMinProbe)
	defaulter.Default(&s.MaxProbe, defaultMaxProbe)
}

// Validate checks that all fields are in range.
func (s *Settings) Validate() error {
	if !(s.Min > 0) || !(s.Full >= s.Min) || !(s.Tolerance >= 1) {
		return errors.Newf("pacer settings: Min must be positive, Full not below it and Tolerance at least 1, got %g, %g and %g", s.Min, s.Full, s.Tolerance)
	}
	if s.Adapt <= 0 || s.Round <= 0 || s.Expiry <= 0 || s.MinProbe <= 0 || s.MaxProbe < s.MinProbe {
		return errors.New("pacer settings: durations must be positive, and MaxProbe not below MinProbe")
	}

	return nil
}
