package controller

import "github.com/damasklever/damasklever/internal/replicator"

// reported is what the log last told of this host.
type reported struct {
	leader   uint64
	role     replicator.Role
	revision uint64
}

// report logs each change of leader and of revision. It runs in the event
// loop.
func (c *Controller) report() {
	st := c.core.Status()
	now := reported{leader: st.Leader, role: st.Role, revision: c.state.Revision()}
	if now.leader != c.reported.leader || now.role != c.reported.role {
		leader := ""
		if now.leader != 0 {
			leader = memberName(now.leader)
		}
		c.s.Log.Info().Uint64("term", st.Term).Str("as", roleName(st.Role)).Str("leader", leader).Msg("leader changed")
	}
	if now.revision != c.reported.revision {
		c.s.Log.Info().Uint64("revision", now.revision).Uint64("index", c.state.Index()).Msg("revision changed")
	}
	c.reported = now
}
