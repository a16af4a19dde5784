package controller_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// refusal decides whether a disk refuses an operation on a file. The size is that of a write.
type refusal func(operation, name string, size int) bool

// faultyDisk is a data directory whose operations can be refused as by a full disk.
type faultyDisk struct {
	files   recorder.Files
	mu      sync.Mutex
	refuse  refusal
	refused int
}

func newFaultyDisk() *faultyDisk { return &faultyDisk{files: newVolatileFiles()} }

// set makes the disk refuse operations from now on; nil accepts all.
func (d *faultyDisk) set(r refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse, d.refused = r, 0
}

// refusals returns the number of operations refused since the last call of set.
func (d *faultyDisk) refusals() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.refused
}

func (d *faultyDisk) check(operation, name string, size int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse == nil || !d.refuse(operation, name, size) {
		return nil
	}
	d.refused++

	return syscall.ENOSPC
}

// Read implements recorder.Files.
func (d *faultyDisk) Read(name string) ([]byte, error) { return d.files.Read(name) }

// Open implements recorder.Files.
func (d *faultyDisk) Open(name string) (recorder.File, error) {
	if err := d.check("open", name, 0); err != nil {
		return nil, err
	}
	f, err := d.files.Open(name)

	return &faultyFile{File: f, disk: d, name: name}, err
}

// Rename implements recorder.Files.
func (d *faultyDisk) Rename(from, to string) error {
	if err := d.check("rename", to, 0); err != nil {
		return err
	}

	return d.files.Rename(from, to)
}

// SyncDir implements recorder.Files.
func (d *faultyDisk) SyncDir() error {
	if err := d.check("syncdir", "", 0); err != nil {
		return err
	}

	return d.files.SyncDir()
}

// Lock implements recorder.Files.
func (d *faultyDisk) Lock() (func() error, error) {
	if err := d.check("lock", "lock", 0); err != nil {
		return nil, err
	}

	return d.files.Lock()
}

type faultyFile struct {
	recorder.File
	disk *faultyDisk
	name string
}

// WriteAt implements recorder.File. A refused write leaves its first half behind.
func (f *faultyFile) WriteAt(p []byte, offset int64) (int, error) {
	if err := f.disk.check("write", f.name, len(p)); err != nil {
		n, _ := f.File.WriteAt(p[:len(p)/2], offset)

		return n, err
	}

	return f.File.WriteAt(p, offset)
}

// Truncate implements recorder.File.
func (f *faultyFile) Truncate(size int64) error {
	if err := f.disk.check("truncate", f.name, 0); err != nil {
		return err
	}

	return f.File.Truncate(size)
}

// Sync implements recorder.File.
func (f *faultyFile) Sync() error {
	if err := f.disk.check("sync", f.name, 0); err != nil {
		return err
	}

	return f.File.Sync()
}

// supervised is a control host that is reopened after a failure of its disk.
type supervised struct {
	*controller.Supervisor
	disk     *faultyDisk
	opened   atomic.Int64
	settings func() controller.Settings
	cancel   context.CancelFunc
}

// start starts the host, as a process that has just been started would.
func (s *supervised) start() {
	s.Supervisor = controller.NewSupervisor(s.settings, s.settings().Timer, logger.Discard())
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	go s.Run(ctx)
}

// stop stops the host.
func (s *supervised) stop() {
	s.cancel()
	<-s.Done()
}

// superviseCluster starts three control hosts under supervisors, each after a call of adjust.
func superviseCluster(t testing.TB, adjust func(host int, s *supervised)) []*supervised {
	t.Helper()
	clock := timer.New()
	t.Cleanup(clock.Close)
	addrs := freeAddrs(t, 3)
	var members []*wire.Member
	for i, addr := range addrs {
		members = append(members, &wire.Member{Number: uint64(i + 1), Addr: addr})
	}
	hosts := make([]*supervised, len(addrs))
	for i := range addrs {
		s := &supervised{disk: newFaultyDisk()}
		hosts[i] = s
		adjust(i, s)
		s.settings = func() controller.Settings {
			s.opened.Add(1)

			return controller.Settings{
				Number: uint64(i + 1), Listen: addrs[i], DataDir: "data", Files: s.disk, Members: members,
				ElectionTimeout: 400 * time.Millisecond, HeartbeatInterval: 80 * time.Millisecond, CommitTimeout: 900 * time.Millisecond,
				Repair: true, TargetMembers: len(addrs), Seeds: addrs, CompactEntries: 40, Timer: clock, Log: logger.Discard(),
			}
		}
		s.start()
		t.Cleanup(s.stop)
	}

	return hosts
}

