package attendant

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damasklever/damasklever/internal/blamer"
	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/seeder"
	"github.com/damasklever/damasklever/internal/wire"
)

// TestMain fixes the seed of the random schedules.
func TestMain(m *testing.M) { seeder.Run(m, nil) }

const testPieces = 8

// world is a keeper with a fake backend server of which the test knows exactly
// what it holds, what was started and what the entries were told.
type world struct {
	t       failer
	r       *rapid.T // draws the events of a random sequence
	now     time.Time
	keeper  *keeper
	queue   *granter.Granter
	plain   bool
	next    int
	ids     []string
	held    map[string]int64 // pieces on the engine
	running map[string]*wire.Call
	stops   map[string]bool
	started map[string]int
	notRun  map[string]bool // told that it did not run and never will
}

// failer is the part of a test that a world needs.
type failer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// Send implements link for every stream.
func (w *world) Send(r *wire.Reply) {
	if d := r.GetWithdrawn(); d != nil && !d.GetRan() {
		if w.started[d.GetId()] > 0 {
			w.t.Fatalf("%s: got ran=false, want true: it was started", d.GetId())
		}
		w.notRun[d.GetId()] = true
	}
}

type silent struct{}

func (silent) Asked(*attempt)                        {}
func (silent) Refused(int32, string)                 {}
func (silent) Ended(*attempt, string, time.Duration) {}
func (silent) Crashed()                              {}

func newWorld(t failer, plain bool) *world {
	s := granter.Defaults(testPieces)
	if plain {
		s.Slots = testPieces
	}
	queue, err := granter.New(s)
	if err != nil {
		t.Fatal(err)
	}
	record, err := blamer.New(blamer.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, now: time.Unix(1000, 0), queue: queue, plain: plain,
		held: make(map[string]int64), running: make(map[string]*wire.Call),
		stops: make(map[string]bool), started: make(map[string]int), notRun: make(map[string]bool),
	}
	w.keeper = newKeeper(w.now, keeperSettings{
		epoch: 7, plain: plain, lease: 3 * time.Second, linger: 10 * time.Second, isolate: time.Second,
	}, queue, record, silent{})
	w.keeper.Up()

	return w
}

// do carries out actions on the fake backend server and checks them.
func (w *world) do(actions []action) {
	for _, a := range actions {
		switch a.kind {
		case actStart:
			if w.notRun[a.id] {
				w.t.Fatalf("%s: started after ran=false", a.id)
			}
			if !w.keeper.up {
				w.t.Fatalf("%s: started while the server is down", a.id)
			}
			w.started[a.id]++
			if limit := 1 + decodes(a.call); w.started[a.id] > limit {
				w.t.Fatalf("%s: started %d times", a.id, w.started[a.id])
			}
			w.running[a.id] = a.call
			w.held[a.id] = a.pieces
		case actStop:
			w.stops[a.id] = true
			delete(w.running, a.id)
		case actDrop:
			if !w.plain {
				delete(w.running, a.id)
			}
		case actBlame:
		}
	}
	sum := int64(0)
	for _, pieces := range w.held {
		sum += pieces
	}
	if sum > testPieces {
		w.t.Fatalf("the server holds %d pieces, want at most %d: %v", sum, testPieces, w.held)
	}
}

// decodes is 1 for a decode, which follows an import of the same attempt.
func decodes(call *wire.Call) int {
	if call.GetDecode() != nil {
		return 1
	}

	return 0
}

func (w *world) pick() string {
	if len(w.ids) == 0 {
		return "none"
	}

	return rapid.SampledFrom(w.ids).Draw(w.r, "id")
}

