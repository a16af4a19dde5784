package admitter

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Rank holds the targets of one priority class.
type Rank struct {
	First time.Duration // target of the first token
	Gap   time.Duration // target between tokens, 0 for none
	Share int           // most percent of the rank that one caller may take while others wait
}

// Settings of an Admitter. Ranks are ordered, the most urgent first.
type Settings struct {
	Ranks   []Rank
	Window  time.Duration // over which recent attempts and shares are counted
	Retries float64       // retries allowed as a fraction of recent first attempts
	Spare   float64       // retries always allowed within the window, the requests that one lost server held
	Unknown time.Duration // least time to retry in a refusal
	Prefill float64       // prompt tokens a second of one server, until one reports a rate
	Fixed   time.Duration // first-token time besides queue and prefill: messages and transfer
}

// Defaults returns settings with the three ranks of the current deployments.
func Defaults() Settings {
	return Settings{
		Ranks: []Rank{
			{First: 2 * time.Second, Gap: 75 * time.Millisecond, Share: 50},
			{First: 6 * time.Second, Gap: 150 * time.Millisecond, Share: 50},
			{First: 30 * time.Second, Gap: 300 * time.Millisecond, Share: 50},
		},
		Window:  10 * time.Second,
		Retries: 0.1,
		Spare:   20,
		Unknown: 250 * time.Millisecond,
		Prefill: 10000,
		Fixed:   50 * time.Millisecond,
	}
}

// Validate reports the first invalid field.
func (s Settings) Validate() error {
	if len(s.Ranks) == 0 {
		return errors.New("ranks: none given")
	}
	for i, r := range s.Ranks {
		if r.First <= 0 || r.Gap < 0 {
			return errors.Newf("rank %d targets: first %s, gap %s, want more than 0", i, r.First, r.Gap)
		}
		if r.Share < 1 || r.Share > 100 {
			return errors.Newf("rank %d share: %d%%, want 1 to 100", i, r.Share)
		}
	}
	if s.Window <= 0 {
		return errors.Newf("window: %s, want more than 0", s.Window)
	}
	if s.Retries < 0 || s.Retries > 1 || s.Spare < 0 {
		return errors.Newf("retries: %g and %g, want a fraction and a count", s.Retries, s.Spare)
	}
	if s.Prefill <= 0 {
		return errors.Newf("prefill: %g tokens/s, want more than 0", s.Prefill)
	}
	if s.Unknown <= 0 || s.Fixed < 0 {
		return errors.Newf("unknown %s, fixed %s: want positive times", s.Unknown, s.Fixed)
	}

	return nil
}
