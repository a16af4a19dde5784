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
func (w *fixture) Send(r *wire.Reply) {
	if d := r.GetWithdrawn(); d != nil && !d.GetRan() {
		if w.started[d.GetId()] > 0 {
			w.t.Fatalf("%s: got ran=false, want true: it was started", d.GetId())
		}
		w.reportedNotRun[d.GetId()] = true
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
	record, err := correlator.New(correlator.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	w := &fixture{
		t: t, now: time.Unix(1000, 0), queue: queue, plain: plain,
		held: make(map[string]int64), running: make(map[string]*wire.Call),
		cancels: make(map[string]bool), started: make(map[string]int), reportedNotRun: make(map[string]bool),
	}
	w.machine = newMachine(w.now, machineSettings{
		epoch: 7, plain: plain, leaseTimeout: 3 * time.Second, resultRetention: 10 * time.Second, isolateTimeout: time.Second,
	}, queue, record, nopRecorder{})
	w.machine.BackendUp()

	return w
}

// perform performs actions on the fake backend server and checks the invariants.
func (w *fixture) perform(actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actStart:
			if w.reportedNotRun[a.id] {
				w.t.Fatalf("%s: started after ran=false", a.id)
			}
			if !w.machine.backendUp {
				w.t.Fatalf("%s: started while the server is down", a.id)
			}
			w.started[a.id]++
			if limit := 1 + decodes(a.call); w.started[a.id] > limit {
				w.t.Fatalf("%s: started %d times", a.id, w.started[a.id])
			}
			w.running[a.id] = a.call
			w.held[a.id] = a.units
		case actCancel:
			w.cancels[a.id] = true
			delete(w.running, a.id)
		case actAbort:
			if !w.plain {
				delete(w.running, a.id)
			}
		case actReportCrash:
		}
	}
	sum := int64(0)
	for _, units := range w.held {
		sum += units
	}
	if sum > testBlocks {
		w.t.Fatalf("the server holds %d blocks, want at most %d: %v", sum, testBlocks, w.held)
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

func (w *fixture) pickID() string {
	if len(w.ids) == 0 {
		return "none"
	}

	return rapid.SampledFrom(w.ids).Draw(w.r, "id")
}

func (w *fixture) ask(*rapid.T) {
	id := "a" + strconv.Itoa(w.next)
	if rapid.Bool().Draw(w.r, "new") || len(w.ids) == 0 {
		w.next++
		w.ids = append(w.ids, id)
	} else {
		id = w.pickID()
	}
	phase := rapid.SampledFrom([]wire.Phase{wire.Phase_PHASE_PREFILL, wire.Phase_PHASE_DECODE}).Draw(w.r, "phase")
	if w.plain {
		phase = wire.Phase_PHASE_PLAIN
	}
	w.perform(w.machine.Ask(w.now, w, &wire.Ask{
		Id: id, Phase: phase, Due: 5000, Cost: 100_000,
		Entry: rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.r, "entry"), Epoch: 1,
		Hold:   rapid.SampledFrom([]int64{0, 500_000}).Draw(w.r, "hold"),
		Pieces: rapid.Int64Range(1, testBlocks).Draw(w.r, "pieces"),
		Rank:   rapid.Int32Range(0, 2).Draw(w.r, "rank"),
		Digest: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(w.r, "digest"),
		Alone:  rapid.IntRange(0, 9).Draw(w.r, "alone") == 0,
	}))
}

func (w *fixture) dispatch(*rapid.T) {
	id := w.pickID()
	if rapid.Bool().Draw(w.r, "granted") {
		// Half of the dispatches go to the newest grant, because too few would
		// run otherwise.
		for i := len(w.ids) - 1; i >= 0; i-- {
			if a := w.machine.attempts[w.ids[i]]; a != nil && a.stage == stageGranted {
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
	if w.plain {
		calls = []*wire.Call{{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}}
	}
	w.perform(w.machine.Dispatch(w.now, w, rapid.SampledFrom(calls).Draw(w.r, "call")))
}

func (w *fixture) withdraw(*rapid.T) {
	w.perform(w.machine.Withdraw(w.now, w, &wire.Withdraw{Id: w.pickID(), Epoch: 7}))
}

// finish ends a random running call with success or an error.
func (w *fixture) finish(*rapid.T) {
	ids := make([]string, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(w.r, "running")
	w.endCall(id, rapid.Bool().Draw(w.r, "ok"))
}

func (w *fixture) endCall(id string, ok bool) {
	call := w.running[id]
	delete(w.running, id)
	o := callResult{}
	switch {
	case !ok:
		o.err = driver.ErrConnBroken
	case call.GetPrefill() != nil:
		o.prefilled = &wire.Prefilled{Id: id}
	case call.GetImport() != nil:
		o.imported = true
	case call.GetRun() != nil:
		o.answer = &wire.Answer{Id: id}
	}
	if w.plain || ok && call.GetDecode() != nil {
		delete(w.held, id)
	}
	w.perform(w.machine.Finished(w.now, id, o))
}

// confirmCancel confirms the cancellation of one attempt.
func (w *fixture) confirmCancel(*rapid.T) {
	for _, id := range w.ids {
		if w.cancels[id] {
			delete(w.cancels, id)
			delete(w.held, id)
			w.perform(w.machine.Cancelled(w.now, id))

			return
		}
	}
}

func (w *fixture) crash(*rapid.T) {
	actions := w.machine.BackendDown(w.now)
	clear(w.cancels)
	if !w.plain {
		clear(w.held)
		clear(w.running)
	}
	w.perform(actions)
	for _, id := range w.ids {
		if w.running[id] != nil {
			w.endCall(id, false)
		}
	}
	w.machine.BackendUp()
}

func (w *fixture) tick(*rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(w.r, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(w.r, "renew") {
		w.machine.Renew(w.now, "e1", 1)
	}
	w.perform(w.machine.Tick(w.now))
}

// compareWork passes the ids of the work on the engine to the machine.
func (w *fixture) compareWork(*rapid.T) {
	var ids []string
	for _, id := range w.ids {
		if _, ok := w.held[id]; ok {
			ids = append(ids, id)
		}
	}
	orphans, actions := w.machine.CompareWork(w.now, w.now, ids)
	if len(orphans) > 0 {
		w.t.Fatalf("got orphaned work %v, want none because the fake engine has no faults", orphans)
	}
	w.perform(actions)
}

func (w *fixture) detach(*rapid.T) { w.machine.Detach(w) }

// expireAll lets all leases expire and all cancellations be confirmed, and checks that
// everything is free.
func (w *fixture) expireAll() {
	for range 300 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.perform(w.machine.Tick(w.now))
		for _, id := range w.ids {
			if w.running[id] != nil {
				w.endCall(id, false)
			}
		}
		w.confirmCancel(nil)
	}
	if load := w.queue.Load(w.now); load.Free != load.Total || len(w.held) > 0 || len(w.machine.attempts) > 0 {
		w.t.Fatalf("after all leases expired: got %d of %d free, %v held and %d attempts, want nothing left",
			load.Free, load.Total, w.held, len(w.machine.attempts))
	}
}

// Checks with random sequences of asks, dispatches, withdrawals, results, crashes and
// lost entries that memory is never granted twice and always freed, that work reported
// as not run does not start, and that no work starts twice.
func TestMachineInvariants(t *testing.T) {
	for name, plain := range map[string]bool{"engine": false, "plain": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newFixture(t, plain)
				w.r = t
				t.Repeat(map[string]func(*rapid.T){
					"ask": w.ask, "ask again": w.ask, "dispatch": w.dispatch, "dispatch again": w.dispatch,
					"withdraw": w.withdraw, "finish": w.finish, "confirm": w.confirmCancel,
					"crash": w.crash, "tick": w.tick, "sweep": w.compareWork, "detach": w.detach,
				})
				w.expireAll()
			})
		})
	}
}

// Checks that memory is not granted again before the engine has confirmed the
// cancellation of the work that holds it.
func TestGrantAfterConfirmation(t *testing.T) {
	ends := map[string]func(w *fixture){
		"withdrawn": func(w *fixture) { w.perform(w.machine.Withdraw(w.now, w, &wire.Withdraw{Id: "a"})) },
		"failed":    func(w *fixture) { w.endCall("a", false) },
		"lease": func(w *fixture) {
			w.now = w.now.Add(4 * time.Second)
			w.perform(w.machine.Tick(w.now))
		},
	}
	for name, endCall := range ends {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, false)
			ask := func(id string) *wire.Ask {
				return &wire.Ask{Id: id, Phase: wire.Phase_PHASE_PREFILL, Due: 5000, Pieces: testBlocks, Entry: id, Epoch: 1}
			}
			w.perform(w.machine.Ask(w.now, w, ask("a")))
			w.perform(w.machine.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{Id: "a"}}}))
			endCall(w)
			w.perform(w.machine.Ask(w.now, w, ask("b")))
			if got, want := w.machine.attempts["b"].stage, stageQueued; got != want {
				t.Fatalf("before the confirmation: got %s, want %s", got, want)
			}
			w.perform(w.machine.Cancelled(w.now, "a"))
			if got, want := w.machine.attempts["b"].stage, stageGranted; got != want {
				t.Fatalf("after the confirmation: got %s, want %s", got, want)
			}
		})
	}
}

