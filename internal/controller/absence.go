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
	// absenceInterval is how often the leader checks that the entry processes with
	// running claims are still attached.
	absenceInterval     = time.Second
	processQueryTimeout = time.Second
)

// entryID identifies one run of an entry process: its name and epoch.
type entryID struct {
	name  string
	epoch uint64
}

// queryProcesses returns the processes attached to all control hosts. Hosts that do
// not answer are left out.
func (c *Controller) queryProcesses(ctx context.Context, q *wire.Census) *wire.Count {
	sum := c.attachments.count(q, c.s.Number)
	var members *wire.Members
	c.do(func() { members = c.members })
	for _, r := range c.requestFromOthers(ctx, members, processQueryTimeout, &wire.Request{Body: &wire.Request_Census{Census: q}}) {
		n := r.GetCount()
		sum.Force += n.GetForce()
		sum.Known += n.GetKnown()
		sum.Entries = append(sum.Entries, n.GetEntries()...)
	}

	return sum
}

// requestFromOthers sends a request to all other control hosts concurrently and
// returns the responses. Hosts that do not answer in time are left out.
func (c *Controller) requestFromOthers(ctx context.Context, members *wire.Members, wait time.Duration, r *wire.Request) []*wire.Response {
	answers := make(chan *wire.Response)
	others := 0
	for _, m := range slices.Concat(members.GetVoters(), members.GetLearners()) {
		if m.GetId() == c.self.GetId() {
			continue
		}
		others++
		go func() {
			bounded, cancel := c.withTimeout(ctx, wait)
			defer cancel()
			response, err := c.links.call(bounded, m.GetAddr(), r)
			if err != nil {
				c.s.Log.Debug().Str("addr", m.GetAddr()).Err(err).Msg("request to control host failed")
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

// checkAbsence runs in the event loop. On the leader it checks whether each entry
// process with running claims is attached to any control host.
func (c *Controller) checkAbsence() {
	if c.core.Status().Role != replicator.Leader {
		c.detachedSince = nil

		return
	}
	if c.checkingAbsence {
		return
	}
	claimHolders := c.claimHolders()
	if len(claimHolders) == 0 {
		c.detachedSince = nil

		return
	}
	c.checkingAbsence = true
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		sum := c.queryProcesses(c.ctx, &wire.Census{})
		c.do(func() {
			c.checkingAbsence = false
			c.updateAbsence(claimHolders, sum)
		})
	}()
}

// claimHolders returns the entry processes that hold running claims.
func (c *Controller) claimHolders() map[entryID]bool {
	table, err := c.state.Query(&wire.Query{
		Subject: "claims",
		Filters: []*wire.Filter{{Field: "stage", Op: "=", Value: "running"}},
	})
	if err != nil {
		c.s.Log.Warn().Err(err).Msg("failed to read claims")

		return nil
	}
	name, epoch := slices.Index(table.GetColumns(), "entry"), slices.Index(table.GetColumns(), "epoch")
	claimHolders := make(map[entryID]bool)
	for _, r := range table.GetRows() {
		if name < 0 || epoch < 0 || len(r.GetCells()) <= max(name, epoch) {
			return nil
		}
		n, err := strconv.ParseUint(r.GetCells()[epoch], 10, 64)
		if err != nil {
			continue
		}
		claimHolders[entryID{r.GetCells()[name], n}] = true
	}

	return claimHolders
}

// updateAbsence runs in the event loop. It proposes the absence of an entry process
// that has been detached for AbsentTimeout. A new leader counts from its own first
// query, so an entry process that is briefly attached to no host keeps its claims.
func (c *Controller) updateAbsence(claimHolders map[entryID]bool, sum *wire.Count) {
	now := c.s.Timer.Now()
	seen := make(map[entryID]bool)
	for _, p := range sum.GetEntries() {
		seen[entryID{p.GetName(), p.GetEpoch()}] = true
	}
	detachedSince := make(map[entryID]time.Time)
	for id := range claimHolders {
		if seen[id] {
			continue
		}
		since, known := c.detachedSince[id]
		if !known {
			since = now
		}
		detachedSince[id] = since
		if now.Sub(since) >= c.s.AbsentTimeout {
			c.proposeAbsent(id)
			detachedSince[id] = now
		}
	}
	c.detachedSince = detachedSince
}

func (c *Controller) proposeAbsent(id entryID) {
	c.s.Log.Warn().Str("entry", id.name).Uint64("epoch", id.epoch).Msg("entry process is absent; declaring its claims lost")
	cmd := &wire.Command{
		Id:     fmt.Sprintf("absent/%s/%d/%d", id.name, id.epoch, c.applied),
		Who:    "control",
		Expect: -1,
		Body:   &wire.Command_Absent{Absent: &wire.Absent{Entry: id.name, Epoch: id.epoch}},
	}
	if _, _, err := c.appendCommand(cmd, nil); err != nil {
		c.s.Log.Warn().Str("entry", id.name).Err(err).Msg("failed to propose absence of entry process")
	}
}
