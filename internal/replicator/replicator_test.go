package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

func member(id uint64) *wire.Member { return &wire.Member{Id: id, Addr: fmt.Sprint(id)} }

// others returns the running hosts except h.
func (c *cluster) others(h *host) []*host {
	var list []*host
	for _, id := range c.ids() {
		if x := c.hosts[id]; x != h && x.core != nil {
			list = append(list, x)
		}
	}

	return list
}

func (c *cluster) proposeMany(h *host, from, to int) {
	c.t.Helper()
	for i := from; i < to; i++ {
		if err := c.propose(h, fmt.Sprintf("command %d", i)); err != nil {
			c.t.Fatalf("propose %d: %v", i, err)
		}
		c.run(heartbeat)
	}
}

// Guards against a command that is lost after it was committed, or that is applied
// twice if it is proposed again after the leader was killed.
func TestLeaderKilled(t *testing.T) {
	for name, test := range map[string]struct {
		at        crashPoint
		delivered bool // the followers have the entry, and the leader has their replies
	}{
		"before it synced the entry":  {at: beforeSync},
		"before it sent the entry":    {at: beforeSend},
		"after the followers have it": {delivered: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			l := c.awaitLeader()
			if _, _, err := l.core.Propose([]byte("command")); err != nil {
				t.Fatal(err)
			}
			c.processReady(l, test.at)
			for range len(c.network) {
				c.deliver(0, false, noCrash)
			}
			l.core, c.network = nil, nil
			second := c.awaitLeader()
			if got, want := second.commands["command"] != 0, test.delivered; got != want {
				t.Errorf("command applied: got %t, want %t", got, want)
			}
			if err := c.propose(second, "command"); err != nil {
				t.Fatal(err)
			}
			c.start(l)
			c.run(time.Second)
			for id, h := range c.hosts {
				if got, want := h.commands["command"], c.firstApplied["command"]; got != want || got == 0 {
					t.Errorf("host %d: command applied at index %d, want %d", id, got, want)
				}
			}
		})
	}
}

// Guards against a leader that still answers reads after it was disconnected, and
// against a host that deposes the leader when it reconnects after an hour.
func TestHostCutOffForAnHour(t *testing.T) {
	c := newCluster(t, 3, 1)
	old := c.awaitLeader()
	c.isolate(old.id)
	id, err := c.startRead(old)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.propose(old, "refused"); err != nil {
		t.Fatal(err)
	}
	c.run(2 * election)
	if got := old.results[id]; got.OK || got.ID != id {
		t.Errorf("read of the disconnected leader: got %+v, want a result that is not OK", got)
	}
	if got, want := c.propose(old, "x"), replicator.ErrNotLeader; !errors.Is(got, want) {
		t.Errorf("write: got %v, want %v", got, want)
	}
	if _, got := c.startRead(old); !errors.Is(got, replicator.ErrNotLeader) {
		t.Errorf("read: got %v, want %v", got, replicator.ErrNotLeader)
	}
	c.run(time.Hour)
	if got, least := old.core.Lease(c.now), time.Hour; got < least {
		t.Errorf("lease of the disconnected host: got %v, want at least %v", got, least)
	}
	second := c.others(old)[0]
	if second.core.Status().Role != replicator.Leader {
		second = c.others(old)[1]
	}
	want := second.core.Status().Term
	c.heal()
	c.run(time.Second)
	if got := second.core.Status(); got.Role != replicator.Leader || got.Term != want {
		t.Errorf("leader after the reconnection: got role %v in term %d, want leader in term %d", got.Role, got.Term, want)
	}
	if got := old.commands["refused"]; got != 0 {
		t.Errorf("uncommitted command was applied at index %d", got)
	}
	if got, most := old.core.Lease(c.now), election; got > most {
		t.Errorf("lease after the reconnection: got %v, want at most %v", got, most)
	}
}

// Guards against a leader that resumes after a pause and answers a read, although
// another leader has committed entries in the meantime.
func TestPausedLeaderConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3, 1)
	old := c.awaitLeader()
	c.isolate(old.id)
	old.paused = true
	c.run(5 * election)
	l := c.others(old)[0]
	if l.core.Status().Role != replicator.Leader {
		l = c.others(old)[1]
	}
	c.proposeMany(l, 0, 3)
	id, err := c.startRead(old)
	if err != nil {
		t.Fatal(err)
	}
	c.processReady(old, noCrash)
	if got := old.results[id]; got.OK {
		t.Errorf("read of a paused leader: got %+v, want no result that is OK", got)
	}
}