func (w *world) ask(*rapid.T) {
	id := "a" + strconv.Itoa(w.next)
	if rapid.Bool().Draw(w.r, "new") || len(w.ids) == 0 {
		w.next++
		w.ids = append(w.ids, id)
	} else {
		id = w.pick()
	}
	phase := rapid.SampledFrom([]wire.Phase{wire.Phase_PHASE_PREFILL, wire.Phase_PHASE_DECODE}).Draw(w.r, "phase")
	if w.plain {
		phase = wire.Phase_PHASE_PLAIN
	}
	w.do(w.keeper.Ask(w.now, w, &wire.Ask{
		Id: id, Phase: phase, Due: 5000, Cost: 100_000,
		Entry: rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.r, "entry"), Epoch: 1,
		Hold:   rapid.SampledFrom([]int64{0, 500_000}).Draw(w.r, "hold"),
		Pieces: rapid.Int64Range(1, testPieces).Draw(w.r, "pieces"),
		Rank:   rapid.Int32Range(0, 2).Draw(w.r, "rank"),
		Digest: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(w.r, "digest"),
		Alone:  rapid.IntRange(0, 9).Draw(w.r, "alone") == 0,
	}))
}

func (w *world) dispatch(*rapid.T) {
	id := w.pick()
	if rapid.Bool().Draw(w.r, "granted") {
		// Half of the dispatches go to the newest grant, so that enough run.
		for i := len(w.ids) - 1; i >= 0; i-- {
			if a := w.keeper.attempts[w.ids[i]]; a != nil && a.stage == stageGranted {
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
	w.do(w.keeper.Dispatch(w.now, w, rapid.SampledFrom(calls).Draw(w.r, "call")))
}

func (w *world) withdraw(*rapid.T) {
	w.do(w.keeper.Withdraw(w.now, w, &wire.Withdraw{Id: w.pick(), Epoch: 7}))
}

// finish ends one running call, well or with an error.
func (w *world) finish(*rapid.T) {
	ids := make([]string, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(w.r, "running")
	w.end(id, rapid.Bool().Draw(w.r, "ok"))
}

func (w *world) end(id string, ok bool) {
	call := w.running[id]
	delete(w.running, id)
	o := outcome{}
	switch {
	case !ok:
		o.err = driver.ErrBroken
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
	w.do(w.keeper.Finished(w.now, id, o))
}

// confirm cancels one attempt on the engine.
func (w *world) confirm(*rapid.T) {
	for _, id := range w.ids {
		if w.stops[id] {
			delete(w.stops, id)
			delete(w.held, id)
			w.do(w.keeper.Cancelled(w.now, id))

			return
		}
	}
}

func (w *world) crash(*rapid.T) {
	actions := w.keeper.Down(w.now)
	clear(w.stops)
	if !w.plain {
		clear(w.held)
		clear(w.running)
	}
	w.do(actions)
	for _, id := range w.ids {
		if w.running[id] != nil {
			w.end(id, false)
		}
	}
	w.keeper.Up()
}

func (w *world) tick(*rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(w.r, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(w.r, "renew") {
		w.keeper.Renew(w.now, "e1", 1)
	}
	w.do(w.keeper.Tick(w.now))
}

// sweep reports what the engine really holds.
func (w *world) sweep(*rapid.T) {
	var ids []string
	for _, id := range w.ids {
		if _, ok := w.held[id]; ok {
			ids = append(ids, id)
		}
	}
	orphans, actions := w.keeper.Sweep(w.now, w.now, ids)
	if len(orphans) > 0 {
		w.t.Fatalf("got orphans work %v, want none: the engine is faultless", orphans)
	}
	w.do(actions)
}

func (w *world) detach(*rapid.T) { w.keeper.Detach(w) }

// settle lets every lease end and the backend server confirm everything.
func (w *world) settle() {
	for range 300 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.do(w.keeper.Tick(w.now))
		for _, id := range w.ids {
			if w.running[id] != nil {
				w.end(id, false)
			}
		}
		w.confirm(nil)
	}
	if load := w.queue.Load(w.now); load.Free != load.Total || len(w.held) > 0 || len(w.keeper.attempts) > 0 {
		w.t.Fatalf("after all leases: got %d of %d free, %v held and %d attempts, want nothing left",
			load.Free, load.Total, w.held, len(w.keeper.attempts))
	}
}

// Guards against memory that is granted twice or never freed, work that starts
// after it was reported as not run, and work that starts twice, in any order of
// asks, dispatches, withdrawals, results, crashes and lost entries.
func TestKeeperInvariants(t *testing.T) {
	for name, plain := range map[string]bool{"engine": false, "plain": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, plain)
				w.r = t
				t.Repeat(map[string]func(*rapid.T){
					"ask": w.ask, "ask again": w.ask, "dispatch": w.dispatch, "dispatch again": w.dispatch,
					"withdraw": w.withdraw, "finish": w.finish, "confirm": w.confirm,
					"crash": w.crash, "tick": w.tick, "sweep": w.sweep, "detach": w.detach,
				})
				w.settle()
			})
		})
	}
}

