package correlator

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gatherWindow is the time in which connections that break to one server are attributed
	// to the same crash: all connections of a server that crashes break at the same moment.
	gatherWindow = 100 * time.Millisecond
	// silenceTimeout is how long a server with work may send nothing before it is checked.
	silenceTimeout = time.Second
	// recheckInterval is the time from a check that a server did not answer to the next one.
	recheckInterval = 500 * time.Millisecond
	// maxSilentChecks is the number of checks in a row that a crashed server does not
	// answer. A single one may be lost on the way.
	maxSilentChecks = 2
	// maxChecks limits the checks at the same time, in case this process is cut off from all
	// servers.
	maxChecks = 64
)

// Server is a backend server that a request was sent to.
type Server struct {
	ID, Addr string
}

// State is the result of checking a server.
type State int

// Results of a check.
const (
	// Running means that the server answers under its id.
	Running State = iota
	// Gone means that nothing listens at its address, or another server.
	Gone
	// Silent means that there was no answer.
	Silent
)

// Work identifies a request.
type Work struct {
	Digest, ID string
	// Segments are the segments of its prompt that it shares with other requests, in order.
	Segments []string
}

// Send is a request that was sent to a server, until its answer has ended. Its fields other
// than heardAfter are guarded by the mutex of the Tracker.
type Send struct {
	server     Server
	work       Work
	sentAt     time.Time
	heardAfter atomic.Int64 // time from sentAt to the last part of the answer, in nanoseconds; 0 if there is none
	endedAt    time.Time    // when it ended without its whole answer, zero before
	broken     bool         // the connection broke
}

// Heard records that a part of the answer has arrived.
func (s *Send) Heard(now time.Time) { s.heardAfter.Store(int64(now.Sub(s.sentAt))) }

// Lost is a request that was on a server when the server crashed.
type Lost struct {
	Work
	// At is the latest time at which it may have been running.
	At time.Time
}

// Tracker follows requests from the moment at which they are sent to a server to the end of
// their answers. It decides when a server has to be checked, and which requests were on a
// server that has crashed: a crash may break connections, or just leave requests
// unanswered. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	servers  map[string]*trackedServer
	checking int
}

// trackedServer is a server with requests in flight or without a whole answer.
type trackedServer struct {
	Server
	sends        map[*Send]bool
	heardAt      time.Time
	checking     bool
	checkedAt    time.Time // when the last check began
	nextCheck    time.Time
	silentChecks int // in a row
}

// NewTracker returns a tracker without requests.
func NewTracker() *Tracker { return &Tracker{servers: make(map[string]*trackedServer)} }

// Start records that a request is being sent.
func (t *Tracker) Start(now time.Time, s Server, w Work) *Send {
	t.mu.Lock()
	defer t.mu.Unlock()
	sv := t.servers[s.ID]
	if sv == nil {
		sv = &trackedServer{Server: s, sends: make(map[*Send]bool)}
		t.servers[s.ID] = sv
	}
	send := &Send{server: s, work: w, sentAt: now}
	sv.sends[send] = true

	return send
}

// Answered records that the whole answer has arrived.
func (t *Tracker) Answered(now time.Time, s *Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[s.server.ID]; sv != nil {
		sv.heardAt, sv.silentChecks = now, 0
	}
	t.remove(s)
}

// Discard records that the request did not reach the server.
func (t *Tracker) Discard(s *Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(s)
}

// Break records that the connection broke before the end of the answer.
func (t *Tracker) Break(now time.Time, s *Send) { t.end(now, s, true) }

// Abandon records that the answer is no longer waited for.
func (t *Tracker) Abandon(now time.Time, s *Send) { t.end(now, s, false) }

func (t *Tracker) end(now time.Time, s *Send, broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.endedAt.IsZero() {
		s.endedAt, s.broken = now, broken
	}
}

// remove forgets a request. The caller must hold t.mu.
func (t *Tracker) remove(s *Send) {
	sv := t.servers[s.server.ID]
	if sv == nil {
		return
	}
	delete(sv.sends, s)
	t.forgetIdle(sv)
}

func (t *Tracker) forgetIdle(sv *trackedServer) {
	if len(sv.sends) == 0 && !sv.checking {
		delete(t.servers, sv.ID)
	}
}

// Due returns the servers to check now. The caller must pass the result of each check to
// Resolve.
func (t *Tracker) Due(now time.Time) []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Server
	for _, sv := range t.servers {
		if t.checking >= maxChecks {
			break
		}
		if sv.checking || now.Before(sv.nextCheck) {
			continue
		}
		if !sv.inDoubt(now) {
			t.forgetIdle(sv)

			continue
		}
		t.checking++
		sv.checking, sv.checkedAt = true, now
		out = append(out, sv.Server)
	}

	return out
}

// inDoubt reports whether the server may have crashed. It forgets abandoned requests if the
// server has shown signs of life since.
func (sv *trackedServer) inDoubt(now time.Time) bool {
	heard := sv.heardAt
	for s := range sv.sends {
		if after := time.Duration(s.heardAfter.Load()); after > 0 && s.sentAt.Add(after).After(heard) {
			heard = s.sentAt.Add(after)
		}
	}
	doubt := false
	for s := range sv.sends {
		switch {
		case s.broken:
			doubt = doubt || now.Sub(s.endedAt) >= gatherWindow
		case !s.endedAt.IsZero() && heard.After(s.endedAt):
			delete(sv.sends, s)
		default:
			doubt = doubt || now.Sub(s.sentAt) >= silenceTimeout && now.Sub(heard) >= silenceTimeout
		}
	}

	return doubt
}

// Resolve records the result of a check and returns the requests that were on the server if
// it has crashed. started is when a running server was started, in whole milliseconds, zero
// if unknown: a request that was sent before is lost.
func (t *Tracker) Resolve(now time.Time, id string, state State, started time.Time) []Lost {
	t.mu.Lock()
	defer t.mu.Unlock()
	sv := t.servers[id]
	if sv == nil || !sv.checking {
		return nil
	}
	t.checking--
	sv.checking = false
	defer t.forgetIdle(sv)
	if state == Silent {
		if sv.silentChecks++; sv.silentChecks < maxSilentChecks {
			sv.nextCheck = now.Add(recheckInterval)

			return nil
		}
		state = Gone
	}
	sv.silentChecks = 0
	if state == Running {
		sv.heardAt = sv.checkedAt
	}
	var lost []Lost
	for s := range sv.sends {
		switch {
		case s.sentAt.After(sv.checkedAt):
		case state == Gone || !started.Before(s.sentAt.Truncate(time.Millisecond)):
			lost = append(lost, s.lost())
			delete(sv.sends, s)
		case !s.endedAt.IsZero() && !s.endedAt.After(sv.checkedAt):
			delete(sv.sends, s)
		}
	}
	slices.SortFunc(lost, func(a, b Lost) int { return cmp.Compare(a.ID, b.ID) })

	return lost
}

func (s *Send) lost() Lost {
	out := Lost{Work: s.work, At: s.sentAt}
	if s.broken {
		out.At = s.endedAt
	}

	return out
}