// testPlan returns a plan whose source has a size that only large writes can store.
func testPlan(version uint64) *wire.Plan {
	return &wire.Plan{Version: version, Source: bytes.Repeat([]byte{byte(version)}, 8<<10)}
}

// planWriter replaces the plan through all hosts in turn and records what was acknowledged.
type planWriter struct {
	hosts []*supervised
	acked atomic.Uint64
	last  atomic.Uint64
	stop  context.CancelFunc
	done  chan struct{}
}

func startPlanWriter(t testing.TB, hosts []*supervised) *planWriter {
	t.Helper()

	return startPlanWriterFrom(t, hosts, 1)
}

func startPlanWriterFrom(t testing.TB, hosts []*supervised, first uint64) *planWriter {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w := &planWriter{hosts: hosts, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for version := first; ctx.Err() == nil; version++ {
			w.last.Store(version)
			if hosts[int(version)%len(hosts)].ReplacePlan(ctx, testPlan(version)).GetOutcome() == wire.Outcome_OUTCOME_DONE {
				w.acked.Store(version)
			}
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()

	return w
}

const (
	// recoveryTimeout limits the wait for a host whose disk has room again.
	recoveryTimeout = 15 * time.Second
	// fullTime is how long each disk is full.
	fullTime = 700 * time.Millisecond
)

// awaitWithin polls a condition and fails the test if it is not reached in time.
func awaitWithin(t testing.TB, what string, reached func() bool) {
	t.Helper()
	limit := time.NewTimer(recoveryTimeout)
	defer limit.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-limit.C:
			t.Fatalf("%s: not within %s", what, recoveryTimeout)
		}
	}
}

// leading returns the host that leads, or nil.
func leading(hosts []*supervised) *supervised {
	for _, h := range hosts {
		if h.Dump().Role == "leader" {
			return h
		}
	}

	return nil
}

// memberIDs returns the ids of the voters known to a host.
func memberIDs(h *supervised) []string {
	var ids []string
	for _, m := range h.Dump().Members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)

	return ids
}

// awaitMembers waits until all hosts vote and returns their ids.
func awaitMembers(t testing.TB, hosts []*supervised) []string {
	t.Helper()
	awaitWithin(t, "all hosts vote", func() bool {
		return !slices.ContainsFunc(hosts, func(h *supervised) bool { return len(memberIDs(h)) != len(hosts) })
	})

	return memberIDs(hosts[0])
}