// Guards against memory that is granted again while the engine still holds it.
func TestGrantAfterConfirmation(t *testing.T) {
	ends := map[string]func(w *world){
		"withdrawn": func(w *world) { w.do(w.keeper.Withdraw(w.now, w, &wire.Withdraw{Id: "a"})) },
		"failed":    func(w *world) { w.end("a", false) },
		"lease": func(w *world) {
			w.now = w.now.Add(4 * time.Second)
			w.do(w.keeper.Tick(w.now))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, false)
			ask := func(id string) *wire.Ask {
				return &wire.Ask{Id: id, Phase: wire.Phase_PHASE_PREFILL, Due: 5000, Pieces: testPieces, Entry: id, Epoch: 1}
			}
			w.do(w.keeper.Ask(w.now, w, ask("a")))
			w.do(w.keeper.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{Id: "a"}}}))
			end(w)
			w.do(w.keeper.Ask(w.now, w, ask("b")))
			if got, want := w.keeper.attempts["b"].stage, stageQueued; got != want {
				t.Fatalf("before the confirmation: got %s, want %s", got, want)
			}
			w.do(w.keeper.Cancelled(w.now, "a"))
			if got, want := w.keeper.attempts["b"].stage, stageGranted; got != want {
				t.Fatalf("after the confirmation: got %s, want %s", got, want)
			}
		})
	}
}

// Guards against an attempt that runs twice because its Ask was repeated while a
// suspect had the server alone.
func TestRepeatedAskWhileIsolated(t *testing.T) {
	w := newWorld(t, true)
	ask := func(id string, alone bool) {
		w.ids = append(w.ids, id)
		w.do(w.keeper.Ask(w.now, w, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 5000, Entry: "e1", Epoch: 1, Alone: alone,
		}))
	}
	run := func(id string) {
		w.do(w.keeper.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}))
	}
	ask("suspect", true)
	for range 3 {
		ask("a", false)
	}
	run("suspect")
	w.end("suspect", true)
	run("a")
	w.end("a", true)
	run("a")
	if got, want := w.started["a"], 1; got != want {
		t.Fatalf("runs: got %d, want %d", got, want)
	}
	w.settle()
}

// Guards against suspects that starve on a busy server, that run beside each
// other, and against a second crash that is counted against a neighbour.
func TestSuspectOnBusyServer(t *testing.T) {
	w := newWorld(t, true)
	ask := func(id string, alone bool) {
		w.ids = append(w.ids, id)
		w.do(w.keeper.Ask(w.now, w, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 60_000, Entry: "e1", Epoch: 1, Alone: alone, Digest: id,
		}))
	}
	ask("neighbour", false)
	w.do(w.keeper.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: "neighbour"}}}))
	ask("first", true)
	ask("second", true)
	if got, want := len(w.keeper.attempts), 1; got != want {
		t.Fatalf("at once: got %d attempts, want %d", got, want)
	}
	w.now = w.now.Add(time.Second)
	w.do(w.keeper.Tick(w.now))
	if w.keeper.attempts["first"] == nil || w.keeper.attempts["second"] != nil {
		t.Fatalf("after the wait: got %v, want the first suspect only", w.keeper.sorted())
	}
	w.do(w.keeper.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: "first"}}}))
	for _, a := range w.keeper.Down(w.now) {
		if a.kind == actBlame && !slices.Equal(a.digests, []string{"first"}) {
			t.Fatalf("blamed: got %v, want the suspect only", a.digests)
		}
	}
}
