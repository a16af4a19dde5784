package registrar

import (
	"container/heap"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// defaultRetention is how long a claim is kept if its service sets no retention.
	defaultRetention = 24 * time.Hour
	// absentTTL is how long claims of an absent entry process are refused. A claim in
	// transit when its entry was declared absent arrives within seconds. If it were
	// accepted, nothing would ever end it.
	absentTTL = time.Minute
	// releasedTTL is how long a release that arrived before its claim is kept.
	releasedTTL = 10 * time.Minute
	// maxExpired limits the number of expired claims that one command removes.
	maxExpired = 256
)

// incarnation is one start of an entry process.
type incarnation struct {
	entry string
	epoch uint64
}

// claims holds the idempotency keys of calls to non-idempotent methods. The claim of a
// key ensures that its call is dispatched only once.
type claims struct {
	byKey          map[string]*wire.Held
	expiry         expiryHeap
	running        map[incarnation]map[string]struct{} // keys of running claims
	current        map[string]incarnation              // registered entry processes by name
	declaredAbsent map[incarnation]int64               // when, in Unix milliseconds
}

func newClaims() claims {
	return claims{
		byKey: make(map[string]*wire.Held), running: make(map[incarnation]map[string]struct{}),
		current: make(map[string]incarnation), declaredAbsent: make(map[incarnation]int64),
	}
}

// live returns the claim of a key unless it has expired at the time of the command.
func (c *claims) live(now time.Time, key string) *wire.Held {
	h := c.byKey[key]
	if h == nil || h.GetUntil() <= now.UnixMilli() {
		return nil
	}

	return h
}

// claim claims a key if it is free. If Fresh is set in the result, the caller now holds
// the key and must dispatch the call. Otherwise Stage and Answer describe the call that
// holds the key. Using the key for another body is a conflict.
func (c *claims) claim(now time.Time, m *wire.Claim) *wire.Result {
	if m.GetKey() == "" || m.GetRequest() == "" {
		return invalid("a claim needs a key and a request")
	}
	if m.GetRetention() < 0 || m.GetRetention() > int64(maxRetention/time.Second) {
		return invalid("the retention of a claim must be from 0 to %s", maxRetention)
	}
	if h := c.live(now, m.GetKey()); h != nil {
		if h.GetStage() != wire.Stage_STAGE_FREE {
			return heldResult(h, m)
		}
		if h.GetRequest() == m.GetRequest() {
			return refused("request %s was released before its claim arrived", m.GetRequest())
		}
	}
	if _, declaredAbsent := c.declaredAbsent[incarnation{m.GetEntry(), m.GetEpoch()}]; declaredAbsent {
		return refused("entry %s was reported absent", m.GetEntry())
	}
	retention := defaultRetention
	if m.GetRetention() > 0 {
		retention = time.Duration(m.GetRetention()) * time.Second
	}
	c.store(&wire.Held{
		Key: m.GetKey(), Digest: m.GetDigest(), Entry: m.GetEntry(), Epoch: m.GetEpoch(),
		Request: m.GetRequest(), Stage: wire.Stage_STAGE_RUNNING, Until: now.Add(retention).UnixMilli(),
	})
	res := done("claimed")
	res.Stage, res.Fresh = wire.Stage_STAGE_RUNNING, true

	return res
}

// heldResult returns the result of a claim m of a key that is held already.
func heldResult(h *wire.Held, m *wire.Claim) *wire.Result {
	if h.GetDigest() != m.GetDigest() {
		return conflict("key %s is in use for another call", m.GetKey())
	}
	res := done("the call was claimed before")
	res.Stage, res.Answer = h.GetStage(), h.GetAnswer()

	return res
}

// settle records the end of a call. Only the request that holds the key may settle it.
// A lost claim may still be settled, because its holder knows how the call ended.
func (c *claims) settle(now time.Time, m *wire.Settle) *wire.Result {
	stage := m.GetStage()
	switch stage {
	case wire.Stage_STAGE_DONE, wire.Stage_STAGE_LOST, wire.Stage_STAGE_FREE:
	default:
		return invalid("a claim cannot be settled as %s", stage)
	}
	if m.GetKey() == "" || m.GetRequest() == "" {
		return invalid("a settlement needs a key and a request")
	}
	h := c.live(now, m.GetKey())
	if h == nil || h.GetStage() == wire.Stage_STAGE_FREE {
		return c.settleUnknown(now, m)
	}
	if h.GetRequest() != m.GetRequest() {
		return refused("key %s is held by another request", m.GetKey())
	}
	if h.GetStage() == wire.Stage_STAGE_DONE {
		if stage != wire.Stage_STAGE_DONE {
			return refused("the call of key %s is done", m.GetKey())
		}
		res := done("the call was settled before")
		res.Stage, res.Answer = h.GetStage(), h.GetAnswer()

		return res
	}
	c.removeRunning(h)
	res := done("settled")
	res.Stage = stage
	if stage == wire.Stage_STAGE_FREE {
		delete(c.byKey, h.GetKey())

		return res
	}
	next := withStage(h, stage)
	if stage == wire.Stage_STAGE_DONE {
		next.Answer = m.GetAnswer()
	}
	c.byKey[h.GetKey()] = next

	return res
}