// checkRecovered checks that all hosts are back, and that the plans are as acknowledged.
func checkRecovered(t testing.TB, hosts []*supervised, w *planWriter, ids []string) {
	t.Helper()
	for i, h := range hosts {
		awaitWithin(t, fmt.Sprintf("host %d is ready and applies what the leader has", i+1), func() bool {
			l := leading(hosts)

			return l != nil && h.Ready() && h.Dump().Applied >= l.Dump().Applied
		})
	}
	awaitMembers(t, hosts)
	before := w.acked.Load()
	awaitWithin(t, "a change is acknowledged", func() bool { return w.acked.Load() > before })
	w.stop()
	<-w.done
	acked, last := w.acked.Load(), w.last.Load()
	for i, h := range hosts {
		var p *wire.Plan
		awaitWithin(t, fmt.Sprintf("host %d: the plan is confirmed", i+1), func() bool {
			var err error
			p, err = h.Plan(t.Context())

			return err == nil
		})
		if p.GetVersion() < acked || p.GetVersion() > last || !bytes.Equal(p.GetSource(), testPlan(p.GetVersion()).GetSource()) {
			t.Errorf("host %d: plan: got version %d, want %d to %d", i+1, p.GetVersion(), acked, last)
		}
		if got := memberIDs(h); !slices.Equal(got, ids) {
			t.Errorf("host %d: members: got %v, want %v", i+1, got, ids)
		}
	}
	for i, h := range hosts {
		for name, version := range map[string]uint64{"last": acked, "old": 1, "new": last + uint64(i) + 1} {
			var r *wire.Result
			awaitWithin(t, fmt.Sprintf("host %d: %s change is decided", i+1, name), func() bool {
				r = h.ReplacePlan(t.Context(), testPlan(version))

				return r.GetOutcome() != wire.Outcome_OUTCOME_REFUSED && r.GetOutcome() != wire.Outcome_OUTCOME_PENDING
			})
			if r.GetOutcome() != wire.Outcome_OUTCOME_DONE {
				t.Errorf("host %d: %s change: got %v (%s), want done", i+1, name, r.GetOutcome(), r.GetText())
			}
		}
	}
}

// refusals are the ways in which a full disk refuses writes.
var refusals = map[string]refusal{
	"all":          func(string, string, int) bool { return true },
	"all but open": func(operation, _ string, _ int) bool { return operation != "open" && operation != "lock" },
	"data only":    func(operation, _ string, size int) bool { return operation == "write" && size > 0 },
	"large":        func(operation, _ string, size int) bool { return operation == "write" && size > 4<<10 },
	"vote":         func(operation, name string, _ int) bool { return operation == "write" && name == "vote.new" },
	"log":          func(operation, name string, _ int) bool { return operation == "write" && name == "log" },
	"rewritten log": func(operation, name string, _ int) bool {
		return operation == "write" && name == "log.new"
	},
	"staged snapshot": func(operation, name string, _ int) bool {
		return operation == "write" && name == "snapshot.staged"
	},
	"snapshot":       func(operation, name string, _ int) bool { return operation == "write" && name == "snapshot.new" },
	"rename":         func(operation, _ string, _ int) bool { return operation == "rename" },
	"renamed log":    func(operation, name string, _ int) bool { return operation == "rename" && name == "log" },
	"sync":           func(operation, _ string, _ int) bool { return operation == "sync" },
	"directory sync": func(operation, _ string, _ int) bool { return operation == "syncdir" },
	"truncate":       func(operation, _ string, _ int) bool { return operation == "truncate" || operation == "write" },
}

// Guards against changes that stay refused after the disks of all control hosts were full, one
// after another.
func TestDisksFullOneAfterAnother(t *testing.T) {
	orders := map[string]func(hosts []*supervised, left []*supervised) *supervised{
		"in turn": func(_, left []*supervised) *supervised { return left[0] },
		"leader first": func(hosts, left []*supervised) *supervised {
			if l := leading(hosts); slices.Contains(left, l) {
				return l
			}

			return left[0]
		},
		"follower first": func(hosts, left []*supervised) *supervised {
			if l := leading(hosts); left[0] == l {
				return left[len(left)-1]
			}

			return left[0]
		},
	}
	for name, refuse := range refusals {
		for order, choose := range orders {
			t.Run(name+"/"+order, func(t *testing.T) {
				t.Parallel()
				hosts := superviseCluster(t, func(int, *supervised) {})
				w := startPlanWriter(t, hosts)
				awaitWithin(t, "the first change is acknowledged", func() bool { return w.acked.Load() > 0 })
				ids := awaitMembers(t, hosts)
				for left := slices.Clone(hosts); len(left) > 0; {
					h := choose(hosts, left)
					left = slices.DeleteFunc(left, func(x *supervised) bool { return x == h })
					h.disk.set(refuse)
					<-time.After(fullTime)
					t.Logf("refused %d operations, acknowledged up to %d of %d", h.disk.refusals(), w.acked.Load(), w.last.Load())
					h.disk.set(nil)
				}
				checkRecovered(t, hosts, w, ids)
			})
		}
	}
}

