package picker

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Settings of a Picker.
type Settings struct {
	Seed    uint64        // of the sampling
	Sample  int           // servers looked at in each of: own centre, own region, elsewhere
	Centres time.Duration // one-way delay between data centres of a region
	Regions time.Duration // one-way delay between regions
	Paid    time.Duration // wait that is accepted to avoid a prompt in billed traffic
	Cross   time.Duration // wait that is accepted to avoid KV cache in billed traffic
	Spread  time.Duration // candidates worse than the best by more are not asked
	Prefill time.Duration // time of the prefill of one piece, which a cache hit saves
	Backoff time.Duration // after the first failure, doubled for each one that follows
	Longest time.Duration // longest back-off
	Stale   time.Duration // a load report older than this counts as no information
	Cache   int           // most prefix hashes remembered
}

// Defaults returns the settings of the current deployments.
func Defaults() Settings {
	return Settings{
		Sample:  2,
		Centres: 1500 * time.Microsecond,
		Regions: 12 * time.Millisecond,
		Paid:    100 * time.Millisecond,
		Cross:   2 * time.Second,
		Spread:  50 * time.Millisecond,
		Prefill: 200 * time.Millisecond,
		Backoff: 250 * time.Millisecond,
		Longest: 30 * time.Second,
		Stale:   5 * time.Second,
		Cache:   1 << 16,
	}
}

// Validate reports the first invalid field.
func (s Settings) Validate() error {
	if s.Sample <= 0 || s.Sample > maxSample {
		return errors.Newf("sample: %d servers, want 1 to %d", s.Sample, maxSample)
	}
	if s.Backoff <= 0 || s.Longest < s.Backoff {
		return errors.Newf("backoff: %s up to %s, want more than 0 and ascending", s.Backoff, s.Longest)
	}
	if s.Stale <= 0 {
		return errors.Newf("stale: %s, want more than 0", s.Stale)
	}
	if s.Cache <= 0 {
		return errors.Newf("cache: %d hashes, want at least 1", s.Cache)
	}
	if min(s.Centres, s.Regions, s.Paid, s.Cross, s.Spread, s.Prefill) < 0 {
		return errors.New("delays: negative")
	}

	return nil
}
