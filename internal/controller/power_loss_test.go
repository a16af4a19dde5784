package controller_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/wire"
)

// inode is the content of a file, as written and as last synced.
type inode struct{ data, synced []byte }

// volatileFiles is a data directory in memory that can lose power.
type volatileFiles struct {
	mu                 sync.Mutex
	names, syncedNames map[string]*inode
	locked             bool
}

func newVolatileFiles() *volatileFiles {
	return &volatileFiles{names: make(map[string]*inode), syncedNames: make(map[string]*inode)}
}

// losePower returns the directory after a power loss. Each file that was created or renamed
// since the last sync of the directory is independently kept or lost, and any part of the data
// that was not synced may have been written.
func (v *volatileFiles) losePower(random *rand.Rand) *volatileFiles {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := maps.Clone(v.syncedNames)
	maps.Copy(all, v.names)
	next := newVolatileFiles()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		n := v.syncedNames[name]
		if random.IntN(2) == 0 {
			n = v.names[name]
		}
		if n == nil {
			continue
		}
		data := slices.Clone(n.synced)
		if len(n.data) > len(data) {
			data = append(data, n.data[len(data):len(data)+random.IntN(len(n.data)-len(data)+1)]...)
		}
		next.names[name] = &inode{data: data, synced: slices.Clone(data)}
	}
	next.syncedNames = maps.Clone(next.names)

	return next
}

// Read implements recorder.Files.
func (v *volatileFiles) Read(name string) ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := v.names[name]; n != nil {
		return slices.Clone(n.data), nil
	}

	return nil, os.ErrNotExist
}

// Open implements recorder.Files.
func (v *volatileFiles) Open(name string) (recorder.File, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.names[name] == nil {
		v.names[name] = &inode{}
	}

	return &volatileFile{files: v, inode: v.names[name]}, nil
}

// Rename implements recorder.Files.
func (v *volatileFiles) Rename(from, to string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.names[to] = v.names[from]
	delete(v.names, from)

	return nil
}

// SyncDir implements recorder.Files.
func (v *volatileFiles) SyncDir() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.syncedNames = maps.Clone(v.names)

	return nil
}

// Lock implements recorder.Files.
func (v *volatileFiles) Lock() (func() error, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.locked {
		return nil, os.ErrExist
	}
	v.locked = true

	return func() error {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.locked = false

		return nil
	}, nil
}

type volatileFile struct {
	files *volatileFiles
	inode *inode
}

// WriteAt implements recorder.File.
func (f *volatileFile) WriteAt(p []byte, offset int64) (int, error) {
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	end := int(offset) + len(p)
	// The synced part of the file may share memory with the data.
	data := slices.Clone(f.inode.data)
	data = append(data, make([]byte, max(0, end-len(data)))...)
	copy(data[offset:], p)
	f.inode.data = data

	return len(p), nil
}

// Truncate implements recorder.File.
func (f *volatileFile) Truncate(size int64) error {
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	f.inode.data = slices.Clone(f.inode.data[:min(int(size), len(f.inode.data))])

	return nil
}

// Sync implements recorder.File.
func (f *volatileFile) Sync() error {
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	f.inode.synced = slices.Clone(f.inode.data)

	return nil
}

// Close implements recorder.File.
func (f *volatileFile) Close() error { return nil }

// ask sends a request to a control host. It returns nil if there is no response.
func ask(t testing.TB, addr string, r *wire.Request) *wire.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	session, err := messenger.Dial(ctx, addr)
	if err != nil {
		return nil
	}
	defer func() { _ = session.Close() }()
	s, err := session.Open(ctx)
	if err != nil {
		return nil
	}
	response := &wire.Response{}
	if s.Send(r) != nil || s.Recv(response) != nil {
		return nil
	}

	return response
}

// askCommand sends a command to a control host and returns its result.
func askCommand(t testing.TB, addr string, cmd *wire.Command) *wire.Result {
	t.Helper()
	cmd.Expect = -1

	return ask(t, addr, &wire.Request{Body: &wire.Request_Command{Command: cmd}}).GetResult()
}

func claimOf(key, request string) *wire.Command {
	return &wire.Command{Id: request + ".claim", Who: "entry", Body: &wire.Command_Claim{Claim: &wire.Claim{
		Key: key, Digest: "digest of " + key, Entry: "entry", Epoch: 1, Request: request,
	}}}
}

