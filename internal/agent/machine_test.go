package agent

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damasklever/damasklever/internal/correlator"
	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/testrunner"
	"github.com/damasklever/damasklever/internal/wire"
)

// TestMain sets the seed of the randomised tests.
func TestMain(m *testing.M) { testrunner.Run(m, nil) }

const testBlocks = 8

// fixture is a machine with a fake backend server. It tracks what the server holds,
// which calls were started and what was reported to the entries.
type fixture struct {
	t              fataler
	r              *rapid.T // source of the random events
	now            time.Time
	machine        *machine
	queue          *granter.Granter
	plain          bool
	next           int
	ids            []string
	held           map[string]int64 // units in use on the backend server
	running        map[string]*wire.Call
	cancels        map[string]bool
	started        map[string]int
	reportedNotRun map[string]bool // attempts that were reported as not run
}

// fataler is the part of testing.TB and rapid.T that a fixture uses.
type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Send implements stream. All entries share it.
func (f *fixture) Send(r *wire.Reply) {
	if d := r.GetWithdrawn(); d != nil && !d.GetRan() {
		if f.started[d.GetId()] > 0 {
			f.t.Fatalf("%s: got ran=false, want true: it was started", d.GetId())
		}
		f.reportedNotRun[d.GetId()] = true
	}
}

type nopRecorder struct{}

func (nopRecorder) Asked(*attempt)                        {}
func (nopRecorder) Refused(int32, string)                 {}
func (nopRecorder) Ended(*attempt, string, time.Duration) {}
func (nopRecorder) Crashed()                              {}

func newFixture(t fataler, plain bool) *fixture {
	s := granter.Defaults(testBlocks)
	if plain {
		s.Slots = testBlocks
	}
	queue, err := granter.New(s)
	if err != nil {
		t.Fatal(err)
	}
	crashes, err := correlator.New(correlator.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{
		t: t, now: time.Unix(1000, 0), queue: queue, plain: plain,
		held: make(map[string]int64), running: make(map[string]*wire.Call),
		cancels: make(map[string]bool), started: make(map[string]int), reportedNotRun: make(map[string]bool),
	}
	f.machine = newMachine(f.now, machineSettings{
		epoch: 7, plain: plain, leaseTimeout: 3 * time.Second, resultRetention: 10 * time.Second, isolateTimeout: time.Second,
	}, queue, crashes, nopRecorder{})
	f.machine.BackendUp()

	return f
}

// perform performs actions on the fake backend server and checks the invariants.
func (f *fixture) perform(actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actStart:
			if f.reportedNotRun[a.id] {
				f.t.Fatalf("%s: started after ran=false", a.id)
			}
			if !f.machine.backendUp {
				f.t.Fatalf("%s: started while the server is down", a.id)
			}
			f.started[a.id]++
			if limit := 1 + decodes(a.call); f.started[a.id] > limit {
				f.t.Fatalf("%s: started %d times", a.id, f.started[a.id])
			}
			f.running[a.id] = a.call
			f.held[a.id] = a.units
		case actCancel:
			f.cancels[a.id] = true
			delete(f.running, a.id)
		case actAbort:
			if !f.plain {
				delete(f.running, a.id)
			}
		case actReportCrash:
		}
	}
	sum := int64(0)
	for _, units := range f.held {
		sum += units
	}
	if sum > testBlocks {
		f.t.Fatalf("the server holds %d blocks, want at most %d: %v", sum, testBlocks, f.held)
	}
}

// decodes returns 1 for a decode and otherwise 0. The decode of an attempt is its
// second call, after the import.
func decodes(call *wire.Call) int {
	if call.GetDecode() != nil {
		return 1
	}

	return 0
}

func (f *fixture) pickID() string {
	if len(f.ids) == 0 {
		return "none"
	}

	return rapid.SampledFrom(f.ids).Draw(f.r, "id")
}

func (f *fixture) ask(*rapid.T) {
	id := "a" + strconv.Itoa(f.next)
	if rapid.Bool().Draw(f.r, "new") || len(f.ids) == 0 {
		f.next++
		f.ids = append(f.ids, id)
	} else {
		id = f.pickID()
	}
	phase := rapid.SampledFrom([]wire.Phase{wire.Phase_PHASE_PREFILL, wire.Phase_PHASE_DECODE}).Draw(f.r, "phase")
	if f.plain {
		phase = wire.Phase_PHASE_PLAIN
	}
	f.perform(f.machine.Ask(f.now, f, &wire.Ask{
		Id: id, Phase: phase, Due: 5000, Cost: 100_000,
		Entry: rapid.SampledFrom([]string{"e1", "e2"}).Draw(f.r, "entry"), Epoch: 1,
		Hold:   rapid.SampledFrom([]int64{0, 500_000}).Draw(f.r, "hold"),
		Pieces: rapid.Int64Range(1, testBlocks).Draw(f.r, "pieces"),
		Rank:   rapid.Int32Range(0, 2).Draw(f.r, "rank"),
		Digest: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(f.r, "digest"),
		Alone:  rapid.IntRange(0, 9).Draw(f.r, "alone") == 0,
	}))
}

