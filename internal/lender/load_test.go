package lender

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

// kind is one kind of request of the heavy day.
type kind struct {
	rank   int
	second float64       // requests a second
	wait   time.Duration // longest wait for memory from which the first event is in time
}

// The day: three kinds of model requests at 1.9 times their usual rate, the least
// urgent one at four times, on six decode servers of 66,998 tokens. That is more
// than the servers can serve.
const (
	decodeServers = 6
	dayLength     = 30 * time.Second
	memory        = 66998
	step          = 4600 * time.Microsecond
	rest          = 200 * time.Millisecond // reading, transfer and first token
)

var heavy = map[string]kind{
	"urgent": {0, 2.97 * 1.9, 800*time.Millisecond - rest},
	"middle": {1, 2.35 * 1.9, time.Second - rest},
	"low":    {2, 5.09 * 4, 2*time.Second - rest},
}

// moment is something that happens in the play, in order of time.
type moment struct {
	at time.Time
	do func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) } //nolint:forcetypeassert // by heap only

func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]

	return last
}

// play plays the load on the grant queues of the servers in virtual time. Each
// request asks a number of servers, drawn, and the first grant wins. It returns the
// share of each kind in time.
func play(t *testing.T, seed uint64, asks int) map[string]float64 {
	t.Helper()
	l := &Lender{s: Settings{Listen: "127.0.0.1:0", Server: "s", Timer: timer.NewManual(time.Unix(0, 0))}}
	l.s.Defaults()
	l.report = Report{Phase: Decode, Total: memory}
	servers := make([]*granter.Granter, decodeServers)
	for i := range servers {
		var err error
		if servers[i], err = granter.New(l.granterSettings()); err != nil {
			t.Fatal(err)
		}
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var queue moments
	now := time.Unix(0, 0)
	end := now.Add(dayLength)
	at := func(when time.Time, do func()) { heap.Push(&queue, moment{when, do}) }
	asked, inTime := make(map[string]int), make(map[string]int)
	waiting := make(map[string]func(server int))
	answer := func(server int, decisions []granter.Decision) {
		for _, d := range decisions {
			if got := waiting[d.ID]; got != nil && d.Kind == granter.Granted {
				delete(waiting, d.ID)
				got(server)
			}
		}
	}
	arrive := func(name string, k kind, id string) {
		asked[name]++
		prompt := min(math.Exp(math.Log(5200)-0.11+0.47*random.NormFloat64()), 11000)
		output := min(math.Exp(math.Log(792)-0.2+0.63*random.NormFloat64()), 1870)
		ask := granter.Ask{
			ID: id, Entry: "e", Caller: "-", Rank: k.rank, Due: now.Add(4 * k.wait),
			Pieces: int(prompt+935) / l.s.Block, Cost: time.Duration(output) * step,
		}
		granted := func(server int) {
			inTime[name]++
			for other, g := range servers {
				if other != server {
					answer(other, g.Withdraw(now, id))
				}
			}
			at(now.Add(time.Duration(output)*step+rest), func() { answer(server, servers[server].Release(now, id)) })
		}
		waiting[id] = granted
		for _, server := range random.Perm(decodeServers)[:asks] {
			if waiting[id] != nil {
				answer(server, servers[server].Ask(now, ask))
			}
		}
		at(now.Add(k.wait), func() {
			if waiting[id] == nil {
				return
			}
			delete(waiting, id)
			for server, g := range servers {
				answer(server, g.Withdraw(now, id))
			}
		})
	}
	for name, k := range heavy {
		for n, when := 0, now; when.Before(end); n++ {
			when = when.Add(time.Duration(random.ExpFloat64() / k.second * float64(time.Second)))
			id := fmt.Sprint(name, n)
			at(when, func() { arrive(name, k, id) })
		}
	}
	for when := now; when.Before(end); when = when.Add(tick) {
		at(when, func() {
			for server, g := range servers {
				g.Renew(now, "e")
				answer(server, g.Tick(now))
			}
		})
	}
	for len(queue) > 0 {
		next, _ := heap.Pop(&queue).(moment)
		now = next.at
		next.do()
	}
	shares := make(map[string]float64)
	for name := range heavy {
		shares[name] = float64(inTime[name]) / float64(asked[name])
	}

	return shares
}

// Answers the load of a burst of the least urgent work on full decode servers.
// Guards against urgent requests that wait for the servers they happen to ask while
// others have room. The target of the most urgent rank is that of docs/POLICY.md.
func TestUrgentInTimeOnHeavyDay(t *testing.T) {
	const seeds = 10
	all, two := make(map[string]float64), make(map[string]float64)
	for seed := range uint64(seeds) {
		for name, share := range play(t, seed, decodeServers) {
			all[name] += share / seeds
		}
		for name, share := range play(t, seed, 2) {
			two[name] += share / seeds
		}
	}
	t.Logf("in time if all servers are asked %v, if two are %v", all, two)
	if got, want := all["urgent"], 0.99; got < want {
		t.Errorf("urgent requests in time: got %.3f, want at least %.3f", got, want)
	}
	if all["urgent"] < all["middle"] || all["middle"] < all["low"] {
		t.Errorf("shares in time: got %v, want the more urgent first", all)
	}
	// The capacity is the same, so the least urgent work makes room for the others.
	for _, name := range []string{"urgent", "middle"} {
		if all[name] <= two[name] {
			t.Errorf("%s requests in time: got %.3f if all servers are asked and %.3f if two are, want more", name, all[name], two[name])
		}
	}
}