// acknowledged is what control hosts have acknowledged.
type acknowledged struct {
	mu      sync.Mutex
	claims  map[string]*wire.Stored // by key; nil unless the answer was stored
	blocked []string
	// versions and plan are the numbers of the last ones acknowledged and sent.
	versions, plan         int
	versionsSent, planSent int
	changes                int // number of all changes
}

// record calls f, which records a change, if the change was acknowledged.
func (a *acknowledged) record(r *wire.Result, f func()) {
	if r.GetOutcome() != wire.Outcome_OUTCOME_DONE {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changes++
	f()
}

// sendAll sends one change of each kind to a host.
func (a *acknowledged) sendAll(t testing.TB, addr, id string, after func()) {
	t.Helper()
	key := "key " + id
	r := askCommand(t, addr, claimOf(key, id))
	a.record(r, func() {
		if r.GetFresh() {
			a.claims[key] = nil
		}
	})
	after()
	if r.GetFresh() {
		stored := &wire.Stored{Status: 200, Body: []byte("answer of " + id)}
		r = askCommand(t, addr, &wire.Command{Id: id + ".settle", Who: "entry", Body: &wire.Command_Settle{Settle: &wire.Settle{
			Key: key, Request: id, Stage: wire.Stage_STAGE_DONE, Answer: stored,
		}}})
		a.record(r, func() { a.claims[key] = stored })
		after()
	}
	r = askCommand(t, addr, &wire.Command{Id: id + ".blame", Who: "agent", Body: &wire.Command_Blame{Blame: &wire.Blame{
		Digests: []string{"d" + id}, Server: "s", Crash: id, After: 1,
	}}})
	a.record(r, func() { a.blocked = append(a.blocked, "d"+id) })
	after()
}

// sendNumbered sends the next versions and the next plan. It must not be called concurrently.
func (a *acknowledged) sendNumbered(t testing.TB, addr string, after func()) {
	t.Helper()
	a.mu.Lock()
	a.versionsSent++
	a.planSent++
	n := a.versionsSent
	a.mu.Unlock()
	r := askCommand(t, addr, &wire.Command{Id: fmt.Sprint("versions/", n), Who: "control", Body: &wire.Command_Versions{Versions: &wire.Versions{
		Pool: "pool", Versions: []string{fmt.Sprint("v", n)},
	}}})
	a.record(r, func() { a.versions = n })
	after()
	r = askCommand(t, addr, &wire.Command{Id: fmt.Sprint("plan/", n), Who: "operator", Body: &wire.Command_Plan{Plan: testPlan(uint64(n))}})
	a.record(r, func() { a.plan = n })
	after()
}

// check checks that a host has everything that was acknowledged.
func (a *acknowledged) check(t testing.TB, h *supervised, round int) {
	t.Helper()
	addr := h.settings().Listen
	for key, stored := range a.claims {
		var r *wire.Result
		awaitWithin(t, "a claim is decided", func() bool {
			r = askCommand(t, addr, claimOf(key, fmt.Sprint("again-", round, "-", key)))

			return r != nil && r.GetOutcome() != wire.Outcome_OUTCOME_REFUSED && r.GetOutcome() != wire.Outcome_OUTCOME_PENDING
		})
		switch {
		case r.GetOutcome() != wire.Outcome_OUTCOME_DONE:
			t.Errorf("round %d, %s claimed again: got %v (%s), want done", round, key, r.GetOutcome(), r.GetText())
		case r.GetFresh() || r.GetStage() == wire.Stage_STAGE_FREE:
			t.Errorf("round %d, %s claimed again: got it, want a call that was claimed before", round, key)
		case stored != nil && !proto.Equal(r.GetAnswer(), stored):
			t.Errorf("round %d, %s: answer: got %v, want %v", round, key, r.GetAnswer(), stored)
		}
	}
	table := func(subject string) string {
		var got *wire.Table
		awaitWithin(t, "a majority answers a query", func() bool {
			got = ask(t, addr, &wire.Request{Body: &wire.Request_Query{Query: &wire.Query{Subject: subject}}}).GetTable()

			return got != nil && !got.GetStale()
		})
		var b strings.Builder
		for _, row := range got.GetRows() {
			fmt.Fprintln(&b, row.GetCells())
		}

		return b.String()
	}
	blocks := table("blocks")
	for _, digest := range a.blocked {
		if !strings.Contains(blocks, digest+" ") {
			t.Errorf("round %d: %s is not blocked any more", round, digest)
		}
	}
	held, found := table("versions"), false
	for n := a.versions; n <= a.versionsSent; n++ {
		found = found || strings.Contains(held, fmt.Sprintf("v%d", n))
	}
	if !found {
		t.Errorf("round %d: versions: got %s, want v%d to v%d", round, held, a.versions, a.versionsSent)
	}
	var p *wire.Plan
	var err error
	awaitWithin(t, "a majority confirms the plan", func() bool {
		p, err = h.Plan(t.Context())

		return err == nil
	})
	if int(p.GetVersion()) < a.plan || int(p.GetVersion()) > a.planSent {
		t.Errorf("round %d: plan: got version %d, want %d to %d", round, p.GetVersion(), a.plan, a.planSent)
	}
}

// Guards against an acknowledged claim, answer, block, software version or plan that is gone
// after one disk was lost while all other hosts lost power.
func TestAcknowledgedSurvivesLostDiskAndPowerLoss(t *testing.T) {
	choices := map[string]func(hosts []*supervised, acked, round int) int{
		"leader": func(hosts []*supervised, acked, _ int) int {
			if l := slices.Index(hosts, leading(hosts)); l >= 0 {
				return l
			}

			return acked
		},
		"acknowledging host": func(_ []*supervised, acked, _ int) int { return acked },
		"follower": func(hosts []*supervised, _, round int) int {
			if i := round % 3; hosts[i] != leading(hosts) {
				return i
			}

			return (round + 1) % 3
		},
	}
	for name, choose := range choices {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testLostDisk(t, choose)
		})
	}
}

