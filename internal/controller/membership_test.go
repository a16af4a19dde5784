package controller

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a leader that removes a member whose vote is still needed.
func TestMemberToRemove(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	members := func(voters, learners int) *wire.Members {
		m := &wire.Members{}
		for id := range voters {
			m.Voters = append(m.Voters, &wire.Member{Id: uint64(id + 1)})
		}
		for id := range learners {
			m.Learners = append(m.Learners, &wire.Member{Id: uint64(voters + id + 1)})
		}

		return m
	}
	for name, test := range map[string]struct {
		members *wire.Members
		heard   map[uint64]time.Time
		want    uint64
	}{
		"silent voter, three voters":     {members(3, 0), map[uint64]time.Time{2: ago(time.Minute), 3: now}, 0},
		"silent voter, four voters":      {members(4, 0), map[uint64]time.Time{2: ago(time.Minute), 3: now, 4: now}, 2},
		"late voter, four voters":        {members(4, 0), map[uint64]time.Time{2: ago(time.Second), 3: now, 4: now}, 0},
		"two silent voters, five voters": {members(5, 0), map[uint64]time.Time{2: ago(3 * time.Second), 3: ago(time.Minute), 4: now, 5: now}, 3},
		"no majority responds":           {members(4, 0), map[uint64]time.Time{2: ago(time.Minute), 3: ago(time.Minute), 4: ago(time.Minute)}, 0},
		"new learner":                    {members(3, 1), map[uint64]time.Time{2: now, 3: now, 4: ago(time.Second)}, 0},
		"silent learner":                 {members(3, 1), map[uint64]time.Time{2: now, 3: now, 4: ago(time.Minute)}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			st := replicator.Status{ID: 1, Members: test.members, LastHeard: test.heard}
			if got := memberToRemove(st, 3, now); got != test.want {
				t.Errorf("member to remove: got %d, want %d", got, test.want)
			}
		})
	}
}
