package controller

import "github.com/damasklever/damasklever/internal/replicator"

// loggedStatus is the status of this host that was last written to the log output.
type loggedStatus struct {
	leader   uint64
	role     replicator.Role
	revision uint64
}

// logChanges logs each change of leader, role or revision. It runs in the event loop.
func (c *Controller) logChanges() {
	st := c.core.Status()
	now := loggedStatus{leader: st.Leader, role: st.Role, revision: c.state.Revision()}
	if now.leader != c.loggedStatus.leader || now.role != c.loggedStatus.role {
		leader := ""
		if now.leader != 0 {
			leader = formatMemberID(now.leader)
		}
		c.s.Log.Info().Uint64("term", st.Term).Str("as", roleName(st.Role)).Str("leader", leader).Msg("leader changed")
	}
	if now.revision != c.loggedStatus.revision {
		c.s.Log.Info().Uint64("revision", now.revision).Uint64("index", c.state.Index()).Msg("revision changed")
	}
	c.loggedStatus = now
}
