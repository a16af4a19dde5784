package registrar_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/seeder"
	"github.com/damasklever/damasklever/internal/wire"
)

// TestMain fixes the seed of the random schedules.
func TestMain(m *testing.M) { seeder.Run(m, nil) }

// draw returns a command over few names, so that commands meet each other.
func draw(t *rapid.T, tb testing.TB, id string) *wire.Command {
	pick := func(label string, of ...string) string { return rapid.SampledFrom(of).Draw(t, label) }
	name := pick("name", "a", "b", "c")
	cmd := &wire.Command{Id: id}
	switch pick("kind", "change", "claim", "settle", "absent", "blame", "register", "report") {
	case "change":
		cmd = change(tb, id, pick("text",
			"set rank "+name+" level="+pick("level", "1", "2", "3"), "delete rank "+name,
			"set service "+name, "delete service "+name, "delete rule "+name,
			"set rule "+name+" service="+pick("service", "a", "b", "c")+" rank="+pick("rank", "a", "b", "c"),
			"drain server "+name, "return server "+name, "delete server "+name, "order server "+name+" load m",
			"block digest "+name+" for 10s", "release digest "+name))
		cmd.Expect = rapid.Int64Range(-1, 3).Draw(t, "expect")
	case "claim":
		cmd.Body = &wire.Command_Claim{Claim: &wire.Claim{
			Key: name, Digest: pick("digest", "x", "x", "y"), Entry: "e", Epoch: rapid.Uint64Range(1, 2).Draw(t, "epoch"),
			Request: pick("request", "r", "s"), Retention: rapid.Int64Range(0, 20).Draw(t, "retention"),
		}}
	case "settle":
		cmd.Body = &wire.Command_Settle{Settle: &wire.Settle{
			Key: name, Request: pick("request", "r", "s"), Stage: wire.Stage(rapid.IntRange(0, 4).Draw(t, "stage")),
			Answer: &wire.Stored{Status: 200},
		}}
	case "absent":
		cmd.Body = &wire.Command_Absent{Absent: &wire.Absent{Entry: "e", Epoch: rapid.Uint64Range(1, 2).Draw(t, "epoch")}}
	case "blame":
		cmd.Body = &wire.Command_Blame{Blame: &wire.Blame{Crash: pick("crash", "1", "2", "3", "4"), Digests: []string{name, pick("digest", "a", "b")}}}
	case "register":
		reg := registration(name, rapid.Uint64Range(1, 2).Draw(t, "epoch"), rapid.Bool().Draw(t, "gone"))
		reg.Attach.Role = pick("role", "agent", "agent", "entry", "x")
		cmd.Body = &wire.Command_Register{Register: reg}
	case "report":
		cmd.Body = &wire.Command_Report{Report: &wire.Report{Server: name, Order: pick("order", "1.1", "2.1", "3.1"), State: "done"}}
	}

	return cmd
}

// Guards, under the race detector, against commands that write what a captured
// snapshot reads.
func TestCaptureWhileApplying(t *testing.T) {
	m := newMachine(t)
	m.must(base)
	m.claim("k", "d", "a")
	m.blame("1", "p", "q")
	m.register("s1", 1, false)
	want := m.state()
	capture, got := m.Capture(), make(chan []byte)
	go func() {
		data, _ := capture()
		got <- data
	}()
	m.settle("k", "a", wire.Stage_STAGE_DONE)
	m.blame("2", "p")
	m.must("order server s1 load m; change rank drill floor=1%")
	m.now = m.now.Add(100 * time.Hour)
	m.absent("e")
	if got := string(<-got); got != want {
		t.Errorf("got another state, %d bytes, want that of the capture, %d bytes", len(got), len(want))
	}
}

