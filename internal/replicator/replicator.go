// Package replicator implements the consensus of the control hosts: Raft with
// pre-vote, ReadIndex, leadership transfer, chunked snapshots and membership
// changes of one host at a time. It does no I/O, reads no clock and starts no
// goroutine. The caller passes in messages and the time. After each step it calls
// Ready, persists the vote, snapshot and entries in it, sends its messages, and
// then calls Advance.
package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// Errors of proposals and reads.
var (
	// ErrNotLeader means that nothing was appended because this member is not the
	// leader; another one may be.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy means that nothing was appended because there are too many
	// uncommitted entries.
	ErrBusy = errors.New("too many changes wait for their commit")
	// ErrChangeInProgress means that an earlier membership change, or the first entry
	// of the leader's term, is not committed yet.
	ErrChangeInProgress = errors.New("another change of the members is in progress")
	// ErrExpelled means that the data directory lacks entries which the member has
	// acknowledged.
	ErrExpelled = errors.New("the log of this member lost acknowledged entries; it must join as a new member")
)

// Role is the Raft role of a member.
type Role int

// Roles of a member.
const (
	Follower     Role = iota
	PreCandidate      // in a pre-vote, which finds out whether an election could be won
	Candidate
	Leader
)

// State is the persisted state of a member.
type State struct {
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry // entries after the snapshot
}

// ReadResult is the result of a call of ReadIndex. If OK, a state machine that has
// applied the entry at Index contains every change committed before the call.
type ReadResult struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Ready is the work that results from the steps since the last one. The caller
// does it in the order of the fields.
type Ready struct {
	// Vote, Snapshot and Entries must be synced before any message is sent. The
	// entries replace all stored ones from the index of the first one on. A
	// snapshot replaces the whole log and the state machine.
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
	Messages []*wire.Peer
	// Committed are the entries to apply to the state machine, in order.
	Committed []*wire.Entry
	Reads     []ReadResult
	// Expelled is set if this member must stop and never vote again.
	Expelled bool
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Vote == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && !r.Expelled
}

// Status is a copy of the state of a member for dumps and reports.
type Status struct {
	ID, Term, Leader      uint64
	Role                  Role
	Commit, Last, Applied uint64
	Members               *wire.Members     // current members, committed or not
	CommittedMembers      *wire.Members     // last committed members
	Match                 map[uint64]uint64 // highest acknowledged entry by member, on the leader
	// LastHeard is the time of the last message from each other member, on the leader.
	LastHeard map[uint64]time.Time
}

// Core is the Raft state machine of one member. Its methods must not be called
// concurrently.
type Core struct {
	s      Settings
	random *rand.Rand
	log    *raftLog

	term, vote, leader uint64
	role               Role
	now                time.Time
	deadline           time.Time // end of the election timeout; on the leader, next heartbeat
	lastHeard          time.Time // time of the last message from the current leader
	// caughtUpAt is the last time at which this member, as a follower, had everything that
	// the leader had committed.
	caughtUpAt   time.Time
	clockStarted bool

	granted          map[uint64]bool
	progress         map[uint64]*progress
	termStart        uint64 // on the leader, index of the first entry of its term
	round            uint64
	pendingReads     []*pendingRead
	broadcastDue     bool     // the others must be told a new commit index or read round
	forwardedReads   []uint64 // ids of reads that wait for a reply of the leader
	incomingSnapshot *wire.Snapshot

	outbox         []*wire.Peer
	readResults    []ReadResult
	voteChanged    bool
	snapshotToSync *wire.Snapshot
	expelled       bool
	transferring   bool // a leadership transfer is in progress
	transferStart  time.Time
}

// New returns a follower with the persisted state st.
func New(s Settings, st State) (*Core, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("new replicator: %w", err)
	}
	l, err := newRaftLog(st)
	if err != nil {
		return nil, errors.Newf("new replicator: %w", err)
	}
	c := &Core{
		s: s, log: l, term: st.Vote.GetTerm(), vote: st.Vote.GetVote(),
		random: rand.New(rand.NewPCG(s.Seed, s.ID)), //nolint:gosec // election timeouts need no secrecy
	}
	if c.term < l.lastTerm() {
		return nil, errors.Newf("new replicator: the vote has term %d, but the log ends with term %d", c.term, l.lastTerm())
	}

	return c, nil
}

// Tick advances the clock and handles timeouts. The caller must call it several
// times per heartbeat interval.
func (c *Core) Tick(now time.Time) {
	c.advanceClock(now)
	if c.expelled {
		return
	}
	if c.role == Leader {
		c.tickLeader()

		return
	}
	if !now.Before(c.deadline) {
		c.startPreVote()
	}
}

