package limiter

import (
	"math"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// balanceTime is the time in which a customer that has used more or less than its
	// rate is brought back to it.
	balanceTime = 2 * time.Second
	// debtTime bounds what a customer has to make up for: what it uses until the leader
	// notices. Beyond that lies the slack of the entries, which is theirs to use.
	debtTime = 1500 * time.Millisecond
	// openMargin is how far the demand of a customer must stay below its rate so that
	// nothing is divided.
	openMargin = 1.3
	// evenPart is the part of a rate that is divided evenly among the entries, so that
	// each can serve some requests at once when callers come there.
	evenPart = 0.2
	// leastRate is the part of its rate that a customer gets even while it makes up.
	leastRate = 0.1
	// maxAmount bounds what an entry may report: sums of such numbers stay exact enough.
	maxAmount = 1e15
)

// entryID is one start of an entry process.
type entryID struct {
	name  string
	epoch uint64
}

// Allocator divides the rates of customers among entries. It answers the load of a
// customer that asks for several times its rate, whose callers are spread unevenly and
// change, and leaves those alone that ask for less. It is not safe for concurrent use.
type Allocator struct {
	accounts map[string]*account
}

// account is the bucket of one customer over all entries.
type account struct {
	level  float64 // of the burst; negative if too much was used
	filled time.Time
	seen   map[entryID]usage
}

// usage is the last that an entry has reported.
type usage struct {
	at           time.Time
	demand, used float64
}

// NewAllocator returns an allocator that knows of no usage.
func NewAllocator() *Allocator { return &Allocator{accounts: make(map[string]*account)} }

// Allocate takes the usages that entries have reported and returns the allotments of the
// same entries.
func (a *Allocator) Allocate(now time.Time, customers []*wire.Customer, entries int, reports []*wire.Quota) []*wire.Quota {
	out := make([]*wire.Quota, len(reports))
	for i, r := range reports {
		out[i] = &wire.Quota{Entry: r.GetEntry(), Epoch: r.GetEpoch()}
	}
	usages := make(map[string]map[entryID]*wire.Usage)
	for _, r := range reports {
		for _, u := range r.GetUsages() {
			if !isAmount(u.GetDemand()) || !isAmount(math.Abs(u.GetUsed())) {
				continue
			}
			if usages[u.GetCustomer()] == nil {
				usages[u.GetCustomer()] = make(map[entryID]*wire.Usage)
			}
			usages[u.GetCustomer()][entryID{r.GetEntry(), r.GetEpoch()}] = u
		}
	}
	kept := make(map[string]*account, len(customers))
	for _, c := range customers {
		if c.GetRate() <= 0 {
			continue
		}
		acc := a.accounts[c.GetName()]
		if acc == nil {
			acc = &account{filled: now, seen: make(map[entryID]usage)}
		}
		kept[c.GetName()] = acc
		acc.report(now, c, usages[c.GetName()])
		acc.divide(c, max(entries, len(reports)), out)
	}
	a.accounts = kept

	return out
}

// isAmount tells a number that can be counted from what a faulty peer may send.
func isAmount(x float64) bool { return x >= 0 && x <= maxAmount }

// report counts what was used since the last report of each entry. The first one of an
// entry only says where it stands: it may have reported to another leader before.
func (a *account) report(now time.Time, c *wire.Customer, usages map[entryID]*wire.Usage) {
	a.level = min(a.level+c.GetRate()*now.Sub(a.filled).Seconds(), c.GetBurst())
	a.filled = now
	for id, u := range usages {
		if old, known := a.seen[id]; known {
			a.level -= u.GetUsed() - old.used
		}
		a.seen[id] = usage{at: now, demand: u.GetDemand(), used: u.GetUsed()}
	}
	a.level = max(a.level, -c.GetRate()*debtTime.Seconds())
	for id, u := range a.seen {
		if now.Sub(u.at) > staleTime {
			delete(a.seen, id)
		}
	}
}

// divide adds the allotments of a customer. While it asks for less than its rate, only
// entries where it asks get one, for the time in which nobody can tell them more.
func (a *account) divide(c *wire.Customer, entries int, out []*wire.Quota) {
	demand := 0.0
	for _, u := range a.seen {
		demand += u.demand
	}
	allowed := c.GetRate() + a.level/balanceTime.Seconds()
	open := allowed >= c.GetRate() && demand*openMargin <= allowed
	total := max(allowed/c.GetRate(), leastRate)
	if open {
		// It holds when nobody counts what is used any more.
		total = 1
	}
	for _, q := range out {
		part := evenPart / float64(max(entries, 1))
		own := a.seen[entryID{q.GetEntry(), q.GetEpoch()}].demand
		if open && own == 0 {
			continue
		}
		if demand > 0 {
			part += (1 - evenPart) * own / demand
		}
		q.Allotments = append(q.Allotments, &wire.Allotment{Customer: c.GetName(), Part: total * part, Open: open})
	}
}
