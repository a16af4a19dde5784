package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	election  = 100 * time.Millisecond
	heartbeat = 20 * time.Millisecond
)

// failer is the part of a test that reports faults.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// crash is the point in a round at which a host dies.
type crash int

const (
	none crash = iota
	beforeSync
	beforeSend
)

// host is one member with its disk and its state machine.
type host struct {
	id      uint64
	core    *replicator.Core // nil while the host is down
	disk    replicator.State // what is synced
	applied uint64
	counts  map[string]uint64 // first index of each command id
	reads   map[uint64]uint64 // least index that a read must see
	results map[uint64]replicator.Read
	lost    bool // its disk is gone for good
	expel   bool
	paused  bool      // its clock stands still
	now     time.Time // its clock
	install int       // snapshots taken from a leader
}

// cluster is a set of hosts and the network between them, in virtual time. It
// checks the invariants after each step.
type cluster struct {
	t         failer
	now       time.Time
	seed      uint64
	hosts     map[uint64]*host
	net       []*wire.Peer
	cut       map[[2]uint64]bool
	leaders   map[uint64]uint64 // by term
	committed []*wire.Entry     // from index 2 on
	first     map[string]uint64 // index at which a command id was applied first
	read      uint64
}

func newCluster(t failer, n int, seed uint64) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1000, 0), seed: seed, hosts: make(map[uint64]*host),
		cut: make(map[[2]uint64]bool), leaders: make(map[uint64]uint64), first: make(map[string]uint64),
	}
	members := &wire.Members{}
	for i := range n {
		members.Voters = append(members.Voters, &wire.Member{Id: uint64(i + 1), Addr: fmt.Sprint(i + 1)})
	}
	for _, m := range members.GetVoters() {
		c.start(&host{id: m.GetId(), disk: replicator.State{
			Vote:     &wire.Vote{Term: 1},
			Snapshot: &wire.Snapshot{Index: 1, Term: 1, Members: members},
		}})
	}

	return c
}

// join starts a host with an empty disk.
func (c *cluster) join(id uint64) *host {
	h := &host{id: id, disk: replicator.State{Vote: &wire.Vote{}}}
	c.start(h)

	return h
}

func (c *cluster) start(h *host) {
	c.t.Helper()
	c.hosts[h.id] = h
	h.reads, h.results = make(map[uint64]uint64), make(map[uint64]replicator.Read)
	h.counts, h.applied = make(map[string]uint64), 0
	if s := h.disk.Snapshot; s != nil {
		c.restore(h, s)
	}
	c.seed++
	core, err := replicator.New(replicator.Settings{
		ID: h.id, Election: election, Heartbeat: heartbeat, Seed: c.seed, Batch: 64, Window: 3, Chunk: 16, Lag: 4,
	}, h.disk)
	if err != nil {
		c.t.Fatalf("start host %d: %v", h.id, err)
	}
	h.core, h.paused, h.now = core, false, c.now
	h.core.Tick(h.now)
}

func (c *cluster) restore(h *host, s *wire.Snapshot) {
	c.t.Helper()
	if s.GetIndex() < h.applied {
		c.t.Fatalf("host %d: applied index fell from %d to %d", h.id, h.applied, s.GetIndex())
	}
	h.applied = s.GetIndex()
	clear(h.counts)
	var m wire.Update // any message with a list serves as the encoding
	if err := proto.Unmarshal(s.GetData(), &m); err != nil {
		c.t.Fatalf("host %d: snapshot: %v", h.id, err)
	}
	for _, r := range m.GetRemovals() {
		var index uint64
		_, _ = fmt.Sscan(r.GetKind(), &index)
		h.counts[r.GetName()] = index
	}
}

func (h *host) snapshot() []byte {
	m := &wire.Update{}
	for id, index := range h.counts {
		m.Removals = append(m.Removals, &wire.Removal{Kind: fmt.Sprint(index), Name: id})
	}
	data, _ := proto.Marshal(m)

	return data
}

// members returns the members that are in force by the host's disk.
func (h *host) members() *wire.Members {
	m := h.disk.Snapshot.GetMembers()
	for _, e := range h.disk.Entries {
		if e.GetMembers() != nil {
			m = e.GetMembers()
		}
	}

	return m
}

// compact takes a snapshot of the host's state.
func (c *cluster) compact(h *host) *wire.Snapshot {
	c.t.Helper()
	s, err := h.core.Mark(h.applied)
	if err != nil {
		c.t.Fatalf("mark on host %d: %v", h.id, err)
	}
	s.Data = h.snapshot()
	if err := h.core.Compact(s); err != nil {
		c.t.Fatalf("compact host %d: %v", h.id, err)
	}
	for len(h.disk.Entries) > 0 && h.disk.Entries[0].GetIndex() <= h.applied {
		h.disk.Entries = h.disk.Entries[1:]
	}
	h.disk.Snapshot = s

	return s
}

// pump does the work of a host until there is none, or until the crash.
func (c *cluster) pump(h *host, at crash) {
	c.t.Helper()
	for h.core != nil {
		r := h.core.Ready()
		if r.Empty() {
			return
		}
		if at == beforeSync {
			h.core = nil

			return
		}
		c.sync(h, &r)
		if at == beforeSend {
			h.core = nil

			return
		}
		c.net = append(c.net, r.Messages...)
		for _, e := range r.Committed {
			c.apply(h, e)
		}
		for _, read := range r.Reads {
			c.endRead(h, read)
		}
		if r.Expelled {
			h.expel = true
			h.core = nil

			return
		}
		h.core.Advance()
		c.checkLeader(h)
	}
}

