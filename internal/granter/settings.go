package granter

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Rank holds the settings of one priority class.
type Rank struct {
	Floor int // percent of the server that the rank keeps under overload by others
	Share int // most percent of the rank that one caller may take while others wait
}

// Settings of a Granter. Ranks are ordered, the most urgent first.
type Settings struct {
	Total     int           // memory pieces, or call slots
	Slots     int           // if positive, grants at a time; pieces are then counted by Memory alone
	Memory    int           // with Slots: pieces that grants and kept results may hold together, 0 for no bound
	Serial    bool          // the server runs its grants one after another (prefill)
	Ranks     []Rank        // at least one
	Headroom  int           // percent of the units kept free for more urgent ranks that asked lately
	Caution   float64       // standard deviations by which promises stay below the expected releases
	Lease     time.Duration // a grant ends when its entry was silent for so long
	Queue     time.Duration // most work that may wait in one rank, as time of the server
	Window    time.Duration // time constant of the service by which floors and shares are judged
	Retention time.Duration // how long withdrawn ids are remembered
	Withdrawn int           // most withdrawn ids remembered
}

// Defaults returns settings for a server with total pieces and three ranks.
func Defaults(total int) Settings {
	return Settings{
		Total:     total,
		Ranks:     []Rank{{Share: 50}, {Floor: 15, Share: 50}, {Floor: 5, Share: 50}},
		Headroom:  5,
		Caution:   1,
		Lease:     3 * time.Second,
		Queue:     30 * time.Second,
		Window:    10 * time.Second,
		Retention: 30 * time.Second,
		Withdrawn: 4096,
	}
}

// Validate reports the first invalid field.
func (s Settings) Validate() error {
	if s.Total <= 0 {
		return errors.Newf("total: %d pieces, want at least 1", s.Total)
	}
	if s.Slots < 0 || s.Memory < 0 {
		return errors.Newf("slots %d and memory %d, want 0 or more", s.Slots, s.Memory)
	}
	if len(s.Ranks) == 0 {
		return errors.New("ranks: none given")
	}
	floors := 0
	for i, r := range s.Ranks {
		if r.Floor < 0 || r.Floor > 100 {
			return errors.Newf("rank %d floor: %d%%, want 0 to 100", i, r.Floor)
		}
		if r.Share < 1 || r.Share > 100 {
			return errors.Newf("rank %d share: %d%%, want 1 to 100", i, r.Share)
		}
		floors += r.Floor
	}
	if floors > 100 {
		return errors.Newf("floors: sum of %d%%, want at most 100", floors)
	}
	if s.Headroom < 0 || s.Headroom > 50 {
		return errors.Newf("headroom: %d%%, want 0 to 50", s.Headroom)
	}
	if s.Caution < 0 {
		return errors.Newf("caution: %g, want 0 or more", s.Caution)
	}
	for name, d := range map[string]time.Duration{
		"lease": s.Lease, "queue": s.Queue, "window": s.Window, "retention": s.Retention,
	} {
		if d <= 0 {
			return errors.Newf("%s: %s, want more than 0", name, d)
		}
	}
	if s.Withdrawn <= 0 {
		return errors.Newf("withdrawn: %d ids, want at least 1", s.Withdrawn)
	}

	return nil
}

// units is the capacity that grants share.
func (s Settings) units() int {
	if s.Slots > 0 {
		return s.Slots
	}

	return s.Total
}

// rate is the time of work done in a unit of time when the server is full.
func (s Settings) rate() float64 {
	if s.Serial {
		return 1
	}

	return float64(s.units())
}
