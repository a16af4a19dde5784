package lister

import "time"

// Pace decides when a process reads the host list itself, beside the one reader that
// passes its readings on. It answers the load of a whole fleet that loses this reader at
// the same moment: the readings of all processes together stay below a rate.
type Pace struct {
	// Stale is how old the newest reading may get; 0 for a process that always reads.
	Stale time.Duration
	// First is how long a process that has just started waits for a reading.
	First time.Duration
	// Interval is the time between two readings of this process at least.
	Interval time.Duration
	// Rate is the readings a second of all processes together, 0 for no bound.
	Rate float64
}

// Gap is the time between two readings of one of a number of processes.
func (p Pace) Gap(processes int) time.Duration {
	if p.Rate <= 0 {
		return p.Interval
	}

	return max(p.Interval, time.Duration(float64(processes)/p.Rate*float64(time.Second)))
}

// Due tells whether to read now. Fresh is when the newest reading began, or this process
// if there is none; begun is when this process last read. Share, from 0 to below 1,
// differs from process to process.
func (p Pace) Due(now, fresh, begun time.Time, processes int, share float64) bool {
	gap := p.Gap(processes)
	if p.Stale == 0 {
		return now.Sub(begun) >= gap
	}
	spread := time.Duration(share * float64(gap))

	return now.Sub(fresh) >= p.Stale+spread && now.Sub(begun) >= gap
}
