package picker

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newPicker(t testing.TB, servers ...Server) *Picker {
	t.Helper()
	p, err := New(Defaults())
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	p.SetServers(start, servers)

	return p
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func server(name, phase, region, centre string) Server {
	return Server{Name: name, Service: "s", Phase: phase, Region: region, Centre: centre, Pieces: 40}
}

func idle() Load { return Load{Total: 40, Free: 40, Waits: make([]time.Duration, 3)} }

func busy(wait time.Duration) Load {
	return Load{Total: 40, Free: 0, Waits: []time.Duration{wait, wait, wait}}
}

func names(cs []Candidate) []string {
	var out []string
	for _, c := range cs {
		out = append(out, c.Server)
	}

	return out
}

// TestPick checks that the best candidate is not one that costs more than needed:
// far away, busy, failed, leaving or without the cached prefix.
func TestPick(t *testing.T) {
	t.Parallel()
	here := Query{Service: "s", Phase: Prefill, Region: "r1", Centre: "a"}
	tests := map[string]struct {
		before func(p *Picker)
		query  Query
		now    time.Time
		want   string // best server
		cross  bool   // best server is in another region
	}{
		"own centre first": {query: here, now: start, want: "p1"},
		"idle other centre before a busy own one": {
			before: func(p *Picker) { p.Observe(start, "p1", busy(time.Second)) },
			query:  here, now: start, want: "p2",
		},
		"other region when the own one is overloaded": {
			before: func(p *Picker) {
				p.Observe(start, "p1", busy(time.Second))
				p.Observe(start, "p2", busy(time.Second))
			},
			query: here, now: start, want: "p3", cross: true,
		},
		"own region when the wait costs less than the traffic": {
			before: func(p *Picker) {
				p.Observe(start, "p1", busy(20*time.Millisecond))
				p.Observe(start, "p2", busy(0))
			},
			query: here, now: start, want: "p2",
		},
		"cached prefix": {
			before: func(p *Picker) {
				p.ObserveCache(start, "p1", []uint64{1}, true)
				p.ObserveCache(start, "p2", []uint64{1, 2, 3}, true)
			},
			query: Query{Service: "s", Phase: Prefill, Region: "r1", Centre: "a", Prefix: []uint64{1, 2, 3}},
			now:   start, want: "p2",
		},
		"evicted prefix": {
			before: func(p *Picker) {
				p.ObserveCache(start, "p2", []uint64{1, 2, 3}, true)
				p.ObserveCache(start, "p2", []uint64{1, 2, 3}, false)
			},
			query: Query{Service: "s", Phase: Prefill, Region: "r1", Centre: "a", Prefix: []uint64{1, 2, 3}},
			now:   start, want: "p1",
		},
		"failed server is backed off": {
			before: func(p *Picker) { p.Fail(start, "p1") }, query: here, now: at(100), want: "p2",
		},
		"back-off ends": {
			before: func(p *Picker) { p.Fail(start, "p1") }, query: here, now: at(300), want: "p1",
		},
		"leaving server": {
			before: func(p *Picker) { p.Observe(start, "p1", Load{Total: 40, Free: 40, Leaving: true}) },
			query:  here, now: start, want: "p2",
		},
		"excluded server": {
			query: Query{Service: "s", Phase: Prefill, Region: "r1", Centre: "a", Exclude: []string{"p1"}},
			now:   start, want: "p2",
		},
		"decode near the prefill, not near the entry": {
			query: Query{Service: "s", Phase: Decode, Region: "r1", Centre: "a", KVCachePeer: "p3"}, now: start, want: "d3",
		},
		"KV cache crosses regions only for a long wait": {
			before: func(p *Picker) { p.Observe(start, "d3", busy(time.Second)) },
			query:  Query{Service: "s", Phase: Decode, Region: "r1", Centre: "a", KVCachePeer: "p3"}, now: start, want: "d3",
		},
		"no prefill in another region while those in the region work": {
			query: Query{Service: "s", Phase: Prefill, KVCachePeer: "d1", Exclude: []string{"p1", "p2"}}, now: start, want: "",
		},
		"prefill in another region when those in the region failed": {
			before: func(p *Picker) { p.Fail(start, "p1"); p.Fail(start, "p2") },
			query:  Query{Service: "s", Phase: Prefill, KVCachePeer: "d1"}, now: start, want: "p3", cross: true,
		},
		"decode where the prefill that follows is not delayed": {
			before: func(p *Picker) {
				p.Observe(start, "p1", busy(time.Second))
				p.Observe(start, "p2", busy(time.Second))
			},
			query: Query{Service: "s", Phase: Decode, Region: "r1", Centre: "a"}, now: start, want: "d3", cross: true,
		},
		"unknown service": {query: Query{Service: "x", Phase: Prefill}, now: start, want: ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPicker(t,
				server("p1", Prefill, "r1", "a"), server("p2", Prefill, "r1", "b"), server("p3", Prefill, "r2", "c"),
				server("d1", Decode, "r1", "a"), server("d2", Decode, "r1", "b"), server("d3", Decode, "r2", "c"))
			for _, n := range []string{"p1", "p2", "p3", "d1", "d2", "d3"} {
				p.Observe(start, n, idle())
			}
			if tt.before != nil {
				tt.before(p)
			}
			got := p.Pick(tt.now, tt.query, 2)
			if tt.want == "" {
				if len(got) != 0 {
					t.Errorf("candidates: got %v, want none", names(got))
				}

				return
			}
			if len(got) == 0 || got[0].Server != tt.want || got[0].CrossRegion != tt.cross {
				t.Errorf("best: got %+v, want %s, other region %v", got, tt.want, tt.cross)
			}
		})
	}
}

