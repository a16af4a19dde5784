package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/limiter"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/throttler"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// quotaInterval is how often the leader divides the customers' rates and the requests to
	// servers that limit them among the entries.
	quotaInterval = 200 * time.Millisecond
	// idleQuotaInterval is how often it asks for new limits of servers while there are none.
	idleQuotaInterval = time.Second
	// quotaTimeout bounds one quota exchange with another control host.
	quotaTimeout = 300 * time.Millisecond
	// maxQuotaAge is the age after which allotments expire: three rounds.
	maxQuotaAge = 600 * time.Millisecond
)

// quotas holds the allotments last received from the leader for the entries of this host.
type quotas struct {
	mu         sync.Mutex
	receivedAt time.Time // zero if nothing was received
	byEntry    map[entryID]*wire.Quota
}

// exchange stores the leader's allotments and returns the usages reported by the entries
// attached to this host.
func (q *quotas) exchange(now time.Time, attached *attachments, in *wire.Quotas) *wire.Quotas {
	byEntry := make(map[entryID]*wire.Quota, len(in.GetQuotas()))
	for _, x := range in.GetQuotas() {
		byEntry[entryID{x.GetEntry(), x.GetEpoch()}] = x
	}
	if len(byEntry) > 0 { // a new leader has not computed allotments yet
		q.mu.Lock()
		q.receivedAt, q.byEntry = now, byEntry
		q.mu.Unlock()
	}

	return &wire.Quotas{Quotas: attached.usages(now)}
}

// ofEntry returns the allotments and grants of an entry, which may be empty, or nil if they
// are not recent.
func (q *quotas) ofEntry(now time.Time, id entryID) *wire.Quota {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.receivedAt.IsZero() || now.Sub(q.receivedAt) > maxQuotaAge {
		return nil
	}
	if out := q.byEntry[id]; out != nil {
		return out
	}

	return &wire.Quota{}
}

// usages returns what the attached entries have last reported.
func (d *attachments) usages(now time.Time) []*wire.Quota {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.Quota
	for s := range d.processes {
		if s.attach.GetRole() == entryRole {
			out = append(out, &wire.Quota{
				Entry: s.attach.GetName(), Epoch: s.attach.GetEpoch(), Usages: s.usages, Throttles: s.throttlesAt(now),
			})
		}
	}

	return out
}

// throttlesAt returns the last reported throttles with their present ages.
func (s *attachment) throttlesAt(now time.Time) []*wire.Throttle {
	out := make([]*wire.Throttle, 0, len(s.throttles))
	for _, x := range s.throttles {
		out = append(out, &wire.Throttle{
			Server: x.GetServer(), Limit: x.GetLimit(), Age: x.GetAge() + max(now.Sub(s.throttledAt), 0).Milliseconds(),
			Demand: x.GetDemand(), Used: x.GetUsed(), Granted: x.GetGranted(),
		})
	}

	return out
}

// allocateQuotas runs in the event loop. On the leader it sends the allotments and grants of
// the previous round to the other hosts, collects what entries have used, and computes new
// ones.
func (c *Controller) allocateQuotas() {
	if c.core.Status().Role != replicator.Leader {
		c.allocator, c.distributor, c.allotments = nil, nil, nil

		return
	}
	customers := c.state.Plan().GetCustomers()
	limited := slices.ContainsFunc(customers, func(x *wire.Customer) bool { return x.GetRate() > 0 })
	if c.allocator == nil {
		c.allocator, c.distributor = limiter.NewAllocator(), throttler.NewDistributor()
	}
	now := c.s.Timer.Now()
	if c.allocating || !limited && !c.distributor.Active() && now.Sub(c.allocatedAt) < idleQuotaInterval {
		return
	}
	c.allocating, c.allocatedAt = true, now
	allocator, distributor, allotments, entries, members := c.allocator, c.distributor, c.allotments, c.state.Entries(), c.members
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		reports := c.exchangeQuotas(c.ctx, members, allotments)
		next := allocator.Allocate(c.s.Timer.Now(), customers, entries, reports)
		for i, grants := range distributor.Distribute(c.s.Timer.Now(), reports) {
			next[i].Grants = grants
		}
		c.do(func() {
			c.allocating = false
			if c.allocator == allocator {
				c.allotments = next
			}
		})
	}()
}

// exchangeQuotas sends the allotments to every control host and returns the usages
// collected from all of them. Hosts that do not answer are left out.
func (c *Controller) exchangeQuotas(ctx context.Context, members *wire.Members, allotments []*wire.Quota) []*wire.Quota {
	out := &wire.Quotas{Quotas: allotments}
	own := c.quotas.exchange(c.s.Timer.Now(), c.attachments, out)
	reports := own.GetQuotas()
	for _, r := range c.requestFromOthers(ctx, members, quotaTimeout, &wire.Request{Body: &wire.Request_Quotas{Quotas: out}}) {
		reports = append(reports, r.GetQuotas().GetQuotas()...)
	}

	return latestQuotas(reports)
}

// latestQuotas keeps only the latest report of each entry, because an entry that has moved
// to another host may still be attached to the old one.
func latestQuotas(reports []*wire.Quota) []*wire.Quota {
	seen := make(map[entryID]*wire.Quota, len(reports))
	for _, r := range reports {
		id := entryID{r.GetEntry(), r.GetEpoch()}
		if old := seen[id]; old == nil || totalUsed(old) < totalUsed(r) {
			seen[id] = r
		}
	}
	out := make([]*wire.Quota, 0, len(seen))
	for _, r := range seen {
		out = append(out, r)
	}

	return out
}

// totalUsed returns an entry's usage summed over all customers and servers. Usage
// accumulates, apart from refunds, so the report with the higher total is taken for the later one.
func totalUsed(q *wire.Quota) float64 {
	sum := 0.0
	for _, u := range q.GetUsages() {
		sum += u.GetUsed()
	}
	for _, u := range q.GetThrottles() {
		sum += u.GetUsed()
	}

	return sum
}