func (f *fixture) dispatch(*rapid.T) {
	id := f.pickID()
	if rapid.Bool().Draw(f.r, "granted") {
		// Half of the dispatches go to the newest grant, because too few would
		// run otherwise.
		for i := len(f.ids) - 1; i >= 0; i-- {
			if a := f.machine.attempts[f.ids[i]]; a != nil && a.stage == stageGranted {
				id = a.id

				break
			}
		}
	}
	calls := []*wire.Call{
		{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{Id: id}}},
		{Body: &wire.Call_Import{Import: &wire.Import{Id: id}}},
		{Body: &wire.Call_Decode{Decode: &wire.Decode{Id: id}}},
	}
	if f.plain {
		calls = []*wire.Call{{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}}
	}
	f.perform(f.machine.Dispatch(f.now, f, rapid.SampledFrom(calls).Draw(f.r, "call")))
}

func (f *fixture) withdraw(*rapid.T) {
	f.perform(f.machine.Withdraw(f.now, f, &wire.Withdraw{Id: f.pickID(), Epoch: 7}))
}

// finish ends a random running call with success or an error.
func (f *fixture) finish(*rapid.T) {
	ids := make([]string, 0, len(f.running))
	for id := range f.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(f.r, "running")
	f.endCall(id, rapid.Bool().Draw(f.r, "ok"))
}

func (f *fixture) endCall(id string, ok bool) {
	call := f.running[id]
	delete(f.running, id)
	result := callResult{}
	switch {
	case !ok:
		result.err = driver.ErrConnBroken
	case call.GetPrefill() != nil:
		result.prefilled = &wire.Prefilled{Id: id}
	case call.GetImport() != nil:
		result.imported = true
	case call.GetRun() != nil:
		result.answer = &wire.Answer{Id: id}
	}
	if f.plain || ok && call.GetDecode() != nil {
		delete(f.held, id)
	}
	f.perform(f.machine.Finished(f.now, id, result))
}

// confirmCancel confirms the cancellation of one attempt.
func (f *fixture) confirmCancel(*rapid.T) {
	for _, id := range f.ids {
		if f.cancels[id] {
			delete(f.cancels, id)
			delete(f.held, id)
			f.perform(f.machine.Cancelled(f.now, id))

			return
		}
	}
}

func (f *fixture) crash(*rapid.T) {
	actions := f.machine.BackendDown(f.now)
	clear(f.cancels)
	if !f.plain {
		clear(f.held)
		clear(f.running)
	}
	f.perform(actions)
	for _, id := range f.ids {
		if f.running[id] != nil {
			f.endCall(id, false)
		}
	}
	f.machine.BackendUp()
}

func (f *fixture) tick(*rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(f.r, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(f.r, "renew") {
		f.machine.Renew(f.now, "e1", 1)
	}
	f.perform(f.machine.Tick(f.now))
}

// compareWork passes the ids of the work on the engine to the machine.
func (f *fixture) compareWork(*rapid.T) {
	var ids []string
	for _, id := range f.ids {
		if _, ok := f.held[id]; ok {
			ids = append(ids, id)
		}
	}
	orphans, actions := f.machine.CompareWork(f.now, f.now, ids)
	if len(orphans) > 0 {
		f.t.Fatalf("got orphaned work %v, want none because the fake engine has no faults", orphans)
	}
	f.perform(actions)
}

func (f *fixture) detach(*rapid.T) { f.machine.Detach(f) }

// expireAll lets all leases expire and all cancellations be confirmed, and checks that
// everything is free.
func (f *fixture) expireAll() {
	for range 300 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.perform(f.machine.Tick(f.now))
		for _, id := range f.ids {
			if f.running[id] != nil {
				f.endCall(id, false)
			}
		}
		f.confirmCancel(nil)
	}
	if load := f.queue.Load(f.now); load.Free != load.Total || len(f.held) > 0 || len(f.machine.attempts) > 0 {
		f.t.Fatalf("after all leases expired: got %d of %d free, %v held and %d attempts, want nothing left",
			load.Free, load.Total, f.held, len(f.machine.attempts))
	}
}