// Guards against a cluster that never forms because the disk of a host was full while it wrote
// its first files.
func TestDiskFullAtFirstStart(t *testing.T) {
	for name, refuse := range refusals {
		for full := range 4 {
			t.Run(fmt.Sprintf("%s/%d", name, full), func(t *testing.T) {
				t.Parallel()
				hosts := superviseCluster(t, func(host int, s *supervised) {
					if host == full || full == 3 {
						s.disk.set(refuse)
					}
				})
				<-time.After(fullTime)
				for _, h := range hosts {
					t.Logf("refused %d operations", h.disk.refusals())
					h.disk.set(nil)
				}
				w := startPlanWriter(t, hosts)
				awaitWithin(t, "the first change is acknowledged", func() bool { return w.acked.Load() > 0 })
				checkRecovered(t, hosts, w, awaitMembers(t, hosts))
			})
		}
	}
}

// Guards against hosts that wait for a cluster which the host that named its members has failed
// to store.
func TestFirstSnapshotIsRefused(t *testing.T) {
	hosts := superviseCluster(t, func(host int, s *supervised) {
		if host == 0 {
			s.disk.set(refusals["all"])
		}
	})
	awaitWithin(t, "the host has tried to open its disk", func() bool { return hosts[0].opened.Load() > 1 })
	// The disk has room for the files of a new directory, and refuses the first snapshot only
	// after a time in which the other hosts ask for the members.
	hosts[0].disk.set(func(operation, name string, _ int) bool {
		if operation != "write" || name != "snapshot.new" {
			return false
		}
		<-time.After(fullTime)

		return true
	})
	awaitWithin(t, "the first snapshot is refused", func() bool { return hosts[0].disk.refusals() > 0 })
	hosts[0].disk.set(nil)
	w := startPlanWriter(t, hosts)
	awaitWithin(t, "the first change is acknowledged", func() bool { return w.acked.Load() > 0 })
	checkRecovered(t, hosts, w, awaitMembers(t, hosts))
}

// fromOperation returns a refusal of the nth operation and all later ones. Reads are not
// refused.
func fromOperation(n int) refusal {
	seen := 0

	return func(string, string, int) bool {
		seen++

		return seen > n
	}
}

// Guards against a host that stays out after it was started while its disk was full, at any
// step of opening its data directory.
func TestHostStartedOnFullDisk(t *testing.T) {
	directories := map[string]struct {
		// before is how the disk refuses writes before the host stops.
		before refusal
		lost   bool // the host starts with an empty directory
		steps  int
	}{
		"sound":                  {steps: 4},
		"interrupted compaction": {before: refusals["rewritten log"], steps: 12},
		"torn log":               {before: refusals["truncate"], steps: 6},
		"empty":                  {lost: true, steps: 24},
	}
	for name, directory := range directories {
		for step := range directory.steps {
			t.Run(fmt.Sprintf("%s/%d", name, step), func(t *testing.T) {
				t.Parallel()
				hosts := superviseCluster(t, func(int, *supervised) {})
				w := startPlanWriter(t, hosts)
				awaitWithin(t, "the first change is acknowledged", func() bool { return w.acked.Load() > 0 })
				ids := awaitMembers(t, hosts)
				h := hosts[2]
				if directory.before != nil {
					h.disk.set(directory.before)
					awaitWithin(t, "a write is refused", func() bool { return h.disk.refusals() > 0 })
				}
				w.stop()
				<-w.done
				first := w.last.Load()
				h.stop()
				if directory.lost {
					h.disk = newFaultyDisk()
				}
				h.disk.set(fromOperation(step))
				h.start()
				// Until the disk has room, the others are enough.
				w = startPlanWriterFrom(t, hosts[:2], first+1)
				awaitWithin(t, "a write is refused", func() bool { return h.disk.refusals() > 1 })
				awaitWithin(t, "a change is acknowledged", func() bool { return w.acked.Load() > first })
				h.disk.set(nil)
				if directory.lost {
					awaitWithin(t, "the host has joined as a new member", func() bool {
						ids = awaitMembers(t, hosts)

						return slices.Contains(ids, h.Dump().ID)
					})
				}
				checkRecovered(t, hosts, w, ids)
			})
		}
	}
}

