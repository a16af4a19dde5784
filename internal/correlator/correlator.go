// Package correlator finds the requests that may make backend servers crash.
// Requests are identified by their digests. The package does no I/O.
package correlator

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings configures a Correlator.
type Settings struct {
	// SuspectTime is how long a digest that was in flight at a crash remains a
	// suspect.
	SuspectTime time.Duration
	// Retention is how long the crashes of a digest are remembered after the
	// latest one.
	Retention time.Duration
	// MaxDigests is the maximum number of digests remembered.
	MaxDigests int
}

// Defaults returns the settings that an agent uses.
func Defaults() Settings {
	return Settings{SuspectTime: time.Minute, Retention: time.Hour, MaxDigests: 4096}
}

// Validate returns one error that lists every invalid field.
func (s Settings) Validate() error {
	var err error
	if s.SuspectTime <= 0 {
		err = errors.Join(err, errors.Newf("suspect time must be positive, got %s", s.SuspectTime))
	}
	if s.Retention < s.SuspectTime {
		err = errors.Join(err, errors.Newf("retention %s must not be shorter than suspect time %s", s.Retention, s.SuspectTime))
	}
	if s.MaxDigests < 1 {
		err = errors.Join(err, errors.Newf("maximum number of digests must be at least 1, got %d", s.MaxDigests))
	}

	return err
}

// crashRecord holds the crashes at which a digest was in flight.
type crashRecord struct {
	crashes   int
	lastCrash time.Time
	cleared   bool // completed as a suspect since the last crash
}

// Correlator tracks the digests in flight at one backend server and how often each
// was in flight when the server crashed. It is not safe for concurrent use.
// Create one with New.
type Correlator struct {
	settings Settings
	inFlight map[string]int // running requests by digest
	records  map[string]*crashRecord
}

// New returns a Correlator that knows no crashes. It fails if the settings are
// invalid.
func New(s Settings) (*Correlator, error) {
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("invalid settings of crash tracking: %w", err)
	}

	return &Correlator{settings: s, inFlight: make(map[string]int), records: make(map[string]*crashRecord)}, nil
}

// Start records that a request was sent to the backend server. The flag suspect
// says that the digest was in flight at a crash of this or another server.
// Requests without a digest are ignored.
func (c *Correlator) Start(now time.Time, digest string, suspect bool) {
	if digest == "" {
		return
	}
	c.inFlight[digest]++
	if r := c.records[digest]; suspect && (r == nil || r.crashes == 0) {
		c.records[digest] = &crashRecord{crashes: 1, lastCrash: now}
		c.dropOldest()
	}
}

// End records that a request ended without a crash. If cleared is set, the
// earlier crashes of the digest no longer count and it is no longer a suspect.
func (c *Correlator) End(digest string, cleared bool) {
	if c.inFlight[digest]--; c.inFlight[digest] <= 0 {
		delete(c.inFlight, digest)
	}
	if r := c.records[digest]; r != nil && cleared {
		r.crashes, r.cleared = 0, true
	}
}

// RecordCrash records a crash of the backend server and returns the digests to report.
// These are the digests in flight that have the highest number of crashes: after a
// first crash all of them, after later ones only the repeated ones. Control blocks a
// digest at its second report.
//
// Every digest that was in flight becomes a suspect. Suspects must not run
// concurrently, so that a second crash identifies a single digest and is not
// counted against requests that merely ran at the same time.
func (c *Correlator) RecordCrash(now time.Time) []string {
	c.dropExpired(now)
	var digests []string
	for digest := range c.inFlight {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	clear(c.inFlight)
	maxCrashes := 1
	for _, digest := range digests {
		r := c.records[digest]
		if r == nil {
			r = &crashRecord{}
			c.records[digest] = r
		}
		r.crashes++
		r.lastCrash, r.cleared = now, false
		maxCrashes = max(maxCrashes, r.crashes)
	}
	c.dropOldest()
	return slices.DeleteFunc(digests, func(d string) bool {
		r := c.records[d]

		return r == nil || r.crashes < maxCrashes
	})
}

// IsSuspect reports whether the digest is a suspect, which must not run concurrently
// with other suspects.
func (c *Correlator) IsSuspect(now time.Time, digest string) bool {
	r := c.records[digest]

	return r != nil && !r.cleared && now.Sub(r.lastCrash) < c.settings.SuspectTime
}

// Running returns the number of distinct digests in flight.
func (c *Correlator) Running() int { return len(c.inFlight) }

// Suspects returns all suspects in sorted order.
func (c *Correlator) Suspects(now time.Time) []string {
	var list []string
	for digest := range c.records {
		if c.IsSuspect(now, digest) {
			list = append(list, digest)
		}
	}
	slices.Sort(list)

	return list
}

// dropExpired removes records whose last crash is older than the retention.
func (c *Correlator) dropExpired(now time.Time) {
	for digest, r := range c.records {
		if now.Sub(r.lastCrash) > c.settings.Retention {
			delete(c.records, digest)
		}
	}
}

// dropOldest removes the records with the oldest last crash while there are more
// than MaxDigests.
func (c *Correlator) dropOldest() {
	for len(c.records) > c.settings.MaxDigests {
		oldest := ""
		for digest, r := range c.records {
			if oldest == "" || r.lastCrash.Before(c.records[oldest].lastCrash) {
				oldest = digest
			}
		}
		delete(c.records, oldest)
	}
}
