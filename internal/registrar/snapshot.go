package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// Snapshot encodes the state. The encoding of equal states is equal.
func (r *Registrar) Snapshot() ([]byte, error) { return r.CaptureSnapshot()() }

// CaptureSnapshot saves references to the current state and returns a function that
// encodes it like Snapshot. The function may run in another goroutine while commands
// are applied: with a million claims the encoding takes longer than the election
// timeout, so it must not block the leader.
func (r *Registrar) CaptureSnapshot() func() ([]byte, error) {
	s := &wire.State{
		Applied: r.applied, Visible: r.visible, Revision: r.revision, Fence: r.fence, Floor: r.objects.lastDropped,
		Entries: r.claims.entities(), Crashes: r.crashes.copies(),
		Results: append(slices.Clone(r.results.changes.all()), r.results.others.all()...),
		// These slices are only appended to or replaced, so sharing them is safe.
		History: r.history, Orders: r.endedOrders,
	}
	items := make([]*item, 0, r.objects.order.Len())
	for e := r.objects.order.Front(); e != nil; e = e.Next() {
		items = append(items, itemOf(e))
	}
	held := slices.AppendSeq(make([]*wire.Held, 0, len(r.claims.byKey)), maps.Values(r.claims.byKey))

	return func() ([]byte, error) { return encode(s, items, held) }
}

func encode(s *wire.State, items []*item, held []*wire.Held) ([]byte, error) {
	slices.SortFunc(held, func(a, b *wire.Held) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	s.Claims = held
	for _, i := range items {
		out := &wire.Item{Index: i.index, Kind: i.kind, Name: i.name, Gone: i.object == nil}
		if i.object != nil {
			data, err := marshal(i.object)
			if err != nil {
				return nil, err
			}
			out.Object = data
		}
		s.Items = append(s.Items, out)
	}

	return marshal(s)
}

// copies returns copies of the crashes, which later commands modify in place.
func (c *crashes) copies() []*wire.Crash {
	out := make([]*wire.Crash, 0, c.order.len())
	for _, x := range c.order.all() {
		out = append(out, &wire.Crash{Id: x.GetId(), Time: x.GetTime(), Digests: x.GetDigests()})
	}

	return out
}

func marshal(m proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errors.Newf("encode snapshot: %w", err)
	}

	return data, nil
}

// entities returns the registered and the absent entry processes in a fixed order.
func (c *claims) entities() []*wire.Entity {
	var out []*wire.Entity
	for _, s := range c.current {
		out = append(out, &wire.Entity{Name: s.entry, Epoch: s.epoch})
	}
	for s, since := range c.declaredAbsent {
		out = append(out, &wire.Entity{Name: s.entry, Epoch: s.epoch, Absent: true, Time: since})
	}
	slices.SortFunc(out, func(a, b *wire.Entity) int {
		return cmp.Or(strings.Compare(a.GetName(), b.GetName()), cmp.Compare(a.GetEpoch(), b.GetEpoch()))
	})

	return out
}

// Restore replaces the state with that of a snapshot. If it fails, the state is
// unchanged.
func (r *Registrar) Restore(data []byte) error {
	var s wire.State
	if err := proto.Unmarshal(data, &s); err != nil {
		return errors.Newf("decode snapshot: %w", err)
	}
	next := New()
	next.applied, next.visible, next.revision = s.GetApplied(), s.GetVisible(), s.GetRevision()
	next.fence, next.objects.lastDropped = s.GetFence(), s.GetFloor()
	next.history, next.endedOrders = s.GetHistory(), s.GetOrders()
	for _, i := range s.GetItems() {
		if err := next.objects.restore(i); err != nil {
			return err
		}
	}
	for _, h := range s.GetClaims() {
		next.claims.store(h)
	}
	for _, e := range s.GetEntries() {
		process := incarnation{e.GetName(), e.GetEpoch()}
		if e.GetAbsent() {
			next.claims.declaredAbsent[process] = e.GetTime()
		} else {
			next.claims.current[e.GetName()] = process
		}
	}
	for _, p := range s.GetResults() {
		next.results.push(p)
	}
	for _, c := range s.GetCrashes() {
		next.crashes.add(c)
	}
	*r = *next

	return nil
}

// restore adds an item of a snapshot. Items must be added in order of their index.
func (o *objects) restore(i *wire.Item) error {
	k := key{i.GetKind(), i.GetName()}
	if i.GetGone() {
		o.unlink(k)
		o.link(&item{key: k, index: i.GetIndex()})

		return nil
	}
	kind := k.kind
	if kind == departed {
		kind = parser.Server
	}
	m := parser.New(kind)
	switch kind {
	case planKind:
		m = &wire.Plan{}
	case segmentKind:
		m = &wire.Segment{}
	case versionsKind:
		m = &wire.Versions{}
	}
	if m == nil {
		return errors.Newf("decode snapshot: unknown kind %q", k.kind)
	}
	if err := proto.Unmarshal(i.GetObject(), m); err != nil {
		return errors.Newf("decode snapshot: %s %s: %w", k.kind, k.name, err)
	}
	o.put(i.GetIndex(), k, m)

	return nil
}
