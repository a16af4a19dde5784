// Package replicator is the consensus core of the control log: Raft with
// pre-vote, read index, chunked snapshots and membership changes of one host at
// a time. It does no I/O, reads no clock and starts no goroutine. The caller
// passes in messages and the time, and after each step takes Ready, syncs what
// it names, sends its messages, and then calls Advance.
package replicator

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// Faults of proposals and reads.
var (
	// ErrNotLeader: nothing was appended; another member may be the leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy: nothing was appended because too much waits for its commit.
	ErrBusy = errors.New("too many changes wait for their commit")
	// ErrChanging: a change of the members is not committed yet.
	ErrChanging = errors.New("another change of the members is in progress")
	// ErrExpelled: the data directory is older than what it acknowledged.
	ErrExpelled = errors.New("the log of this member went back in time; it must join as a new member")
)

// Role of a member.
type Role int

// Roles.
const (
	Follower Role = iota
	Prober        // asks with Poll whether a ballot could win
	Candidate
	Leader
)

// State is what a member finds in its data directory.
type State struct {
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry // those after the snapshot
}

// Read is the end of a ReadIndex. If OK, a state that has applied Index
// contains every change committed before the call.
type Read struct {
	ID    uint64
	Index uint64
	OK    bool
}

// Ready is the work that follows from the steps since the last one, in the
// order of its fields.
type Ready struct {
	// Vote, Snapshot and Entries must be synced before anything is sent. The
	// entries replace everything from the index of the first one on. A snapshot
	// replaces the whole log and the state.
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
	Messages []*wire.Peer
	// Committed entries are applied in order.
	Committed []*wire.Entry
	Reads     []Read
	// Expelled is set when this member must stop and never vote again.
	Expelled bool
}

// Empty reports that there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Vote == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && !r.Expelled
}

// Status is a view of the core for dumps and reports.
type Status struct {
	ID, Term, Leader      uint64
	Role                  Role
	Commit, Last, Applied uint64
	Members               *wire.Members     // in force, committed or not
	Settled               *wire.Members     // the last committed ones
	Match                 map[uint64]uint64 // on the leader, by member
	// Heard is the last message of each other member, on the leader.
	Heard map[uint64]time.Time
}

// Core is one member. Its methods must not run at the same time.
type Core struct {
	s      Settings
	random *rand.Rand
	log    *journal

	term, vote, leader uint64
	role               Role
	now                time.Time
	deadline           time.Time // of the election timeout, or the next heartbeat
	heard              time.Time // last message from the current leader
	started            bool

	granted  map[uint64]bool
	progress map[uint64]*progress
	opened   uint64 // index of the entry that opened the leader's term
	round    uint64
	reads    []*read
	announce bool     // the commit index has moved since the last messages
	asked    []uint64 // reads that wait for an answer of the leader
	incoming *wire.Snapshot

	out       []*wire.Peer
	results   []Read
	dirtyVote bool
	install   *wire.Snapshot
	expelled  bool
	yielding  bool      // another member was asked to take over
	yielded   time.Time // when it was asked
}

// New returns a follower that resumes from st.
func New(s Settings, st State) (*Core, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("new replicator: %w", err)
	}
	j, err := newJournal(st)
	if err != nil {
		return nil, errors.Newf("new replicator: %w", err)
	}
	c := &Core{
		s: s, log: j, term: st.Vote.GetTerm(), vote: st.Vote.GetVote(),
		random: rand.New(rand.NewPCG(s.Seed, s.ID)), //nolint:gosec // election timeouts need no secrecy
	}
	if c.term < j.lastTerm() {
		return nil, errors.Newf("new replicator: vote of term %d is older than the log of term %d", c.term, j.lastTerm())
	}

	return c, nil
}

// Tick tells the core the time. It is called several times a heartbeat.
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
		c.poll()
	}
}

func (c *Core) advanceClock(now time.Time) {
	if !c.started {
		c.started = true
		c.now = now
		c.rearm()
		// A single voter has nobody to wait for.
		if v := c.voters(); len(v) == 1 && v[c.s.ID] {
			c.deadline = now
		}
	}
	if now.After(c.now) {
		c.now = now
	}
}

func (c *Core) rearm() {
	c.deadline = c.now.Add(c.s.Election + time.Duration(c.random.Int64N(int64(c.s.Election))))
}

// Propose appends an entry. ErrNotLeader and ErrBusy mean that it did not. The
// entry is committed if an entry with the returned index and term comes out of
// Ready.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.yielding {
		return 0, 0, ErrNotLeader
	}
	if c.log.open > c.s.Backlog {
		return 0, 0, ErrBusy
	}
	c.append(&wire.Entry{Data: data})

	return c.log.last(), c.term, nil
}

func (c *Core) append(e *wire.Entry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.add(e)
	if e.GetMembers() != nil {
		c.track()
	}
}

// Mark returns a snapshot of the state after the entry at index, without data.
func (c *Core) Mark(index uint64) (*wire.Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.log.handed || index < c.log.snapshot.GetIndex() {
		return nil, errors.Newf("mark %d: not between %d and %d", index, c.log.snapshot.GetIndex(), c.log.handed)
	}

	return &wire.Snapshot{Index: index, Term: term, Members: c.log.membersAt(index)}, nil
}

