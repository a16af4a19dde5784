package simulator

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

// One-way network delays of the current deployments: between data centres of a
// region, between regions, and between a caller and its entry.
const (
	delayCentre = 1500 * time.Microsecond
	delayRegion = 12 * time.Millisecond
	delayCaller = 3 * time.Millisecond
)

// rankSettings describes the three priority ranks, the most urgent first: the
// targets for the first token and for the gap between tokens, the percentage of a
// server that is reserved for the rank, and what a request is worth.
var rankSettings = []struct {
	firstToken, tokenGap time.Duration
	floor                int
	worth                float64
}{
	{2 * time.Second, 75 * time.Millisecond, 0, 10},
	{6 * time.Second, 150 * time.Millisecond, 15, 3},
	{20 * time.Second, 300 * time.Millisecond, 5, 1},
}

const callerShare = 25 // percent of a rank that one caller may use

// variant is a variant of the policy that is simulated.
type variant struct {
	name     string
	baseline bool // round robin, first come first served, no reservations
	// headroom keeps some memory free for more urgent ranks.
	headroom bool
}

// faults are the faults that a scenario injects.
type faults struct {
	kill       bool          // one decode engine is killed after a third of the run
	stall      float64       // fraction of KV cache transfers that stall
	loseEvents float64       // fraction of cache events that are lost
	lateLoad   time.Duration // added to the delay of load reports
}

// entry models an entry process with its picker and admitter.
type entry struct {
	picker.Server
	sim        *simulation
	picker     *picker.Picker
	admitter   *admitter.Admitter
	nextServer map[string]int // by phase; for round robin
}

// machine is the state machine of one request.
type machine interface {
	Step(now time.Time, e dispatcher.Event) []dispatcher.Action
}

