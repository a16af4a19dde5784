package grantserver

import (
	"time"

	"github.com/damasklever/damasklever/internal/granter"
	"github.com/damasklever/damasklever/internal/wire"
)

// reasonReplaced refuses an entry that knows an earlier start of the backend server, because
// its host list is older. Under the ID of that start the server would reject the request, after
// another one has processed its prompt.
const reasonReplaced = "replaced"

// knowsOtherStart reports whether an entry knows another start of the server than the one that
// is running. The caller must hold gs.mu.
func (gs *Server) knowsOtherStart(c *client) bool {
	return c != nil && c.birth != 0 && gs.report.StartID != 0 && c.birth != gs.report.StartID
}

// askFor passes an ask of an entry to the grant queue, or refuses it if the entry knows another
// start of the server. The caller must hold gs.mu.
func (gs *Server) askFor(now time.Time, ask granter.Ask) {
	if gs.knowsOtherStart(gs.clients[ask.Entry]) {
		gs.deliver([]granter.Decision{{ID: ask.ID, Entry: ask.Entry, Kind: granter.Refused, Reason: reasonReplaced}})

		return
	}
	gs.deliver(gs.granter.Ask(now, ask))
}

// loadFor returns the load to report to one entry. The caller must hold gs.mu.
func (gs *Server) loadFor(c *client, load *wire.Load) *wire.Load {
	if gs.knowsOtherStart(c) {
		return &wire.Load{Leaving: true}
	}

	return load
}
