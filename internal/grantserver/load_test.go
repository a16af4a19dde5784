package grantserver

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/timer"
)

// requestClass describes one class of model requests.
type requestClass struct {
	rank    int
	rate    float64       // requests per second
	maxWait time.Duration // maximum wait for memory with which the first event is in time
}

// The simulated load: three classes of model requests at 1.9 times their usual rate,
// except that the least urgent class is at four times, on six decode servers of 66,998
// tokens. This exceeds the capacity of the servers.
const (
	decodeServers  = 6
	loadDuration   = 30 * time.Second
	serverMemory   = 66998
	tokenTime      = 4600 * time.Microsecond
	firstTokenTime = 200 * time.Millisecond // prompt processing, transfer and first token
)

var overload = map[string]requestClass{
	"urgent": {0, 2.97 * 1.9, 800*time.Millisecond - firstTokenTime},
	"middle": {1, 2.35 * 1.9, time.Second - firstTokenTime},
	"low":    {2, 5.09 * 4, 2*time.Second - firstTokenTime},
}

// event is an action of the simulation at a point in virtual time.
type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (m eventQueue) Len() int           { return len(m) }
func (m eventQueue) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m eventQueue) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *eventQueue) Push(x any)        { *m = append(*m, x.(event)) } //nolint:forcetypeassert // called by container/heap only

func (m *eventQueue) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]

	return last
}

// simulate runs the load against the grant queues of the servers in virtual time. Each
// request asks a number of randomly selected servers and uses the first grant. It returns
// the fraction of requests of each class that were granted in time.
func simulate(t *testing.T, seed uint64, asks int) map[string]float64 {
	t.Helper()
	gs := &Server{s: Settings{Listen: "127.0.0.1:0", Backend: "s", Timer: timer.NewManual(time.Unix(0, 0))}}
	gs.s.Defaults()
	gs.report = Report{Phase: Decode, Total: serverMemory}
	servers := make([]*granter.Granter, decodeServers)
	for i := range servers {
		var err error
		if servers[i], err = granter.New(gs.granterSettings()); err != nil {
			t.Fatal(err)
		}
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var queue eventQueue
	now := time.Unix(0, 0)
	end := now.Add(loadDuration)
	at := func(when time.Time, do func()) { heap.Push(&queue, event{when, do}) }
	asked, inTime := make(map[string]int), make(map[string]int)
	waiting := make(map[string]func(server int))
	deliver := func(server int, decisions []granter.Decision) {
		for _, d := range decisions {
			if got := waiting[d.ID]; got != nil && d.Kind == granter.Granted {
				delete(waiting, d.ID)
				got(server)
			}
		}
	}
	arrive := func(name string, k requestClass, id string) {
		asked[name]++
		prompt := min(math.Exp(math.Log(5200)-0.11+0.47*random.NormFloat64()), 11000)
		output := min(math.Exp(math.Log(792)-0.2+0.63*random.NormFloat64()), 1870)
		ask := granter.Ask{
			ID: id, Entry: "e", Caller: "-", Rank: k.rank, Due: now.Add(4 * k.maxWait),
			Pieces: int(prompt+935) / gs.s.BlockSize, Cost: time.Duration(output) * tokenTime,
		}
		granted := func(server int) {
			inTime[name]++
			for other, g := range servers {
				if other != server {
					deliver(other, g.Withdraw(now, id))
				}
			}
			at(now.Add(time.Duration(output)*tokenTime+firstTokenTime), func() { deliver(server, servers[server].Release(now, id)) })
		}
		waiting[id] = granted
		for _, server := range random.Perm(decodeServers)[:asks] {
			if waiting[id] != nil {
				deliver(server, servers[server].Ask(now, ask))
			}
		}
		at(now.Add(k.maxWait), func() {
			if waiting[id] == nil {
				return
			}
			delete(waiting, id)
			for server, g := range servers {
				deliver(server, g.Withdraw(now, id))
			}
		})
	}
	for name, k := range overload {
		for n, when := 0, now; when.Before(end); n++ {
			when = when.Add(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second)))
			id := fmt.Sprint(name, n)
			at(when, func() { arrive(name, k, id) })
		}
	}
	for when := now; when.Before(end); when = when.Add(tick) {
		at(when, func() {
			for server, g := range servers {
				g.Renew(now, "e")
				deliver(server, g.Tick(now))
			}
		})
	}
	for len(queue) > 0 {
		next, _ := heap.Pop(&queue).(event)
		now = next.at
		next.do()
	}
	shares := make(map[string]float64)
	for name := range overload {
		shares[name] = float64(inTime[name]) / float64(asked[name])
	}

	return shares
}

// Under a burst of the least urgent work on full decode servers, urgent requests must not
// have to wait for the few servers that they happened to ask while others have capacity.
// The target of the most urgent rank is the one in docs/POLICY.md.
func TestUrgentInTimeUnderOverload(t *testing.T) {
	const seeds = 10
	all, two := make(map[string]float64), make(map[string]float64)
	for seed := range uint64(seeds) {
		for name, share := range simulate(t, seed, decodeServers) {
			all[name] += share / seeds
		}
		for name, share := range simulate(t, seed, 2) {
			two[name] += share / seeds
		}
	}
	t.Logf("fractions in time: %v if all servers are asked, %v if two are", all, two)
	if got, want := all["urgent"], 0.99; got < want {
		t.Errorf("urgent requests in time: got %.3f, want at least %.3f", got, want)
	}
	if all["urgent"] < all["middle"] || all["middle"] < all["low"] {
		t.Errorf("fractions in time: got %v, want higher ones for more urgent classes", all)
	}
	// The capacity is the same in both runs, so the least urgent class must give way.
	for _, name := range []string{"urgent", "middle"} {
		if all[name] <= two[name] {
			t.Errorf("%s requests in time: got %.3f if all servers are asked and %.3f if two are, want more", name, all[name], two[name])
		}
	}
}
