package registrar

import (
	"container/heap"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// defaultRetention is how long a claim is kept if its service says nothing.
	defaultRetention = 24 * time.Hour
	// absentMark is how long claims of an absent entry process are refused. A
	// claim that was under way when its entry was declared absent is stored
	// within seconds; without the mark nothing would ever end it.
	absentMark = time.Minute
	// releasedMark is how long a release that came before its claim is kept.
	releasedMark = 10 * time.Minute
	// maxSwept bounds the work that one command does for expired claims.
	maxSwept = 256
)

// start is one start of an entry process.
type start struct {
	entry string
	epoch uint64
}

// claims holds the keys of non-idempotent calls.
type claims struct {
	byKey   map[string]*wire.Held
	expiry  expiries
	running map[start]map[string]struct{} // keys
	current map[string]start              // registered entry processes
	gone    map[start]int64               // absent ones: when, Unix milliseconds
}

func newClaims() claims {
	return claims{
		byKey: make(map[string]*wire.Held), running: make(map[start]map[string]struct{}),
		current: make(map[string]start), gone: make(map[start]int64),
	}
}

// live returns the claim of a key that has not expired at the command's time.
func (c *claims) live(now time.Time, name string) *wire.Held {
	h := c.byKey[name]
	if h == nil || h.GetUntil() <= now.UnixMilli() {
		return nil
	}

	return h
}

// claim takes a free key. Fresh in the result says that the caller holds it now
// and must dispatch the call; otherwise stage and answer tell what became of the
// call that holds it. A key in use for another body is a conflict.
func (c *claims) claim(now time.Time, m *wire.Claim) *wire.Result {
	if m.GetKey() == "" || m.GetRequest() == "" {
		return invalid("a claim needs a key and a request")
	}
	if m.GetRetention() < 0 || m.GetRetention() > int64(maxRetention/time.Second) {
		return invalid("the retention of a claim must be from 0 to %s", maxRetention)
	}
	if h := c.live(now, m.GetKey()); h != nil {
		if h.GetStage() != wire.Stage_STAGE_FREE {
			return held(h, m)
		}
		if h.GetRequest() == m.GetRequest() {
			return refused("request %s was released before its claim arrived", m.GetRequest())
		}
	}
	if _, gone := c.gone[start{m.GetEntry(), m.GetEpoch()}]; gone {
		return refused("entry %s was reported absent", m.GetEntry())
	}
	retention := defaultRetention
	if m.GetRetention() > 0 {
		retention = time.Duration(m.GetRetention()) * time.Second
	}
	c.set(&wire.Held{
		Key: m.GetKey(), Digest: m.GetDigest(), Entry: m.GetEntry(), Epoch: m.GetEpoch(),
		Request: m.GetRequest(), Stage: wire.Stage_STAGE_RUNNING, Until: now.Add(retention).UnixMilli(),
	})
	res := done("claimed")
	res.Stage, res.Fresh = wire.Stage_STAGE_RUNNING, true

	return res
}

func held(h *wire.Held, m *wire.Claim) *wire.Result {
	if h.GetDigest() != m.GetDigest() {
		return conflict("key %s is in use for another call", m.GetKey())
	}
	res := done("the call was claimed before")
	res.Stage, res.Answer = h.GetStage(), h.GetAnswer()

	return res
}

// settle records the end of a call. Only the request that holds the key may
// settle it. A lost claim may still be settled: its holder knows better.
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
	c.unlist(h)
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

// withStage returns a copy, because a captured snapshot may still hold the claim.
func withStage(h *wire.Held, stage wire.Stage) *wire.Held {
	return &wire.Held{
		Key: h.GetKey(), Digest: h.GetDigest(), Entry: h.GetEntry(), Epoch: h.GetEpoch(),
		Request: h.GetRequest(), Until: h.GetUntil(), Stage: stage,
	}
}

// settleUnknown handles a key without a claim. An entry that gave up waiting for
// its claim releases it; if the claim is stored after the release it must not
// hold the key.
func (c *claims) settleUnknown(now time.Time, m *wire.Settle) *wire.Result {
	if m.GetStage() != wire.Stage_STAGE_FREE {
		return refused("key %s is not claimed", m.GetKey())
	}
	c.set(&wire.Held{
		Key: m.GetKey(), Request: m.GetRequest(), Stage: wire.Stage_STAGE_FREE,
		Until: now.Add(releasedMark).UnixMilli(),
	})
	res := done("key %s is free", m.GetKey())
	res.Stage = wire.Stage_STAGE_FREE

	return res
}

// set stores a claim and the time of its end.
func (c *claims) set(h *wire.Held) {
	if old := c.byKey[h.GetKey()]; old != nil {
		c.unlist(old)
	}
	c.byKey[h.GetKey()] = h
	heap.Push(&c.expiry, expiry{h.GetUntil(), h.GetKey()})
	if h.GetStage() != wire.Stage_STAGE_RUNNING {
		return
	}
	s := start{h.GetEntry(), h.GetEpoch()}
	if c.running[s] == nil {
		c.running[s] = make(map[string]struct{})
	}
	c.running[s][h.GetKey()] = struct{}{}
}

// unlist removes a claim from the running ones.
func (c *claims) unlist(h *wire.Held) {
	s := start{h.GetEntry(), h.GetEpoch()}
	delete(c.running[s], h.GetKey())
	if len(c.running[s]) == 0 {
		delete(c.running, s)
	}
}

// absent turns the running claims of one start of an entry process to lost.
func (c *claims) absent(now time.Time, entry string, epoch uint64) *wire.Result {
	if entry == "" {
		return invalid("the absent entry has no name")
	}
	s := start{entry, epoch}
	lost := len(c.running[s])
	for name := range c.running[s] {
		c.byKey[name] = withStage(c.byKey[name], wire.Stage_STAGE_LOST)
	}
	delete(c.running, s)
	c.gone[s] = now.UnixMilli()
	if c.current[entry] == s {
		delete(c.current, entry)
	}

	return done("%d running claims are lost", lost)
}

// present notes the start of an entry process, which ends its earlier ones.
func (c *claims) present(now time.Time, entry string, epoch uint64) *wire.Result {
	s := start{entry, epoch}
	old, known := c.current[entry]
	if known && old != s {
		c.absent(now, entry, old.epoch)
	}
	delete(c.gone, s)
	c.current[entry] = s

	return done("entry %s is registered", entry)
}

// sweep removes expired claims and old marks. The order of the heap depends on
// the claims alone, so replicas agree however they came to their state.
func (c *claims) sweep(now time.Time) {
	limit := now.UnixMilli()
	for n := 0; n < maxSwept && len(c.expiry) > 0 && c.expiry[0].until <= limit; {
		next, _ := heap.Pop(&c.expiry).(expiry)
		if h := c.byKey[next.key]; h != nil && h.GetUntil() == next.until {
			c.unlist(h)
			delete(c.byKey, next.key)
			n++
		}
	}
	for s, since := range c.gone {
		if since <= now.Add(-absentMark).UnixMilli() {
			delete(c.gone, s)
		}
	}
}

type expiry struct {
	until int64
	key   string
}

// expiries is a heap by time, then key.
type expiries []expiry

func (e expiries) Len() int { return len(e) }

func (e expiries) Less(a, b int) bool {
	if e[a].until == e[b].until {
		return e[a].key < e[b].key
	}

	return e[a].until < e[b].until
}

func (e expiries) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *expiries) Push(x any) {
	item, _ := x.(expiry)
	*e = append(*e, item)
}

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}
