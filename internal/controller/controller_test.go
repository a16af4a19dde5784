package controller_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/wire"
)

const pollInterval = 5 * time.Millisecond

// host is a control host under test.
type host struct {
	*controller.Controller
	settings controller.Settings
	state    *fakeState
	disk     *fullDisk
}

func settings(dir string) controller.Settings {
	return controller.Settings{
		Number: 1, Listen: "127.0.0.1:0", DataDir: dir,
		Members:         []*wire.Member{{Number: 1, Addr: "127.0.0.1:0"}},
		ElectionTimeout: 300 * time.Millisecond, HeartbeatInterval: 30 * time.Millisecond, CommitTimeout: 3 * time.Second,
		PulseInterval: 100 * time.Millisecond, Force: 500 * time.Millisecond, AbsentTimeout: 600 * time.Millisecond,
	}
}

func start(t testing.TB, s controller.Settings) *host {
	t.Helper()
	h := &host{settings: s, state: newFakeState()}
	s.State = h.state
	if s.Files == nil {
		files, err := recorder.OpenDir(s.DataDir)
		if err != nil {
			t.Fatal(err)
		}
		h.disk = &fullDisk{Files: files}
		s.Files = h.disk
	}
	var err error
	if h.Controller, err = controller.New(s); err != nil {
		t.Fatal(err)
	}
	if err := h.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Close() })

	return h
}

// cluster starts n hosts on loopback, with settings modified by adjust.
func cluster(t testing.TB, n int, adjust ...func(*controller.Settings)) []*host {
	t.Helper()
	var members []*wire.Member
	for i, addr := range freeAddrs(t, n) {
		members = append(members, &wire.Member{Number: uint64(i + 1), Addr: addr})
	}
	hosts := make([]*host, n)
	for i := range n {
		s := settings(t.TempDir())
		s.Number, s.Listen, s.Members = uint64(i+1), members[i].GetAddr(), members
		for _, change := range adjust {
			change(&s)
		}
		hosts[i] = start(t, s)
	}

	return hosts
}

// takenAddrs are the addresses that freeAddrs has returned.
var takenAddrs sync.Map

// freeAddrs returns n different addresses on which nothing listens. Their loopback IP is that
// of this process alone, so that no other one takes them before they are used. No address is
// returned twice, since a host that is reopened does not listen for some time.
func freeAddrs(t testing.TB, n int) []string {
	t.Helper()
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16), byte(pid>>8), byte(pid)).String()
	var addrs []string
	for len(addrs) < n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }() // only after all addresses are chosen
		addr := l.Addr().String()
		if _, taken := takenAddrs.LoadOrStore(addr, true); !taken {
			addrs = append(addrs, addr)
		}
	}

	return addrs
}

// Guards against two hosts of a cluster that get the same address.
func TestFreeAddrsDiffer(t *testing.T) {
	const n = 1000
	addrs := freeAddrs(t, n)
	slices.Sort(addrs)
	if got := len(slices.Compact(addrs)); got != n {
		t.Errorf("different addresses: got %d of %d, want all", got, n)
	}
}

func openStream(t testing.TB, h *host, r *wire.Request) *messenger.Stream {
	t.Helper()
	session, err := messenger.Dial(context.Background(), h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = session.Close() })
	s, err := session.Open(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Send(r); err != nil {
		t.Fatal(err)
	}

	return s
}

func request(t testing.TB, h *host, r *wire.Request) *wire.Response {
	t.Helper()
	s := openStream(t, h, r)
	defer func() { _ = s.Close() }()
	response := &wire.Response{}
	if err := s.Recv(response); err != nil {
		t.Fatal(err)
	}

	return response
}

func newChange(id string) *wire.Command {
	return &wire.Command{Id: id, Body: &wire.Command_Change{Change: &wire.Change{}}}
}

