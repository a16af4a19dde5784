package grantclient_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/placer"
)

// fleet returns servers in six data centres of three regions, two thirds for decode.
func fleet(servers int) []placer.Server {
	var out []placer.Server
	for i := range servers {
		stage := placer.Decode
		if i/6%3 == 2 {
			stage = placer.Prefill
		}
		out = append(out, placer.Server{
			ID: fmt.Sprint("s", i), Centre: fmt.Sprint("c", i%6), Region: fmt.Sprint("r", i%3), Stage: stage,
		})
	}

	return out
}

func subset(entry, entries int) grantclient.Subset {
	return grantclient.Subset{
		Name: fmt.Sprint("e", entry), Centre: fmt.Sprint("c", entry%6), Region: fmt.Sprint("r", entry%3), Entries: entries,
	}
}

// At each fleet size up to the target, nearly every server must have a session with some
// entry, and no entry may have too many sessions.
func TestSubsetCoversFleet(t *testing.T) {
	for name, test := range map[string]struct {
		entries, servers int
		most             int // maximum sessions of one entry
	}{
		"small":  {8, 9, 9},
		"medium": {23, 40, 40},
		"large":  {105, 180, 48},
		"target": {303, 12000, 320},
	} {
		t.Run(name, func(t *testing.T) {
			servers := fleet(test.servers)
			sessions := make(map[string]int)
			for entry := range test.entries {
				chosen := subset(entry, test.entries).Choose(servers)
				if len(chosen) > test.most {
					t.Fatalf("sessions of an entry: got %d, want at most %d", len(chosen), test.most)
				}
				for id := range chosen {
					sessions[id]++
				}
			}
			uncovered := 0
			for _, s := range servers {
				if sessions[s.ID] == 0 {
					uncovered++
				}
			}
			if most := test.servers / 500; uncovered > most {
				t.Errorf("servers without a session: got %d of %d, want at most %d", uncovered, test.servers, most)
			}
		})
	}
}

// Removing a server must change few sessions.
func TestSubsetIsStable(t *testing.T) {
	servers := fleet(180)
	before := subset(3, 105).Choose(servers)
	after := subset(3, 105).Choose(slices.Delete(slices.Clone(servers), 20, 21))
	changed := 0
	for id := range after {
		if !before[id] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("new sessions after one server has gone: got %d, want at most 1", changed)
	}
}

// completion is the end of a request at a server.
type completion struct {
	at     time.Duration
	server int
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) } //nolint:forcetypeassert // called by container/heap only

func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

// simulateBurst simulates 40 s of requests with exponentially distributed durations on
// decode servers. From second 10 to 25, the entries of one data centre get three times the
// load of those of each other one. It returns the fraction of requests that found a free slot
// at a server to which their entry has a session.
func simulateBurst(seed uint64, sessions func(entry int, wide bool) []int, servers int) float64 {
	const (
		entries      = 105
		slots        = 8 // requests that fit into a server's memory
		meanDuration = 3600 * time.Millisecond
		length       = 40 * time.Second
		load         = 0.8 // of all slots, before the burst
		candidates   = 8
	)
	random := rand.New(rand.NewPCG(seed, 1))
	used := make([]int, servers)
	wide := make([]time.Duration, entries)
	var running completionHeap
	served, all := 0, 0
	rate := load * float64(servers*slots) / meanDuration.Seconds()
	for now := time.Duration(0); now < length; now += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		for len(running) > 0 && running[0].at <= now {
			end, _ := heap.Pop(&running).(completion)
			used[end.server]--
		}
		entry := random.IntN(entries)
		if burst := now > 10*time.Second && now < 25*time.Second; burst && random.Float64() < 0.25 {
			entry = entry / 6 * 6 % entries // an entry of the overloaded data centre
		}
		all++
		known := sessions(entry, now < wide[entry])
		free := slices.DeleteFunc(slices.Clone(known), func(s int) bool { return used[s] >= slots })
		slices.SortStableFunc(free, func(a, b int) int { return used[a] - used[b] })
		if len(free) == 0 {
			wide[entry] = now + 10*time.Second

			continue
		}
		// Entries know the load with some delay, so the choice among the least loaded is random.
		server := free[random.IntN(min(len(free), candidates))]
		used[server]++
		served++
		heap.Push(&running, completion{now + time.Duration(random.ExpFloat64()*float64(meanDuration)), server})
	}

	return float64(served) / float64(all)
}

// With a subset of sessions, requests must find free memory nearly as often as with
// sessions to all servers, even while one data centre is overloaded.
func TestSubsetFindsFreeMemory(t *testing.T) {
	servers := fleet(180)
	var decode []placer.Server
	for _, s := range servers {
		if s.Stage == placer.Decode {
			decode = append(decode, s)
		}
	}
	indices := func(s grantclient.Subset) []int {
		chosen := s.Choose(servers)
		var out []int
		for i, server := range decode {
			if chosen[server.ID] {
				out = append(out, i)
			}
		}

		return out
	}
	var narrow, wide [105][]int
	var every []int
	for i := range decode {
		every = append(every, i)
	}
	for entry := range narrow {
		s := subset(entry, len(narrow))
		narrow[entry] = indices(s)
		s.Wide = true
		wide[entry] = indices(s)
	}
	for seed := range uint64(3) {
		want := simulateBurst(seed, func(int, bool) []int { return every }, len(decode))
		got := simulateBurst(seed, func(entry int, crowded bool) []int {
			if crowded {
				return wide[entry]
			}

			return narrow[entry]
		}, len(decode))
		if got < want-0.02 {
			t.Errorf("seed %d: fraction that found memory: got %.3f, want at least %.3f less 0.02", seed, got, want)
		}
	}
}
