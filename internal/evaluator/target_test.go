package evaluator

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/picker"
)

// Guards against a change of the policy that loses a target it has met. The
// bounds are the stated targets, not what was measured. Targets that are
// missed are listed in docs/POLICY.md.
func TestTargets(t *testing.T) {
	t.Parallel()
	const (
		leastGoodput = 0.90 // of the bound
		leastFlood   = 0.95 // of the goodput at the capacity
		mostWaste    = 0.01
		mostWasteBad = 0.05 // with a fault
		mostShare    = callerShare / 100.0
	)
	chosen := map[string]bool{
		"1.0": true, "2.0": true, "flood low": true, "flood low +kill": true, "flood low +late": true,
		"flood low +stall": true, "flood urgent": true, "flood urgent +kill": true, "flood urgent +stall": true, "careless": true,
	}
	var list []scenario
	for _, sc := range scenarios() {
		if chosen[sc.name] {
			list = append(list, sc)
		}
	}
	this := versions()[len(versions())-1:]
	rows := map[string]row{}
	for i, r := range evaluate(list, this, seeds, longRun) {
		rows[list[i].name] = r[0]
	}
	for _, sc := range list {
		r := rows[sc.name]
		flooded := sc.rates[0] > 2 || sc.rates[2] > 2
		if !flooded && !sc.careless && min(r.goodput/r.bound, r.work) < leastGoodput {
			t.Errorf("%s: goodput %.2f of the bound, work %.2f, want at least %.2f",
				sc.name, r.goodput/r.bound, r.work, leastGoodput)
		}
		if want := leastFlood * rows["1.0"].goodput; flooded && !sc.f.kill && r.goodput < want {
			t.Errorf("%s: goodput %.2f/s, want at least %.2f/s", sc.name, r.goodput, want)
		}
		waste := mostWaste
		if sc.f != (faults{}) {
			waste = mostWasteBad
		}
		if r.wasted > waste {
			t.Errorf("%s: wasted prefill %.4f, want at most %.2f", sc.name, r.wasted, waste)
		}
		if r.share > mostShare {
			t.Errorf("%s: one caller got %.3f of a crowded rank, want at most %.2f", sc.name, r.share, mostShare)
		}
		if sc.rates[0] > 2 && r.kept < 1 {
			t.Errorf("%s: the other ranks kept %.3f of their floors, want 1", sc.name, r.kept)
		}
	}
}

// Guards against a simulation that depends on anything but its seed: a failure
// of TestTargets must be repeatable.
func TestRepeatable(t *testing.T) {
	t.Parallel()
	sc := scenario{rates: normal(1), f: faults{kill: true, stall: 0.1}}
	this := versions()[len(versions())-1]
	a, b := simulate(this, sc, 7, 20*time.Second), simulate(this, sc, 7, 20*time.Second)
	if a.messages != b.messages || a.paid != b.paid {
		t.Errorf("second run: got %d messages, want %d", b.messages, a.messages)
	}
}

// Guards against a decision that allocates more than 8 times or more with a
// thousand known servers.
func TestDecisionAllocations(t *testing.T) {
	const most = 8
	for _, n := range []int{9, 1000} {
		p, a := fleetOf(n)
		if got := testing.AllocsPerRun(100, func() { decideOnce(p, a) }); got > most {
			t.Errorf("%d servers: got %.0f allocations a request, want at most %d", n, got, most)
		}
	}
}

// BenchmarkDecision is the cost of the decisions for one request: admission,
// decode candidates, prefill candidates.
func BenchmarkDecision(b *testing.B) {
	for name, n := range map[string]int{"9": 9, "100": 100, "1000": 1000} {
		b.Run(name, func(b *testing.B) {
			p, a := fleetOf(n)
			b.ReportAllocs()
			for b.Loop() {
				decideOnce(p, a)
			}
		})
	}
}

// fleetOf returns a picker and an admitter that know n servers in 3 regions, a
// third of them for prefill, all with load reports and cached prefixes.
func fleetOf(n int) (*picker.Picker, *admitter.Admitter) {
	p, a := must(picker.New(picker.Defaults())), must(admitter.New(admitter.Defaults()))
	waits := make([]time.Duration, 3)
	var servers []picker.Server
	for i := range n {
		s := picker.Server{
			Name: "s" + string(rune('a'+i/100)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10)), Service: "summary",
			Phase: picker.Decode, Region: "r" + string(rune('0'+i/3%3)), Centre: "c" + string(rune('0'+i/3%9)), Pieces: enginePieces,
		}
		if i%3 == 0 {
			s.Phase = picker.Prefill
		}
		servers = append(servers, s)
	}
	p.SetServers(start, servers)
	for i, s := range servers {
		p.Observe(start, s.Name, picker.Load{Total: enginePieces, Free: enginePieces, Waits: waits})
		a.Observe(start, s.Name, admitter.Load{
			Service: s.Service, Phase: s.Phase, Total: enginePieces, Free: enginePieces, Waits: waits,
		})
		p.Cached(start, s.Name, longPrefix[:1+i%len(longPrefix)], true)
	}

	return p, a
}

var longPrefix = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}

func decideOnce(p *picker.Picker, a *admitter.Admitter) {
	q := admitter.Query{Service: "summary", Caller: "c", Tokens: 25000, Limit: 200, Pieces: 13}
	a.Admit(start, q)
	a.Done(start, q)
	near := p.Pick(start, picker.Query{Service: "summary", Phase: picker.Decode, Region: "r0", Centre: "c0", Pieces: 13}, 2)
	p.Pick(start, picker.Query{
		Service: "summary", Phase: picker.Prefill, Region: "r0", Centre: "c0", Near: near[0].Server, Prefix: longPrefix,
	}, 2)
}