// Checks that an attempt does not run twice if its Ask is repeated while a suspect runs
// alone and asks are deferred.
func TestDuplicateAskWhileIsolated(t *testing.T) {
	w := newFixture(t, true)
	ask := func(id string, alone bool) {
		w.ids = append(w.ids, id)
		w.perform(w.machine.Ask(w.now, w, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 5000, Entry: "e1", Epoch: 1, Alone: alone,
		}))
	}
	run := func(id string) {
		w.perform(w.machine.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}))
	}
	ask("suspect", true)
	for range 3 {
		ask("a", false)
	}
	run("suspect")
	w.endCall("suspect", true)
	run("a")
	w.endCall("a", true)
	run("a")
	if got, want := w.started["a"], 1; got != want {
		t.Fatalf("runs: got %d, want %d", got, want)
	}
	w.expireAll()
}

// Checks that a suspect is admitted to a busy server after a while, that two suspects do
// not run together, and that a second crash is attributed to the suspect only.
func TestSuspectOnBusyServer(t *testing.T) {
	w := newFixture(t, true)
	ask := func(id string, alone bool) {
		w.ids = append(w.ids, id)
		w.perform(w.machine.Ask(w.now, w, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 60_000, Entry: "e1", Epoch: 1, Alone: alone, Digest: id,
		}))
	}
	ask("other", false)
	w.perform(w.machine.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: "other"}}}))
	ask("first", true)
	ask("second", true)
	if got, want := len(w.machine.attempts), 1; got != want {
		t.Fatalf("before the isolation timeout: got %d attempts, want %d", got, want)
	}
	w.now = w.now.Add(time.Second)
	w.perform(w.machine.Tick(w.now))
	if w.machine.attempts["first"] == nil || w.machine.attempts["second"] != nil {
		t.Fatalf("after the isolation timeout: got %v, want the first suspect only", w.machine.sortedIDs())
	}
	w.perform(w.machine.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: "first"}}}))
	for _, a := range w.machine.BackendDown(w.now) {
		if a.kind == actReportCrash && !slices.Equal(a.digests, []string{"first"}) {
			t.Fatalf("reported digests: got %v, want the suspect only", a.digests)
		}
	}
}