// Guards against a host with a lost disk that votes for a leader without all
// committed entries, and against a replacement that counts toward the majority
// before it has caught up.
func TestDiskLostAndSecondHostLostAfterRepair(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.awaitLeader()
	c.proposeMany(l, 0, 20)
	lost := c.others(l)[0]
	lost.core, lost.lost, lost.disk = nil, true, replicator.State{}
	// The host restarts with an empty disk and therefore gets a new identity.
	fresh := c.join(4)
	if _, _, err := l.core.Remove(lost.id); err != nil {
		t.Fatal(err)
	}
	c.processReady(l, noCrash)
	c.run(time.Second)
	if _, _, err := l.core.AddLearner(member(4)); err != nil {
		t.Fatal(err)
	}
	c.processReady(l, noCrash)
	c.run(time.Second)
	if got, want := len(l.core.Status().Members.GetVoters()), 3; got != want {
		t.Fatalf("voters after the replacement: got %d, want %d", got, want)
	}
	l.core = nil
	second := c.awaitLeader()
	c.proposeMany(second, 20, 25)
	for _, h := range []*host{second, fresh} {
		if got, want := len(h.commands), 25; got != want {
			t.Errorf("host %d: got %d commands, want %d", h.id, got, want)
		}
	}
}

// Guards against a learner that counts toward the majority before it has caught
// up.
func TestLearnerDoesNotCount(t *testing.T) {
	c := newCluster(t, 1, 1)
	l := c.awaitLeader()
	if _, _, err := l.core.AddLearner(member(2)); err != nil {
		t.Fatal(err)
	}
	c.processReady(l, noCrash)
	c.run(time.Second)
	c.proposeMany(l, 0, 3)
	if got, want := len(l.commands), 3; got != want {
		t.Errorf("commands with a learner that is down: got %d, want %d", got, want)
	}
	c.join(2)
	c.run(time.Second)
	if got, want := len(l.core.Status().Members.GetVoters()), 2; got != want {
		t.Errorf("voters after the learner caught up: got %d, want %d", got, want)
	}
}

// Guards against a host whose data directory was replaced by an older copy and
// that votes as if it still had the entries it acknowledged.
func TestOlderDiskIsExpelled(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.awaitLeader()
	c.proposeMany(l, 0, 5)
	h := c.others(l)[0]
	older := h.disk
	c.proposeMany(l, 5, 10)
	h.disk = older
	c.start(h)
	c.run(2 * heartbeat)
	if got, want := h.expelled, true; got != want {
		t.Errorf("expelled: got %t, want %t", got, want)
	}
}

// Guards against a removed leader that remains leader, or that steps down before
// the others know that its removal is committed.
func TestRemovedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.awaitLeader()
	if _, _, err := l.core.Remove(l.id); err != nil {
		t.Fatal(err)
	}
	c.processReady(l, noCrash)
	c.run(time.Second)
	second := c.awaitLeader()
	if got := second.id; got == l.id {
		t.Errorf("host %d is still leader after its removal", got)
	}
	if got, want := len(second.core.Status().Members.GetVoters()), 2; got != want {
		t.Errorf("voters: got %d, want %d", got, want)
	}
}

// Guards against sending a host that restarts after many changes each of these
// changes, or several snapshots, instead of a single snapshot.
func TestReturnAfter500ChangesByOneSnapshot(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.awaitLeader()
	h := c.others(l)[0]
	h.core = nil
	c.run(2 * election)
	c.proposeMany(l, 0, 500)
	s := c.compact(l)
	c.proposeMany(l, 500, 510)
	c.start(h)
	c.run(3 * time.Second)
	if got, want := len(h.commands), 510; got != want {
		t.Errorf("commands: got %d, want %d", got, want)
	}
	if got, want := h.installedSnapshots, 1; got != want {
		t.Errorf("snapshots: got %d, want %d", got, want)
	}
	if got, want := h.disk.Snapshot.GetIndex(), s.GetIndex(); got != want {
		t.Errorf("index of the snapshot: got %d, want %d", got, want)
	}
}