// Checks with random sequences of asks, dispatches, withdrawals, results, crashes and
// lost entries that memory is never granted twice and always freed, that work reported
// as not run does not start, and that no work starts twice.
func TestMachineInvariants(t *testing.T) {
	for name, plain := range map[string]bool{"engine": false, "plain": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFixture(t, plain)
				f.r = t
				t.Repeat(map[string]func(*rapid.T){
					"ask": f.ask, "ask again": f.ask, "dispatch": f.dispatch, "dispatch again": f.dispatch,
					"withdraw": f.withdraw, "finish": f.finish, "confirm": f.confirmCancel,
					"crash": f.crash, "tick": f.tick, "list work": f.compareWork, "detach": f.detach,
				})
				f.expireAll()
			})
		})
	}
}

// Checks that memory is not granted again before the engine has confirmed the
// cancellation of the work that holds it.
func TestGrantAfterConfirmation(t *testing.T) {
	ends := map[string]func(f *fixture){
		"withdrawn": func(f *fixture) { f.perform(f.machine.Withdraw(f.now, f, &wire.Withdraw{Id: "a"})) },
		"failed":    func(f *fixture) { f.endCall("a", false) },
		"lease": func(f *fixture) {
			f.now = f.now.Add(4 * time.Second)
			f.perform(f.machine.Tick(f.now))
		},
	}
	for name, endCall := range ends {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, false)
			ask := func(id string) *wire.Ask {
				return &wire.Ask{Id: id, Phase: wire.Phase_PHASE_PREFILL, Due: 5000, Pieces: testBlocks, Entry: id, Epoch: 1}
			}
			f.perform(f.machine.Ask(f.now, f, ask("a")))
			f.perform(f.machine.Dispatch(f.now, f, &wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{Id: "a"}}}))
			endCall(f)
			f.perform(f.machine.Ask(f.now, f, ask("b")))
			if got, want := f.machine.attempts["b"].stage, stageQueued; got != want {
				t.Fatalf("before the confirmation: got %s, want %s", got, want)
			}
			f.perform(f.machine.Cancelled(f.now, "a"))
			if got, want := f.machine.attempts["b"].stage, stageGranted; got != want {
				t.Fatalf("after the confirmation: got %s, want %s", got, want)
			}
		})
	}
}

// Checks that an attempt does not run twice if its Ask is repeated while a suspect runs
// alone and asks are deferred.
func TestDuplicateAskWhileIsolated(t *testing.T) {
	f := newFixture(t, true)
	ask := func(id string, alone bool) {
		f.ids = append(f.ids, id)
		f.perform(f.machine.Ask(f.now, f, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 5000, Entry: "e1", Epoch: 1, Alone: alone,
		}))
	}
	run := func(id string) {
		f.perform(f.machine.Dispatch(f.now, f, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}))
	}
	ask("suspect", true)
	for range 3 {
		ask("a", false)
	}
	run("suspect")
	f.endCall("suspect", true)
	run("a")
	f.endCall("a", true)
	run("a")
	if got, want := f.started["a"], 1; got != want {
		t.Fatalf("runs: got %d, want %d", got, want)
	}
	f.expireAll()
}

// Checks that a suspect is admitted to a busy server after a while, that two suspects do
// not run together, and that a second crash is attributed to the suspect only.
func TestSuspectOnBusyServer(t *testing.T) {
	f := newFixture(t, true)
	ask := func(id string, alone bool) {
		f.ids = append(f.ids, id)
		f.perform(f.machine.Ask(f.now, f, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 60_000, Entry: "e1", Epoch: 1, Alone: alone, Digest: id,
		}))
	}
	ask("other", false)
	f.perform(f.machine.Dispatch(f.now, f, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: "other"}}}))
	ask("first", true)
	ask("second", true)
	if got, want := len(f.machine.attempts), 1; got != want {
		t.Fatalf("before the isolation timeout: got %d attempts, want %d", got, want)
	}
	f.now = f.now.Add(time.Second)
	f.perform(f.machine.Tick(f.now))
	if f.machine.attempts["first"] == nil || f.machine.attempts["second"] != nil {
		t.Fatalf("after the isolation timeout: got %v, want the first suspect only", f.machine.sortedIDs())
	}
	f.perform(f.machine.Dispatch(f.now, f, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: "first"}}}))
	for _, a := range f.machine.BackendDown(f.now) {
		if a.kind == actReportCrash && !slices.Equal(a.digests, []string{"first"}) {
			t.Fatalf("reported digests: got %v, want the suspect only", a.digests)
		}
	}
}
