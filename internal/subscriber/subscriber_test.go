package subscriber_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/wire"
)

func hasIndex(sub *subscriber.Subscriber, want uint64) func() bool {
	return func() bool { return sub.View().Index() == want }
}

// Guards against a process that stays connected to a host which a partition has
// separated from the quorum.
func TestSwitchFromOldLease(t *testing.T) { synctest.Test(t, testSwitchFromOldLease) }

func testSwitchFromOldLease(t *testing.T) {
	c := newFakeControl()
	sub, clock := start(t, settings(c, "a:1", "b:1"))
	one := c.nextAttachment(clock)
	one.update(rankUpdate(5, true, "master"))
	one.pulse(5, time.Second)
	advanceUntil(clock, func() bool { return sub.Fresh(clock.Now()) })
	one.pulse(5, 6*time.Second+time.Millisecond)
	began := clock.Now()
	two := c.nextAttachment(clock)
	if got, limit := clock.Now().Sub(began), time.Second; got > limit {
		t.Errorf("switched after %s, want at most %s", got, limit)
	}
	if got, want := two.addr, "b:1"; got != want {
		t.Errorf("host: got %s, want %s", got, want)
	}
	if got, want := two.attach.GetIndex(), uint64(5); got != want {
		t.Errorf("index in attach: got %d, want %d", got, want)
	}
	if got, want := two.attach.GetEpoch(), uint64(3); got != want {
		t.Errorf("epoch in attach: got %d, want %d", got, want)
	}
	if sub.View().Rank("master") == nil {
		t.Error("got no rank during the switch, want the last view")
	}
	var asked []string
	c.command = func(addr string, _ *wire.Command) *wire.Result {
		asked = append(asked, addr)

		return result(wire.Outcome_OUTCOME_DONE, 6)
	}
	if _, err := sub.Propose(t.Context(), &wire.Command{Id: "x"}); err != nil || asked[0] != "b:1" {
		t.Errorf("command: got %v and %v, want b:1 first", asked, err)
	}
	two.pulse(5, 6*time.Second)
	synctest.Wait()
	if sub.Host() != "b:1" {
		t.Errorf("host at the limit: got %q, want b:1", sub.Host())
	}
}

// Guards against a process that stays connected to a host which no longer sends
// messages.
func TestSwitchFromSilentHost(t *testing.T) { synctest.Test(t, testSwitchFromSilentHost) }

func testSwitchFromSilentHost(t *testing.T) {
	c := newFakeControl()
	sub, clock := start(t, settings(c, "a:1", "b:1"))
	one := c.nextAttachment(clock)
	one.pulse(0, 0)
	advanceUntil(clock, func() bool { return sub.Fresh(clock.Now()) })
	began := clock.Now()
	two := c.nextAttachment(clock)
	if got, want := two.addr, "b:1"; got != want {
		t.Errorf("host: got %s, want %s", got, want)
	}
	if got, limit := clock.Now().Sub(began), 9*time.Second; got > limit {
		t.Errorf("switched after %s, want at most %s", got, limit)
	}
	if sub.Fresh(clock.Now()) {
		t.Error("got fresh after the silence, want not")
	}
}

// Guards against a configuration that is reverted by a host that lags behind.
func TestOlderIndexIsIgnored(t *testing.T) { synctest.Test(t, testOlderIndexIsIgnored) }

func testOlderIndexIsIgnored(t *testing.T) {
	c := newFakeControl()
	sub, clock := start(t, settings(c, "a:1", "b:1"))
	one := c.nextAttachment(clock)
	one.update(rankUpdate(5, true, "master"))
	one.update(rankUpdate(4, true, "old"))
	one.update(rankUpdate(5, true, "same"))
	one.update(rankUpdate(6, false, "drill"))
	advanceUntil(clock, hasIndex(sub, 6))
	if v := sub.View(); v.Rank("old") != nil || v.Rank("same") != nil || v.Rank("master") == nil {
		t.Errorf("ranks: got %v, want master and drill", v.Ranks())
	}
	_ = one.Close()
	two := c.nextAttachment(clock)
	two.update(rankUpdate(3, true, "older"))
	two.update(rankUpdate(7, false, "last"))
	advanceUntil(clock, hasIndex(sub, 7))
	if got, want := fmt.Sprint(len(sub.View().Ranks())), "3"; got != want {
		t.Errorf("ranks: got %s, want %s", got, want)
	}
}