// simulation holds the model of all processes and requests and runs its events in
// virtual time.
type simulation struct {
	v                  variant
	f                  faults
	now                time.Time
	rand               *rand.Rand
	eventQueue         eventQueue
	lastSeq            int
	servers            []*server
	serversByName      map[string]*server
	entries            []*entry
	attempts           map[string]*attempt
	attemptIDs         []string // IDs of attempts, oldest first
	requests           []*request
	messages           int     // between entries and agents, without chunks
	crossRegionTraffic float64 // bytes sent between regions, which are billed
	cachedTokens       float64 // prompt tokens that prefills found in the prefix cache
	prefilledTokens    float64 // prompt tokens of all prefills
	counts             map[string]int
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(v variant, f faults, seed uint64) *simulation {
	sim := &simulation{
		v: v, f: f, now: startTime, rand: rand.New(rand.NewPCG(seed, 2)),
		serversByName: map[string]*server{}, attempts: map[string]*attempt{}, counts: map[string]int{},
	}
	for region := range 3 {
		for i, phase := range []string{picker.Prefill, picker.Decode, picker.Decode, picker.Plain} {
			sim.addServer(region, i, phase)
		}
	}
	for region := range 3 {
		sim.addEntry(region, seed)
	}
	sim.schedulePeriodic(100*time.Millisecond, func() {
		for _, srv := range sim.servers {
			if srv.alive {
				for _, e := range sim.entries {
					srv.grantQueue.Renew(sim.now, e.Name)
				}
				srv.applyDecisions(srv.grantQueue.Tick(sim.now))
			}
		}
	})
	sim.schedulePeriodic(time.Second, sim.reportLoads)

	return sim
}

func (sim *simulation) addServer(region, i int, phase string) {
	srv := &server{sim: sim, alive: true, advancedAt: sim.now, Server: picker.Server{
		Name: fmt.Sprintf("%s-%d-%d", phase, region, i), Service: "summary", Phase: phase,
		Region: fmt.Sprint("r", region), Centre: fmt.Sprint("c", region, i%2), Pieces: engineBlocks,
	}}
	set := granter.Defaults(engineBlocks)
	switch phase {
	case picker.Prefill:
		set.Slots, set.Serial = 2, true
	case picker.Plain:
		set.Total, srv.Pieces, srv.Service = plainSlots, plainSlots, "booking"
	}
	for r := range set.Ranks {
		set.Ranks[r] = granter.Rank{Floor: rankSettings[r].floor, Share: callerShare}
	}
	if !sim.v.headroom {
		set.Headroom = 0
	}
	if sim.v.baseline {
		set.Ranks = []granter.Rank{{Share: 100}}
		set.MaxQueuedWork = time.Hour
	}
	srv.grantQueue = must(granter.New(set))
	sim.servers = append(sim.servers, srv)
	sim.serversByName[srv.Name] = srv
}

func (sim *simulation) addEntry(region int, seed uint64) {
	e := &entry{sim: sim, nextServer: map[string]int{}, Server: picker.Server{
		Name: fmt.Sprint("entry", region), Region: fmt.Sprint("r", region), Centre: fmt.Sprint("c", region, 0),
	}}
	ps := picker.Defaults()
	ps.Seed = seed + uint64(region)
	ps.Prefill = seconds(blockTokens / prefillRate)
	e.picker = must(picker.New(ps))
	as := admitter.Defaults()
	as.Prefill = prefillRate
	for r := range as.Ranks {
		as.Ranks[r] = admitter.Rank{First: rankSettings[r].firstToken, TokenGap: rankSettings[r].tokenGap, Share: callerShare}
	}
	e.admitter = must(admitter.New(as))
	sim.entries = append(sim.entries, e)
	sim.updateServers(e)
	for _, srv := range sim.servers {
		sim.observeLoad(e, srv, srv.grantQueue.Load(sim.now), srv.tokenGap())
	}
}

// updateServers updates the servers that an entry knows from the host list.
func (sim *simulation) updateServers(e *entry) {
	var list []picker.Server
	for _, srv := range sim.servers {
		if srv.alive {
			list = append(list, srv.Server)
		} else {
			e.admitter.RemoveServer(sim.now, srv.Name)
		}
	}
	e.picker.SetServers(sim.now, list)
}

// reportLoads sends the load of every server to every entry.
func (sim *simulation) reportLoads() {
	for _, srv := range sim.servers {
		if !srv.alive {
			continue
		}
		l, tokenGap := srv.grantQueue.Load(sim.now), srv.tokenGap()
		for _, e := range sim.entries {
			sim.schedule(sim.networkDelay(srv.Server, e.Server)+sim.f.lateLoad, func() {
				if srv.alive {
					sim.observeLoad(e, srv, l, tokenGap)
				}
			})
		}
	}
}

func (sim *simulation) observeLoad(e *entry, srv *server, l granter.Load, tokenGap time.Duration) {
	e.picker.Observe(sim.now, srv.Name, picker.Load{Total: l.Total, Free: l.Free, Waits: l.Waits})
	al := admitter.Load{Service: srv.Service, Phase: srv.Phase, Total: l.Total, Free: l.Free, Waits: l.Waits}
	switch srv.Phase {
	case picker.Prefill:
		al.PrefillRate = prefillRate
	case picker.Decode:
		al.TokenGap = tokenGap
	}
	e.admitter.Observe(sim.now, srv.Name, al)
}

func (sim *simulation) networkDelay(a, b picker.Server) time.Duration {
	switch {
	case a.Region != b.Region:
		return delayRegion
	case a.Centre != b.Centre:
		return delayCentre
	default:
		return 200 * time.Microsecond
	}
}

// stepRequest passes an event to the state machine of a request and executes the
// resulting actions.
func (sim *simulation) stepRequest(r *request, e dispatcher.Event) {
	for _, a := range r.machine.Step(sim.now, e) {
		sim.execute(r, a)
	}
}

func (sim *simulation) execute(req *request, a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Ask:
		srv := sim.serversByName[a.Server]
		at := &attempt{id: a.ID, req: req, srv: srv, entry: req.entry, phase: a.Phase, grantDeadline: a.Due}
		sim.attempts[a.ID] = at
		sim.attemptIDs = append(sim.attemptIDs, a.ID)
		sim.sendCall(req, at, func() { srv.ask(at, a) })
	case dispatcher.Withdraw:
		at := sim.attempts[a.ID]
		sim.messages++
		sim.schedule(sim.networkDelay(req.entry.Server, at.srv.Server), func() { sim.withdrawAttempt(at) })
	case dispatcher.Prefill:
		sim.counts["prefills"]++
		at := sim.attempts[a.ID]
		if at.srv.Region != req.entry.Region {
			sim.crossRegionTraffic += float64(req.promptTokens) * promptTokenBytes
		}
		sim.sendCall(req, at, func() { at.srv.startPrefill(at) })
	case dispatcher.Retried:
		sim.counts["retried "+a.Reason]++
	case dispatcher.Import:
		sim.counts["imports"]++
		at := sim.attempts[a.ID]
		sim.sendCall(req, at, func() { at.srv.startImport(at, a) })
	case dispatcher.Decode:
		at := sim.attempts[a.ID]
		sim.sendCall(req, at, func() { at.srv.startDecode(at) })
	case dispatcher.Run:
		at := sim.attempts[a.ID]
		sim.sendCall(req, at, func() { at.srv.runPlainCall(at) })
	case dispatcher.Emit:
		req.recordToken(sim.now)
	case dispatcher.Finish:
		req.finish(sim, a.Outcome)
	case dispatcher.RequestWake:
		sim.schedule(a.At.Sub(sim.now), func() {
			if !req.finished {
				sim.stepRequest(req, dispatcher.TimerFired{})
			}
		})
	}
}

