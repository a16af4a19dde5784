// Package attempter decides whether a request is offered to another backend server after one
// has not served it. It answers a load in which the list of servers lags behind those that
// were replaced, are full or leave: several servers in a row refuse a request that others
// would run. It does no I/O.
package attempter

import "slices"

// maxRefusals limits how many servers may refuse one request. Each of them costs a round trip
// and a part of the retry budget, and a pool in which that many refuse is full.
const maxRefusals = 4

// Settings configures an Attempter.
type Settings struct {
	// Runs is the maximum number of servers that may run the request; at least one may.
	Runs int
	// Offers is set if servers that have refused the request do not count towards Runs.
	Offers bool
}

// Attempter keeps what became of one request at the servers that it was sent to. It is not
// safe for concurrent use.
type Attempter struct {
	s       Settings
	ran     []string // servers that may have run the request
	refused []string // servers that have not run it and never will
	tried   []string
}

// New returns an Attempter of a request that no server has seen.
func New(s Settings) *Attempter { return &Attempter{s: s} }

// NoteRun records that a server may have run the request. A server counts once, also if it
// had refused the request before.
func (a *Attempter) NoteRun(server string) {
	if slices.Contains(a.ran, server) {
		return
	}
	a.refused = slices.DeleteFunc(a.refused, func(id string) bool { return id == server })
	a.ran = append(a.ran, server)
	a.note(server)
}

// NoteRefused records that a server has refused the request without running it.
func (a *Attempter) NoteRefused(server string) {
	if slices.Contains(a.ran, server) || slices.Contains(a.refused, server) {
		return
	}
	a.refused = append(a.refused, server)
	a.note(server)
}

// NoteUnreached records that a server could not be reached.
func (a *Attempter) NoteUnreached(server string) { a.note(server) }

func (a *Attempter) note(server string) {
	if !slices.Contains(a.tried, server) {
		a.tried = append(a.tried, server)
	}
}

// Tried returns the servers to which the request need not be sent again.
func (a *Attempter) Tried() []string { return a.tried }

// Reached returns the number of servers that the request has reached.
func (a *Attempter) Reached() int { return len(a.ran) + len(a.refused) }

// Refused returns the number of servers that have refused the request.
func (a *Attempter) Refused() int { return len(a.refused) }

// Left reports whether another server may get the request.
func (a *Attempter) Left() bool {
	runs := max(a.s.Runs, 1)
	if a.s.Offers {
		return len(a.ran) < runs && len(a.refused) < maxRefusals
	}

	return a.Reached() < runs
}