// Guards against a member that stays out after it was removed while its disk was full, and
// against a cluster that accepts no changes once it is back.
func TestMemberRemovedWhileDiskIsFullReturns(t *testing.T) {
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hosts := superviseCluster(t, func(int, *supervised) {})
			w := startPlanWriter(t, hosts)
			awaitWithin(t, "the first change is acknowledged", func() bool { return w.acked.Load() > 0 })
			ids := awaitMembers(t, hosts)
			h := hosts[0]
			removed, others := h.Dump().ID, hosts[1:]
			addr := h.Dump().Addr
			h.disk.set(refuse)
			awaitWithin(t, "the member is removed", func() bool {
				removeMember(t, others[0].Dump().Addr, addr)

				return slices.ContainsFunc(others, func(x *supervised) bool {
					got := memberIDs(x)

					return len(got) > 0 && !slices.Contains(got, removed)
				})
			})
			h.disk.set(nil)
			checkRecovered(t, hosts, w, ids)
		})
	}
}

// removeMember asks a control host to remove the member at an address.
func removeMember(t testing.TB, host, addr string) {
	t.Helper()
	askCommand(t, host, &wire.Command{Id: "remove", Body: &wire.Command_Peering{Peering: &wire.Peering{Verb: "remove", Addr: addr}}})
}

// Guards against hosts that wait for a cluster whose only copy is lost with a disk.
func TestFirstHostLosesItsDisk(t *testing.T) {
	hosts := superviseCluster(t, func(host int, s *supervised) {
		if host == 0 {
			s.disk.set(refusals["all"])
		}
	})
	h := hosts[0]
	awaitWithin(t, "the other hosts wait for the first one", func() bool { return h.opened.Load() > 2 })
	// The host writes the first snapshot and can't be elected, so no other host gets it.
	votes := 0
	h.disk.set(func(operation, name string, _ int) bool {
		if operation == "write" && name == "vote.new" {
			votes++
		}

		return votes > 2 && name == "vote.new"
	})
	awaitWithin(t, "the other hosts know of the cluster", func() bool {
		return hosts[1].Dump().Founded && hosts[2].Dump().Founded
	})
	h.stop()
	h.disk = newFaultyDisk()
	h.start()
	w := startPlanWriter(t, hosts)
	awaitWithin(t, "the first change is acknowledged", func() bool { return w.acked.Load() > 0 })
	checkRecovered(t, hosts, w, awaitMembers(t, hosts))
}

// Guards against changes that stay refused after the leader has changed while another host
// could not write its vote.
func TestLeaderChangesWhileDiskIsFull(t *testing.T) {
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hosts := superviseCluster(t, func(int, *supervised) {})
			w := startPlanWriter(t, hosts)
			awaitWithin(t, "the first change is acknowledged", func() bool { return w.acked.Load() > 0 })
			ids := awaitMembers(t, hosts)
			for i, h := range hosts {
				w.stop()
				<-w.done
				awaitWithin(t, "a host leads", func() bool { return leading(hosts) != nil })
				h.disk.set(refuse)
				restarted := leading(hosts)
				if restarted == nil || restarted == h {
					restarted = hosts[(i+1)%len(hosts)]
				}
				restarted.stop()
				restarted.start()
				w = startPlanWriterFrom(t, hosts, w.last.Load()+1)
				<-time.After(fullTime)
				t.Logf("refused %d operations", h.disk.refusals())
				h.disk.set(nil)
			}
			awaitWithin(t, "a change is acknowledged", func() bool { return w.acked.Load() > 0 })
			checkRecovered(t, hosts, w, ids)
		})
	}
}