// sendCall delivers a call to an agent. If the server is dead, the entry learns
// that the connection broke.
func (sim *simulation) sendCall(r *request, at *attempt, fn func()) {
	sim.messages++
	d := sim.networkDelay(r.entry.Server, at.srv.Server)
	sim.schedule(d, func() {
		switch {
		case !at.srv.alive:
			sim.schedule(d, func() { sim.stepRequest(r, dispatcher.ConnectionLost{ID: at.id, Reason: "killed"}) })
		case !at.ended:
			fn()
		}
	})
}

func (sim *simulation) withdrawAttempt(at *attempt) {
	if at.srv.alive && !at.ended {
		at.srv.cancelWork(at)
	}
	at.ended = true
	if at.srv.alive {
		at.srv.applyDecisions(at.srv.grantQueue.Withdraw(sim.now, at.id))
		at.srv.sendEvent(at, dispatcher.Withdrawn{ID: at.id, Ran: !at.startedAt.IsZero()})
	}
}

// Pick implements dispatcher.Policy.
func (e *entry) Pick(now time.Time, r *dispatcher.Request, selection dispatcher.Selection) []string {
	phase := map[wire.Phase]string{
		wire.Phase_PHASE_PREFILL: picker.Prefill,
		wire.Phase_PHASE_DECODE:  picker.Decode,
		wire.Phase_PHASE_PLAIN:   picker.Plain,
	}[selection.Phase]
	var names []string
	if e.sim.v.baseline {
		var all []string
		for _, srv := range e.sim.servers {
			if srv.Phase == phase && srv.alive && !slices.Contains(selection.Exclude, srv.Name) {
				all = append(all, srv.Name)
			}
		}
		e.nextServer[phase]++

		return []string{all[e.nextServer[phase]%len(all)]}
	}
	for _, cand := range e.picker.Pick(now, picker.Query{
		Service: r.Service, Phase: phase, Rank: r.Rank, Region: e.Region, Centre: e.Centre, KVCachePeer: selection.KVCachePeer,
		Prefix: r.Prefix, Tokens: int(r.Tokens), Pieces: int(r.Pieces), Exclude: selection.Exclude,
	}, selection.Count) {
		names = append(names, cand.Server)
	}

	return names
}

// TakeRetry implements dispatcher.Policy.
func (e *entry) TakeRetry(now time.Time, service string) bool {
	return e.sim.v.baseline || e.admitter.TakeRetry(now, service)
}

// Fail implements dispatcher.Policy.
func (e *entry) Fail(now time.Time, server string) { e.picker.Fail(now, server) }

// schedule runs fn after a delay in virtual time.
func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.lastSeq++
	heap.Push(&sim.eventQueue, event{sim.now.Add(max(d, 0)), sim.lastSeq, fn})
}

func (sim *simulation) schedulePeriodic(d time.Duration, fn func()) {
	var tick func()
	tick = func() {
		fn()
		sim.schedule(d, tick)
	}
	sim.schedule(d, tick)
}

// runUntil runs all events up to end and advances the time to it.
func (sim *simulation) runUntil(end time.Time) {
	for len(sim.eventQueue) > 0 && !sim.eventQueue[0].at.After(end) {
		e, _ := heap.Pop(&sim.eventQueue).(event)
		sim.now = e.at
		e.fn()
	}
	sim.now = end
}

// event is a function to run at a time. Events at the same time run in the order in
// which they were scheduled.
type event struct {
	at  time.Time
	seq int
	fn  func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(a, b int) bool {
	if e[a].at.Equal(e[b].at) {
		return e[a].seq < e[b].seq
	}

	return e[a].at.Before(e[b].at)
}
func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
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
