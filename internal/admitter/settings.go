package admitter

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Rank holds the latency targets of one priority class.
type Rank struct {
	First    time.Duration // target time to first token
	TokenGap time.Duration // target time between tokens, 0 for none
	Share    int           // percentage of the rank's work that one caller may use while others wait
}

// Settings configures an Admitter. Ranks are ordered, the most urgent first.
type Settings struct {
	Ranks         []Rank
	Window        time.Duration // period over which attempts and shares are counted
	RetryRatio    float64       // retries allowed as a fraction of recent first attempts
	MinRetries    float64       // retries always allowed within the window: the number of requests that a failed server may hold
	MinRetryAfter time.Duration // minimum retry delay that a rejection announces
	Prefill       float64       // prompt tokens per second of a server, used until a server reports its rate
	FixedOverhead time.Duration // part of the time to first token that is neither queue nor prefill: messages and transfer
}

// Defaults returns the settings of the current deployments, which have three ranks.
func Defaults() Settings {
	return Settings{
		Ranks: []Rank{
			{First: 2 * time.Second, TokenGap: 75 * time.Millisecond, Share: 50},
			{First: 6 * time.Second, TokenGap: 150 * time.Millisecond, Share: 50},
			{First: 30 * time.Second, TokenGap: 300 * time.Millisecond, Share: 50},
		},
		Window:        10 * time.Second,
		RetryRatio:    0.1,
		MinRetries:    20,
		MinRetryAfter: 250 * time.Millisecond,
		Prefill:       10000,
		FixedOverhead: 50 * time.Millisecond,
	}
}

// Validate reports the first invalid field.
func (s Settings) Validate() error {
	if len(s.Ranks) == 0 {
		return errors.New("ranks: got none, want at least 1")
	}
	for i, r := range s.Ranks {
		if r.First <= 0 || r.TokenGap < 0 {
			return errors.Newf("rank %d targets: got first token %s and gap %s, want more than 0 and at least 0", i, r.First, r.TokenGap)
		}
		if r.Share < 1 || r.Share > 100 {
			return errors.Newf("rank %d share: got %d%%, want 1 to 100", i, r.Share)
		}
	}
	if s.Window <= 0 {
		return errors.Newf("window: got %s, want more than 0", s.Window)
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 || s.MinRetries < 0 {
		return errors.Newf("retry budget: got ratio %g and minimum %g, want 0 to 1 and at least 0", s.RetryRatio, s.MinRetries)
	}
	if s.Prefill <= 0 {
		return errors.Newf("prefill rate: got %g tokens/s, want more than 0", s.Prefill)
	}
	if s.MinRetryAfter <= 0 || s.FixedOverhead < 0 {
		return errors.Newf("minimum retry delay %s and fixed overhead %s: want more than 0 and at least 0", s.MinRetryAfter, s.FixedOverhead)
	}

	return nil
}
