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
	// blockThreshold is the number of crashes after which a digest is blocked if the
	// report does not set another one. A single crash proves nothing: the digest may
	// only have run at the same time.
	blockThreshold = 2
	// crashWindow is how long a crash counts against its digests.
	crashWindow = time.Hour
	maxCrashes  = 4_096
	// defaultBlockTime is how long a digest remains blocked by default.
	defaultBlockTime = time.Hour
	maxBlockTime     = 30 * 24 * time.Hour
)

// block is a block requested by an operator, an agent or an entry.
type block struct{ *wire.Block }

// Defaults implements configObject.
func (b block) Defaults() { setDefault(&b.Hold, int64(defaultBlockTime/time.Second)) }

// Validate implements configObject.
func (b block) Validate() error {
	if b.GetHold() < 0 || b.GetHold() > int64(maxBlockTime/time.Second) {
		return errors.Newf("a digest is blocked for at least 1s and at most %s", maxBlockTime)
	}

	return nil
}

// crashes holds recent crashes of servers and the digests that may have caused them.
type crashes struct {
	byID  map[string]*wire.Crash
	order queue[*wire.Crash]
	// byDigest holds for each digest the crashes that it may have caused.
	byDigest map[string][]*wire.Crash
}

func newCrashes() crashes {
	return crashes{byID: make(map[string]*wire.Crash), byDigest: make(map[string][]*wire.Crash)}
}

func (c *crashes) add(crash *wire.Crash) {
	c.byID[crash.GetId()] = crash
	c.order.push(crash)
	for _, d := range crash.GetDigests() {
		c.byDigest[d] = append(c.byDigest[d], crash)
	}
	for c.order.len() > maxCrashes {
		c.removeOldest()
	}
}

// addReport records a report of a crash. It returns false if the report adds nothing,
// because the crash was reported completely before or its cause is known.
func (c *crashes) addReport(now time.Time, m *wire.Blame, digests []string) bool {
	crash := c.byID[m.GetCrash()]
	if crash == nil || m.GetSpan() > 0 && now.UnixMilli()-crash.GetTime() >= m.GetSpan() {
		c.add(&wire.Crash{Id: m.GetCrash(), Time: now.UnixMilli(), Digests: digests})

		return true
	}
	if m.GetSpan() == 0 || len(crash.GetDigests()) == 0 {
		return false
	}
	c.mergeDigests(crash, digests)

	return true
}

// mergeDigests adds the digests of another report of the same crash.
func (c *crashes) mergeDigests(crash *wire.Crash, digests []string) {
	for _, d := range digests {
		if !slices.Contains(crash.GetDigests(), d) {
			crash.Digests = append(crash.Digests, d)
			c.byDigest[d] = append(c.byDigest[d], crash)
		}
	}
}

func (c *crashes) removeOldest() {
	crash := c.order.pop()
	c.resolve(crash)
	if c.byID[crash.GetId()] == crash {
		delete(c.byID, crash.GetId())
	}
}

// resolve stops counting a crash against its digests, because its cause is known or it
// is too old. The id of the crash remains known, so that a repeated report does not
// count.
func (c *crashes) resolve(crash *wire.Crash) {
	for _, d := range crash.GetDigests() {
		remaining := slices.DeleteFunc(c.byDigest[d], func(x *wire.Crash) bool { return x == crash })
		c.byDigest[d] = remaining
		if len(remaining) == 0 {
			delete(c.byDigest, d)
		}
	}
	crash.Digests = nil
}

func (c *crashes) removeExpired(now time.Time) {
	for c.order.len() > 0 && c.order.front().GetTime() <= now.Add(-crashWindow).UnixMilli() {
		c.removeOldest()
	}
}

// blame records a reported crash. A digest that reaches the threshold is blocked, and
// the crashes at which it was in flight no longer count against other digests.
func (r *Registrar) blame(index uint64, now time.Time, m *wire.Blame) *wire.Result {
	if m.GetCrash() == "" {
		return invalid("the crash has no id")
	}
	spec := block{&wire.Block{Hold: m.GetHold()}}
	spec.Defaults()
	if err := spec.Validate(); err != nil {
		return invalid("%w", err)
	}
	r.blameSegments(index, now, m)
	hold := time.Duration(spec.GetHold()) * time.Second
	digests := slices.Clone(m.GetDigests())
	slices.Sort(digests)
	digests = slices.DeleteFunc(slices.Compact(digests), func(d string) bool { return d == "" })
	if len(digests) == 0 && len(m.GetPrefixes()) > 0 {
		// Another report may name the digests of this crash.
		return done("the crash was counted for segments of prompts only")
	}
	if !r.crashes.addReport(now, m, digests) {
		return done("the crash was counted before")
	}
	after := blockThreshold
	if m.GetAfter() > 0 {
		after = int(m.GetAfter())
	}
	var blocked []string
	for _, d := range digests {
		if len(r.crashes.byDigest[d]) >= after || r.blockOf(d) != nil {
			blocked = append(blocked, d)
		}
	}
	for _, d := range blocked {
		r.blockDigest(index, now.Add(hold), d, m.GetServer())
	}
	for _, d := range blocked {
		for _, c := range slices.Clone(r.crashes.byDigest[d]) {
			r.crashes.resolve(c)
		}
	}

	return done("%d digests are blocked by this crash", len(blocked))
}

// blockDigest blocks a digest, or extends the block that it has.
func (r *Registrar) blockDigest(index uint64, until time.Time, digest, server string) {
	b := &wire.Block{
		Digest: digest, Until: until.UnixMilli(), Reason: "crashed server " + server,
		Crashes: int32(len(r.crashes.byDigest[digest])),
	}
	if old := r.blockOf(digest); old != nil {
		b.Until = max(b.GetUntil(), old.GetUntil())
		b.Crashes = old.GetCrashes() + 1
	}
	r.put(index, key{parser.Digest, digest}, b)
}

// blockOf returns the block of a digest, or nil.
func (r *Registrar) blockOf(digest string) *wire.Block {
	b, _ := r.objects.get(key{parser.Digest, digest}).(*wire.Block)

	return b
}

// removeExpiredBlocks removes blocks that have ended.
func (r *Registrar) removeExpiredBlocks(index uint64, now time.Time) {
	if now.UnixMilli() < r.objects.firstBlockEnd {
		return
	}
	r.objects.firstBlockEnd = math.MaxInt64
	for _, m := range r.objects.all(parser.Digest) {
		b, ok := m.(*wire.Block)
		if !ok {
			continue
		}
		if b.GetUntil() <= now.UnixMilli() {
			r.remove(index, key{parser.Digest, b.GetDigest()})
		} else {
			r.objects.firstBlockEnd = min(r.objects.firstBlockEnd, b.GetUntil())
		}
	}
}