func (c *cluster) sync(h *host, r *replicator.Ready) {
	if r.Vote != nil {
		h.disk.Vote = r.Vote
	}
	if r.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = r.Snapshot, nil
		h.install++
		c.restore(h, r.Snapshot)
		c.checkSnapshot(h)
	}
	if len(r.Entries) > 0 {
		h.disk.Entries = slices.Clone(h.disk.Entries)
		keep := slices.IndexFunc(h.disk.Entries, func(e *wire.Entry) bool { return e.GetIndex() >= r.Entries[0].GetIndex() })
		if keep >= 0 {
			h.disk.Entries = h.disk.Entries[:keep]
		}
		h.disk.Entries = append(h.disk.Entries, r.Entries...)
	}
}

func (c *cluster) checkLeader(h *host) {
	c.t.Helper()
	st := h.core.Status()
	if st.Role != replicator.Leader {
		return
	}
	if got, want := st.ID, c.leaders[st.Term]; want != 0 && got != want {
		c.t.Fatalf("term %d has two leaders: %d and %d", st.Term, got, want)
	}
	c.leaders[st.Term] = st.ID
}

func (c *cluster) checkSnapshot(h *host) {
	c.t.Helper()
	for id, index := range h.counts {
		if got, want := index, c.first[id]; got != want {
			c.t.Fatalf("host %d: snapshot has command %s at %d, want %d", h.id, id, got, want)
		}
	}
}

func (c *cluster) apply(h *host, e *wire.Entry) {
	c.t.Helper()
	if got, want := e.GetIndex(), h.applied+1; got != want {
		c.t.Fatalf("host %d: applies entry %d, want %d", h.id, got, want)
	}
	h.applied = e.GetIndex()
	at := int(e.GetIndex()) - 2
	switch {
	case at == len(c.committed):
		c.committed = append(c.committed, e)
	case at > len(c.committed):
		c.t.Fatalf("host %d: entry %d is committed before its predecessors", h.id, e.GetIndex())
	case !proto.Equal(c.committed[at], e):
		c.t.Fatalf("host %d: committed entry %d changed: got %v, want %v", h.id, e.GetIndex(), e, c.committed[at])
	}
	id := string(e.GetData())
	if id == "" || h.counts[id] != 0 {
		return
	}
	h.counts[id] = e.GetIndex()
	if c.first[id] == 0 {
		c.first[id] = e.GetIndex()
	}
	if got, want := e.GetIndex(), c.first[id]; got != want {
		c.t.Fatalf("host %d: command %s takes effect at %d, want %d", h.id, id, got, want)
	}
}

// startRead starts a read that must see everything committed so far.
func (c *cluster) startRead(h *host) (id uint64, err error) {
	c.read++
	if err := h.core.ReadIndex(c.read); err != nil {
		return 0, err
	}
	h.reads[c.read] = uint64(len(c.committed)) + 1

	return c.read, nil
}

func (c *cluster) endRead(h *host, r replicator.Read) {
	c.t.Helper()
	if want, ok := h.reads[r.ID]; ok && r.OK && r.Index < want {
		c.t.Fatalf("host %d: read at %d does not see entry %d that was committed before it", h.id, r.Index, want)
	}
	delete(h.reads, r.ID)
	h.results[r.ID] = r
}

// deliver hands over message i. keep leaves a copy in the network.
func (c *cluster) deliver(i int, keep bool, at crash) {
	c.t.Helper()
	m := c.net[i]
	if !keep {
		c.net = slices.Delete(c.net, i, i+1)
	}
	h := c.hosts[m.GetTo()]
	if h == nil || h.core == nil || c.cut[[2]uint64{m.GetFrom(), m.GetTo()}] {
		return
	}
	// A copy, as over a real network.
	m, _ = proto.Clone(m).(*wire.Peer)
	h.core.Step(h.now, m)
	c.pump(h, at)
}

// tick moves the time and ticks all hosts.
func (c *cluster) tick(d time.Duration) {
	c.t.Helper()
	c.now = c.now.Add(d)
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.core != nil && !h.paused {
			h.now = c.now
			h.core.Tick(h.now)
			c.pump(h, none)
		}
	}
}

func (c *cluster) ids() []uint64 {
	var ids []uint64
	for id := range c.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)

	return ids
}

// run delivers everything in order for a while.
func (c *cluster) run(d time.Duration) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick(heartbeat)
		for range 10_000 {
			if len(c.net) == 0 {
				break
			}
			c.deliver(0, false, none)
		}
	}
}

func (c *cluster) leader() *host {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.core != nil && h.core.Status().Role == replicator.Leader {
			return h
		}
	}

	return nil
}

// elect runs until there is a leader that has committed in its term.
func (c *cluster) elect() *host {
	c.t.Helper()
	for range 200 {
		c.run(heartbeat)
		if h := c.leader(); h != nil && h.applied == h.core.Status().Last {
			return h
		}
	}
	c.t.Fatalf("no leader")

	return nil
}

func (c *cluster) propose(h *host, id string) error {
	_, _, err := h.core.Propose([]byte(id))
	c.pump(h, none)

	return err
}

// isolate cuts a host off in both directions.
func (c *cluster) isolate(id uint64) {
	for other := range c.hosts {
		c.cut[[2]uint64{id, other}], c.cut[[2]uint64{other, id}] = true, true
	}
}

func (c *cluster) heal() { clear(c.cut) }

var _ failer = (*testing.T)(nil)
