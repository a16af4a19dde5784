package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/testrunner"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	testrunner.Run(m, map[string]string{"rapid.checks": "150", "rapid.steps": "400"})
}

// schedule draws random events for a cluster.
type schedule struct {
	*cluster
	stable   bool   // no disk is lost and the members do not change
	nextID   uint64 // id of the next host
	commands int
}

// Guards against two leaders in a term, committed entries that are lost or
// changed, commands that are applied twice, and reads that miss a write, under any
// sequence of lost, duplicated and reordered messages, crashes, partitions, lost
// disks and membership changes.
func TestScheduleKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(rt, "hosts")
		s := &schedule{
			cluster: newCluster(rt, n, rapid.Uint64Range(1, 1<<30).Draw(rt, "seed")),
			nextID:  uint64(n) + 1,
			stable:  rapid.Bool().Draw(rt, "stable"),
		}
		rt.Repeat(map[string]func(*rapid.T){
			"deliver":   s.drawDeliver,
			"deliver2":  s.drawDeliver,
			"deliver3":  s.drawDeliver,
			"deliver4":  s.drawDeliver,
			"flow":      s.drawDeliverMany,
			"flow2":     s.drawDeliverMany,
			"repeat":    func(rt *rapid.T) { s.deliver(s.drawMessage(rt), true, noCrash) },
			"lose":      func(rt *rapid.T) { i := s.drawMessage(rt); s.network = append(s.network[:i], s.network[i+1:]...) },
			"tick":      s.drawTick,
			"tick2":     s.drawTick,
			"propose":   s.drawPropose,
			"propose2":  s.drawPropose,
			"read":      s.drawRead,
			"crash":     s.drawCrash,
			"restart":   s.drawRestart,
			"restart2":  s.drawRestart,
			"restart3":  s.drawRestart,
			"pause":     s.drawPause,
			"partition": s.drawPartition,
			"heal":      func(*rapid.T) { s.heal() },
			"compact":   s.drawCompact,
			"change":    s.drawMemberChange,
			"yield":     s.drawYield,
			"disk":      s.drawDiskLoss,
		})
		s.checkRecovery()
	})
}

// crashPoints is sampled so that one in ten steps ends in a crash.
var crashPoints = append(slices.Repeat([]crashPoint{noCrash}, 18), beforeSync, beforeSend)

func (s *schedule) drawMessage(rt *rapid.T) int {
	if len(s.network) == 0 {
		rt.Skip("no message")
	}

	return rapid.IntRange(0, len(s.network)-1).Draw(rt, "message")
}

// host draws a running host or, if down is set, one that can be restarted.
func (s *schedule) host(rt *rapid.T, down bool) *host {
	var ids []uint64
	for _, id := range s.ids() {
		if h := s.hosts[id]; (h.core == nil) == down && !h.lost && !h.expelled {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		rt.Skip("no such host")
	}

	return s.hosts[rapid.SampledFrom(ids).Draw(rt, "host")]
}

func (s *schedule) drawDeliver(rt *rapid.T) {
	i := s.drawMessage(rt)
	at := rapid.SampledFrom(crashPoints).Draw(rt, "crash")
	s.deliver(i, false, at)
}

// drawDeliverMany delivers many messages in order, so that the cluster makes
// progress.
func (s *schedule) drawDeliverMany(rt *rapid.T) {
	for range rapid.IntRange(1, 60).Draw(rt, "messages") {
		if len(s.network) > 0 {
			s.deliver(0, false, noCrash)
		}
	}
}

func (s *schedule) drawTick(rt *rapid.T) {
	s.tick(time.Duration(rapid.IntRange(1, 150).Draw(rt, "ms")) * time.Millisecond)
}

func (s *schedule) drawPropose(rt *rapid.T) {
	h := s.host(rt, false)
	if l := s.leader(); l != nil && rapid.Bool().Draw(rt, "leader") {
		h = l
	}
	s.commands++
	// Some commands are proposed again.
	id := s.commands - rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "back")
	_, _, _ = h.core.Propose([]byte(fmt.Sprintf("command %d", id)))
	s.processReady(h, rapid.SampledFrom(crashPoints).Draw(rt, "crash"))
}

