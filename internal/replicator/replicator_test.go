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

// others returns the running hosts but one.
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

// Guards against a command that is lost after its commit, or that takes effect
// twice when it is sent again after the leader was killed.
func TestLeaderKilled(t *testing.T) {
	for name, test := range map[string]struct {
		at        crash
		delivered bool // the followers have the entry and the leader their answers
	}{
		"before it synced the entry":  {at: beforeSync},
		"before it sent the entry":    {at: beforeSend},
		"after the followers have it": {delivered: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			l := c.elect()
			if _, _, err := l.core.Propose([]byte("command")); err != nil {
				t.Fatal(err)
			}
			c.pump(l, test.at)
			for range len(c.net) {
				c.deliver(0, false, none)
			}
			l.core, c.net = nil, nil
			second := c.elect()
			if got, want := second.counts["command"] != 0, test.delivered; got != want {
				t.Errorf("command took effect: got %t, want %t", got, want)
			}
			if err := c.propose(second, "command"); err != nil {
				t.Fatal(err)
			}
			c.start(l)
			c.run(time.Second)
			for id, h := range c.hosts {
				if got, want := h.counts["command"], c.first["command"]; got != want || got == 0 {
					t.Errorf("host %d: command at %d, want %d", id, got, want)
				}
			}
		})
	}
}

// Guards against a leader that goes on answering after it was cut off, and
// against a host that deposes the leader when it returns after an hour.
func TestHostCutOffForAnHour(t *testing.T) {
	c := newCluster(t, 3, 1)
	old := c.elect()
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
		t.Errorf("read of the leader that was cut off: got %+v, want an end that is not OK", got)
	}
	if got, want := c.propose(old, "x"), replicator.ErrNotLeader; !errors.Is(got, want) {
		t.Errorf("write: got %v, want %v", got, want)
	}
	if _, got := c.startRead(old); !errors.Is(got, replicator.ErrNotLeader) {
		t.Errorf("read: got %v, want %v", got, replicator.ErrNotLeader)
	}
	c.run(time.Hour)
	if got, least := old.core.Lease(c.now), time.Hour; got < least {
		t.Errorf("lease of the host that was cut off: got %v, want at least %v", got, least)
	}
	second := c.others(old)[0]
	if second.core.Status().Role != replicator.Leader {
		second = c.others(old)[1]
	}
	want := second.core.Status().Term
	c.heal()
	c.run(time.Second)
	if got := second.core.Status(); got.Role != replicator.Leader || got.Term != want {
		t.Errorf("leader after the return: got role %v in term %d, want leader in term %d", got.Role, got.Term, want)
	}
	if got := old.counts["refused"]; got != 0 {
		t.Errorf("uncommitted command took effect at %d", got)
	}
	if got, most := old.core.Lease(c.now), election; got > most {
		t.Errorf("lease after the return: got %v, want at most %v", got, most)
	}
}

// Guards against a paused leader that answers a read although another leader
// has committed in the meantime.
func TestPausedLeaderConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3, 1)
	old := c.elect()
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
	c.pump(old, none)
	if got := old.results[id]; got.OK {
		t.Errorf("read of a paused leader: got %+v, want none", got)
	}
}

// Guards against a host with a lost disk that helps to elect a leader without
// committed entries, and against a repair that counts before it caught up.
func TestDiskLostAndSecondHostLostAfterRepair(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.elect()
	c.proposeMany(l, 0, 20)
	lost := c.others(l)[0]
	lost.core, lost.lost, lost.disk = nil, true, replicator.State{}
	// The host starts again with an empty disk, so it draws a new identity.
	fresh := c.join(4)
	if _, _, err := l.core.Remove(lost.id); err != nil {
		t.Fatal(err)
	}
	c.pump(l, none)
	c.run(time.Second)
	if _, _, err := l.core.AddLearner(member(4)); err != nil {
		t.Fatal(err)
	}
	c.pump(l, none)
	c.run(time.Second)
	if got, want := len(l.core.Status().Members.GetVoters()), 3; got != want {
		t.Fatalf("voters after the repair: got %d, want %d", got, want)
	}
	l.core = nil
	second := c.elect()
	c.proposeMany(second, 20, 25)
	for _, h := range []*host{second, fresh} {
		if got, want := len(h.counts), 25; got != want {
			t.Errorf("host %d: got %d commands, want %d", h.id, got, want)
		}
	}
}

// Guards against a learner that counts for the majority before it caught up.
func TestLearnerDoesNotCount(t *testing.T) {
	c := newCluster(t, 1, 1)
	l := c.elect()
	if _, _, err := l.core.AddLearner(member(2)); err != nil {
		t.Fatal(err)
	}
	c.pump(l, none)
	c.run(time.Second)
	c.proposeMany(l, 0, 3)
	if got, want := len(l.counts), 3; got != want {
		t.Errorf("commands with a learner that is down: got %d, want %d", got, want)
	}
	c.join(2)
	c.run(time.Second)
	if got, want := len(l.core.Status().Members.GetVoters()), 2; got != want {
		t.Errorf("voters after the learner caught up: got %d, want %d", got, want)
	}
}

// Guards against a host whose data directory went back in time and that votes
// as if it still had what it acknowledged.
func TestOlderDiskIsExpelled(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.elect()
	c.proposeMany(l, 0, 5)
	h := c.others(l)[0]
	older := h.disk
	c.proposeMany(l, 5, 10)
	h.disk = older
	c.start(h)
	c.run(2 * heartbeat)
	if got, want := h.expel, true; got != want {
		t.Errorf("expelled: got %t, want %t", got, want)
	}
}

