package registrar

import (
	"container/list"
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// parked objects are what the state keeps of a server that left: whether an
	// operator drained it, and its orders. Subscribers don't see them.
	parked = "parked"
	// maxGraves bounds the tombstones. A subscriber that missed more deletions
	// gets a snapshot.
	maxGraves = 8_192
)

type object = proto.Message

type key struct{ kind, name string }

// item is an object, or the tombstone of one if object is nil.
type item struct {
	key
	index  uint64 // of the last change
	object object
}

// objects holds what operators and servers configure, in the order of the last
// change, so that an update costs only what it contains.
type objects struct {
	byKind map[string]map[string]*list.Element // by kind and name
	order  *list.List                          // of *item, by index
	graves int
	floor  uint64 // index of the newest tombstone dropped
	// ends is not later than the first end of a block, Unix milliseconds.
	ends int64
}

func newObjects() objects {
	return objects{byKind: make(map[string]map[string]*list.Element), order: list.New(), ends: math.MaxInt64}
}

func (o *objects) get(k key) object {
	if e, ok := o.byKind[k.kind][k.name]; ok {
		return itemOf(e).object
	}

	return nil
}

func itemOf(e *list.Element) *item {
	i, _ := e.Value.(*item)

	return i
}

func (o *objects) put(index uint64, k key, m object) {
	o.unlink(k)
	o.link(&item{key: k, index: index, object: m})
	if b, ok := m.(*wire.Block); ok {
		o.ends = min(o.ends, b.GetUntil())
	}
}

func (o *objects) link(i *item) {
	names := o.byKind[i.kind]
	if names == nil {
		names = make(map[string]*list.Element)
		o.byKind[i.kind] = names
	}
	names[i.name] = o.order.PushBack(i)
	if i.object == nil {
		o.graves++
	}
}

// drop leaves a tombstone and reports whether there was an object.
func (o *objects) drop(index uint64, k key) bool {
	if o.get(k) == nil {
		return false
	}
	o.unlink(k)
	if k.kind == parked {
		return true
	}
	o.link(&item{key: k, index: index})
	if o.graves > maxGraves {
		o.bury()
	}

	return true
}

func (o *objects) unlink(k key) {
	e, ok := o.byKind[k.kind][k.name]
	if !ok {
		return
	}
	if itemOf(e).object == nil {
		o.graves--
	}
	o.order.Remove(e)
	delete(o.byKind[k.kind], k.name)
}

// bury drops the older half of the tombstones.
func (o *objects) bury() {
	for e := o.order.Front(); e != nil && o.graves > maxGraves/2; {
		next := e.Next()
		if i := itemOf(e); i.object == nil {
			o.floor = i.index
			o.unlink(i.key)
		}
		e = next
	}
}

// all returns the objects of a kind, sorted by name.
func (o *objects) all(kind string) []object {
	var found []*item
	for _, e := range o.byKind[kind] {
		if i := itemOf(e); i.object != nil {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b *item) int { return strings.Compare(a.name, b.name) })
	out := make([]object, len(found))
	for n, i := range found {
		out[n] = i.object
	}

	return out
}

// UpdateSince returns every object changed after index, or a full snapshot if
// index is zero or lies before the oldest deletion kept. Its Index is Index().
// For an index that this host has not reached, the update is empty.
func (r *Registrar) UpdateSince(index uint64) *wire.Update {
	u := &wire.Update{Index: r.visible, Revision: r.revision, Full: index == 0 || index < r.objects.floor}
	start := r.objects.order.Front()
	if !u.GetFull() {
		start = nil
		for e := r.objects.order.Back(); e != nil && itemOf(e).index > index; e = e.Prev() {
			start = e
		}
	}
	for e := start; e != nil; e = e.Next() {
		addItem(u, itemOf(e))
	}

	return u
}

func addItem(u *wire.Update, i *item) {
	switch m := i.object.(type) {
	case nil:
		if !u.GetFull() {
			u.Removals = append(u.Removals, &wire.Removal{Kind: removalKind(i.kind), Name: i.name})
		}
	case *wire.Service:
		u.Services = append(u.Services, m)
	case *wire.Rank:
		u.Ranks = append(u.Ranks, m)
	case *wire.Rule:
		u.Rules = append(u.Rules, m)
	case *wire.Server:
		if i.kind != parked {
			u.Servers = append(u.Servers, m)
		}
	case *wire.Block:
		u.Blocks = append(u.Blocks, m)
	case *wire.Plan:
		// Only operators read the source, which is most of a plan.
		u.Plan = withoutSource(m)
	}
}

// withoutSource returns a plan as subscribers need it, which shares all else with the
// stored one.
func withoutSource(p *wire.Plan) *wire.Plan {
	out := &wire.Plan{}
	p.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Name() != "source" {
			out.ProtoReflect().Set(field, value)
		}

		return true
	})

	return out
}

// removalKind names the object of a digest as the schema does.
func removalKind(kind string) string {
	if kind == parser.Digest {
		return "block"
	}

	return kind
}
