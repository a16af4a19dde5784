package picker

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Settings configures a Picker.
type Settings struct {
	Seed               uint64        // seed of the random sampling
	SampleSize         int           // servers considered in the own data centre, and half as many each in the region and anywhere
	CentreDelay        time.Duration // one-way delay between data centres of a region
	RegionDelay        time.Duration // one-way delay between regions
	CrossRegion        time.Duration // wait accepted to avoid sending a prompt to another region, which is billed
	CrossRegionKVCache time.Duration // wait accepted to avoid sending a KV cache to another region, which is billed
	MaxScoreDifference time.Duration // candidates in another region whose score is worse than the best by more are not asked
	Prefill            time.Duration // prefill time of one block, which a cache hit saves
	Backoff            time.Duration // after the first failure, doubled with each consecutive one
	MaxBackoff         time.Duration // upper limit of the back-off
	StaleAfter         time.Duration // older load reports are ignored
	MaxPrefixes        int           // maximum number of prefix hashes remembered
}

// Defaults returns the settings of the current deployments.
func Defaults() Settings {
	return Settings{
		SampleSize:         2,
		CentreDelay:        1500 * time.Microsecond,
		RegionDelay:        12 * time.Millisecond,
		CrossRegion:        100 * time.Millisecond,
		CrossRegionKVCache: 2 * time.Second,
		MaxScoreDifference: 50 * time.Millisecond,
		Prefill:            200 * time.Millisecond,
		Backoff:            250 * time.Millisecond,
		MaxBackoff:         30 * time.Second,
		StaleAfter:         5 * time.Second,
		MaxPrefixes:        1 << 16,
	}
}

// Validate reports the first invalid field.
func (s Settings) Validate() error {
	if s.SampleSize <= 0 || s.SampleSize > maxSampleSize {
		return errors.Newf("sample size: got %d servers, want 1 to %d", s.SampleSize, maxSampleSize)
	}
	if s.Backoff <= 0 || s.MaxBackoff < s.Backoff {
		return errors.Newf("back-off: got %s up to %s, want more than 0 and a maximum that is not lower", s.Backoff, s.MaxBackoff)
	}
	if s.StaleAfter <= 0 {
		return errors.Newf("age of stale reports: got %s, want more than 0", s.StaleAfter)
	}
	if s.MaxPrefixes <= 0 {
		return errors.Newf("prefix index: got %d hashes, want at least 1", s.MaxPrefixes)
	}
	if min(s.CentreDelay, s.RegionDelay, s.CrossRegion, s.CrossRegionKVCache, s.MaxScoreDifference, s.Prefill) < 0 {
		return errors.New("delays and costs: got a negative one, want at least 0")
	}

	return nil
}