// Guards against a process that stays connected to a host which still sends pulses
// but no more updates.
func TestSwitchWhenUpdatesStop(t *testing.T) { synctest.Test(t, testSwitchWhenUpdatesStop) }

func testSwitchWhenUpdatesStop(t *testing.T) {
	c := newFakeControl()
	sub, clock := start(t, settings(c, "a:1", "b:1"))
	one := c.nextAttachment(clock)
	one.update(rankUpdate(5, true))
	advanceUntil(clock, hasIndex(sub, 5))
	for sub.Host() == "a:1" {
		one.pulse(6, 0)
		synctest.Wait()
		clock.Advance(time.Second)
	}
	if sub.Fresh(clock.Now()) {
		t.Error("got fresh on a view that is behind, want not")
	}
	if got, want := c.nextAttachment(clock).addr, "b:1"; got != want {
		t.Errorf("host: got %s, want %s", got, want)
	}
}

// Guards against a process that loses its view, or makes too many connection
// attempts, while no host can be reached.
func TestNoHostKeepsTheView(t *testing.T) { synctest.Test(t, testNoHostKeepsTheView) }

func testNoHostKeepsTheView(t *testing.T) {
	c := newFakeControl()
	sub, clock := start(t, settings(c, "a:1", "b:1"))
	one := c.nextAttachment(clock)
	one.update(rankUpdate(5, true, "master"))
	advanceUntil(clock, hasIndex(sub, 5))
	c.setDown("a:1", true)
	c.setDown("b:1", true)
	_ = one.Close()
	began := clock.Now()
	advanceUntil(clock, func() bool { return clock.Now().Sub(began) > 10*time.Minute })
	c.mu.Lock()
	dials := len(c.dials)
	c.mu.Unlock()
	// At most one attempt every 5 s, and a few more during the first seconds.
	if limit := 10*60/5 + 10; dials > limit {
		t.Errorf("attempts in 10 minutes: got %d, want at most %d", dials, limit)
	}
	if sub.View().Rank("master") == nil {
		t.Error("got no rank, want the last view")
	}
	c.setDown("b:1", false)
	if got, want := c.nextAttachment(clock).attach.GetIndex(), uint64(5); got != want {
		t.Errorf("index in attach: got %d, want %d", got, want)
	}
}

// Guards against heartbeats without the requests in flight, the index of the view or
// the leaving flag: operators need the first two to see what is running and how many
// processes have applied a change, and a process that shuts down must not look alive.
// Also guards against heartbeats whose size grows with the load.
func TestHeartbeat(t *testing.T) { synctest.Test(t, testHeartbeat) }

func testHeartbeat(t *testing.T) {
	c := newFakeControl()
	s := settings(c, "a:1")
	s.Flights = func() []*wire.Flight {
		flights := make([]*wire.Flight, 1000)
		for n := range flights {
			flights[n] = &wire.Flight{Id: fmt.Sprint(n), Late: int64(n)}
		}

		return flights
	}
	s.Leaving = func() bool { return true }
	sub, clock := start(t, s)
	one := c.nextAttachment(clock)
	one.update(rankUpdate(5, true))
	synctest.Wait()
	if got, want := sub.View().Index(), uint64(5); got != want {
		t.Fatalf("index: got %d, want %d", got, want)
	}
	for _, wait := range []time.Duration{0, 2 * time.Second} {
		clock.Advance(wait)
		beat := &wire.Beat{}
		if err := one.Recv(beat); err != nil {
			t.Fatal(err)
		}
		if got, want := beat.GetIndex(), uint64(5); got != want {
			t.Errorf("index: got %d, want %d", got, want)
		}
		if got, want := beat.GetLeaving(), true; got != want {
			t.Errorf("leaving: got %v, want %v", got, want)
		}
		if got, want := len(beat.GetFlights()), 100; got != want {
			t.Errorf("flights: got %d, want %d", got, want)
		}
		if got, want := beat.GetFlights()[0].GetId(), "999"; got != want {
			t.Errorf("first flight: got %s, want the latest, %s", got, want)
		}
	}
}

