package evaluator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/picker"
	"github.com/damasklever/damasklever/internal/wire"
)

// Delays of the current deployments, one way.
const (
	delayCentre = 1500 * time.Microsecond
	delayRegion = 12 * time.Millisecond
	delayCaller = 3 * time.Millisecond
)

// rankSettings are the three priority classes, the most urgent first.
var rankSettings = []struct {
	first, gap time.Duration
	floor      int
	worth      float64
}{
	{2 * time.Second, 75 * time.Millisecond, 0, 10},
	{6 * time.Second, 150 * time.Millisecond, 15, 3},
	{20 * time.Second, 300 * time.Millisecond, 5, 1},
}

const callerShare = 25 // percent of a rank

// version is one policy under measurement.
type version struct {
	name string
	fifo bool // round robin, first come first served, no reservation
	// headroom keeps memory free for more urgent ranks.
	headroom bool
}

// faults are the disturbances of a scenario.
type faults struct {
	kill       bool
	stall      float64 // fraction of transfers
	loseEvents float64 // fraction of cache events
	lateLoad   time.Duration
}

// entry is one entry process.
type entry struct {
	picker.Server
	w        *world
	picker   *picker.Picker
	admitter *admitter.Admitter
	turn     map[string]int // round robin
}

// flow is the state machine of one request.
type flow interface {
	Step(now time.Time, e dispatcher.Event) []dispatcher.Action
}

// world runs events in virtual time.
type world struct {
	v        version
	f        faults
	now      time.Time
	rand     *rand.Rand
	events   events
	seq      int
	servers  []*server
	byName   map[string]*server
	entries  []*entry
	attempts map[string]*attempt
	order    []string // ids of attempts, oldest first
	requests []*request
	messages int
	paid     float64 // bytes between regions
	cached   float64 // prompt tokens
	prompts  float64
	counts   map[string]int
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(v version, f faults, seed uint64) *world {
	w := &world{
		v: v, f: f, now: start, rand: rand.New(rand.NewPCG(seed, 2)),
		byName: map[string]*server{}, attempts: map[string]*attempt{}, counts: map[string]int{},
	}
	for region := range 3 {
		for i, phase := range []string{picker.Prefill, picker.Decode, picker.Decode, picker.Plain} {
			w.addServer(region, i, phase)
		}
	}
	for region := range 3 {
		w.addEntry(region, seed)
	}
	w.every(100*time.Millisecond, func() {
		for _, s := range w.servers {
			if s.alive {
				for _, e := range w.entries {
					s.queue.Renew(w.now, e.Name)
				}
				s.decide(s.queue.Tick(w.now))
			}
		}
	})
	w.every(time.Second, w.report)

	return w
}

func (w *world) addServer(region, i int, phase string) {
	s := &server{w: w, alive: true, last: w.now, Server: picker.Server{
		Name: fmt.Sprintf("%s-%d-%d", phase, region, i), Service: "summary", Phase: phase,
		Region: fmt.Sprint("r", region), Centre: fmt.Sprint("c", region, i%2), Pieces: enginePieces,
	}}
	set := granter.Defaults(enginePieces)
	switch phase {
	case picker.Prefill:
		set.Slots, set.Serial = 2, true
	case picker.Plain:
		set.Total, s.Pieces, s.Service = plainSlots, plainSlots, "booking"
	}
	for r := range set.Ranks {
		set.Ranks[r] = granter.Rank{Floor: rankSettings[r].floor, Share: callerShare}
	}
	if !w.v.headroom {
		set.Headroom = 0
	}
	if w.v.fifo {
		set.Ranks = []granter.Rank{{Share: 100}}
		set.Queue = time.Hour
	}
	s.queue = must(granter.New(set))
	w.servers = append(w.servers, s)
	w.byName[s.Name] = s
}

func (w *world) addEntry(region int, seed uint64) {
	e := &entry{w: w, turn: map[string]int{}, Server: picker.Server{
		Name: fmt.Sprint("entry", region), Region: fmt.Sprint("r", region), Centre: fmt.Sprint("c", region, 0),
	}}
	ps := picker.Defaults()
	ps.Seed = seed + uint64(region)
	ps.Prefill = seconds(pieceTokens / prefillRate)
	e.picker = must(picker.New(ps))
	as := admitter.Defaults()
	as.Prefill = prefillRate
	for r := range as.Ranks {
		as.Ranks[r] = admitter.Rank{First: rankSettings[r].first, Gap: rankSettings[r].gap, Share: callerShare}
	}
	e.admitter = must(admitter.New(as))
	w.entries = append(w.entries, e)
	w.view(e)
	for _, s := range w.servers {
		w.observe(e, s, s.queue.Load(w.now), s.gap())
	}
}

// view gives an entry the servers that the host list shows.
func (w *world) view(e *entry) {
	var list []picker.Server
	for _, s := range w.servers {
		if s.alive {
			list = append(list, s.Server)
		} else {
			e.admitter.Forget(w.now, s.Name)
		}
	}
	e.picker.SetServers(w.now, list)
}

// report sends every server's load to every entry.
func (w *world) report() {
	for _, s := range w.servers {
		if !s.alive {
			continue
		}
		l, gap := s.queue.Load(w.now), s.gap()
		for _, e := range w.entries {
			w.after(w.delay(s.Server, e.Server)+w.f.lateLoad, func() {
				if s.alive {
					w.observe(e, s, l, gap)
				}
			})
		}
	}
}

func (w *world) observe(e *entry, s *server, l granter.Load, gap time.Duration) {
	e.picker.Observe(w.now, s.Name, picker.Load{Total: l.Total, Free: l.Free, Waits: l.Waits})
	al := admitter.Load{Service: s.Service, Phase: s.Phase, Total: l.Total, Free: l.Free, Waits: l.Waits}
	switch s.Phase {
	case picker.Prefill:
		al.Rate = prefillRate
	case picker.Decode:
		al.Gap = gap
	}
	e.admitter.Observe(w.now, s.Name, al)
}

func (w *world) delay(a, b picker.Server) time.Duration {
	switch {
	case a.Region != b.Region:
		return delayRegion
	case a.Centre != b.Centre:
		return delayCentre
	default:
		return 200 * time.Microsecond
	}
}

// step passes an event to a request and carries out its actions.
func (w *world) step(r *request, e dispatcher.Event) {
	for _, a := range r.flow.Step(w.now, e) {
		w.act(r, a)
	}
}

func (w *world) act(r *request, a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Ask:
		s := w.byName[a.Server]
		at := &attempt{id: a.ID, r: r, s: s, entry: r.entry, phase: a.Phase, due: a.Due}
		w.attempts[a.ID] = at
		w.order = append(w.order, a.ID)
		w.send(r, at, func() { s.ask(at, a) })
	case dispatcher.Withdraw:
		at := w.attempts[a.ID]
		w.messages++
		w.after(w.delay(r.entry.Server, at.s.Server), func() { w.withdraw(at) })
	case dispatcher.Prefill:
		w.counts["prefills"]++
		at := w.attempts[a.ID]
		if at.s.Region != r.entry.Region {
			w.paid += float64(r.tokens) * promptBytes
		}
		w.send(r, at, func() { at.s.prefill(at) })
	case dispatcher.Retried:
		w.counts["retried "+a.Reason]++
	case dispatcher.Import:
		w.counts["imports"]++
		at := w.attempts[a.ID]
		w.send(r, at, func() { at.s.load(at, a) })
	case dispatcher.Decode:
		at := w.attempts[a.ID]
		w.send(r, at, func() { at.s.decode(at) })
	case dispatcher.Run:
		at := w.attempts[a.ID]
		w.send(r, at, func() { at.s.run(at) })
	case dispatcher.Emit:
		r.emit(w.now)
	case dispatcher.Finish:
		r.finish(w, a.Outcome)
	case dispatcher.Wake:
		w.after(a.At.Sub(w.now), func() {
			if !r.over {
				w.step(r, dispatcher.Woken{})
			}
		})
	}
}