func testLostDisk(t *testing.T, choose func(hosts []*supervised, acked, round int) int) {
	t.Helper()
	const rounds, changesPerRound, writers = 6, 40, 6
	random := rand.New(rand.NewPCG(1, 2))
	hosts := superviseCluster(t, func(int, *supervised) {})
	awaitMembers(t, hosts)
	a := &acknowledged{claims: make(map[string]*wire.Stored)}
	for round := range rounds {
		lost, limit := -1, a.changes+changesPerRound+random.IntN(changesPerRound)
		powerLost := make(chan struct{})
		var once sync.Once
		after := func(host int) func() {
			return func() {
				a.mu.Lock()
				due := a.changes >= limit
				a.mu.Unlock()
				if !due {
					return
				}
				once.Do(func() {
					lost = choose(hosts, host, round)
					for _, h := range hosts {
						h.disk.set(refusals["all"])
					}
					close(powerLost)
				})
			}
		}
		var wg sync.WaitGroup
		for writer := range writers {
			wg.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-powerLost:
						return
					default:
					}
					host := (writer + n) % len(hosts)
					addr := hosts[host].settings().Listen
					if writer == 0 {
						a.sendNumbered(t, addr, after(host))
					} else {
						a.sendAll(t, addr, fmt.Sprintf("%d-%d-%d", round, writer, n), after(host))
					}
				}
			})
		}
		select {
		case <-powerLost:
		case <-time.After(recoveryTimeout):
			t.Fatalf("round %d: changes: got %d, want %d within %s", round, a.changes, limit, recoveryTimeout)
		}
		wg.Wait()
		restartAfterPowerLoss(t, hosts, lost, random)
		for _, h := range hosts {
			a.check(t, h, round)
		}
		t.Logf("round %d: lost the disk of host %d, %d changes acknowledged", round, lost+1, a.changes)
	}
}

// restartAfterPowerLoss starts all hosts again, one of them with an empty disk, and waits until
// all of them vote.
func restartAfterPowerLoss(t *testing.T, hosts []*supervised, lost int, random *rand.Rand) {
	t.Helper()
	for _, h := range hosts {
		h.stop()
	}
	for i, h := range hosts {
		files := newVolatileFiles()
		if old, ok := h.disk.files.(*volatileFiles); ok && i != lost {
			files = old.losePower(random)
		}
		h.disk = &faultyDisk{files: files}
		first := h.settings
		h.settings = func() controller.Settings {
			s := first()
			s.Files, s.Members, s.Join = h.disk, nil, true

			return s
		}
		h.start()
	}
	awaitWithin(t, "all hosts vote and have what the leader has", func() bool {
		l := leading(hosts)
		if l == nil || len(memberIDs(l)) != len(hosts) || !slices.Contains(memberIDs(l), hosts[lost].Dump().ID) {
			return false
		}

		return !slices.ContainsFunc(hosts, func(h *supervised) bool {
			return !h.Ready() || h.Dump().Applied < l.Dump().Applied || !slices.Equal(memberIDs(h), memberIDs(l))
		})
	})
}