// Guards against a subscriber whose view depends on when it asked, against
// revisions and indexes that fall, and against replicas that differ after one of
// them was restored from a snapshot. A captured snapshot must not see later
// commands.
func TestReplicasAndViewsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one, two := newMachine(t), newMachine(t)
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		views := []*view{newView()}
		captured, state := one.Capture(), one.state()
		for range steps {
			if rapid.IntRange(0, 9).Draw(rt, "capture") == 0 {
				captured, state = one.Capture(), one.state()
			}
			one.now = one.now.Add(time.Duration(rapid.Int64Range(-1, 8).Draw(rt, "wait")) * time.Second)
			two.now = one.now
			revision, index := one.Revision(), one.Index()
			id := fmt.Sprint(rapid.IntRange(1, 40).Draw(rt, "id"))
			cmd := draw(rt, t, id)
			got, want := one.apply(cmd), two.apply(cmd)
			if got.String() != want.String() {
				rt.Fatalf("result: got %v, want %v", got, want)
			}
			if one.Revision() < revision || one.Index() < index {
				rt.Fatalf("revision %d index %d fell from %d and %d", one.Revision(), one.Index(), revision, index)
			}
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				two.restart()
			}
			if got, want := one.state(), two.state(); got != want {
				rt.Fatalf("states differ after %v", cmd)
			}
			next := newView()
			next.apply(one.UpdateSince(0))
			views = append(views, next)
		}
		if got, err := captured(); err != nil || string(got) != state {
			rt.Fatalf("captured snapshot changed: %v", err)
		}
		want := views[len(views)-1]
		for _, v := range views {
			from := v.index
			v.apply(two.UpdateSince(v.index))
			if !maps.Equal(v.objects, want.objects) || v.index != want.index || v.revision != want.revision {
				rt.Fatalf("from index %d: got %v, want %v", from, v, want)
			}
		}
	})
}

// Guards against an update that misses a change when a process was away for
// hundreds of them, and against one that is a snapshot without need.
func TestUpdateAfterManyChanges(t *testing.T) {
	m := newMachine(t)
	m.must(base)
	away := newView()
	away.apply(m.UpdateSince(0))
	for n := range 500 {
		m.must(fmt.Sprintf("set rank r%d level=%d; change rank drill floor=%d%%", n%10, n%10+2, n%50))
		if n%7 == 0 {
			m.must(fmt.Sprintf("delete rank r%d", n%10))
		}
	}
	u := m.UpdateSince(away.index)
	if got, want := u.GetFull(), false; got != want {
		t.Errorf("full: got %v, want %v", got, want)
	}
	away.apply(u)
	want := newView()
	want.apply(m.UpdateSince(0))
	if !maps.Equal(away.objects, want.objects) || away.index != want.index {
		t.Errorf("got %v, want %v", away, want)
	}
	if got := len(m.UpdateSince(m.Index()).GetRanks()); got != 0 {
		t.Errorf("ranks without a change: got %d, want 0", got)
	}
}

// Guards against deleted objects that come back for a process that was away for
// longer than the tombstones are kept.
func TestUpdatePastTombstones(t *testing.T) {
	m := newMachine(t)
	m.register("first", 1, false)
	v := newView()
	v.apply(m.UpdateSince(0))
	m.register("first", 1, true)
	for n := range 9000 {
		m.register(fmt.Sprint(n), 1, false)
		m.register(fmt.Sprint(n), 1, true)
	}
	m.restart()
	u := m.UpdateSince(v.index)
	if got, want := u.GetFull(), true; got != want {
		t.Errorf("full: got %v, want %v", got, want)
	}
	v.apply(u)
	if got, want := len(v.objects), 0; got != want {
		t.Errorf("objects: got %d, want %d", got, want)
	}
}

