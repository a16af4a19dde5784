// Package blamer keeps the crash record of one backend server: which request
// digests were in flight when it crashed, and which of them are to be reported.
// It has no I/O and is not safe for concurrent use.
package blamer

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings of a Blamer.
type Settings struct {
	// Suspicion is the time after a crash during which a digest that was in
	// flight runs alone.
	Suspicion time.Duration
	// Retention is the time for which a crash counts.
	Retention time.Duration
	// Limit is the most digests remembered.
	Limit int
}

// Defaults returns the settings of an agent.
func Defaults() Settings {
	return Settings{Suspicion: time.Minute, Retention: time.Hour, Limit: 4096}
}

// Validate reports every fault at once.
func (s Settings) Validate() error {
	var err error
	if s.Suspicion <= 0 {
		err = errors.Join(err, errors.Newf("suspicion: %s is not positive", s.Suspicion))
	}
	if s.Retention < s.Suspicion {
		err = errors.Join(err, errors.Newf("retention: %s is less than the suspicion of %s", s.Retention, s.Suspicion))
	}
	if s.Limit < 1 {
		err = errors.Join(err, errors.Newf("limit: %d is less than 1", s.Limit))
	}

	return err
}

// record counts the crashes at which a digest was in flight.
type record struct {
	crashes int
	last    time.Time
	cleared bool // ran alone to its end since the last crash
}

// Blamer is the crash record. Use New.
type Blamer struct {
	settings Settings
	running  map[string]int
	records  map[string]*record
}

// New returns an empty crash record.
func New(s Settings) (*Blamer, error) {
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("crash record: %w", err)
	}

	return &Blamer{settings: s, running: make(map[string]int), records: make(map[string]*record)}, nil
}

// Start notes that work of the digest was handed to the backend server. Work
// without a digest is not recorded.
func (b *Blamer) Start(digest string) {
	if digest != "" {
		b.running[digest]++
	}
}

// End notes that the work ended without a crash. If it ran alone to its end,
// the digest is no longer a suspect.
func (b *Blamer) End(digest string, alone bool) {
	if b.running[digest]--; b.running[digest] <= 0 {
		delete(b.running, digest)
	}
	if r := b.records[digest]; r != nil && alone {
		r.crashes, r.cleared = 0, true
	}
}

// Crash records a crash and returns the digests to report, those that were in
// flight at the most crashes so far: after a first crash all, later the repeated
// ones. Control blocks a digest at its second report. Every digest that was in
// flight becomes a suspect, so that a second crash finds it alone and does not
// count against its neighbours.
func (b *Blamer) Crash(now time.Time) []string {
	b.prune(now)
	var digests []string
	for digest := range b.running {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	clear(b.running)
	most := 1
	for _, digest := range digests {
		r := b.records[digest]
		if r == nil {
			r = &record{}
			b.records[digest] = r
		}
		r.crashes++
		r.last, r.cleared = now, false
		most = max(most, r.crashes)
	}
	b.trim()
	return slices.DeleteFunc(digests, func(d string) bool {
		r := b.records[d]

		return r == nil || r.crashes < most
	})
}

// Suspect reports whether work of the digest must run alone.
func (b *Blamer) Suspect(now time.Time, digest string) bool {
	r := b.records[digest]

	return r != nil && !r.cleared && now.Sub(r.last) < b.settings.Suspicion
}

// Running returns the number of digests in flight.
func (b *Blamer) Running() int { return len(b.running) }

// Suspects lists the digests that must run alone, sorted.
func (b *Blamer) Suspects(now time.Time) []string {
	var list []string
	for digest := range b.records {
		if b.Suspect(now, digest) {
			list = append(list, digest)
		}
	}
	slices.Sort(list)

	return list
}

func (b *Blamer) prune(now time.Time) {
	for digest, r := range b.records {
		if now.Sub(r.last) > b.settings.Retention {
			delete(b.records, digest)
		}
	}
}

// trim drops the oldest records over the limit.
func (b *Blamer) trim() {
	for len(b.records) > b.settings.Limit {
		oldest := ""
		for digest, r := range b.records {
			if oldest == "" || r.last.Before(b.records[oldest].last) {
				oldest = digest
			}
		}
		delete(b.records, oldest)
	}
}