// Guards against a removed leader that stays, or that takes the commit of its
// own removal with it.
func TestRemovedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.elect()
	if _, _, err := l.core.Remove(l.id); err != nil {
		t.Fatal(err)
	}
	c.pump(l, none)
	c.run(time.Second)
	second := c.elect()
	if got := second.id; got == l.id {
		t.Errorf("leader after its removal: still %d", got)
	}
	if got, want := len(second.core.Status().Members.GetVoters()), 2; got != want {
		t.Errorf("voters: got %d, want %d", got, want)
	}
}

// Guards against a host that returns after many changes and is sent each of
// them, or several snapshots.
func TestReturnAfter500ChangesByOneSnapshot(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.elect()
	h := c.others(l)[0]
	h.core = nil
	c.run(2 * election)
	c.proposeMany(l, 0, 500)
	s := c.compact(l)
	c.proposeMany(l, 500, 510)
	c.start(h)
	c.run(3 * time.Second)
	if got, want := len(h.counts), 510; got != want {
		t.Errorf("commands: got %d, want %d", got, want)
	}
	if got, want := h.install, 1; got != want {
		t.Errorf("snapshots: got %d, want %d", got, want)
	}
	if got, want := h.disk.Snapshot.GetIndex(), s.GetIndex(); got != want {
		t.Errorf("index of the snapshot: got %d, want %d", got, want)
	}
}

// newLeader returns host 1 of three as the leader of term 4 with an entry of
// term 2, and takes away its messages.
func newLeader(t *testing.T) *replicator.Core {
	t.Helper()
	members := &wire.Members{Voters: []*wire.Member{member(1), member(2), member(3)}}
	core, err := replicator.New(replicator.Settings{ID: 1, Election: election, Heartbeat: heartbeat}, replicator.State{
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

// Guards against an entry of an earlier term that is committed by counting
// copies: a later leader could still replace it.
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
		t.Errorf("commit with an entry of the own term: got %d, want %d", got, want)
	}
}

// Guards against a new leader that changes the members before it has committed
// in its term: its majority and that of an earlier change may not overlap.
func TestNewLeaderChangesNoMembersBeforeItsFirstCommit(t *testing.T) {
	core := newLeader(t)
	if _, _, got := core.AddLearner(member(4)); !errors.Is(got, replicator.ErrChanging) {
		t.Errorf("add before the first commit: got %v, want %v", got, replicator.ErrChanging)
	}
}

// Guards against a vote that is forgotten in a crash and given to another
// candidate of the same term.
func TestVoteSurvivesCrash(t *testing.T) {
	c := newCluster(t, 3, 1)
	h := c.hosts[1]
	ballot := func(from uint64) bool {
		h.core.Step(c.now, &wire.Peer{From: from, To: 1, Term: 9, Body: &wire.Peer_Ballot{
			Ballot: &wire.Ballot{Index: 1, Term: 1},
		}})
		c.net = nil
		c.pump(h, none)

		return c.net[len(c.net)-1].GetVoted().GetGranted()
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
	// The term alone was raised first.
	h = c.hosts[2]
	h.core.Step(c.now, &wire.Peer{From: 3, To: 2, Term: 20, Body: &wire.Peer_Voted{Voted: &wire.BallotReply{}}})
	c.pump(h, none)
	h.core.Step(c.now, &wire.Peer{From: 3, To: 2, Term: 20, Body: &wire.Peer_Ballot{Ballot: &wire.Ballot{Index: 1, Term: 1}}})
	c.pump(h, none)
	if got, want := h.disk.Vote.GetVote(), uint64(3); got != want {
		t.Errorf("synced vote: got %d, want %d", got, want)
	}
}

// Guards against a late snapshot that drops entries which were acknowledged.
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
	c.pump(h, none)
	h.core.Step(c.now, &wire.Peer{From: 1, To: 2, Term: 5, Body: &wire.Peer_Install{
		Install: &wire.Install{Index: 5, Term: 5, Members: h.disk.Snapshot.GetMembers(), Last: true},
	}})
	c.pump(h, none)
	if got, want := h.core.Status().Last, uint64(10); got != want {
		t.Errorf("last entry: got %d, want %d", got, want)
	}
	if got, want := len(h.disk.Entries), 9; got != want {
		t.Errorf("entries on disk: got %d, want %d", got, want)
	}
}

// Guards against a member that is expelled because a refusal which it sent
// before its acknowledgement arrives after it.
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

// Guards against a leader that ends on purpose and leaves the others to wait for
// their election timeout, or that takes commands which nobody will commit.
func TestYieldingLeaderIsFollowedAtOnce(t *testing.T) {
	c := newCluster(t, 3, 1)
	l := c.elect()
	c.proposeMany(l, 0, 3)
	if !l.core.Yield() {
		t.Fatal("nobody was asked to take over")
	}
	if got, want := c.propose(l, "x"), replicator.ErrNotLeader; !errors.Is(got, want) {
		t.Errorf("propose after the yield: got %v, want %v", got, want)
	}
	for range 20 {
		if len(c.net) > 0 {
			c.deliver(0, false, none)
		}
	}
	// No time has passed.
	second := c.others(l)[0]
	if second.core.Status().Role != replicator.Leader {
		second = c.others(l)[1]
	}
	if got, want := second.core.Status().Role, replicator.Leader; got != want {
		t.Fatalf("role: got %v, want %v", got, want)
	}
	l.core = nil
	c.proposeMany(second, 3, 6)
	if got, want := len(second.counts), 6; got != want {
		t.Errorf("commands: got %d, want %d", got, want)
	}
}
