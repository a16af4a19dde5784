package controller_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/wire"
)

const pollInterval = 5 * time.Millisecond

// host is one control host of a test.
type host struct {
	*controller.Controller
	settings controller.Settings
	state    *fakeState
	disk     *limited
}

func settings(folder string) controller.Settings {
	return controller.Settings{
		Number: 1, Listen: "127.0.0.1:0", Folder: folder,
		Members:  []*wire.Member{{Number: 1, Addr: "127.0.0.1:0"}},
		Election: 300 * time.Millisecond, Heartbeat: 30 * time.Millisecond, Commit: 3 * time.Second,
		Pulse: 100 * time.Millisecond, Force: 500 * time.Millisecond, Absent: 600 * time.Millisecond,
	}
}

func start(t testing.TB, s controller.Settings) *host {
	t.Helper()
	h := &host{settings: s, state: newFakeState()}
	s.State = h.state
	if s.Files == nil {
		files, err := recorder.OpenFolder(s.Folder)
		if err != nil {
			t.Fatal(err)
		}
		h.disk = &limited{Files: files}
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

// cluster starts n hosts on loopback, with settings changed by adjust.
func cluster(t testing.TB, n int, adjust ...func(*controller.Settings)) []*host {
	t.Helper()
	var members []*wire.Member
	for i := range n {
		members = append(members, &wire.Member{Number: uint64(i + 1), Addr: freeAddr(t)})
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

func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()

	return l.Addr().String()
}

func open(t testing.TB, h *host, r *wire.Request) *messenger.Stream {
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

func ask(t testing.TB, h *host, r *wire.Request) *wire.Response {
	t.Helper()
	s := open(t, h, r)
	defer func() { _ = s.Close() }()
	response := &wire.Response{}
	if err := s.Recv(response); err != nil {
		t.Fatal(err)
	}

	return response
}

func change(id string) *wire.Command {
	return &wire.Command{Id: id, Body: &wire.Command_Change{Change: &wire.Change{}}}
}

// apply proposes a command until it is decided.
func apply(t testing.TB, h *host, cmd *wire.Command) *wire.Result {
	t.Helper()
	var r *wire.Result
	until(func() bool {
		r = ask(t, h, &wire.Request{Body: &wire.Request_Command{Command: cmd}}).GetResult()

		return r.GetOutcome() != wire.Outcome_OUTCOME_REFUSED && r.GetOutcome() != wire.Outcome_OUTCOME_PENDING
	})

	return r
}

// until polls a state that changes without an event that a test can see.
func until(reached func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !reached() {
		<-ticker.C
	}
}

func query(t testing.TB, h *host, subject string) *wire.Table {
	t.Helper()

	return ask(t, h, &wire.Request{Body: &wire.Request_Query{Query: &wire.Query{Subject: subject}}}).GetTable()
}

// Guards against a lone control host that does not serve, loses what it has
// acknowledged at a restart, or runs a resent command twice.
func TestOneMemberKeepsCommandsOverRestart(t *testing.T) {
	s := settings(t.TempDir())
	h := start(t, s)
	for i := range 10 {
		apply(t, h, change(fmt.Sprint(i)))
	}
	first := apply(t, h, change("3"))
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
	h = start(t, s)
	if got, want := apply(t, h, change("3")).GetIndex(), first.GetIndex(); got != want {
		t.Errorf("index of a resent command: got %d, want %d", got, want)
	}
	table := query(t, h, "services")
	if got, want := table.GetRows()[0].GetCells()[0], "10"; got != want || table.GetStale() {
		t.Errorf("revision after restart: got %s (stale %t), want %s", got, table.GetStale(), want)
	}
}

// Guards against a follower that does not forward, and against a change that is
// lost when the leader dies right after it acknowledged it.
func TestThreeMembersSurviveLossOfLeader(t *testing.T) {
	hosts := cluster(t, 3)
	for i := range 10 {
		r := apply(t, hosts[i%3], change(fmt.Sprint(i)))
		if got, want := r.GetRevision(), uint64(i+1); got != want {
			t.Fatalf("revision: got %d, want %d", got, want)
		}
	}
	l, rest := leader(t, hosts)
	kill(t, l)
	for _, h := range rest {
		table := query(t, h, "services")
		if got, want := table.GetRows()[0].GetCells()[0], "10"; got != want || table.GetStale() {
			t.Errorf("revision after the loss: got %s (stale %t), want %s", got, table.GetStale(), want)
		}
	}
	if got, want := apply(t, rest[0], change("11")).GetRevision(), uint64(11); got != want {
		t.Errorf("revision of the next change: got %d, want %d", got, want)
	}
}

// kill ends a host without a word to the others: it stops at the first write that
// its disk does not take.
func kill(t testing.TB, h *host) {
	t.Helper()
	h.disk.full.Store(true)
	s := open(t, h, &wire.Request{Body: &wire.Request_Command{Command: change("lost with " + h.settings.Folder)}})
	defer func() { _ = s.Close() }()
	<-h.Done()
}

// Guards against an election timeout without a leader each time that the leader
// is stopped on purpose.
func TestLeaderThatIsClosedHandsOver(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	apply(t, l, change("1"))
	until(func() bool { return rest[0].Dump().Applied == l.Dump().Applied })
	_ = l.Close()
	if got, want := rest[0].Dump().Role == "leader" || rest[1].Dump().Role == "leader", true; got != want {
		t.Errorf("another host leads when the leader has ended: got %t, want %t", got, want)
	}
}

// restart starts a host again with the same settings. With lost its data
// directory is empty.
func restart(t testing.TB, h *host, lost bool) *host {
	t.Helper()
	_ = h.Close()
	if lost {
		h.settings.Folder = t.TempDir()
	}

	return start(t, h.settings)
}

// Guards against a host that answers as if it had a majority.
func TestWithoutMajorityNothingIsDoneAndReadsAreStale(t *testing.T) {
	hosts := cluster(t, 3)
	apply(t, hosts[0], change("1"))
	l, rest := leader(t, hosts)
	for _, h := range rest {
		_ = h.Close()
	}
	until(func() bool { return l.Dump().Role != "leader" })
	r := ask(t, l, &wire.Request{Body: &wire.Request_Command{Command: change("2")}}).GetResult()
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

// Guards against a host with a lost disk that votes under its old identity, and
// against a loss of changes when a second host is lost right after the repair.
func TestHostWithLostDiskJoinsAsNewMember(t *testing.T) {
	hosts := cluster(t, 3)
	for i := range 20 {
		apply(t, hosts[0], change(fmt.Sprint(i)))
	}
	l, rest := leader(t, hosts)
	fresh := restart(t, rest[0], true)
	until(func() bool { return fresh.Dump().Founded })
	apply(t, l, change("20"))
	if got, want := fresh.Dump().Last, uint64(0); got != want {
		t.Errorf("log of the host with a new disk before it was added: got %d entries, want %d", got, want)
	}
	for _, verb := range []string{"remove", "add"} {
		r := apply(t, rest[1], &wire.Command{Id: verb, Body: &wire.Command_Peering{Peering: &wire.Peering{
			Verb: verb, Addr: fresh.Addr(),
		}}})
		if got, want := r.GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
			t.Fatalf("%s: got %v (%s), want %v", verb, got, r.GetText(), want)
		}
	}
	until(func() bool {
		members := l.Dump().Members

		return len(members) == 3 && !slices.ContainsFunc(members, func(m controller.Member) bool { return m.Learner })
	})
	kill(t, l)
	for _, h := range []*host{fresh, rest[1]} {
		table := query(t, h, "services")
		if got, want := table.GetRows()[0].GetCells()[0], "21"; got != want || table.GetStale() {
			t.Errorf("revision after the second loss: got %s (stale %t), want %s", got, table.GetStale(), want)
		}
	}
}

// Guards against a host that cannot return when the entries it lacks are gone
// from the others' logs.
func TestReturnAfter500ChangesBySnapshot(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	for _, h := range []*host{l, rest[0]} {
		h.settings.Compact = 100
	}
	_ = rest[1].Close()
	l, other := restart(t, l, false), restart(t, rest[0], false)
	for i := range 500 {
		apply(t, l, change(fmt.Sprint(i)))
	}
	back := restart(t, rest[1], false)
	table := query(t, back, "services")
	if got, want := table.GetRows()[0].GetCells()[0], "500"; got != want || table.GetStale() {
		t.Errorf("revision after the return: got %s (stale %t), want %s", got, table.GetStale(), want)
	}
	if got, least := back.Dump().Snapshot, uint64(100); got < least {
		t.Errorf("snapshot of the host that returned: got %d, want at least %d", got, least)
	}
	_ = other.Close()
}

// Guards against a damaged data directory that starts as if it were new.
func TestDamagedDirectoryDoesNotStart(t *testing.T) {
	s := settings(t.TempDir())
	h := start(t, s)
	for i := range 3 {
		apply(t, h, change(fmt.Sprint(i)))
	}
	_ = h.Close()
	name := filepath.Join(s.Folder, "log")
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