// apply sends a command repeatedly until it is decided.
func apply(t testing.TB, h *host, cmd *wire.Command) *wire.Result {
	t.Helper()
	var r *wire.Result
	waitUntil(func() bool {
		r = request(t, h, &wire.Request{Body: &wire.Request_Command{Command: cmd}}).GetResult()

		return r.GetOutcome() != wire.Outcome_OUTCOME_REFUSED && r.GetOutcome() != wire.Outcome_OUTCOME_PENDING
	})

	return r
}

// waitUntil polls a condition that has no event to wait for.
func waitUntil(reached func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !reached() {
		<-ticker.C
	}
}

func query(t testing.TB, h *host, subject string) *wire.Table {
	t.Helper()

	return request(t, h, &wire.Request{Body: &wire.Request_Query{Query: &wire.Query{Subject: subject}}}).GetTable()
}

// Guards against a single control host that does not serve, loses acknowledged commands on
// restart, or runs a resent command twice.
func TestSingleMemberKeepsCommandsAfterRestart(t *testing.T) {
	s := settings(t.TempDir())
	h := start(t, s)
	for i := range 10 {
		apply(t, h, newChange(fmt.Sprint(i)))
	}
	first := apply(t, h, newChange("3"))
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
	h = start(t, s)
	if got, want := apply(t, h, newChange("3")).GetIndex(), first.GetIndex(); got != want {
		t.Errorf("index of a resent command: got %d, want %d", got, want)
	}
	table := query(t, h, "services")
	if got, want := table.GetRows()[0].GetCells()[0], "10"; got != want || table.GetStale() {
		t.Errorf("revision after restart: got %s (stale %t), want %s", got, table.GetStale(), want)
	}
}

// Guards against a follower that does not forward commands, and against losing a change
// when the leader fails right after acknowledging it.
func TestThreeMembersSurviveLeaderLoss(t *testing.T) {
	hosts := cluster(t, 3)
	for i := range 10 {
		r := apply(t, hosts[i%3], newChange(fmt.Sprint(i)))
		if got, want := r.GetRevision(), uint64(i+1); got != want {
			t.Fatalf("revision: got %d, want %d", got, want)
		}
	}
	l, rest := leader(t, hosts)
	failDisk(t, l)
	for _, h := range rest {
		table := query(t, h, "services")
		if got, want := table.GetRows()[0].GetCells()[0], "10"; got != want || table.GetStale() {
			t.Errorf("revision after the loss of the leader: got %s (stale %t), want %s", got, table.GetStale(), want)
		}
	}
	if got, want := apply(t, rest[0], newChange("11")).GetRevision(), uint64(11); got != want {
		t.Errorf("revision of the next change: got %d, want %d", got, want)
	}
}

// failDisk makes a host fail without a leadership transfer: it stops at the first write
// rejected by its disk.
func failDisk(t testing.TB, h *host) {
	t.Helper()
	h.disk.full.Store(true)
	s := openStream(t, h, &wire.Request{Body: &wire.Request_Command{Command: newChange("lost with " + h.settings.DataDir)}})
	defer func() { _ = s.Close() }()
	<-h.Done()
}

// Guards against an election timeout without a leader whenever the leader is stopped on
// purpose.
func TestClosingLeaderTransfersLeadership(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	apply(t, l, newChange("1"))
	waitUntil(func() bool { return rest[0].Dump().Applied == l.Dump().Applied })
	_ = l.Close()
	if got, want := rest[0].Dump().Role == "leader" || rest[1].Dump().Role == "leader", true; got != want {
		t.Errorf("another host leads once the leader is closed: got %t, want %t", got, want)
	}
}

// restart closes a host and starts it again with the same settings. If lost is true, it
// starts with an empty data directory.
func restart(t testing.TB, h *host, lost bool) *host {
	t.Helper()
	_ = h.Close()
	if lost {
		h.settings.DataDir = t.TempDir()
	}

	return start(t, h.settings)
}