// Compact replaces the log up to the snapshot, which Mark returned and to which
// the caller has added the data.
func (c *Core) Compact(s *wire.Snapshot) error {
	if index := s.GetIndex(); index > c.log.handed || index < c.log.snapshot.GetIndex() {
		return errors.Newf("compact at %d: not between %d and %d", index, c.log.snapshot.GetIndex(), c.log.handed)
	}
	keep := s.GetIndex()
	for _, p := range c.progress {
		if c.now.Sub(p.heard) < c.s.Election {
			keep = min(keep, p.match)
		}
	}
	c.log.compact(s, keep)

	return nil
}

// Ready returns the work to do. Advance must follow before the next call.
func (c *Core) Ready() Ready {
	c.flush()
	r := Ready{Messages: c.out, Reads: c.results, Snapshot: c.install, Expelled: c.expelled}
	if c.dirtyVote {
		r.Vote = &wire.Vote{Term: c.term, Vote: c.vote}
	}
	c.out, c.results, c.install, c.dirtyVote = nil, nil, nil, false
	r.Entries = c.log.from(c.log.given+1, int(^uint(0)>>1))
	c.log.given = c.log.last()
	for _, e := range c.log.from(c.log.handed+1, int(^uint(0)>>1)) {
		if e.GetIndex() > c.log.commit {
			break
		}
		r.Committed = append(r.Committed, e)
		c.log.handed = e.GetIndex()
	}

	return r
}

// Advance tells the core that the last Ready was synced.
func (c *Core) Advance() {
	c.log.synced = c.log.given
	if c.role == Leader {
		c.commit()
	}
}

// Status returns a copy of the core's position.
func (c *Core) Status() Status {
	m, _ := c.log.members()
	st := Status{
		ID: c.s.ID, Term: c.term, Leader: c.leader, Role: c.role, Commit: c.log.commit,
		Last: c.log.last(), Applied: c.log.handed, Members: cloneMembers(m),
		Settled: cloneMembers(c.log.membersAt(c.log.commit)), Match: make(map[uint64]uint64),
		Heard: make(map[uint64]time.Time),
	}
	for id, p := range c.progress {
		st.Match[id], st.Heard[id] = p.match, p.heard
	}

	return st
}

// Lease returns the time since this member last heard from a majority, on a
// follower by way of the leader. It is negative if it never has.
func (c *Core) Lease(now time.Time) time.Duration {
	if c.role == Leader {
		return now.Sub(c.quorumHeard())
	}
	if c.heard.IsZero() {
		return -1
	}

	return now.Sub(c.heard)
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
	c.out = append(c.out, m)
}

func (c *Core) setTerm(term, vote uint64) {
	if c.term == term && c.vote == vote {
		return
	}
	c.term, c.vote = term, vote
	c.dirtyVote = true
}

// follow makes the member a follower of leader, 0 if unknown.
func (c *Core) follow(term, leader uint64) {
	if term > c.term {
		c.setTerm(term, 0)
	}
	c.failReads()
	c.failAsked()
	if c.role == Leader {
		// A leader that steps down had a majority until now at the latest.
		c.heard = c.quorumHeard()
	}
	c.role, c.leader = Follower, leader
	c.granted, c.progress, c.yielding = nil, nil, false
	c.incoming = nil
	c.rearm()
}

// Step takes a message from another member.
func (c *Core) Step(now time.Time, m *wire.Peer) {
	c.advanceClock(now)
	if m.GetTo() != c.s.ID || c.expelled {
		return
	}
	// Messages are shared with the sender's log in tests and must not change.
	if m.GetPoll() != nil {
		c.stepPoll(m)

		return
	}
	if m.GetTerm() < c.term {
		c.rejectOld(m)

		return
	}
	if m.GetTerm() > c.term {
		if m.GetBallot() != nil && c.leaderAlive() && !m.GetBallot().GetYielded() {
			// A member that was removed or cut off must not depose a leader that
			// the others still hear.
			return
		}
		c.follow(m.GetTerm(), 0)
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
		c.fromLeader(m.GetFrom())
		c.stepAppend(m.GetFrom(), body.Append)
	case *wire.Peer_Install:
		c.fromLeader(m.GetFrom())
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

// rejectOld tells a leader or candidate of an older term about the newer one.
func (c *Core) rejectOld(m *wire.Peer) {
	switch m.GetBody().(type) {
	case *wire.Peer_Append, *wire.Peer_Install:
		c.send(m.GetFrom(), &wire.Peer{Body: &wire.Peer_Appended{Appended: &wire.AppendReply{}}})
	case *wire.Peer_Ballot:
		c.send(m.GetFrom(), &wire.Peer{Body: &wire.Peer_Voted{Voted: &wire.BallotReply{}}})
	}
}

func (c *Core) leaderAlive() bool {
	if c.role == Leader {
		return true
	}

	return c.leader != 0 && c.now.Sub(c.heard) < c.s.Election
}

func (c *Core) stepExpel(from uint64, m *wire.Expel) {
	if from != c.leader || c.log.last() >= m.GetIndex() {
		return
	}
	c.expelled = true
}