// withStage returns a copy of a claim with another stage. The original must not be
// modified, because a captured snapshot may still refer to it.
func withStage(h *wire.Held, stage wire.Stage) *wire.Held {
	return &wire.Held{
		Key: h.GetKey(), Digest: h.GetDigest(), Entry: h.GetEntry(), Epoch: h.GetEpoch(),
		Request: h.GetRequest(), Until: h.GetUntil(), Stage: stage,
	}
}

// settleUnknown settles a key without a claim. An entry that gave up waiting for its
// claim releases it. If the claim is applied only after the release, it must not hold
// the key, so the release is stored.
func (c *claims) settleUnknown(now time.Time, m *wire.Settle) *wire.Result {
	if m.GetStage() != wire.Stage_STAGE_FREE {
		return refused("key %s is not claimed", m.GetKey())
	}
	c.store(&wire.Held{
		Key: m.GetKey(), Request: m.GetRequest(), Stage: wire.Stage_STAGE_FREE,
		Until: now.Add(releasedTTL).UnixMilli(),
	})
	res := done("key %s is free", m.GetKey())
	res.Stage = wire.Stage_STAGE_FREE

	return res
}

// store stores a claim and schedules its expiry.
func (c *claims) store(h *wire.Held) {
	if old := c.byKey[h.GetKey()]; old != nil {
		c.removeRunning(old)
	}
	c.byKey[h.GetKey()] = h
	heap.Push(&c.expiry, expiry{h.GetUntil(), h.GetKey()})
	if h.GetStage() != wire.Stage_STAGE_RUNNING {
		return
	}
	s := incarnation{h.GetEntry(), h.GetEpoch()}
	if c.running[s] == nil {
		c.running[s] = make(map[string]struct{})
	}
	c.running[s][h.GetKey()] = struct{}{}
}

// removeRunning removes a claim from the running claims of its entry process.
func (c *claims) removeRunning(h *wire.Held) {
	s := incarnation{h.GetEntry(), h.GetEpoch()}
	delete(c.running[s], h.GetKey())
	if len(c.running[s]) == 0 {
		delete(c.running, s)
	}
}

// markAbsent sets the running claims of one start of an entry process to lost.
func (c *claims) markAbsent(now time.Time, entry string, epoch uint64) *wire.Result {
	if entry == "" {
		return invalid("the absent entry has no name")
	}
	s := incarnation{entry, epoch}
	lost := len(c.running[s])
	for key := range c.running[s] {
		c.byKey[key] = withStage(c.byKey[key], wire.Stage_STAGE_LOST)
	}
	delete(c.running, s)
	c.declaredAbsent[s] = now.UnixMilli()
	if c.current[entry] == s {
		delete(c.current, entry)
	}

	return done("%d running claims are lost", lost)
}

// markPresent records the start of an entry process. An earlier start of it becomes
// absent.
func (c *claims) markPresent(now time.Time, entry string, epoch uint64) *wire.Result {
	s := incarnation{entry, epoch}
	old, known := c.current[entry]
	if known && old != s {
		c.markAbsent(now, entry, old.epoch)
	}
	delete(c.declaredAbsent, s)
	c.current[entry] = s

	return done("entry %s is registered", entry)
}

// removeExpired removes expired claims and old absences. Expired claims are popped in
// an order that depends only on their contents, so that all replicas agree, also those
// restored from a snapshot.
func (c *claims) removeExpired(now time.Time) {
	limit := now.UnixMilli()
	for n := 0; n < maxExpired && len(c.expiry) > 0 && c.expiry[0].until <= limit; {
		next, _ := heap.Pop(&c.expiry).(expiry)
		if h := c.byKey[next.key]; h != nil && h.GetUntil() == next.until {
			c.removeRunning(h)
			delete(c.byKey, next.key)
			n++
		}
	}
	for s, at := range c.declaredAbsent {
		if at <= now.Add(-absentTTL).UnixMilli() {
			delete(c.declaredAbsent, s)
		}
	}
}

// expiry is the time in Unix milliseconds when the claim of a key expires.
type expiry struct {
	until int64
	key   string
}

// expiryHeap is a heap ordered by time, then key. It implements heap.Interface.
type expiryHeap []expiry

func (e expiryHeap) Len() int { return len(e) }

func (e expiryHeap) Less(a, b int) bool {
	if e[a].until == e[b].until {
		return e[a].key < e[b].key
	}

	return e[a].until < e[b].until
}

func (e expiryHeap) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	item, _ := x.(expiry)
	*e = append(*e, item)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}
