package controller

import (
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// maxLeaseHeartbeats is the number of heartbeat intervals within which a majority must
// have answered for the leader to give orders.
const maxLeaseHeartbeats = 3

// LeaderTerm implements rebalancer.Leadership.
func (s *Supervisor) LeaderTerm() (term uint64, ok bool) {
	if c := s.current.Load(); c != nil {
		return c.leaderTerm()
	}

	return 0, false
}

// Servers implements rebalancer.Leadership.
func (s *Supervisor) Servers() []placer.Server {
	c := s.current.Load()
	if c == nil {
		return nil
	}
	if l := c.hosts.store.Current(); l != nil {
		return l.Servers()
	}

	return nil
}

// AllowsStageChanges implements rebalancer.Leadership.
func (s *Supervisor) AllowsStageChanges(pool string) bool {
	c := s.current.Load()

	return c != nil && c.changesStages(pool)
}

// ComparesSpeeds implements rebalancer.Leadership.
func (s *Supervisor) ComparesSpeeds(pool string) bool {
	c := s.current.Load()

	return c != nil && c.findPool(pool).GetBalance().GetSpeeds()
}

func (c *Controller) leaderTerm() (term uint64, ok bool) {
	c.do(func() {
		status := c.core.Status()
		lease := c.core.Lease(c.s.Timer.Now())
		term, ok = status.Term, status.Role == replicator.Leader && lease >= 0 && lease <= maxLeaseHeartbeats*c.s.HeartbeatInterval
	})

	return term, ok
}

// changesStages reports whether the active plan lets the servers of a pool change their stage.
func (c *Controller) changesStages(pool string) bool {
	return c.findPool(pool).GetEngine().GetTurn() > 0
}

// findPool returns a pool of the active plan, nil if there is none.
func (c *Controller) findPool(name string) (out *wire.Pool) {
	c.do(func() {
		for _, p := range c.state.Plan().GetPools() {
			if p.GetName() == name {
				out = p
			}
		}
	})

	return out
}
