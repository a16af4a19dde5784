package lister

import "time"

// Pace determines when a process reads the host list itself instead of receiving it from
// the one process that reads it for all. If that process fails, all others start to read
// at the same time; Pace keeps the rate of all their reads together below a limit.
type Pace struct {
	// StaleAfter is the age of the newest listing from which on the process reads the list
	// itself; 0 for a process that always reads it.
	StaleAfter time.Duration
	// First is how long a process waits for its first listing after the start.
	First time.Duration
	// Interval is the minimum time between two reads of this process.
	Interval time.Duration
	// Rate limits the reads per second of all processes together; 0 for no limit.
	Rate float64
}

// Gap returns the minimum time between two reads of one process when that many processes
// read the list.
func (p Pace) Gap(processes int) time.Duration {
	if p.Rate <= 0 {
		return p.Interval
	}

	return max(p.Interval, time.Duration(float64(processes)/p.Rate*float64(time.Second)))
}

// Due reports whether to read now. newest is the time of the newest listing, or the start
// of this process if there is none; lastStart is when this process last started a read.
// delayFraction, in [0, 1), differs between processes and spreads their reads over Gap.
func (p Pace) Due(now, newest, lastStart time.Time, processes int, delayFraction float64) bool {
	gap := p.Gap(processes)
	if p.StaleAfter == 0 {
		return now.Sub(lastStart) >= gap
	}
	delay := time.Duration(delayFraction * float64(gap))

	return now.Sub(newest) >= p.StaleAfter+delay && now.Sub(lastStart) >= gap
}
