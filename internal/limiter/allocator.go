package limiter

import (
	"math"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// balancePeriod is the time in which a customer that has used more or less than its rate
	// is brought back to it.
	balancePeriod = 2 * time.Second
	// maxDebtTime limits the excess that a customer has to make up for to what it can use
	// until the leader notices. Any further excess is within the slack that the entries may
	// use.
	maxDebtTime = 2500 * time.Millisecond
	// openMargin is the factor by which the demand of a customer must stay below its rate so
	// that the rate is not divided among the entries.
	openMargin = 1.3
	// evenShare is the fraction of a rate that is divided evenly among the entries, as far as
	// they ask for it, so that small requests are served beside an entry with large ones.
	evenShare = 0.3
	// idleShare is the fraction of a rate of which each entry gets an equal part even if it
	// asks for nothing, so that it can serve some requests at once when callers move to it.
	idleShare = 0.05
	// minRateFraction is the fraction of its rate that a customer gets even while it makes
	// up for an excess.
	minRateFraction = 0.3
	// maxAmount limits the numbers that an entry may report, so that sums of them stay exact
	// enough.
	maxAmount = 1e15
)

// entryID identifies one run of an entry process.
type entryID struct {
	name  string
	epoch uint64
}

// Allocator divides the rates of customers among entries. It is needed for a customer that
// asks for several times its rate and whose callers are spread over the entries unevenly and
// in changing ways. A customer that asks for less than its rate is not restricted. It is not
// safe for concurrent use.
type Allocator struct {
	accounts map[string]*account
}

// account is the token bucket of one customer over all entries.
type account struct {
	balance    float64 // unused part of the burst; negative if too much was used
	refilled   time.Time
	lastUsages map[entryID]reportedUsage
}

// reportedUsage is the last report of an entry.
type reportedUsage struct {
	at           time.Time
	demand, used float64
}

// NewAllocator returns an allocator without accounts.
func NewAllocator() *Allocator { return &Allocator{accounts: make(map[string]*account)} }

// Allocate processes the usages that entries have reported and returns the allotments for
// the same entries.
func (a *Allocator) Allocate(now time.Time, customers []*wire.Customer, entries int, reports []*wire.Quota) []*wire.Quota {
	out := make([]*wire.Quota, len(reports))
	for i, r := range reports {
		out[i] = &wire.Quota{Entry: r.GetEntry(), Epoch: r.GetEpoch()}
	}
	usages := make(map[string]map[entryID]*wire.Usage)
	for _, r := range reports {
		for _, u := range r.GetUsages() {
			if !isValidAmount(u.GetDemand()) || !isValidAmount(math.Abs(u.GetUsed())) {
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
			acc = &account{refilled: now, lastUsages: make(map[entryID]reportedUsage)}
		}
		kept[c.GetName()] = acc
		acc.addUsages(now, c, usages[c.GetName()])
		acc.allot(c, max(entries, len(reports)), out)
	}
	a.accounts = kept

	return out
}

// isValidAmount reports whether x is in the valid range. A faulty peer may send any number.
func isValidAmount(x float64) bool { return x >= 0 && x <= maxAmount }

// addUsages subtracts what was used since the last report of each entry. The first report of
// an entry only sets the starting point, since the entry may have reported to another leader
// before.
func (a *account) addUsages(now time.Time, c *wire.Customer, usages map[entryID]*wire.Usage) {
	a.balance = min(a.balance+c.GetRate()*now.Sub(a.refilled).Seconds(), c.GetBurst())
	a.refilled = now
	for id, u := range usages {
		if old, known := a.lastUsages[id]; known {
			a.balance -= u.GetUsed() - old.used
		}
		a.lastUsages[id] = reportedUsage{at: now, demand: u.GetDemand(), used: u.GetUsed()}
	}
	a.balance = max(a.balance, -c.GetRate()*maxDebtTime.Seconds())
	for id, u := range a.lastUsages {
		if now.Sub(u.at) > staleTime {
			delete(a.lastUsages, id)
		}
	}
}

// allot adds the allotments of a customer. While the customer asks for less than its rate,
// only entries with demand get one, to use if they lose contact with the control hosts.
func (a *account) allot(c *wire.Customer, entries int, out []*wire.Quota) {
	demand := 0.0
	for _, u := range a.lastUsages {
		demand += u.demand
	}
	allowed := c.GetRate() + a.balance/balancePeriod.Seconds()
	open := allowed >= c.GetRate() && demand*openMargin <= allowed
	total := max(allowed/c.GetRate(), minRateFraction)
	if open {
		// The allotment applies when usage is no longer counted.
		total = 1
	}
	idle := idleShare / float64(max(entries, 1))
	even := a.evenLimit(c.GetRate(), idle, out)
	rest := 1.0
	for _, q := range out {
		rest -= min(max(a.demandOf(q)/c.GetRate(), idle), even)
	}
	for _, q := range out {
		own := a.demandOf(q)
		if open && own == 0 {
			continue
		}
		part := min(max(own/c.GetRate(), idle), even)
		if demand > 0 {
			part += rest * own / demand
		}
		q.Allotments = append(q.Allotments, &wire.Allotment{Customer: c.GetName(), Part: total * part, Open: open})
	}
}

// demandOf returns the demand that an entry has reported.
func (a *account) demandOf(q *wire.Quota) float64 {
	return a.lastUsages[entryID{q.GetEntry(), q.GetEpoch()}].demand
}

// evenLimit returns the largest part that an entry gets of what is divided evenly.
func (a *account) evenLimit(rate, idle float64, out []*wire.Quota) float64 {
	parts := make([]float64, 0, len(out))
	for _, q := range out {
		parts = append(parts, max(a.demandOf(q)/rate, idle))
	}
	slices.Sort(parts)
	left := evenShare
	for i, part := range parts {
		if equal := left / float64(len(parts)-i); part > equal {
			return equal
		}
		left -= part
	}

	return evenShare
}