// send delivers a call to an agent, or finds the connection broken.
func (w *world) send(r *request, at *attempt, fn func()) {
	w.messages++
	d := w.delay(r.entry.Server, at.s.Server)
	w.after(d, func() {
		switch {
		case !at.s.alive:
			w.after(d, func() { w.step(r, dispatcher.Lost{ID: at.id, Reason: "killed"}) })
		case !at.ended:
			fn()
		}
	})
}

func (w *world) withdraw(at *attempt) {
	if at.s.alive && !at.ended {
		at.s.stop(at)
	}
	at.ended = true
	if at.s.alive {
		at.s.decide(at.s.queue.Withdraw(w.now, at.id))
		at.s.reply(at, dispatcher.Withdrawn{ID: at.id, Ran: !at.begun.IsZero()})
	}
}

// Pick implements dispatcher.Policy.
func (e *entry) Pick(now time.Time, r *dispatcher.Request, c dispatcher.Choice) []string {
	phase := map[wire.Phase]string{
		wire.Phase_PHASE_PREFILL: picker.Prefill,
		wire.Phase_PHASE_DECODE:  picker.Decode,
		wire.Phase_PHASE_PLAIN:   picker.Plain,
	}[c.Phase]
	var names []string
	if e.w.v.fifo {
		var all []string
		for _, s := range e.w.servers {
			if s.Phase == phase && s.alive && !slices.Contains(c.Avoid, s.Name) {
				all = append(all, s.Name)
			}
		}
		e.turn[phase]++

		return []string{all[e.turn[phase]%len(all)]}
	}
	for _, cand := range e.picker.Pick(now, picker.Query{
		Service: r.Service, Phase: phase, Rank: r.Rank, Region: e.Region, Centre: e.Centre, Near: c.Near,
		Prefix: r.Prefix, Tokens: int(r.Tokens), Pieces: int(r.Pieces), Avoid: c.Avoid,
	}, c.Count) {
		names = append(names, cand.Server)
	}

	return names
}

// Retry implements dispatcher.Policy.
func (e *entry) Retry(now time.Time, service string) bool {
	return e.w.v.fifo || e.admitter.Retry(now, service)
}

// Fail implements dispatcher.Policy.
func (e *entry) Fail(now time.Time, server string) { e.picker.Fail(now, server) }

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now.Add(max(d, 0)), w.seq, fn})
}

func (w *world) every(d time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		w.after(d, tick)
	}
	w.after(d, tick)
}

// run advances the time to end.
func (w *world) run(end time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e, _ := heap.Pop(&w.events).(event)
		w.now = e.at
		e.fn()
	}
	w.now = end
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	if e[a].at.Equal(e[b].at) {
		return e[a].seq < e[b].seq
	}

	return e[a].at.Before(e[b].at)
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]

	return x
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}

	return v
}
