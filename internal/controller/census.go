package controller

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// censusInterval is how often the leader looks for entry processes that are
	// gone.
	censusInterval = time.Second
	censusTimeout  = time.Second
)

// entryID is one start of an entry process.
type entryID struct {
	name  string
	epoch uint64
}

// census counts the processes attached to any control host. Hosts that do not
// answer are left out.
func (c *Controller) census(ctx context.Context, q *wire.Census) *wire.Count {
	sum := c.attachments.count(q, c.s.Number)
	var members *wire.Members
	c.do(func() { members = c.members })
	for _, r := range c.askOthers(ctx, members, censusTimeout, &wire.Request{Body: &wire.Request_Census{Census: q}}) {
		n := r.GetCount()
		sum.Force += n.GetForce()
		sum.Known += n.GetKnown()
		sum.Entries = append(sum.Entries, n.GetEntries()...)
	}

	return sum
}

// askOthers sends a request to all other control hosts at the same time and returns the
// responses. Hosts that do not answer in time are left out.
func (c *Controller) askOthers(ctx context.Context, members *wire.Members, wait time.Duration, r *wire.Request) []*wire.Response {
	answers := make(chan *wire.Response)
	others := 0
	for _, m := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		if m.GetId() == c.me.GetId() {
			continue
		}
		others++
		go func() {
			bounded, cancel := c.within(ctx, wait)
			defer cancel()
			response, err := c.links.call(bounded, m.GetAddr(), r)
			if err != nil {
				c.s.Log.Debug().Str("addr", m.GetAddr()).Err(err).Msg("no answer of a control host")
			}
			answers <- response
		}()
	}
	var out []*wire.Response
	for range others {
		if response := <-answers; response != nil {
			out = append(out, response)
		}
	}

	return out
}

// startCensus runs in the event loop. The leader looks which entry processes
// hold running claims and whether each is attached to any host.
func (c *Controller) startCensus() {
	if c.core.Status().Role != replicator.Leader {
		c.missing = nil

		return
	}
	if c.counting {
		return
	}
	holders := c.holders()
	if len(holders) == 0 {
		c.missing = nil

		return
	}
	c.counting = true
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		sum := c.census(c.ctx, &wire.Census{})
		c.do(func() {
			c.counting = false
			c.findAbsent(holders, sum)
		})
	}()
}

// holders returns the entry processes with running claims.
func (c *Controller) holders() map[entryID]bool {
	table, err := c.state.Query(&wire.Query{
		Subject: "claims",
		Filters: []*wire.Filter{{Field: "stage", Op: "=", Value: "running"}},
	})
	if err != nil {
		c.s.Log.Warn().Err(err).Msg("claims not read")

		return nil
	}
	name, epoch := slices.Index(table.GetColumns(), "entry"), slices.Index(table.GetColumns(), "epoch")
	holders := make(map[entryID]bool)
	for _, r := range table.GetRows() {
		if name < 0 || epoch < 0 || len(r.GetCells()) <= max(name, epoch) {
			return nil
		}
		n, err := strconv.ParseUint(r.GetCells()[epoch], 10, 64)
		if err != nil {
			continue
		}
		holders[entryID{r.GetCells()[name], n}] = true
	}

	return holders
}

// findAbsent runs in the event loop. A new leader counts the time from its first
// census, so an entry process that is attached to no host for a moment keeps its
// claims.
func (c *Controller) findAbsent(holders map[entryID]bool, sum *wire.Count) {
	now := c.s.Timer.Now()
	seen := make(map[entryID]bool)
	for _, p := range sum.GetEntries() {
		seen[entryID{p.GetName(), p.GetEpoch()}] = true
	}
	missing := make(map[entryID]time.Time)
	for id := range holders {
		if seen[id] {
			continue
		}
		since, known := c.missing[id]
		if !known {
			since = now
		}
		missing[id] = since
		if now.Sub(since) >= c.s.Absent {
			c.proposeAbsent(id)
			missing[id] = now
		}
	}
	c.missing = missing
}

func (c *Controller) proposeAbsent(id entryID) {
	c.s.Log.Warn().Str("entry", id.name).Uint64("epoch", id.epoch).Msg("entry is absent")
	cmd := &wire.Command{
		Id:     fmt.Sprintf("absent/%s/%d/%d", id.name, id.epoch, c.applied),
		Who:    "control",
		Expect: -1,
		Body:   &wire.Command_Absent{Absent: &wire.Absent{Entry: id.name, Epoch: id.epoch}},
	}
	if _, _, err := c.append(cmd, nil); err != nil {
		c.s.Log.Warn().Str("entry", id.name).Err(err).Msg("absence not proposed")
	}
}
