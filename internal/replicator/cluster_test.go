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

// testingT is the part of testing.T and rapid.T that the cluster needs.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// crashPoint is the point at which a host crashes while it processes a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	beforeSend
)

// host is one member with its disk and its state machine, which records commands.
type host struct {
	id                 uint64
	core               *replicator.Core // nil while the host is down
	disk               replicator.State // synced state
	applied            uint64
	commands           map[string]uint64 // index at which each command id was first applied
	reads              map[uint64]uint64 // minimum index that each read must see
	results            map[uint64]replicator.ReadResult
	lost               bool // the disk was destroyed
	expelled           bool
	paused             bool      // the clock of the host is stopped
	now                time.Time // the clock of the host
	installedSnapshots int       // number of snapshots received from a leader
}

// cluster simulates hosts and the network between them in virtual time. It checks
// the invariants after each step.
type cluster struct {
	t            testingT
	now          time.Time
	seed         uint64
	hosts        map[uint64]*host
	network      []*wire.Peer
	blocked      map[[2]uint64]bool
	leaders      map[uint64]uint64 // by term
	committed    []*wire.Entry     // entry i has index i+2
	firstApplied map[string]uint64 // index at which any host first applied a command id
	lastReadID   uint64
}

func newCluster(t testingT, n int, seed uint64) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1000, 0), seed: seed, hosts: make(map[uint64]*host),
		blocked: make(map[[2]uint64]bool), leaders: make(map[uint64]uint64), firstApplied: make(map[string]uint64),
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
	h.reads, h.results = make(map[uint64]uint64), make(map[uint64]replicator.ReadResult)
	h.commands, h.applied = make(map[string]uint64), 0
	if s := h.disk.Snapshot; s != nil {
		c.restore(h, s)
	}
	c.seed++
	core, err := replicator.New(replicator.Settings{
		ID: h.id, ElectionTimeout: election, HeartbeatInterval: heartbeat, Seed: c.seed, BatchBytes: 64, MaxInflight: 3, ChunkBytes: 16, MaxPromotionLag: 4,
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
		c.t.Fatalf("host %d: applied index decreased from %d to %d", h.id, h.applied, s.GetIndex())
	}
	h.applied = s.GetIndex()
	clear(h.commands)
	var m wire.Update // used as the encoding because it has a list
	if err := proto.Unmarshal(s.GetData(), &m); err != nil {
		c.t.Fatalf("host %d: snapshot: %v", h.id, err)
	}
	for _, r := range m.GetRemovals() {
		var index uint64
		_, _ = fmt.Sscan(r.GetKind(), &index)
		h.commands[r.GetName()] = index
	}
}

func (h *host) snapshot() []byte {
	m := &wire.Update{}
	for id, index := range h.commands {
		m.Removals = append(m.Removals, &wire.Removal{Kind: fmt.Sprint(index), Name: id})
	}
	data, _ := proto.Marshal(m)

	return data
}

// members returns the current members according to the host's disk.
func (h *host) members() *wire.Members {
	m := h.disk.Snapshot.GetMembers()
	for _, e := range h.disk.Entries {
		if e.GetMembers() != nil {
			m = e.GetMembers()
		}
	}

	return m
}