// Guards against a damaged snapshot that stops the process or spoils the state.
func FuzzRestore(f *testing.F) {
	m := newMachine(f)
	m.must(base)
	m.register("s1", 1, false)
	m.must("drain server s1; block digest q")
	m.claim("k", "d", "r")
	m.blame("1", "p")
	f.Add([]byte(m.state()))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := registrar.New()
		if r.Restore(data) != nil {
			if got, want := len(r.UpdateSince(0).GetServices()), 0; got != want {
				t.Errorf("services after an error: got %d, want %d", got, want)
			}

			return
		}
		r.UpdateSince(1)
		if _, err := r.Snapshot(); err != nil {
			t.Error(err)
		}
		r.Apply(r.Applied()+1, epoch, change(t, "x", base))
	})
}

// Guards against a command that stops every control host at once, and against
// replicas that differ after it.
func FuzzApply(f *testing.F) {
	for _, cmd := range []*wire.Command{
		change(f, "x", "drain server s1; order server s1 load m; block digest q for 1h"),
		{Id: "x", Body: &wire.Command_Change{Change: &wire.Change{Edits: []*wire.Edit{{Verb: "set", Kind: "rank", Name: "a"}}}}},
		{Id: "x", Body: &wire.Command_Claim{Claim: &wire.Claim{Key: "k", Request: "r", Retention: 1 << 62}}},
		{Id: "x", Body: &wire.Command_Settle{Settle: &wire.Settle{Key: "k", Request: "r", Stage: 2}}},
		{Id: "x", Body: &wire.Command_Blame{Blame: &wire.Blame{Crash: "c", Digests: []string{"p"}, Hold: 1 << 62}}},
		{Id: "x", Body: &wire.Command_Register{Register: registration("s1", 2, true)}},
	} {
		data, err := proto.Marshal(cmd)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cmd := &wire.Command{}
		if proto.Unmarshal(data, cmd) != nil {
			return
		}
		one, two := newMachine(t), newMachine(t)
		for _, m := range []*machine{one, two} {
			m.must(base)
			m.register("s1", 1, false)
			m.claim("k", "d", "r")
		}
		two.restart()
		if got, want := one.apply(cmd).String(), two.apply(cmd).String(); got != want {
			t.Errorf("result: got %s, want %s", got, want)
		}
		if one.state() != two.state() {
			t.Error("states differ")
		}
	})
}

const fleet = 12_000

// sizes are the numbers of servers from which slopes are taken.
var sizes = []int{1000, 4000, fleet}

func newFleet(b *testing.B, servers int) *machine {
	m := newMachine(b)
	m.must(base)
	for n := range servers {
		m.register(fmt.Sprintf("desk-%05d", n), 1, false)
	}

	return m
}

func BenchmarkApplyChange(b *testing.B) {
	m := newFleet(b, fleet)
	cmd := change(b, "", "change rank drill floor=10%")
	for n := 0; b.Loop(); n++ {
		cmd.Id = fmt.Sprint(n)
		m.apply(cmd)
	}
}

func BenchmarkApplyClaim(b *testing.B) {
	m := newFleet(b, fleet)
	for n := 0; b.Loop(); n++ {
		m.now = m.now.Add(time.Millisecond)
		key := fmt.Sprint(n)
		m.claim(key, "d", key)
		m.settle(key, key, wire.Stage_STAGE_DONE)
	}
}

// BenchmarkUpdateSince reports the bytes of an update after one change, and of a
// snapshot.
func BenchmarkUpdateSince(b *testing.B) {
	for _, servers := range sizes {
		m := newFleet(b, servers)
		before := m.Index()
		m.must("change rank drill floor=10%; drain server desk-00007")
		for name, since := range map[string]uint64{"one": before, "full": 0} {
			b.Run(fmt.Sprintf("%s/servers=%d", name, servers), func(b *testing.B) {
				var u *wire.Update
				for b.Loop() {
					u = m.UpdateSince(since)
				}
				b.ReportMetric(float64(sizeOf(u)), "bytes")
			})
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, servers := range sizes {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			m := newFleet(b, servers)
			for b.Loop() {
				b.ReportMetric(float64(len(m.state())), "bytes")
			}
		})
	}
}
