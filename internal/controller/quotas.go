package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/limiter"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// quotaInterval is how often the leader divides the customers' rates among entries.
	quotaInterval = 200 * time.Millisecond
	// quotaTimeout bounds one exchange with another control host.
	quotaTimeout = 300 * time.Millisecond
	// quotaAge is how old what the leader has told may get: three rounds.
	quotaAge = 600 * time.Millisecond
)

// quotas holds what the leader has last told the entries of this host.
type quotas struct {
	mu    sync.Mutex
	told  time.Time // zero if nothing was told
	parts map[entryID][]*wire.Allotment
}

// exchange takes the leader's allotments and returns the usages of the entries that are
// attached here.
func (q *quotas) exchange(now time.Time, attached *attachments, in *wire.Quotas) *wire.Quotas {
	parts := make(map[entryID][]*wire.Allotment, len(in.GetQuotas()))
	for _, x := range in.GetQuotas() {
		parts[entryID{x.GetEntry(), x.GetEpoch()}] = x.GetAllotments()
	}
	if len(parts) > 0 { // a new leader has divided nothing yet
		q.mu.Lock()
		q.told, q.parts = now, parts
		q.mu.Unlock()
	}

	return &wire.Quotas{Quotas: attached.usages()}
}

// allotments returns what an entry may admit, and whether the leader has told so lately.
func (q *quotas) allotments(now time.Time, id entryID) ([]*wire.Allotment, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.told.IsZero() || now.Sub(q.told) > quotaAge {
		return nil, false
	}

	return q.parts[id], true
}

// usages returns what the attached entries have reported.
func (d *attachments) usages() []*wire.Quota {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.Quota
	for s := range d.all {
		if s.attach.GetRole() == entryRole {
			out = append(out, &wire.Quota{Entry: s.attach.GetName(), Epoch: s.attach.GetEpoch(), Usages: s.usages})
		}
	}

	return out
}

// divide runs in the event loop. The leader tells the other hosts what it divided in the
// round before, collects what was used, and divides again.
func (c *Controller) divide() {
	if c.core.Status().Role != replicator.Leader {
		c.limits, c.allotted = nil, nil

		return
	}
	customers := c.state.Plan().GetCustomers()
	limited := slices.ContainsFunc(customers, func(x *wire.Customer) bool { return x.GetRate() > 0 })
	if c.dividing || !limited {
		return
	}
	if c.limits == nil {
		c.limits = limiter.NewAllocator()
	}
	c.dividing = true
	limits, allotted, entries, members := c.limits, c.allotted, c.state.Entries(), c.members
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		reports := c.exchangeQuotas(c.ctx, members, allotted)
		next := limits.Allocate(c.s.Timer.Now(), customers, entries, reports)
		c.do(func() {
			c.dividing = false
			if c.limits == limits {
				c.allotted = next
			}
		})
	}()
}

// exchangeQuotas gives every control host its allotments and returns the usages of all.
// Hosts that do not answer are left out.
func (c *Controller) exchangeQuotas(ctx context.Context, members *wire.Members, allotted []*wire.Quota) []*wire.Quota {
	out := &wire.Quotas{Quotas: allotted}
	own := c.quotas.exchange(c.s.Timer.Now(), c.attachments, out)
	reports := own.GetQuotas()
	for _, r := range c.askOthers(ctx, members, quotaTimeout, &wire.Request{Body: &wire.Request_Quotas{Quotas: out}}) {
		reports = append(reports, r.GetQuotas().GetQuotas()...)
	}

	return latestQuotas(reports)
}

// latestQuotas leaves one report of each entry: one that has moved to another host may
// still be attached at the old one.
func latestQuotas(reports []*wire.Quota) []*wire.Quota {
	seen := make(map[entryID]*wire.Quota, len(reports))
	for _, r := range reports {
		id := entryID{r.GetEntry(), r.GetEpoch()}
		if old := seen[id]; old == nil || total(old) < total(r) {
			seen[id] = r
		}
	}
	out := make([]*wire.Quota, 0, len(seen))
	for _, r := range seen {
		out = append(out, r)
	}

	return out
}

// total is what an entry has used of all customers. The later of two reports has more.
func total(q *wire.Quota) float64 {
	sum := 0.0
	for _, u := range q.GetUsages() {
		sum += u.GetUsed()
	}

	return sum
}
