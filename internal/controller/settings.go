package controller

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// defaultElection bounds the first election after the loss of a leader by 1.2 s.
	defaultElection  = 600 * time.Millisecond
	defaultHeartbeat = 120 * time.Millisecond
	defaultPulse     = 2 * time.Second
	defaultCommit    = 3 * time.Second
	defaultForce     = time.Second
	defaultAbsent    = 15 * time.Second
	defaultCompact   = 10_000
	// defaultList leaves two readings within the few seconds after which a leaving server
	// must get no new work.
	defaultList = time.Second
	// defaultSize bears the loss of one host.
	defaultSize = 3
)

// State is the replicated state machine. The controller serialises all calls.
type State interface {
	Apply(index uint64, now time.Time, cmd *wire.Command) *wire.Result
	// Index is the log index of the last change that subscribers see.
	Index() uint64
	Revision() uint64
	Query(q *wire.Query) (*wire.Table, error)
	UpdateSince(index uint64) *wire.Update
	// Capture returns a function that encodes the state as it is now, in another
	// goroutine and while commands are applied.
	Capture() func() ([]byte, error)
	Restore(data []byte) error
	// Plan is the routing plan in force, or nil.
	Plan() *wire.Plan
	// Entries is the number of entry processes.
	Entries() int
}

// Settings of a control process. Listen and Folder have no defaults.
type Settings struct {
	// Number is the id of this host among Members, from 1.
	Number uint64
	// Listen is the address served, "ip:port". It must be the address that
	// Members names for this host, but port 0 is allowed for a single member.
	Listen string
	// Folder is the data directory.
	Folder string
	// Members are the members that found the cluster: number and address. It is
	// used only while Folder is empty. All of them must be up once at the same
	// time to found the cluster.
	Members []*wire.Member
	// Repair makes this host change the members without an operator: one that is
	// new, or has lost its data directory, asks to be added, and the leader removes
	// members that are gone once there are more than Size.
	Repair bool
	// Size is the number of members that Repair keeps.
	Size int
	// Seeds are the addresses at which a host to be added looks for members.
	Seeds []string
	// Join is set, and Members empty, on a host that waits until it is added to
	// a cluster that exists.
	Join bool
	// Election is the shortest election timeout; a leader that hears from no
	// majority for this long steps down.
	Election time.Duration
	// Heartbeat is the interval between heartbeats of the leader.
	Heartbeat time.Duration
	// Pulse is the interval of heartbeats to attached processes.
	Pulse time.Duration
	// Commit bounds the wait for a commit and for a confirmed read.
	Commit time.Duration
	// Force bounds the wait for attached processes to report a new revision.
	// Processes report right after an update. Commit, Force and Election together
	// are the longest wait of a client.
	Force time.Duration
	// Absent is how long an entry process is detached from all hosts before its
	// running claims are lost: its lease of 3 s and a margin in which it can
	// notice that its control host was cut off and attach to another one.
	Absent time.Duration
	// Compact is the number of entries between two snapshots.
	Compact uint64
	// Seed of the randomised election timeout; 0 draws one.
	Seed uint64

	// Hosts reads the host list, which the leader passes on to entries; nil if there is
	// none.
	Hosts lister.Source
	// List is the time between two readings of it.
	List time.Duration
	// State is the replicated state machine; nil for a new registrar.
	State State
	// Files is the data directory; nil for Folder.
	Files recorder.Files
	// Timer is the clock. New starts one if it is nil.
	Timer timer.Service
	// Log receives one line an event; nil discards them.
	Log *log.Logger
}

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	setDuration(&s.Election, defaultElection)
	setDuration(&s.Heartbeat, defaultHeartbeat)
	setDuration(&s.Pulse, defaultPulse)
	setDuration(&s.Commit, defaultCommit)
	setDuration(&s.Force, defaultForce)
	setDuration(&s.Absent, defaultAbsent)
	setDuration(&s.List, defaultList)
	if s.Number == 0 {
		s.Number = 1
	}
	if s.Size == 0 {
		s.Size = defaultSize
	}
	if s.Compact == 0 {
		s.Compact = defaultCompact
	}
	if s.State == nil {
		s.State = registrar.New()
	}
	if s.Log == nil {
		s.Log = reporter.Discard()
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	var faults []error
	add := func(bad bool, text string) {
		if bad {
			faults = append(faults, errors.New(text))
		}
	}
	_, _, err := net.SplitHostPort(s.Listen)
	add(err != nil, "listen: want ip:port")
	add(s.Folder == "", "folder: missing")
	add(s.Election < 0 || s.Pulse < 0 || s.Commit < 0 || s.Force < 0 || s.Absent < 0,
		"durations: must not be negative")
	add(s.Heartbeat <= 0 || s.Heartbeat*2 > s.Election,
		"heartbeat: must be positive and at most half of election")
	numbers := make(map[uint64]bool)
	for _, m := range s.Members {
		_, _, err := net.SplitHostPort(m.GetAddr())
		add(err != nil, "members: want ip:port for each")
		add(m.GetNumber() == 0 || numbers[m.GetNumber()], "members: numbers must be distinct and not 0")
		numbers[m.GetNumber()] = true
	}
	add(len(s.Members) == 0 && !s.Join, "members: missing; name the founding members or set join")
	add(len(s.Members) > 0 && s.Join, "join: members must be empty")
	add(len(s.Members) > 0 && !slices.ContainsFunc(s.Members, func(m *wire.Member) bool {
		return m.GetNumber() == s.Number
	}), "members: this host's number is not among them")
	if err := errors.Join(faults...); err != nil {
		return errors.Newf("settings of control: %w", err)
	}

	return nil
}
