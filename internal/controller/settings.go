package controller

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// With defaultElectionTimeout, the first election after the loss of a leader starts
	// within 1.2 s.
	defaultElectionTimeout   = 600 * time.Millisecond
	defaultHeartbeatInterval = 120 * time.Millisecond
	defaultPulseInterval     = 2 * time.Second
	defaultCommitTimeout     = 3 * time.Second
	defaultForce             = time.Second
	defaultAbsentTimeout     = 15 * time.Second
	defaultVersionMargin     = 10 * time.Second
	defaultCompactEntries    = 10_000
	// defaultList leaves time for two reads of the host list within the few seconds
	// after which a leaving server must get no new requests.
	defaultList = time.Second
	// defaultTargetMembers tolerates the loss of one host.
	defaultTargetMembers = 3
)

// State is the replicated state machine. The controller serialises all calls.
type State interface {
	Apply(index uint64, now time.Time, cmd *wire.Command) *wire.Result
	// Index returns the log index of the last change visible to subscribers.
	Index() uint64
	Revision() uint64
	Query(q *wire.Query) (*wire.Table, error)
	UpdateSince(index uint64) *wire.Update
	// CaptureSnapshot returns a function that encodes the state as of the call to
	// CaptureSnapshot. The function may run in another goroutine while commands are
	// applied.
	CaptureSnapshot() func() ([]byte, error)
	Restore(data []byte) error
	// Plan returns the active routing plan, or nil.
	Plan() *wire.Plan
	// Versions returns the software versions of all pools whose streams may still go on.
	Versions() []*wire.Versions
	// Entries returns the number of entry processes.
	Entries() int
}

// Settings configures a control host. Listen and DataDir have no defaults.
type Settings struct {
	// Number identifies this host among Members, starting at 1.
	Number uint64
	// Listen is the listen address, "ip:port". It must equal the address of this host
	// in Members, except that a single member may use port 0.
	Listen string
	// DataDir is the data directory.
	DataDir string
	// Members are the initial members of a new cluster, each with number and address.
	// They are used only while DataDir is empty. All of them must be up at the same time
	// once to bootstrap the cluster.
	Members []*wire.Member
	// Repair makes this host change the members without an operator: it asks to be added
	// if it is new or has lost its data directory, and as leader it removes silent
	// members while there are more than TargetMembers.
	Repair bool
	// TargetMembers is the number of members that Repair maintains.
	TargetMembers int
	// Seeds are the addresses where a host that wants to join looks for members.
	Seeds []string
	// Join makes the host wait until it is added to an existing cluster. Members must
	// then be empty.
	Join bool
	// ElectionTimeout is the minimum election timeout. A leader that hears from no majority
	// for this long steps down.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between the leader's heartbeats.
	HeartbeatInterval time.Duration
	// PulseInterval is the interval between heartbeats to attached processes.
	PulseInterval time.Duration
	// CommitTimeout bounds the wait for a commit or a linearizable read.
	CommitTimeout time.Duration
	// Force bounds the wait for attached processes to report that they have applied a
	// new revision. Processes report immediately after an update. A client waits at most
	// for the sum of CommitTimeout, Force and ElectionTimeout.
	Force time.Duration
	// AbsentTimeout is how long an entry process must be detached from all hosts before
	// its running claims are declared lost. It covers the lease of 3 s and a margin in
	// which the process can notice that its control host was partitioned and attach to
	// another one.
	AbsentTimeout time.Duration
	// VersionMargin is added to the longest time that a stream may take: a software version
	// counts for as long after its last server has left the host list. It covers servers that
	// work for some time after that.
	VersionMargin time.Duration
	// CompactEntries is the number of log entries after which a snapshot is taken; large
	// entries can cause one earlier.
	CompactEntries uint64
	// Seed is the seed of the randomised election timeout; 0 selects a random one.
	Seed uint64

	// Hosts reads the host list, which the leader distributes to the entries; nil if
	// there is none.
	Hosts lister.Source
	// List is the interval between reads of the host list.
	List time.Duration
	// State is the replicated state machine; nil means a new registrar.
	State State
	// Files accesses the data directory; nil means the files in DataDir.
	Files recorder.Files
	// Memory is how many bytes of memory the process may use; that of the host if zero.
	Memory int64
	// Sessions is the maximum number of sessions of peers; it follows from the descriptors of the
	// process if zero.
	Sessions int64
	// Registry gets the metrics of what is held for peers; nil for none.
	Registry prometheus.Registerer
	// Timer is the clock. If it is nil, New starts one.
	Timer timer.Service
	// Log is the logger; nil discards all messages.
	Log *log.Logger
}

// Defaults sets the fields that are zero.
func (s *Settings) Defaults() {
	setDuration(&s.ElectionTimeout, defaultElectionTimeout)
	setDuration(&s.HeartbeatInterval, defaultHeartbeatInterval)
	setDuration(&s.PulseInterval, defaultPulseInterval)
	setDuration(&s.CommitTimeout, defaultCommitTimeout)
	setDuration(&s.Force, defaultForce)
	setDuration(&s.AbsentTimeout, defaultAbsentTimeout)
	setDuration(&s.VersionMargin, defaultVersionMargin)
	setDuration(&s.List, defaultList)
	if s.Number == 0 {
		s.Number = 1
	}
	if s.TargetMembers == 0 {
		s.TargetMembers = defaultTargetMembers
	}
	if s.CompactEntries == 0 {
		s.CompactEntries = defaultCompactEntries
	}
	if s.State == nil {
		s.State = registrar.New()
	}
	if s.Log == nil {
		s.Log = logger.Discard()
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Validate reports all invalid settings in one error.
func (s *Settings) Validate() error {
	var errs []error
	add := func(bad bool, text string) {
		if bad {
			errs = append(errs, errors.New(text))
		}
	}
	_, _, err := net.SplitHostPort(s.Listen)
	add(err != nil, "listen: want ip:port")
	add(s.DataDir == "", "data directory: missing")
	add(s.ElectionTimeout < 0 || s.PulseInterval < 0 || s.CommitTimeout < 0 || s.Force < 0 || s.AbsentTimeout < 0 || s.VersionMargin < 0,
		"durations: must not be negative")
	add(s.HeartbeatInterval <= 0 || s.HeartbeatInterval*2 > s.ElectionTimeout,
		"heartbeat interval: must be positive and at most half of the election timeout")
	numbers := make(map[uint64]bool)
	for _, m := range s.Members {
		_, _, err := net.SplitHostPort(m.GetAddr())
		add(err != nil, "members: want ip:port for each")
		add(m.GetNumber() == 0 || numbers[m.GetNumber()], "members: numbers must be distinct and not 0")
		numbers[m.GetNumber()] = true
	}
	add(len(s.Members) == 0 && !s.Join, "members: missing; name the initial members or set join")
	add(len(s.Members) > 0 && s.Join, "join: members must be empty")
	add(len(s.Members) > 0 && !slices.ContainsFunc(s.Members, func(m *wire.Member) bool {
		return m.GetNumber() == s.Number
	}), "members: this host's number is not among them")
	if err := errors.Join(errs...); err != nil {
		return errors.Newf("invalid settings of control host: %w", err)
	}

	return nil
}
