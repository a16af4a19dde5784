package controller_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// host is one control host of a test.
type host struct {
	*controller.Controller
	settings controller.Settings
	state    *fakeState
}

func settings(folder string) controller.Settings {
	return controller.Settings{
		Number: 1, Listen: "127.0.0.1:0", Folder: folder,
		Members:  []*wire.Member{{Number: 1, Addr: "127.0.0.1:0"}},
		Election: 300 * time.Millisecond, Heartbeat: 30 * time.Millisecond, Commit: 10 * time.Second,
	}
}

func start(t testing.TB, s controller.Settings) *host {
	t.Helper()
	h := &host{settings: s, state: newFakeState()}
	s.State = h.state
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

// cluster starts n hosts on loopback.
func cluster(t testing.TB, n int) []*host {
	t.Helper()
	var members []*wire.Member
	for i := range n {
		members = append(members, &wire.Member{Number: uint64(i + 1), Addr: freeAddr(t)})
	}
	hosts := make([]*host, n)
	for i := range n {
		s := settings(t.TempDir())
		s.Number, s.Listen, s.Members = uint64(i+1), members[i].GetAddr(), members
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
	for {
		r := ask(t, h, &wire.Request{Body: &wire.Request_Command{Command: cmd}}).GetResult()
		switch r.GetOutcome() {
		case wire.Outcome_OUTCOME_REFUSED, wire.Outcome_OUTCOME_PENDING:
			time.Sleep(10 * time.Millisecond)
		default:
			return r
		}
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
// lost when the leader ends right after it acknowledged it.
func TestThreeMembersSurviveLossOfLeader(t *testing.T) {
	hosts := cluster(t, 3)
	for i := range 10 {
		r := apply(t, hosts[i%3], change(fmt.Sprint(i)))
		if got, want := r.GetRevision(), uint64(i+1); got != want {
			t.Fatalf("revision: got %d, want %d", got, want)
		}
	}
	var rest []*host
	for _, h := range hosts {
		if h.Dump().Role == "leader" {
			_ = h.Close()
		} else {
			rest = append(rest, h)
		}
	}
	if got, want := len(rest), 2; got != want {
		t.Fatalf("hosts without the leader: got %d, want %d", got, want)
	}
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