// Guards against a change of the view that is not signalled to its waiters.
func TestChangedIsClosed(t *testing.T) { synctest.Test(t, testChangedIsClosed) }

func testChangedIsClosed(t *testing.T) {
	c := newFakeControl()
	sub, clock := start(t, settings(c, "a:1"))
	changed := sub.Changed()
	c.nextAttachment(clock).update(rankUpdate(1, true))
	<-changed
	if got, want := sub.View().Index(), uint64(1); got != want {
		t.Errorf("index: got %d, want %d", got, want)
	}
}

// Guards against accessors that return the wrong part of the view, and against
// updates that modify an earlier view.
func TestView(t *testing.T) { synctest.Test(t, testView) }

func testView(t *testing.T) {
	c := newFakeControl()
	sub, clock := start(t, settings(c, "a:1"))
	one := c.nextAttachment(clock)
	one.update(&wire.Update{
		Index: 1, Full: true,
		Services: []*wire.Service{{Name: "desk"}},
		Ranks:    []*wire.Rank{{Name: "b", Level: 1}, {Name: "a", Level: 2}},
		Rules:    []*wire.Rule{{Name: "x", Order: 2}, {Name: "z", Order: 1}, {Name: "y", Order: 1}},
		Servers:  []*wire.Server{{Name: "s2", Service: "desk", Fence: 7}, {Name: "s1", Service: "desk"}, {Name: "o", Service: "other"}},
		Blocks:   []*wire.Block{{Digest: "q", Until: startTime.Add(time.Hour).UnixMilli()}},
	})
	advanceUntil(clock, hasIndex(sub, 1))
	before := sub.View()
	one.update(&wire.Update{
		Index: 2, Servers: []*wire.Server{{Name: "s1", Service: "other"}},
		Removals: []*wire.Removal{{Kind: "rank", Name: "a"}, {Kind: "service", Name: "desk"}},
	})
	advanceUntil(clock, hasIndex(sub, 2))
	after := sub.View()
	describe := func(v *subscriber.View) string {
		var b strings.Builder
		for _, x := range v.Services() {
			b.WriteString(x.GetName() + " ")
		}
		for _, x := range v.Ranks() {
			b.WriteString(x.GetName() + " ")
		}
		for _, x := range v.Rules() {
			b.WriteString(x.GetName() + " ")
		}
		for _, x := range v.Servers("desk") {
			b.WriteString(x.GetName() + " ")
		}

		return b.String()
	}
	if got, want := describe(before), "desk b a y z x s1 s2 "; got != want {
		t.Errorf("before: got %q, want %q", got, want)
	}
	if got, want := describe(after), "b y z x s2 "; got != want {
		t.Errorf("after: got %q, want %q", got, want)
	}
	if got, want := after.Fence("s2"), uint64(7); got != want {
		t.Errorf("fence: got %d, want %d", got, want)
	}
	if got, want := after.Server("s1").GetService(), "other"; got != want {
		t.Errorf("service of s1: got %q, want %q", got, want)
	}
	if after.Blocked("q", startTime) == nil || after.Blocked("q", startTime.Add(time.Hour)) != nil {
		t.Error("block: want it in effect at first and not after an hour")
	}
}

// Guards against invalid settings that New does not report.
func TestSettings(t *testing.T) {
	tests := map[string]struct {
		change func(s *subscriber.Settings)
		want   string
	}{
		"hosts":   {func(s *subscriber.Settings) { s.Hosts = nil }, "at least one control host"},
		"address": {func(s *subscriber.Settings) { s.Hosts = []string{"a"} }, "want ip:port"},
		"stale":   {func(s *subscriber.Settings) { s.StaleAfter = time.Second }, "longer than the heartbeat interval"},
		"waits":   {func(s *subscriber.Settings) { s.MinBackoff = time.Minute }, "maximum backoff: must not be shorter"},
		"attach":  {func(s *subscriber.Settings) { s.Attach = nil }, "name and the role"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := settings(newFakeControl(), "a:1")
			test.change(&s)
			_, err := subscriber.New(s, nil)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q in it", err, test.want)
			}
		})
	}
}

