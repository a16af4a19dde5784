package admitter

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newAdmitter(t testing.TB) *Admitter {
	t.Helper()
	a, err := New(Defaults())
	if err != nil {
		t.Fatalf("New: %v", err)
	}

	return a
}

func waits(d time.Duration) []time.Duration { return []time.Duration{d, d, d} }

func observe(a *Admitter, wait, memory, gap time.Duration) {
	a.Observe(start, "p", Load{Service: "s", Phase: "prefill", Total: 2, Free: 1, Waits: waits(wait), PrefillRate: 10000})
	a.Observe(start, "d", Load{Service: "s", Phase: "decode", Total: 40, Free: 10, Waits: waits(memory), TokenGap: gap})
}

var query = Query{Service: "s", Caller: "c", Tokens: 1000, Limit: 200, Pieces: 1}

// TestAdmit checks that requests that cannot meet their targets are rejected, and
// that those that can are admitted.
func TestAdmit(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		wait, memory, gap time.Duration
		rank              int
		want              string
	}{
		"idle":                        {gap: 20 * time.Millisecond},
		"long queue":                  {wait: 5 * time.Second, want: ReasonFirstToken},
		"same queue for a later rank": {wait: 5 * time.Second, rank: 2},
		"no memory":                   {memory: 5 * time.Second, want: ReasonFirstToken},
		"slow decode":                 {gap: 100 * time.Millisecond, want: ReasonTokenGap},
		"slow decode, later rank":     {gap: 100 * time.Millisecond, rank: 1},
		"unknown rank":                {rank: 9, want: ReasonUnknownRank},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAdmitter(t)
			observe(a, tt.wait, tt.memory, tt.gap)
			q := query
			q.Rank = tt.rank
			got := a.Admit(start, q)
			if got.Reason != tt.want || got.OK != (tt.want == "") {
				t.Errorf("decision: got %+v, want reason %q", got, tt.want)
			}
			if !got.OK && got.Reason != ReasonUnknownRank && got.RetryAfter <= 0 {
				t.Error("refusal: got no retry delay, want one")
			}
		})
	}
}

// TestNoServer checks that a service without servers admits nothing.
func TestNoServer(t *testing.T) {
	t.Parallel()
	a := newAdmitter(t)
	if got := a.Admit(start, query); got.Reason != ReasonNoServer {
		t.Errorf("no server known: got %+v, want reason %q", got, ReasonNoServer)
	}
	observe(a, 0, 0, 0)
	a.RemoveServer(start, "d")
	if got := a.Admit(start, query); got.Reason != ReasonNoServer {
		t.Errorf("no decode server: got %+v, want reason %q", got, ReasonNoServer)
	}
}

// TestRunning checks that ended requests no longer count as running.
func TestRunning(t *testing.T) {
	t.Parallel()
	a := newAdmitter(t)
	observe(a, 0, 0, 0)
	a.Admit(start, query)
	a.Admit(start, query)
	a.Done(start, query)
	if got, want := a.Running("s", 0), 1; got != want {
		t.Errorf("running: got %d, want %d", got, want)
	}
}

// TestRefusedFraction checks that the rejected fraction rises gradually around the
// target. With a sharp limit, late reports would make the entry oscillate between
// admitting and rejecting everything.
func TestRefusedFraction(t *testing.T) {
	t.Parallel()
	last := -1
	for _, estimate := range []int{800, 1000, 1100, 1200, 1300} {
		u := &rankUsage{}
		refused := 0
		for range 1000 {
			if u.shouldRefuse(time.Duration(estimate)*time.Millisecond, time.Second) {
				refused++
			}
		}
		if refused < last {
			t.Errorf("estimate %d ms: got %d refused, want at least %d", estimate, refused, last)
		}
		last = refused
		if want := min(max((estimate-900)*1000/400, 0), 1000); refused < want-1 || refused > want+1 {
			t.Errorf("estimate %d ms: got %d refused of 1000, want %d", estimate, refused, want)
		}
	}
}

// TestShare checks that one caller cannot displace the others of its rank.
func TestShare(t *testing.T) {
	t.Parallel()
	a := newAdmitter(t)
	observe(a, 1200*time.Millisecond, 0, 0)
	admitted := map[string]int{}
	for i := range 1000 {
		if i%10 == 0 {
			observe(a, 1200*time.Millisecond, 0, 0)
		}
		q := query
		q.Caller = "greedy"
		if i%5 == 0 {
			q.Caller = fmt.Sprint("other", i%4)
		}
		if a.Admit(at(i), q).OK {
			admitted[q.Caller]++
		}
	}
	all := 0
	for _, n := range admitted {
		all += n
	}
	if got := 100 * admitted["greedy"] / all; got > 51 {
		t.Errorf("share: greedy caller got %d%% of %d, want at most 50%%", got, all)
	}
}

// TestRetry guards against retry storms: retries stay within 10% of the first
// attempts.
func TestRetry(t *testing.T) {
	t.Parallel()
	a := newAdmitter(t)
	observe(a, 0, 0, 0)
	retries := 0
	for i := range 10_000 {
		a.Admit(at(10*i), query)
		for range 3 {
			if a.TakeRetry(at(10*i), "s") {
				retries++
			}
		}
	}
	if retries > 1010 || retries < 900 {
		t.Errorf("retries: got %d for 10000 first attempts, want about 1000", retries)
	}
}

// BenchmarkAdmit measures a decision for different numbers of known servers.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{9, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := newAdmitter(b)
			for i := range n {
				phase := "decode"
				if i%3 == 0 {
					phase = "prefill"
				}
				a.Observe(start, fmt.Sprint(i), Load{Service: "s", Phase: phase, Total: 40, Free: 40, Waits: waits(0)})
			}
			b.ReportAllocs()
			for b.Loop() {
				a.Admit(start, query)
				a.Done(start, query)
			}
		})
	}
}
