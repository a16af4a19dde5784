package granter

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Rank configures one priority class.
type Rank struct {
	Floor int // percent of the server that the rank keeps while other ranks overload it
	Share int // maximum percent of the rank for one caller while others wait
}

// Settings configures a Granter.
type Settings struct {
	Total         int           // memory blocks, or call slots
	Slots         int           // if positive, the maximum number of grants; only MemoryBlocks then limits memory
	MemoryBlocks  int           // with Slots: maximum memory blocks of grants and kept results, 0 for no limit
	Serial        bool          // the server processes one grant after another, as in prefill
	Ranks         []Rank        // at least one, the most urgent first
	Headroom      int           // percent of the units kept free for more urgent ranks with recent asks
	ReleaseMargin float64       // standard deviations by which reservations stay below the expected releases
	Lease         time.Duration // grants of an entry end if it does not renew them for this long
	MaxQueuedWork time.Duration // maximum work that may wait in one rank, as time of the whole server
	Window        time.Duration // time constant of the decay of granted work, which floors and shares refer to
	// FairWindow, if positive, divides each rank among its callers by their weights instead of
	// limiting them by Rank.Share: it is the time constant of the decay of what they were granted.
	FairWindow time.Duration
	Retention  time.Duration // how long withdrawn ids are remembered
	Withdrawn  int           // maximum number of withdrawn ids remembered
	Pace       Pace          // limits the units in grants after a start of the server; nil for no limit
}

// Defaults returns the settings for a server with total memory blocks and three
// ranks.
func Defaults(total int) Settings {
	return Settings{
		Total:         total,
		Ranks:         []Rank{{Share: 50}, {Floor: 15, Share: 50}, {Floor: 5, Share: 50}},
		Headroom:      5,
		ReleaseMargin: 1,
		Lease:         3 * time.Second,
		MaxQueuedWork: 30 * time.Second,
		Window:        10 * time.Second,
		Retention:     30 * time.Second,
		Withdrawn:     4096,
	}
}

// Validate returns an error for the first invalid field.
func (s Settings) Validate() error {
	if s.Total <= 0 {
		return errors.Newf("total must be at least 1, got %d", s.Total)
	}
	if s.Slots < 0 || s.MemoryBlocks < 0 {
		return errors.Newf("slots and memory blocks must not be negative, got %d and %d", s.Slots, s.MemoryBlocks)
	}
	if len(s.Ranks) == 0 {
		return errors.New("at least one rank is required")
	}
	floors := 0
	for i, r := range s.Ranks {
		if r.Floor < 0 || r.Floor > 100 {
			return errors.Newf("floor of rank %d must be from 0%% to 100%%, got %d%%", i, r.Floor)
		}
		if r.Share < 1 || r.Share > 100 {
			return errors.Newf("share of rank %d must be from 1%% to 100%%, got %d%%", i, r.Share)
		}
		floors += r.Floor
	}
	if floors > 100 {
		return errors.Newf("floors of all ranks add up to %d%%, more than 100%%", floors)
	}
	if s.Headroom < 0 || s.Headroom > 50 {
		return errors.Newf("headroom must be from 0%% to 50%%, got %d%%", s.Headroom)
	}
	if s.FairWindow < 0 {
		return errors.Newf("fair window must not be negative, got %s", s.FairWindow)
	}
	if s.ReleaseMargin < 0 {
		return errors.Newf("release margin must not be negative, got %g", s.ReleaseMargin)
	}
	for name, d := range map[string]time.Duration{
		"lease": s.Lease, "maximum queued work": s.MaxQueuedWork, "window": s.Window, "retention": s.Retention,
	} {
		if d <= 0 {
			return errors.Newf("%s must be positive, got %s", name, d)
		}
	}
	if s.Withdrawn <= 0 {
		return errors.Newf("maximum number of withdrawn ids must be at least 1, got %d", s.Withdrawn)
	}

	return nil
}

// units returns the number of units that can be granted: call slots if there are any,
// else memory blocks.
func (s Settings) units() int {
	if s.Slots > 0 {
		return s.Slots
	}

	return s.Total
}

// shareWindow returns the time constant of the decay of what was granted to callers.
func (s Settings) shareWindow() time.Duration {
	if s.FairWindow > 0 {
		return s.FairWindow
	}

	return s.Window
}

// workRate returns the work that a full server does per second, in the unit of
// attempt.work.
func (s Settings) workRate() float64 {
	if s.Serial {
		return 1
	}

	return float64(s.units())
}