func (s *schedule) drawRead(rt *rapid.T) {
	h := s.host(rt, false)
	_, _ = s.startRead(h)
	s.processReady(h, noCrash)
}

func (s *schedule) drawCrash(rt *rapid.T) { s.host(rt, false).core = nil }

func (s *schedule) drawRestart(rt *rapid.T) { s.start(s.host(rt, true)) }

func (s *schedule) drawPause(rt *rapid.T) {
	h := s.host(rt, false)
	h.paused = !h.paused
}

func (s *schedule) drawPartition(rt *rapid.T) {
	s.isolate(s.host(rt, false).id)
}

func (s *schedule) drawCompact(rt *rapid.T) {
	h := s.host(rt, false)
	if h.applied <= h.disk.Snapshot.GetIndex() {
		rt.Skip("nothing to compact")
	}
	s.compact(h)
}

func (s *schedule) drawMemberChange(rt *rapid.T) {
	l := s.leader()
	if l == nil || s.stable {
		rt.Skip("no leader")
	}
	voters := l.core.Status().Members.GetVoters()
	if len(voters) < 3 || len(voters) < 6 && rapid.Bool().Draw(rt, "add") {
		h := s.join(s.nextID)
		s.nextID++
		_, _, _ = l.core.AddLearner(member(h.id))
	} else {
		id := voters[rapid.IntRange(0, len(voters)-1).Draw(rt, "voter")].GetId()
		for _, v := range voters {
			if s.hosts[v.GetId()].lost {
				id = v.GetId()
			}
		}
		_, _, _ = l.core.Remove(id)
	}
	s.processReady(l, noCrash)
}

func (s *schedule) drawYield(rt *rapid.T) {
	h := s.host(rt, false)
	h.core.Yield()
	s.processReady(h, noCrash)
}

// drawDiskLoss destroys the disk of one host, which is down from then on.
// drawMemberChange removes it and can add a host with a new identity.
func (s *schedule) drawDiskLoss(rt *rapid.T) {
	h := s.host(rt, rapid.Bool().Draw(rt, "down"))
	if s.stable {
		rt.Skip("stable schedule")
	}
	for _, other := range s.hosts {
		if other.lost {
			rt.Skip("another disk is already lost")
		}
	}
	// Hosts may disagree about the members while a change is in progress. The host
	// that loses its disk must be a minority in all of these memberships.
	for _, other := range s.hosts {
		if n := len(other.members().GetVoters()); n > 0 && n < 3 {
			rt.Skip("too few voters")
		}
	}
	h.core, h.lost, h.disk = nil, true, replicator.State{}
}

// checkRecovery heals the network, restarts the hosts and checks that the cluster
// commits and applies another command.
func (s *schedule) checkRecovery() {
	s.heal()
	for _, id := range s.ids() {
		s.hosts[id].paused = false
		if h := s.hosts[id]; h.core == nil && !h.lost {
			if h.expelled {
				s.t.Fatalf("host %d was expelled although its disk was intact", id)
			}
			s.start(h)
		}
	}
	// After a failed leadership transfer, the leader rejects proposals until an
	// election timeout has passed.
	s.run(2 * election)
	l := s.awaitLeader()
	if err := s.propose(l, "last"); err != nil {
		s.t.Fatalf("propose after the recovery: %v", err)
	}
	s.run(20 * heartbeat)
	for _, v := range s.awaitLeader().core.Status().Members.GetVoters() {
		h := s.hosts[v.GetId()]
		if got, want := h.commands["last"], s.firstApplied["last"]; !h.lost && (got == 0 || got != want) {
			s.t.Fatalf("host %d: last command applied at index %d, want %d", h.id, got, want)
		}
	}
}
