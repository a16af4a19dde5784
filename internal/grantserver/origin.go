package grantserver

import (
	"time"

	"github.com/damasklever/damasklever/internal/versioner"
	"github.com/damasklever/damasklever/internal/wire"
)

// keep stores where a stream began, for entries that start after the one that served it has
// ended. It also does so while the backend server is down or leaving.
func (gs *Server) keep(o *wire.Origin) {
	ttl := time.Duration(o.GetTtl()) * time.Millisecond
	gs.origins.Put(gs.s.Timer.Now(), o.GetId(), versioner.Origin{Pool: o.GetPool(), Version: o.GetVersion()}, ttl)
}

// locate answers where a stream began.
func (gs *Server) locate(c *client, id string) {
	out := &wire.Located{Id: id}
	if o, ok := gs.origins.Get(gs.s.Timer.Now(), id); ok {
		out.Origin = &wire.Origin{Id: id, Pool: o.Pool, Version: o.Version}
	}
	c.send(&wire.Reply{Body: &wire.Reply_Located{Located: out}})
}

// logEvicted warns of origins that were forgotten because too many are kept.
func (gs *Server) logEvicted(time.Time) {
	evicted := gs.origins.Evicted()
	if evicted == gs.evicted {
		return
	}
	gs.s.Log.Warn().Uint64("evicted", evicted-gs.evicted).Int("limit", gs.s.Origins).Msg("software versions of streams forgotten")
	gs.evicted = evicted
}