// Guards against an update that crashes the process.
func FuzzUpdate(f *testing.F) {
	for _, u := range []*wire.Update{rankUpdate(1, true, "a", "b"), {Index: 2, Removals: []*wire.Removal{{Kind: "rank", Name: "a"}}}} {
		data, err := proto.Marshal(&wire.Notice{Body: &wire.Notice_Update{Update: u}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := &wire.Notice{}
		if proto.Unmarshal(data, n) != nil {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			c := newFakeControl()
			sub, clock := start(t, settings(c, "a:1"))
			one := c.nextAttachment(clock)
			one.update(rankUpdate(1, true, "a"))
			_ = one.Send(n)
			synctest.Wait()
			if got := sub.View().Index(); got < 1 {
				t.Errorf("index: got %d, want at least 1", got)
			}
		})
	})
}

// BenchmarkIdleTraffic reports the bytes per second of the messages that a process
// and its control host exchange while the configuration does not change, excluding
// the 12 bytes that the session adds to each message. It covers an idle agent and an entry
// that reports the maximum number of requests in flight.
func BenchmarkIdleTraffic(b *testing.B) {
	for name, flights := range map[string]int{"agent": 0, "entry": 100} {
		b.Run(name, func(b *testing.B) {
			beat := &wire.Beat{Index: 1_000_000}
			for n := range flights {
				beat.Flights = append(beat.Flights, &wire.Flight{
					Id: fmt.Sprintf("01hv-entry-07-%012d", n), Service: "session-notes", Caller: "workshop-117",
					Rank: 2, Phase: "decode", Server: "kochi-1-runner-00042", Age: 1500, Late: -200,
				})
			}
			pulse := &wire.Notice{Body: &wire.Notice_Pulse{Pulse: &wire.Pulse{Index: 1_000_000, Lease: 150}}}
			size := 0
			for b.Loop() {
				size = proto.Size(beat) + proto.Size(pulse) + 2
			}
			b.ReportMetric(float64(size)/2, "bytes/s")
		})
	}
}

// BenchmarkView measures one change in views of up to 12,000 servers.
func BenchmarkView(b *testing.B) {
	for _, servers := range []int{1000, 4000, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := newFakeControl()
			sub, _ := start(b, settings(c, "a:1"))
			one := <-c.attachments
			u := &wire.Update{Index: 1, Full: true}
			for n := range servers {
				u.Servers = append(u.Servers, &wire.Server{Name: fmt.Sprintf("desk-%05d", n), Service: "desk", Region: "kochi"})
			}
			first := sub.Changed()
			one.update(u)
			<-first
			for b.Loop() {
				changed := sub.Changed()
				one.update(&wire.Update{Index: sub.View().Index() + 1, Servers: u.GetServers()[7:8]})
				<-changed
			}
		})
	}
}

// Guards against a number of entries that a control host names which has no state yet or lags behind.
func TestEntriesOfHostThatIsBehind(t *testing.T) {
	for name, test := range map[string]struct {
		pulse *wire.Pulse
		want  int
	}{
		"up to date": {&wire.Pulse{Index: 5, Entries: 7}, 7},
		"ahead":      {&wire.Pulse{Index: 6, Entries: 7}, 7},
		"none":       {&wire.Pulse{Index: 5}, 9},
		"behind":     {&wire.Pulse{Index: 4, Entries: 7}, 9},
		"cut off":    {&wire.Pulse{Index: 5, Entries: 7, Lease: time.Hour.Milliseconds()}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeControl()
				sub, clock := start(t, settings(c, "a:1", "b:1"))
				one := c.nextAttachment(clock)
				one.update(rankUpdate(5, true))
				for _, p := range []*wire.Pulse{{Index: 5, Entries: 9}, test.pulse} {
					_ = one.Send(&wire.Notice{Body: &wire.Notice_Pulse{Pulse: p}})
					synctest.Wait()
				}
				if got := sub.Entries(); got != test.want {
					t.Errorf("entries: got %d, want %d", got, test.want)
				}
			})
		})
	}
}