// TestSpread guards against herding: when reports are late, not all requests may go
// to the one server that looked idle in the last report.
func TestSpread(t *testing.T) {
	t.Parallel()
	var servers []Server
	for i := range 4 {
		servers = append(servers, server(fmt.Sprint(i), Prefill, "r", "a"))
	}
	p := newPicker(t, servers...)
	p.Observe(start, "0", idle())
	for i := 1; i < 4; i++ {
		p.Observe(start, fmt.Sprint(i), busy(400*time.Millisecond))
	}
	count := map[string]int{}
	for i := range 100 {
		count[p.Pick(at(i), Query{Service: "s", Phase: Prefill, Region: "r", Centre: "a"}, 1)[0].Server]++
	}
	for _, s := range servers {
		if got := count[s.Name]; got < 15 || got > 40 {
			t.Errorf("server %s: got %d of 100 requests, want 15 to 40", s.Name, got)
		}
	}
}

// TestServerList checks that drained and removed servers get no work, and that a request
// still gets a candidate when all of them have failed.
func TestServerList(t *testing.T) {
	t.Parallel()
	a, b := server("a", Prefill, "r", "x"), server("b", Prefill, "r", "x")
	p := newPicker(t, a, b)
	q := Query{Service: "s", Phase: Prefill, Region: "r", Centre: "x"}
	a.Drained = true
	p.SetServers(start, []Server{a, b})
	if got := names(p.Pick(start, q, 2)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("drained: got %v, want b only", got)
	}
	p.Fail(start, "b")
	if got := names(p.Pick(start, q, 2)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("all failed: got %v, want b", got)
	}
	p.SetServers(start, nil)
	if got := names(p.Pick(start, q, 2)); len(got) != 0 {
		t.Errorf("removed: got %v, want none", got)
	}
}

// TestPrefixIndexBound checks that the size of the prefix index is bounded.
func TestPrefixIndexBound(t *testing.T) {
	t.Parallel()
	s := Defaults()
	s.MaxPrefixes = 100
	p, err := New(s)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	p.SetServers(start, []Server{server("a", Prefill, "r", "x")})
	for i := range 10_000 {
		p.ObserveCache(start, "a", []uint64{uint64(i)}, true)
	}
	if got := len(p.prefixIndex.holders); got != 100 {
		t.Errorf("hashes remembered: got %d, want 100", got)
	}
}

// BenchmarkPick measures a decision for different numbers of known servers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{9, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var servers []Server
			for i := range n {
				phase := Decode
				if i%3 == 0 {
					phase = Prefill
				}
				servers = append(servers, server(fmt.Sprint(i), phase, fmt.Sprint("r", i%3), fmt.Sprint("c", i%9)))
			}
			p := newPicker(b, servers...)
			prefix := make([]uint64, 16)
			for i := range prefix {
				prefix[i] = uint64(i)
			}
			for i := range n {
				p.Observe(start, fmt.Sprint(i), idle())
				p.ObserveCache(start, fmt.Sprint(i), prefix[:1+i%16], true)
			}
			pre := Query{Service: "s", Phase: Prefill, Region: "r0", Centre: "c0", Prefix: prefix}
			dec := Query{Service: "s", Phase: Decode, Region: "r0", Centre: "c0", KVCachePeer: "0"}
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(start, pre, 2)
				p.Pick(start, dec, 3)
			}
		})
	}
}