func (c *Core) advanceClock(now time.Time) {
	if !c.clockStarted {
		c.clockStarted = true
		c.now = now
		c.resetElectionTimer()
		// A single voter need not wait for messages from others.
		if v := c.voters(); len(v) == 1 && v[c.s.ID] {
			c.deadline = now
		}
	}
	if now.After(c.now) {
		c.now = now
	}
}

func (c *Core) resetElectionTimer() {
	c.deadline = c.now.Add(c.s.ElectionTimeout + time.Duration(c.random.Int64N(int64(c.s.ElectionTimeout))))
}

// Propose appends an entry with data to the log. If it returns ErrNotLeader or
// ErrBusy, nothing was appended. The entry is committed once Ready returns an
// entry with the same index and term as committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferring {
		return 0, 0, ErrNotLeader
	}
	if c.log.uncommittedBytes > c.s.MaxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	c.append(&wire.Entry{Data: data})

	return c.log.last(), c.term, nil
}

func (c *Core) append(e *wire.Entry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.add(e)
	if e.GetMembers() != nil {
		c.updateProgress()
	}
}

// PrepareSnapshot returns a snapshot without data for the state after the entry at
// index.
func (c *Core) PrepareSnapshot(index uint64) (*wire.Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.applied || index < c.log.snapshot.GetIndex() {
		return nil, errors.Newf("snapshot at entry %d: not between the last snapshot at %d and the applied entry %d", index, c.log.snapshot.GetIndex(), c.log.applied)
	}

	return &wire.Snapshot{Index: index, Term: term, Members: c.log.membersAt(index)}, nil
}

// Compact makes s the latest snapshot and drops the entries it covers, except
// those that a recently heard member still lacks. s was returned by
// PrepareSnapshot, and the caller has added the data.
func (c *Core) Compact(s *wire.Snapshot) error {
	if index := s.GetIndex(); index > c.log.applied || index < c.log.snapshot.GetIndex() {
		return errors.Newf("compact at entry %d: not between the last snapshot at %d and the applied entry %d", index, c.log.snapshot.GetIndex(), c.log.applied)
	}
	keep := s.GetIndex()
	for _, p := range c.progress {
		if c.now.Sub(p.lastHeard) < c.s.ElectionTimeout {
			keep = min(keep, p.match)
		}
	}
	c.log.compact(s, keep)

	return nil
}

// Ready returns the pending work. The caller must call Advance before it calls
// Ready again.
func (c *Core) Ready() Ready {
	c.flush()
	r := Ready{Messages: c.outbox, Reads: c.readResults, Snapshot: c.snapshotToSync, Expelled: c.expelled}
	if c.voteChanged {
		r.Vote = &wire.Vote{Term: c.term, Vote: c.vote}
	}
	c.outbox, c.readResults, c.snapshotToSync, c.voteChanged = nil, nil, nil, false
	r.Entries = c.log.entriesFrom(c.log.syncing+1, int(^uint(0)>>1))
	c.log.syncing = c.log.last()
	for _, e := range c.log.entriesFrom(c.log.applied+1, int(^uint(0)>>1)) {
		if e.GetIndex() > c.log.commit {
			break
		}
		r.Committed = append(r.Committed, e)
		c.log.applied = e.GetIndex()
	}

	return r
}

// Advance reports that the data of the last Ready was synced.
func (c *Core) Advance() {
	c.log.synced = c.log.syncing
	if c.role == Leader {
		c.commit()
	}
}

// Status returns a copy of the member's state.
func (c *Core) Status() Status {
	m, _ := c.log.members()
	st := Status{
		ID: c.s.ID, Term: c.term, Leader: c.leader, Role: c.role, Commit: c.log.commit,
		Last: c.log.last(), Applied: c.log.applied, Members: cloneMembers(m),
		CommittedMembers: cloneMembers(c.log.membersAt(c.log.commit)), Match: make(map[uint64]uint64),
		LastHeard: make(map[uint64]time.Time),
	}
	for id, p := range c.progress {
		st.Match[id], st.LastHeard[id] = p.match, p.lastHeard
	}

	return st
}

// Lease returns the time since this member last heard from a majority; for a
// follower, the time since the leader last told it of nothing that it lacks. It is
// negative if there was no such contact.
func (c *Core) Lease(now time.Time) time.Duration {
	if c.role == Leader {
		return now.Sub(c.lastQuorumContact())
	}
	if c.caughtUpAt.IsZero() {
		return -1
	}

	return now.Sub(c.caughtUpAt)
}