// compact takes a snapshot of the host's state and compacts its log.
func (c *cluster) compact(h *host) *wire.Snapshot {
	c.t.Helper()
	s, err := h.core.PrepareSnapshot(h.applied)
	if err != nil {
		c.t.Fatalf("prepare snapshot on host %d: %v", h.id, err)
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

// processReady processes the Readys of a host until there is no more work, or
// until it crashes at the given point.
func (c *cluster) processReady(h *host, at crashPoint) {
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
		c.network = append(c.network, r.Messages...)
		for _, e := range r.Committed {
			c.apply(h, e)
		}
		for _, read := range r.Reads {
			c.endRead(h, read)
		}
		if r.Expelled {
			h.expelled = true
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
		h.installedSnapshots++
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
	for id, index := range h.commands {
		if got, want := index, c.firstApplied[id]; got != want {
			c.t.Fatalf("host %d: snapshot has command %s at index %d, want %d", h.id, id, got, want)
		}
	}
}

func (c *cluster) apply(h *host, e *wire.Entry) {
	c.t.Helper()
	if got, want := e.GetIndex(), h.applied+1; got != want {
		c.t.Fatalf("host %d: applied entry %d, want %d", h.id, got, want)
	}
	h.applied = e.GetIndex()
	at := int(e.GetIndex()) - 2
	switch {
	case at == len(c.committed):
		c.committed = append(c.committed, e)
	case at > len(c.committed):
		c.t.Fatalf("host %d: entry %d was committed before its predecessors", h.id, e.GetIndex())
	case !proto.Equal(c.committed[at], e):
		c.t.Fatalf("host %d: committed entry %d changed: got %v, want %v", h.id, e.GetIndex(), e, c.committed[at])
	}
	id := string(e.GetData())
	if id == "" || h.commands[id] != 0 {
		return
	}
	h.commands[id] = e.GetIndex()
	if c.firstApplied[id] == 0 {
		c.firstApplied[id] = e.GetIndex()
	}
	if got, want := e.GetIndex(), c.firstApplied[id]; got != want {
		c.t.Fatalf("host %d: command %s was applied at index %d, want %d", h.id, id, got, want)
	}
}

// startRead starts a read, which must see everything committed so far.
func (c *cluster) startRead(h *host) (id uint64, err error) {
	c.lastReadID++
	if err := h.core.ReadIndex(c.lastReadID); err != nil {
		return 0, err
	}
	h.reads[c.lastReadID] = uint64(len(c.committed)) + 1

	return c.lastReadID, nil
}

func (c *cluster) endRead(h *host, r replicator.ReadResult) {
	c.t.Helper()
	if want, ok := h.reads[r.ID]; ok && r.OK && r.Index < want {
		c.t.Fatalf("host %d: read at index %d misses entry %d, which was committed before it", h.id, r.Index, want)
	}
	delete(h.reads, r.ID)
	h.results[r.ID] = r
}

// deliver delivers message i of the network. If keep is set, the message stays in
// the network and can be delivered again.
func (c *cluster) deliver(i int, keep bool, at crashPoint) {
	c.t.Helper()
	m := c.network[i]
	if !keep {
		c.network = slices.Delete(c.network, i, i+1)
	}
	h := c.hosts[m.GetTo()]
	if h == nil || h.core == nil || c.blocked[[2]uint64{m.GetFrom(), m.GetTo()}] {
		return
	}
	// Copied, as a real network does.
	m, _ = proto.Clone(m).(*wire.Peer)
	h.core.Step(h.now, m)
	c.processReady(h, at)
}

// tick advances the time by d and calls Tick on all hosts that are not paused.
func (c *cluster) tick(d time.Duration) {
	c.t.Helper()
	c.now = c.now.Add(d)
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.core != nil && !h.paused {
			h.now = c.now
			h.core.Tick(h.now)
			c.processReady(h, noCrash)
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

// run advances the time by d and delivers all messages in order.
func (c *cluster) run(d time.Duration) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick(heartbeat)
		for range 10_000 {
			if len(c.network) == 0 {
				break
			}
			c.deliver(0, false, noCrash)
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

// awaitLeader runs the cluster until there is a leader that has applied its whole
// log.
func (c *cluster) awaitLeader() *host {
	c.t.Helper()
	for range 200 {
		c.run(heartbeat)
		if h := c.leader(); h != nil && h.applied == h.core.Status().Last {
			return h
		}
	}
	c.t.Fatalf("no leader was elected")

	return nil
}

func (c *cluster) propose(h *host, id string) error {
	_, _, err := h.core.Propose([]byte(id))
	c.processReady(h, noCrash)

	return err
}

// isolate blocks the messages from and to a host.
func (c *cluster) isolate(id uint64) {
	for other := range c.hosts {
		c.blocked[[2]uint64{id, other}], c.blocked[[2]uint64{other, id}] = true, true
	}
}

func (c *cluster) heal() { clear(c.blocked) }

var _ testingT = (*testing.T)(nil)