// newLeader returns host 1 of three as the leader of term 4, with an entry of term
// 2 in its log. Its messages are discarded.
func newLeader(t *testing.T) *replicator.Core {
	t.Helper()
	members := &wire.Members{Voters: []*wire.Member{member(1), member(2), member(3)}}
	core, err := replicator.New(replicator.Settings{ID: 1, ElectionTimeout: election, HeartbeatInterval: heartbeat}, replicator.State{
		Vote:     &wire.Vote{Term: 3},
		Snapshot: &wire.Snapshot{Index: 1, Term: 1, Members: members},
		Entries:  []*wire.Entry{{Index: 2, Term: 2, Data: []byte("old")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	core.Tick(now)
	now = now.Add(2 * election)
	core.Tick(now)
	for _, m := range []*wire.Peer{
		{Term: 3, Body: &wire.Peer_Polled{Polled: &wire.PollReply{Granted: true}}},
		{Term: 4, Body: &wire.Peer_Voted{Voted: &wire.BallotReply{Granted: true}}},
	} {
		m.From, m.To = 2, 1
		core.Step(now, m)
	}
	core.Ready()
	core.Advance()
	if got, want := core.Status().Role, replicator.Leader; got != want {
		t.Fatalf("role: got %v, want %v", got, want)
	}

	return core
}

// Guards against committing an entry of an earlier term by counting its copies: a
// later leader could still replace it.
func TestEntryOfEarlierTermIsNotCommittedAlone(t *testing.T) {
	core := newLeader(t)
	core.Step(time.Unix(1, 0), &wire.Peer{From: 2, To: 1, Term: 4, Body: &wire.Peer_Appended{
		Appended: &wire.AppendReply{Ok: true, Index: 2, Last: 2},
	}})
	if got, want := core.Status().Commit, uint64(1); got != want {
		t.Errorf("commit: got %d, want %d", got, want)
	}
	core.Step(time.Unix(1, 0), &wire.Peer{From: 2, To: 1, Term: 4, Body: &wire.Peer_Appended{
		Appended: &wire.AppendReply{Ok: true, Index: 3, Last: 3},
	}})
	if got, want := core.Status().Commit, uint64(3); got != want {
		t.Errorf("commit with an entry of the current term: got %d, want %d", got, want)
	}
}

// Guards against a new leader that changes the members before it has committed an
// entry of its term: its majority and that of an earlier change may not overlap.
func TestNewLeaderChangesNoMembersBeforeItsFirstCommit(t *testing.T) {
	core := newLeader(t)
	if _, _, got := core.AddLearner(member(4)); !errors.Is(got, replicator.ErrChangeInProgress) {
		t.Errorf("add before the first commit: got %v, want %v", got, replicator.ErrChangeInProgress)
	}
}

// Guards against a vote that is lost in a crash, after which the host votes for
// another candidate in the same term.
func TestVoteSurvivesCrash(t *testing.T) {
	c := newCluster(t, 3, 1)
	h := c.hosts[1]
	ballot := func(from uint64) bool {
		h.core.Step(c.now, &wire.Peer{From: from, To: 1, Term: 9, Body: &wire.Peer_Ballot{
			Ballot: &wire.Ballot{Index: 1, Term: 1},
		}})
		c.network = nil
		c.processReady(h, noCrash)

		return c.network[len(c.network)-1].GetVoted().GetGranted()
	}
	for _, step := range []struct {
		from uint64
		want bool
	}{{2, true}, {3, false}, {2, true}} {
		if got := ballot(step.from); got != step.want {
			t.Errorf("vote for %d: got %t, want %t", step.from, got, step.want)
		}
		h.core = nil
		c.start(h)
	}
	// Here the term is raised before the vote is given.
	h = c.hosts[2]
	h.core.Step(c.now, &wire.Peer{From: 3, To: 2, Term: 20, Body: &wire.Peer_Voted{Voted: &wire.BallotReply{}}})
	c.processReady(h, noCrash)
	h.core.Step(c.now, &wire.Peer{From: 3, To: 2, Term: 20, Body: &wire.Peer_Ballot{Ballot: &wire.Ballot{Index: 1, Term: 1}}})
	c.processReady(h, noCrash)
	if got, want := h.disk.Vote.GetVote(), uint64(3); got != want {
		t.Errorf("synced vote: got %d, want %d", got, want)
	}
}

// Guards against a delayed snapshot that drops acknowledged entries after it.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := newCluster(t, 3, 1)
	h := c.hosts[2]
	var entries []*wire.Entry
	for i := range 9 {
		entries = append(entries, &wire.Entry{Index: uint64(i + 2), Term: 5, Data: []byte{byte(i)}})
	}
	h.core.Step(c.now, &wire.Peer{From: 1, To: 2, Term: 5, Body: &wire.Peer_Append{
		Append: &wire.Append{Index: 1, Term: 1, Commit: 1, Entries: entries},
	}})
	c.processReady(h, noCrash)
	h.core.Step(c.now, &wire.Peer{From: 1, To: 2, Term: 5, Body: &wire.Peer_Install{
		Install: &wire.Install{Index: 5, Term: 5, Members: h.disk.Snapshot.GetMembers(), Last: true},
	}})
	c.processReady(h, noCrash)
	if got, want := h.core.Status().Last, uint64(10); got != want {
		t.Errorf("last entry: got %d, want %d", got, want)
	}
	if got, want := len(h.disk.Entries), 9; got != want {
		t.Errorf("entries on disk: got %d, want %d", got, want)
	}
}

// Guards against expelling a member because a rejection that it sent before its
// acknowledgement arrives after it.
func TestReorderedRefusalDoesNotExpel(t *testing.T) {
	core := newLeader(t)
	core.Tick(time.Unix(0, 0).Add(2*election + heartbeat))
	for _, r := range []*wire.AppendReply{
		{Ok: true, Index: 3, Last: 3, Round: 1},
		{Index: 1, Last: 1, Round: 2},
	} {
		core.Step(time.Unix(1, 0), &wire.Peer{From: 2, To: 1, Term: 4, Body: &wire.Peer_Appended{Appended: r}})
	}
	for _, m := range core.Ready().Messages {
		if m.GetExpel() != nil {
			t.Errorf("got %v, want no expulsion", m)
		}
	}
}

// Guards against a leader that is stopped on purpose and makes the others wait for
// their election timeout, or that accepts proposals which nobody will commit.
func TestYieldingLeaderIsFollowedAtOnce(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.awaitLeader()
	c.proposeMany(l, 0, 3)
	if !l.core.Yield() {
		t.Fatal("leadership transfer did not start")
	}
	if got, want := c.propose(l, "x"), replicator.ErrNotLeader; !errors.Is(got, want) {
		t.Errorf("propose during the leadership transfer: got %v, want %v", got, want)
	}
	for range 20 {
		if len(c.network) > 0 {
			c.deliver(0, false, noCrash)
		}
	}
	// The clock was not advanced, so no election timeout has expired.
	second := c.others(l)[0]
	if second.core.Status().Role != replicator.Leader {
		second = c.others(l)[1]
	}
	if got, want := second.core.Status().Role, replicator.Leader; got != want {
		t.Fatalf("role: got %v, want %v", got, want)
	}
	l.core = nil
	c.proposeMany(second, 3, 6)
	if got, want := len(second.commands), 6; got != want {
		t.Errorf("commands: got %d, want %d", got, want)
	}
}

// Guards against a host that names a fresh lease while it hears from the leader and lacks what the leader has committed.
func TestLeaseOfHostThatIsBehind(t *testing.T) {
	c := newCluster(t, 3, 1)
	leader := c.awaitLeader()
	behind := c.others(leader)[0]
	if err := c.propose(leader, "before"); err != nil {
		t.Fatal(err)
	}
	c.run(election)
	if got, most := behind.core.Lease(c.now), election; got < 0 || got > most {
		t.Errorf("lease of a host that is up to date: got %v, want 0 to %v", got, most)
	}
	// The leader does not hear which entries have arrived, and sends no more of them.
	c.blocked[[2]uint64{behind.id, leader.id}] = true
	for i := range 8 {
		if err := c.propose(leader, fmt.Sprint("missed", i)); err != nil {
			t.Fatal(err)
		}
		c.run(heartbeat)
	}
	c.run(10 * election)
	if leader.core.Status().Role != replicator.Leader || behind.commands["missed7"] != 0 || leader.commands["missed7"] == 0 {
		t.Fatal("the host is not behind")
	}
	if got, least := behind.core.Lease(c.now), 5*election; got < least {
		t.Errorf("lease of a host that is behind: got %v, want at least %v", got, least)
	}
	c.heal()
	c.run(time.Second)
	if got, most := behind.core.Lease(c.now), election; got > most || behind.commands["missed7"] == 0 {
		t.Errorf("lease after it has caught up: got %v, want at most %v", got, most)
	}
}
