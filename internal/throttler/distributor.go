package throttler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// entryTimeout is how long an entry without a report keeps what it was granted.
	entryTimeout = 3 * time.Second
	// endTime is how long the end of a limit is announced.
	endTime = 5 * time.Second
	// idleTime is how long a limit is kept that no entry reports.
	idleTime = time.Minute
	// maxServers limits the servers with a limit that are remembered.
	maxServers = 4096
	// unusedMargin is the number of granted and unused requests that all entries together may
	// have in addition to those of a second. An entry needs a whole one to send anything.
	unusedMargin = 2
	// reclaimRatio is how many times as much an entry must want a request as the one that
	// holds it, to get it instead.
	reclaimRatio = 4
	// burstTime is the time for which a limit accumulates.
	burstTime = 500 * time.Millisecond
)

// entryID identifies one run of an entry process.
type entryID struct {
	name  string
	epoch uint64
}

// Distributor grants the requests that servers with a limit take to the entries, by their
// demand. It is not safe for concurrent use.
type Distributor struct {
	servers map[string]*account
}

// account is the limit of one server over all entries.
type account struct {
	limit    float64
	heardAt  time.Time
	reported time.Time
	level    float64 // requests that can be granted; negative if too many were sent
	refilled time.Time
	entries  map[entryID]*entryAccount
}

// entryAccount is the part of one entry.
type entryAccount struct {
	granted, used, demand float64
	reported              time.Time
	credit                float64 // in the order of the next grants
}

// NewDistributor returns a distributor that knows no limits.
func NewDistributor() *Distributor { return &Distributor{servers: make(map[string]*account)} }

// Active reports whether any server limits its requests.
func (d *Distributor) Active() bool { return len(d.servers) > 0 }

// Distribute processes what entries have reported and returns the grants for the same
// entries, in the same order.
func (d *Distributor) Distribute(now time.Time, reports []*wire.Quota) [][]*wire.RequestGrant {
	for _, r := range reports {
		for _, u := range r.GetThrottles() {
			d.record(now, entryID{r.GetEntry(), r.GetEpoch()}, u)
		}
	}
	names := make([]string, 0, len(d.servers))
	for name, a := range d.servers {
		a.dropAbsent(now)
		if a.limit == 0 && now.Sub(a.heardAt) > endTime || now.Sub(a.reported) > idleTime {
			delete(d.servers, name)

			continue
		}
		a.grant(now)
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(d.servers[y].heardAt.Compare(d.servers[x].heardAt), cmp.Compare(x, y))
	})
	out := make([][]*wire.RequestGrant, len(reports))
	for i, r := range reports {
		out[i] = d.grantsOf(now, entryID{r.GetEntry(), r.GetEpoch()}, names)
	}

	return out
}

// record processes the report of one entry on one server.
func (d *Distributor) record(now time.Time, id entryID, u *wire.Throttle) {
	if !isValidAmount(u.GetLimit()) || !isValidAmount(u.GetDemand()) || !isValidAmount(u.GetUsed()) ||
		!isValidAmount(u.GetGranted()) || u.GetAge() < 0 {
		return
	}
	heardAt := now.Add(-ageOf(u.GetAge()))
	a := d.servers[u.GetServer()]
	if a == nil {
		if u.GetLimit() == 0 || len(d.servers) >= maxServers {
			return
		}
		a = &account{refilled: now, entries: make(map[entryID]*entryAccount)}
		d.servers[u.GetServer()] = a
	}
	a.reported = now
	if heardAt.After(a.heardAt) {
		a.limit, a.heardAt = u.GetLimit(), heardAt
	}
	e := a.entries[id]
	if e == nil {
		// The entry may have been granted requests by another leader.
		e = &entryAccount{granted: max(u.GetGranted(), u.GetUsed())}
		a.entries[id] = e
	}
	if excess := u.GetUsed() - e.granted; excess > 0 {
		a.level -= excess
		e.granted = u.GetUsed()
	}
	e.used, e.demand, e.reported = u.GetUsed(), u.GetDemand(), now
}

// dropAbsent forgets the entries that no longer report the server.
func (a *account) dropAbsent(now time.Time) {
	for id, e := range a.entries {
		if now.Sub(e.reported) > entryTimeout {
			delete(a.entries, id)
		}
	}
}

// grant hands out what the limit allows. The requests that entries could send at any moment
// are bounded, since all of them may do so at once.
func (a *account) grant(now time.Time) {
	a.level += a.limit * now.Sub(a.refilled).Seconds()
	a.level = max(min(a.level, max(a.limit*burstTime.Seconds(), 1)), -a.limit)
	a.refilled = now
	room, demand := a.limit+unusedMargin, 0.0
	ids := make([]entryID, 0, len(a.entries))
	for id, e := range a.entries {
		room -= e.granted - e.used
		demand += e.demand
		ids = append(ids, id)
	}
	if demand == 0 || a.limit == 0 {
		return
	}
	slices.SortFunc(ids, func(x, y entryID) int {
		return cmp.Or(cmp.Compare(x.name, y.name), cmp.Compare(x.epoch, y.epoch))
	})
	for a.level >= 1 && room < 1 && a.reclaim() {
		room++
	}
	for number := math.Floor(min(a.level, room)); number >= 1; {
		share := 1.0
		if number > float64(2*len(ids)) {
			share = math.Floor(number / float64(len(ids)))
		}
		next := a.next(ids, demand, share)
		if next == nil {
			return
		}
		next.granted += share
		a.level -= share
		number -= share
	}
}

// reclaim takes one request back from the entry that wants it least, if another one wants it
// clearly more.
func (a *account) reclaim() bool {
	var holder *entryAccount
	least, most := math.Inf(1), 0.0
	for _, e := range a.entries {
		unused := e.granted - e.used
		if want := e.demand / unused; unused >= 1 && want < least {
			holder, least = e, want
		}
		most = max(most, e.demand/(max(unused, 0)+1))
	}
	if holder == nil || most <= reclaimRatio*least {
		return false
	}
	holder.granted--
	a.level++

	return true
}

// next returns the entry that is granted the next requests, or nil if none can use them. It
// is chosen by smooth weighted round robin.
func (a *account) next(ids []entryID, demand, requests float64) *entryAccount {
	var best *entryAccount
	for _, id := range ids {
		e := a.entries[id]
		if part := e.demand / demand; e.demand == 0 || e.granted-e.used >= max(1, part*(a.limit+unusedMargin)) {
			continue
		}
		e.credit += requests * e.demand / demand
		if best == nil || e.credit > best.credit {
			best = e
		}
	}
	if best != nil {
		best.credit -= requests
	}

	return best
}

// grantsOf returns the grants of one entry: first the servers that it has reported, then
// those that it may not know yet.
func (d *Distributor) grantsOf(now time.Time, id entryID, names []string) []*wire.RequestGrant {
	var own, others []*wire.RequestGrant
	for _, name := range names {
		a := d.servers[name]
		g := &wire.RequestGrant{Server: name, Limit: a.limit, Age: now.Sub(a.heardAt).Milliseconds()}
		if e := a.entries[id]; e != nil {
			g.Granted = e.granted
			own = append(own, g)
		} else {
			g.Unknown = true
			others = append(others, g)
		}
	}
	own = append(own, others...)

	return own[:min(len(own), maxReported)]
}