func (c *Core) voters() map[uint64]bool {
	m, _ := c.log.members()
	v := make(map[uint64]bool, len(m.GetVoters()))
	for _, x := range m.GetVoters() {
		v[x.GetId()] = true
	}

	return v
}

func (c *Core) send(to uint64, m *wire.Peer) {
	m.From, m.To, m.Term = c.s.ID, to, c.term
	c.outbox = append(c.outbox, m)
}

func (c *Core) setTerm(term, vote uint64) {
	if c.term == term && c.vote == vote {
		return
	}
	c.term, c.vote = term, vote
	c.voteChanged = true
}

// becomeFollower makes the member a follower of leader, which is 0 if unknown. It
// fails all pending reads and restarts the election timeout.
func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.setTerm(term, 0)
	}
	c.failReads()
	c.failForwardedReads()
	if c.role == Leader {
		// As a leader, this member has had contact with a majority itself.
		c.lastHeard = c.lastQuorumContact()
		c.caughtUpAt = c.lastHeard
	}
	c.role, c.leader = Follower, leader
	c.granted, c.progress, c.transferring = nil, nil, false
	c.incomingSnapshot = nil
	c.resetElectionTimer()
}

// Step handles a message from another member.
func (c *Core) Step(now time.Time, m *wire.Peer) {
	c.advanceClock(now)
	if m.GetTo() != c.s.ID || c.expelled {
		return
	}
	// m must not be modified: in tests, messages share memory with the log of the
	// sender.
	if m.GetPoll() != nil {
		c.stepPoll(m)

		return
	}
	if m.GetTerm() < c.term {
		c.rejectStaleTerm(m)

		return
	}
	if m.GetTerm() > c.term {
		if m.GetBallot() != nil && c.leaderAlive() && !m.GetBallot().GetYielded() {
			// A member that was removed or disconnected must not depose a leader
			// from which the others still receive messages.
			return
		}
		c.becomeFollower(m.GetTerm(), 0)
	}
	c.dispatch(m)
}

func (c *Core) dispatch(m *wire.Peer) {
	switch body := m.GetBody().(type) {
	case *wire.Peer_Polled:
		c.stepPolled(m.GetFrom(), body.Polled)
	case *wire.Peer_Ballot:
		c.stepBallot(m.GetFrom(), body.Ballot)
	case *wire.Peer_Voted:
		c.stepVoted(m.GetFrom(), body.Voted)
	case *wire.Peer_Append:
		c.acceptLeader(m.GetFrom())
		c.stepAppend(m.GetFrom(), body.Append)
	case *wire.Peer_Install:
		c.acceptLeader(m.GetFrom())
		c.stepInstall(m.GetFrom(), body.Install)
	case *wire.Peer_Appended:
		c.stepAppended(m.GetFrom(), body.Appended)
	case *wire.Peer_Installed:
		c.stepInstalled(m.GetFrom(), body.Installed)
	case *wire.Peer_Confirm:
		c.stepConfirm(m.GetFrom(), body.Confirm)
	case *wire.Peer_Confirmed:
		c.stepConfirmed(body.Confirmed)
	case *wire.Peer_Yield:
		c.stepYield(m.GetFrom())
	case *wire.Peer_Expel:
		c.stepExpel(m.GetFrom(), body.Expel)
	}
}

// rejectStaleTerm informs a leader or candidate of an older term about the newer
// term.
func (c *Core) rejectStaleTerm(m *wire.Peer) {
	switch m.GetBody().(type) {
	case *wire.Peer_Append, *wire.Peer_Install:
		c.send(m.GetFrom(), &wire.Peer{Body: &wire.Peer_Appended{Appended: &wire.AppendReply{}}})
	case *wire.Peer_Ballot:
		c.send(m.GetFrom(), &wire.Peer{Body: &wire.Peer_Voted{Voted: &wire.BallotReply{}}})
	}
}

// leaderAlive reports whether this member is the leader or has heard from the
// leader within the election timeout.
func (c *Core) leaderAlive() bool {
	if c.role == Leader {
		return true
	}

	return c.leader != 0 && c.now.Sub(c.lastHeard) < c.s.ElectionTimeout
}

// stepExpel handles the leader's notice that this member acknowledged an entry
// which its log no longer has.
func (c *Core) stepExpel(from uint64, m *wire.Expel) {
	if from != c.leader || c.log.last() >= m.GetIndex() {
		return
	}
	c.expelled = true
}
