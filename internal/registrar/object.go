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
	// departed is the kind of the objects that the state keeps for servers that
	// deregistered: whether an operator drained them, and their orders. Subscribers
	// don't see them. Snapshots contain this string.
	departed = "parked"
	// maxTombstones limits the number of tombstones. A subscriber that missed more
	// deletions gets a snapshot.
	maxTombstones = 8_192
)

// object is a message of the state, such as *wire.Service.
type object = proto.Message

// key identifies an object.
type key struct{ kind, name string }

// item is an object, or a tombstone if object is nil.
type item struct {
	key
	index  uint64 // of the last change
	object object
}

// objects holds the objects of operators and servers in the order of their last
// change, so that the cost of building an update depends only on its size.
type objects struct {
	byKind      map[string]map[string]*list.Element // by kind and name
	order       *list.List                          // of *item, by index
	tombstones  int
	lastDropped uint64 // index of the newest tombstone dropped
	// firstBlockEnd is a lower bound of the time when the next block ends, in Unix
	// milliseconds.
	firstBlockEnd int64
}

func newObjects() objects {
	return objects{byKind: make(map[string]map[string]*list.Element), order: list.New(), firstBlockEnd: math.MaxInt64}
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

// put stores an object as the most recently changed one.
func (o *objects) put(index uint64, k key, m object) {
	o.unlink(k)
	o.link(&item{key: k, index: index, object: m})
	if b, ok := m.(*wire.Block); ok {
		o.firstBlockEnd = min(o.firstBlockEnd, b.GetUntil())
	}
}

// link appends an item to the order of changes. There must be none with its key.
func (o *objects) link(i *item) {
	names := o.byKind[i.kind]
	if names == nil {
		names = make(map[string]*list.Element)
		o.byKind[i.kind] = names
	}
	names[i.name] = o.order.PushBack(i)
	if i.object == nil {
		o.tombstones++
	}
}

// remove replaces an object with a tombstone and reports whether there was one.
// Objects of kind departed leave no tombstone.
func (o *objects) remove(index uint64, k key) bool {
	if o.get(k) == nil {
		return false
	}
	o.unlink(k)
	if k.kind == departed {
		return true
	}
	o.link(&item{key: k, index: index})
	if o.tombstones > maxTombstones {
		o.dropTombstones()
	}

	return true
}

// unlink removes the item with the key if there is one.
func (o *objects) unlink(k key) {
	e, ok := o.byKind[k.kind][k.name]
	if !ok {
		return
	}
	if itemOf(e).object == nil {
		o.tombstones--
	}
	o.order.Remove(e)
	delete(o.byKind[k.kind], k.name)
}

// dropTombstones removes the older half of the tombstones.
func (o *objects) dropTombstones() {
	for e := o.order.Front(); e != nil && o.tombstones > maxTombstones/2; {
		next := e.Next()
		if i := itemOf(e); i.object == nil {
			o.lastDropped = i.index
			o.unlink(i.key)
		}
		e = next
	}
}

// all returns the objects of a kind in order of name.
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

// UpdateSince returns all objects changed after index. It returns all objects if index
// is zero or older than a tombstone that was dropped. The index of the update is
// Index(). For an index that this host has not reached yet, the update is empty.
func (r *Registrar) UpdateSince(index uint64) *wire.Update {
	u := &wire.Update{Index: r.visible, Revision: r.revision, Full: index == 0 || index < r.objects.lastDropped}
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

// addItem adds an object or a removal to an update.
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
		if i.kind != departed {
			u.Servers = append(u.Servers, m)
		}
	case *wire.Block:
		u.Blocks = append(u.Blocks, m)
	case *wire.Segment:
		u.Segments = append(u.Segments, m)
	case *wire.Versions:
		u.Versions = append(u.Versions, m)
	case *wire.Plan:
		// The source is most of a plan, and only operators need it.
		u.Plan = withoutSource(m)
	}
}

// withoutSource returns a copy of a plan without its source. All other values are
// shared with the original.
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

// removalKind returns the kind of an object as Removal messages name it.
func removalKind(kind string) string {
	if kind == parser.Digest {
		return "block"
	}

	return kind
}