// Guards against a host that answers without a majority as if it had one.
func TestNoMajorityRefusesCommandsAndMarksReadsStale(t *testing.T) {
	hosts := cluster(t, 3)
	apply(t, hosts[0], newChange("1"))
	l, rest := leader(t, hosts)
	for _, h := range rest {
		_ = h.Close()
	}
	waitUntil(func() bool { return l.Dump().Role != "leader" })
	r := request(t, l, &wire.Request{Body: &wire.Request_Command{Command: newChange("2")}}).GetResult()
	if got, want := r.GetOutcome(), wire.Outcome_OUTCOME_REFUSED; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	table := query(t, l, "services")
	if got, want := table.GetStale(), true; got != want {
		t.Errorf("stale: got %t, want %t", got, want)
	}
	if got, want := table.GetRows()[0].GetCells()[0], "1"; got != want {
		t.Errorf("revision: got %s, want %s", got, want)
	}
}

// Guards against a host that lost its disk and votes under its old identity, and against
// losing changes when a second host fails right after the first one was replaced.
func TestHostWithLostDiskJoinsAsNewMember(t *testing.T) {
	hosts := cluster(t, 3)
	for i := range 20 {
		apply(t, hosts[0], newChange(fmt.Sprint(i)))
	}
	l, rest := leader(t, hosts)
	fresh := restart(t, rest[0], true)
	waitUntil(func() bool { return fresh.Dump().Founded })
	apply(t, l, newChange("20"))
	if got, want := fresh.Dump().Last, uint64(0); got != want {
		t.Errorf("log of the replaced host before it was added: got %d entries, want %d", got, want)
	}
	for _, verb := range []string{"remove", "add"} {
		r := apply(t, rest[1], &wire.Command{Id: verb, Body: &wire.Command_Peering{Peering: &wire.Peering{
			Verb: verb, Addr: fresh.Addr(),
		}}})
		if got, want := r.GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
			t.Fatalf("%s: got %v (%s), want %v", verb, got, r.GetText(), want)
		}
	}
	waitUntil(func() bool {
		members := l.Dump().Members

		return len(members) == 3 && !slices.ContainsFunc(members, func(m controller.Member) bool { return m.Learner })
	})
	failDisk(t, l)
	for _, h := range []*host{fresh, rest[1]} {
		table := query(t, h, "services")
		if got, want := table.GetRows()[0].GetCells()[0], "21"; got != want || table.GetStale() {
			t.Errorf("revision after the second loss: got %s (stale %t), want %s", got, table.GetStale(), want)
		}
	}
}

// Guards against a host that cannot catch up because the other hosts have compacted the
// entries that it lacks.
func TestLaggingHostCatchesUpBySnapshot(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	for _, h := range []*host{l, rest[0]} {
		h.settings.CompactEntries = 100
	}
	_ = rest[1].Close()
	l, other := restart(t, l, false), restart(t, rest[0], false)
	for i := range 500 {
		apply(t, l, newChange(fmt.Sprint(i)))
	}
	back := restart(t, rest[1], false)
	table := query(t, back, "services")
	if got, want := table.GetRows()[0].GetCells()[0], "500"; got != want || table.GetStale() {
		t.Errorf("revision after catching up: got %s (stale %t), want %s", got, table.GetStale(), want)
	}
	if got, least := back.Dump().Snapshot, uint64(100); got < least {
		t.Errorf("snapshot index of the host that was behind: got %d, want at least %d", got, least)
	}
	_ = other.Close()
}

// Guards against treating a damaged data directory as a new one.
func TestDamagedDirectoryDoesNotStart(t *testing.T) {
	s := settings(t.TempDir())
	h := start(t, s)
	for i := range 3 {
		apply(t, h, newChange(fmt.Sprint(i)))
	}
	_ = h.Close()
	name := filepath.Join(s.DataDir, "log")
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	data[40] ^= 1
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := controller.New(s); !errors.Is(err, recorder.ErrDamaged) {
		t.Errorf("got %v, want %v", err, recorder.ErrDamaged)
	}
}
