package controller

import "github.com/damasklever/damasklever/internal/replicator"

// announced is what the log last told of this host.
type announced struct {
	leader   uint64
	role     replicator.Role
	revision uint64
}

// announce logs each change of leader and of revision. It runs in the event
// loop.
func (c *Controller) announce() {
	st := c.core.Status()
	now := announced{leader: st.Leader, role: st.Role, revision: c.state.Revision()}
	if now.leader != c.announced.leader || now.role != c.announced.role {
		leader := ""
		if now.leader != 0 {
			leader = memberName(now.leader)
		}
		c.s.Log.Info().Uint64("term", st.Term).Str("as", roleName(st.Role)).Str("leader", leader).Msg("leader changed")
	}
	if now.revision != c.announced.revision {
		c.s.Log.Info().Uint64("revision", now.revision).Uint64("index", c.state.Index()).Msg("revision changed")
	}
	c.announced = now
}
