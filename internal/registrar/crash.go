package registrar

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// blockAfter is the number of crashes after which a digest is blocked. One
	// crash blames nobody: the digest may only have run at the same time.
	blockAfter = 2
	// crashWindow is how long a crash counts against its digests.
	crashWindow = time.Hour
	maxCrashes  = 4_096
	// defaultBlock is how long a digest stays blocked.
	defaultBlock = time.Hour
	maxBlock     = 30 * 24 * time.Hour
)

// block is a block as an operator or an agent asks for it.
type block struct{ *wire.Block }

// Defaults implements model.
func (b block) Defaults() { fill(&b.Hold, int64(defaultBlock/time.Second)) }

// Validate implements model.
func (b block) Validate() error {
	if b.GetHold() < 0 || b.GetHold() > int64(maxBlock/time.Second) {
		return errors.Newf("a digest is blocked for at least 1s and at most %s", maxBlock)
	}

	return nil
}

// crashes counts crashes of servers by the digests that may have caused them.
type crashes struct {
	byID  map[string]*wire.Crash
	order queue[*wire.Crash]
	// suspects lists the crashes that a digest may have caused.
	suspects map[string][]*wire.Crash
}

func newCrashes() crashes {
	return crashes{byID: make(map[string]*wire.Crash), suspects: make(map[string][]*wire.Crash)}
}

func (c *crashes) add(crash *wire.Crash) {
	c.byID[crash.GetId()] = crash
	c.order.push(crash)
	for _, d := range crash.GetDigests() {
		c.suspects[d] = append(c.suspects[d], crash)
	}
	for c.order.len() > maxCrashes {
		c.forget()
	}
}

// count notes a report and returns false if it tells nothing new: the crash was reported
// whole before, or is explained.
func (c *crashes) count(now time.Time, m *wire.Blame, digests []string) bool {
	crash := c.byID[m.GetCrash()]
	if crash == nil || m.GetSpan() > 0 && now.UnixMilli()-crash.GetTime() >= m.GetSpan() {
		c.add(&wire.Crash{Id: m.GetCrash(), Time: now.UnixMilli(), Digests: digests})

		return true
	}
	if m.GetSpan() == 0 || len(crash.GetDigests()) == 0 {
		return false
	}
	c.join(crash, digests)

	return true
}

// join adds the digests of a further report of a crash.
func (c *crashes) join(crash *wire.Crash, digests []string) {
	for _, d := range digests {
		if !slices.Contains(crash.GetDigests(), d) {
			crash.Digests = append(crash.Digests, d)
			c.suspects[d] = append(c.suspects[d], crash)
		}
	}
}

func (c *crashes) forget() {
	crash := c.order.pop()
	c.explain(crash)
	if c.byID[crash.GetId()] == crash {
		delete(c.byID, crash.GetId())
	}
}

// explain takes a crash off all its suspects, but keeps its id, so that a
// repeated report does not count.
func (c *crashes) explain(crash *wire.Crash) {
	for _, d := range crash.GetDigests() {
		left := slices.DeleteFunc(c.suspects[d], func(x *wire.Crash) bool { return x == crash })
		c.suspects[d] = left
		if len(left) == 0 {
			delete(c.suspects, d)
		}
	}
	crash.Digests = nil
}

func (c *crashes) sweep(now time.Time) {
	for c.order.len() > 0 && c.order.front().GetTime() <= now.Add(-crashWindow).UnixMilli() {
		c.forget()
	}
}

// blame counts a crash. A digest that reaches the limit is blocked, and every
// crash that it was part of counts no longer against the others.
func (r *Registrar) blame(index uint64, now time.Time, m *wire.Blame) *wire.Result {
	if m.GetCrash() == "" {
		return invalid("the crash has no id")
	}
	limits := block{&wire.Block{Hold: m.GetHold()}}
	limits.Defaults()
	if err := limits.Validate(); err != nil {
		return invalid("%w", err)
	}
	hold := time.Duration(limits.GetHold()) * time.Second
	digests := slices.Clone(m.GetDigests())
	slices.Sort(digests)
	digests = slices.DeleteFunc(slices.Compact(digests), func(d string) bool { return d == "" })
	if !r.crashes.count(now, m, digests) {
		return done("the crash was counted before")
	}
	after := blockAfter
	if m.GetAfter() > 0 {
		after = int(m.GetAfter())
	}
	var blocked []string
	for _, d := range digests {
		if len(r.crashes.suspects[d]) >= after || r.blockOf(d) != nil {
			blocked = append(blocked, d)
		}
	}
	for _, d := range blocked {
		r.blockSuspect(index, now.Add(hold), d, m.GetServer())
	}
	for _, d := range blocked {
		for _, c := range slices.Clone(r.crashes.suspects[d]) {
			r.crashes.explain(c)
		}
	}

	return done("%d digests are blocked by this crash", len(blocked))
}

func (r *Registrar) blockSuspect(index uint64, until time.Time, digest, server string) {
	b := &wire.Block{
		Digest: digest, Until: until.UnixMilli(), Reason: "crashed server " + server,
		Crashes: int32(len(r.crashes.suspects[digest])),
	}
	if old := r.blockOf(digest); old != nil {
		b.Until = max(b.GetUntil(), old.GetUntil())
		b.Crashes = old.GetCrashes() + 1
	}
	r.put(index, key{parser.Digest, digest}, b)
}

func (r *Registrar) blockOf(digest string) *wire.Block {
	b, _ := r.objects.get(key{parser.Digest, digest}).(*wire.Block)

	return b
}

// sweepBlocks removes the blocks that ended.
func (r *Registrar) sweepBlocks(index uint64, now time.Time) {
	if now.UnixMilli() < r.objects.ends {
		return
	}
	r.objects.ends = math.MaxInt64
	for _, m := range r.objects.all(parser.Digest) {
		b, ok := m.(*wire.Block)
		if !ok {
			continue
		}
		if b.GetUntil() <= now.UnixMilli() {
			r.drop(index, key{parser.Digest, b.GetDigest()})
		} else {
			r.objects.ends = min(r.objects.ends, b.GetUntil())
		}
	}
}
