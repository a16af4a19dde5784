package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/wire"
)

var epoch = time.UnixMilli(1_700_000_000_000)

const baseConfig = "create service desk; create rank master level=0; create rank drill level=1; " +
	"create rule all service=desk rank=drill"

// machine is a state machine that applies commands at increasing indexes and at the
// time now, which tests set.
type machine struct {
	*registrar.Registrar
	t     testing.TB
	index uint64
	now   time.Time
}

func newMachine(t testing.TB) *machine {
	return &machine{Registrar: registrar.New(), t: t, now: epoch}
}

func (m *machine) apply(cmd *wire.Command) *wire.Result {
	m.index++

	return m.Apply(m.index, m.now, cmd)
}

// mustChange applies a change and fails the test if it is refused.
func (m *machine) mustChange(text string) {
	m.t.Helper()
	res := m.apply(changeCommand(m.t, fmt.Sprintf("c%d", m.index+1), text))
	if res.GetOutcome() != wire.Outcome_OUTCOME_DONE {
		m.t.Fatalf("%s: got %v %s, want done", text, res.GetOutcome(), res.GetText())
	}
}

func (m *machine) id() string { return fmt.Sprintf("i%d", m.index+1) }

func (m *machine) claim(key, digest, request string) *wire.Result {
	return m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Claim{Claim: &wire.Claim{
		Key: key, Digest: digest, Request: request, Entry: "e-" + request, Epoch: 1,
	}}})
}

func (m *machine) settle(key, request string, stage wire.Stage) *wire.Result {
	s := &wire.Settle{Key: key, Request: request, Stage: stage}
	if stage == wire.Stage_STAGE_DONE {
		s.Answer = &wire.Stored{Status: 201, Body: []byte(request)}
	}

	return m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Settle{Settle: s}})
}

func (m *machine) absent(entry string) *wire.Result {
	return m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Absent{Absent: &wire.Absent{Entry: entry, Epoch: 1}}})
}

func (m *machine) blame(crash string, digests ...string) {
	m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Blame{Blame: &wire.Blame{
		Crash: crash, Server: "s", Digests: digests,
	}}})
}

// reportCrash reports a crash in the way of an entry, blame in that of an agent.
func (m *machine) reportCrash(server string, digests ...string) {
	m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Blame{Blame: &wire.Blame{
		Crash: "server " + server, Server: server, Digests: digests, After: 3, Span: 2000,
	}}})
}

func (m *machine) register(name string, epoch uint64, gone bool) {
	m.apply(&wire.Command{Id: m.id(), Body: &wire.Command_Register{Register: registration(name, epoch, gone)}})
}

func registration(name string, epoch uint64, gone bool) *wire.Register {
	return &wire.Register{Gone: gone, Attach: &wire.Attach{
		Name: name, Role: "agent", Addr: "10.0.0.1:7000", Region: "kochi", Centre: "kochi-1",
		Service: "desk", Phase: "decode", Pieces: 20, Epoch: epoch,
	}}
}

func (m *machine) server(name string) *wire.Server {
	for _, s := range m.UpdateSince(0).GetServers() {
		if s.GetName() == name {
			return s
		}
	}

	return nil
}

func (m *machine) blocked(digest string) bool {
	for _, b := range m.UpdateSince(0).GetBlocks() {
		if b.GetDigest() == digest {
			return true
		}
	}

	return false
}

// restart replaces the state by its snapshot.
func (m *machine) restart() {
	m.t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		m.t.Fatal(err)
	}
	m.Registrar = registrar.New()
	if err := m.Restore(data); err != nil {
		m.t.Fatal(err)
	}
}

func (m *machine) state() string {
	data, err := m.Snapshot()
	if err != nil {
		m.t.Fatal(err)
	}

	return string(data)
}

func changeCommand(t testing.TB, id, text string) *wire.Command {
	t.Helper()
	all, err := parser.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	c := &wire.Change{Text: text}
	for _, s := range all {
		c.Edits = append(c.Edits, s.Edit)
	}

	return &wire.Command{Id: id, Who: "anu", Expect: registrar.AnyRevision, Body: &wire.Command_Change{Change: c}}
}

// view is the state that a subscriber has received.
type view struct {
	index, revision uint64
	objects         map[string]string
}

func newView() *view { return &view{objects: make(map[string]string)} }

func (v *view) apply(u *wire.Update) {
	if u.GetFull() {
		clear(v.objects)
	}
	add := func(kind, name string, m proto.Message) {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		v.objects[kind+" "+name] = string(data)
	}
	for _, x := range u.GetServices() {
		add("service", x.GetName(), x)
	}
	for _, x := range u.GetRanks() {
		add("rank", x.GetName(), x)
	}
	for _, x := range u.GetRules() {
		add("rule", x.GetName(), x)
	}
	for _, x := range u.GetServers() {
		add("server", x.GetName(), x)
	}
	for _, x := range u.GetBlocks() {
		add("block", x.GetDigest(), x)
	}
	for _, x := range u.GetRemovals() {
		delete(v.objects, x.GetKind()+" "+x.GetName())
	}
	v.index, v.revision = u.GetIndex(), u.GetRevision()
}

func sizeOf(m proto.Message) int { return proto.Size(m) }
