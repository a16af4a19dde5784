package parser

import (
	"math"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/damasklever/damasklever/internal/wire"
)

// Kinds of objects.
const (
	Service = "service"
	Rank    = "rank"
	Rule    = "rule"
	Server  = "server"
	Digest  = "digest"
)

// Field is a field of an object. Its name is that of the protobuf field.
type Field struct {
	Name string
	Unit Unit
}

var fields = map[string][]Field{
	Service: {
		{"name", Text},
		{"kind", ServiceKind},
		{"model", Text},
		{"limit", Number},
		{"body", Bytes},
		{"routes", Routes},
		{"timeout", Millis},
		{"retention", Seconds},
	},
	Rank: {
		{"name", Text},
		{"level", Number},
		{"first", Millis},
		{"gap", Millis},
		{"floor", Percent},
		{"worth", Number},
	},
	Rule: {
		{"name", Text},
		{"order", Number},
		{"caller", Text},
		{"service", Text},
		{"rank", Text},
		{"share", Percent},
		{"regions", List},
	},
	Server: {
		{"name", Text},
		{"service", Text},
		{"phase", Text},
		{"addr", Text},
		{"region", Text},
		{"centre", Text},
		{"pieces", Number},
		{"drained", Flag},
		{"fence", Number},
		{"orders", Orders},
		{"epoch", Number},
	},
	Digest: {
		{"digest", Text},
		{"until", Time},
		{"reason", Text},
		{"crashes", Number},
	},
}

// Fields returns the fields of a kind in display order, or nil for an unknown kind. The
// first field is the object's name.
func Fields(kind string) []Field { return fields[kind] }

// New returns an empty object of a kind, or nil for an unknown kind.
func New(kind string) proto.Message {
	switch kind {
	case Service:
		return &wire.Service{}
	case Rank:
		return &wire.Rank{}
	case Rule:
		return &wire.Rule{}
	case Server:
		return &wire.Server{}
	case Digest:
		return &wire.Block{}
	default:
		return nil
	}
}

// KindOf returns the kind of an object, or "" if the message is not an object.
func KindOf(m proto.Message) string {
	switch m.(type) {
	case *wire.Service:
		return Service
	case *wire.Rank:
		return Rank
	case *wire.Rule:
		return Rule
	case *wire.Server:
		return Server
	case *wire.Block:
		return Digest
	default:
		return ""
	}
}

func descriptor(m proto.Message, name string) protoreflect.FieldDescriptor {
	return m.ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(name))
}

// FormatField returns the value of a field as text that parses back to the same value.
// Only Orders cannot be parsed back.
func FormatField(m proto.Message, f Field) string {
	d := descriptor(m, f.Name)
	if d == nil {
		return ""
	}
	value := m.ProtoReflect().Get(d)
	switch f.Unit {
	case Text:
		return value.String()
	case List:
		return formatList(value.List())
	case ServiceKind:
		return formatKind(wire.Kind(value.Enum()))
	case Routes:
		return formatRoutes(m)
	case Orders:
		return formatOrders(m)
	default:
		return FormatInteger(f.Unit, toInteger(d, value))
	}
}

func toInteger(d protoreflect.FieldDescriptor, value protoreflect.Value) int64 {
	switch d.Kind() {
	case protoreflect.BoolKind:
		if value.Bool() {
			return 1
		}

		return 0
	case protoreflect.Uint64Kind:
		return int64(value.Uint())
	default:
		return value.Int()
	}
}

func formatList(list protoreflect.List) string {
	words := make([]string, list.Len())
	for i := range words {
		words[i] = list.Get(i).String()
	}

	return strings.Join(words, ",")
}

func formatKind(kind wire.Kind) string {
	switch kind {
	case wire.Kind_KIND_MODEL:
		return "model"
	case wire.Kind_KIND_PLAIN:
		return "plain"
	default:
		return ""
	}
}

// SetField parses text and sets a field of an object to the value.
func SetField(m proto.Message, f Field, text string) error {
	d := descriptor(m, f.Name)
	if d == nil {
		return errors.Newf("no field %s", f.Name)
	}
	r := m.ProtoReflect()
	switch f.Unit {
	case Text:
		r.Set(d, protoreflect.ValueOfString(text))
	case List:
		list := r.Mutable(d).List()
		list.Truncate(0)
		for _, word := range splitList(text) {
			list.Append(protoreflect.ValueOfString(word))
		}
	case ServiceKind:
		kind, err := parseKind(text)
		if err != nil {
			return err
		}
		r.Set(d, protoreflect.ValueOfEnum(kind.Number()))
	case Routes:
		return setRoutes(m, text)
	case Orders:
		return errors.Newf("%s cannot be set", f.Name)
	default:
		return setInteger(r, d, f.Unit, text)
	}

	return nil
}

func setInteger(r protoreflect.Message, d protoreflect.FieldDescriptor, u Unit, text string) error {
	n, err := ParseInteger(u, text)
	if err != nil {
		return err
	}
	switch d.Kind() {
	case protoreflect.BoolKind:
		r.Set(d, protoreflect.ValueOfBool(n != 0))
	case protoreflect.Uint64Kind:
		r.Set(d, protoreflect.ValueOfUint64(uint64(n)))
	case protoreflect.Int32Kind:
		if n > math.MaxInt32 || n < math.MinInt32 {
			return errors.Newf("%q is too large", text)
		}
		r.Set(d, protoreflect.ValueOfInt32(int32(n)))
	default:
		r.Set(d, protoreflect.ValueOfInt64(n))
	}

	return nil
}

func splitList(text string) []string {
	words := strings.Split(text, ",")
	for i := range words {
		words[i] = strings.TrimSpace(words[i])
	}

	return slices.DeleteFunc(words, func(w string) bool { return w == "" })
}

func parseKind(text string) (wire.Kind, error) {
	switch text {
	case "model":
		return wire.Kind_KIND_MODEL, nil
	case "plain":
		return wire.Kind_KIND_PLAIN, nil
	default:
		return 0, errors.Newf("%q is not %s", text, ServiceKind)
	}
}

const (
	modeIdempotent = "idempotent"
	modeOnce       = "once"
)

func formatRoutes(m proto.Message) string {
	s, ok := m.(*wire.Service)
	if !ok {
		return ""
	}
	words := make([]string, 0, len(s.GetRoutes()))
	for _, r := range s.GetRoutes() {
		mode := modeOnce
		if r.GetIdempotent() {
			mode = modeIdempotent
		}
		words = append(words, r.GetMethod()+" "+r.GetPrefix()+" "+mode)
	}

	return strings.Join(words, ", ")
}

func setRoutes(m proto.Message, text string) error {
	s, ok := m.(*wire.Service)
	if !ok {
		return errors.New("only a service has routes")
	}
	var routes []*wire.Route
	for _, word := range splitList(text) {
		parts := strings.Fields(word)
		if len(parts) != 3 || (parts[2] != modeIdempotent && parts[2] != modeOnce) {
			return errors.Newf("%q: expected %s", word, Routes)
		}
		routes = append(routes, &wire.Route{
			Method: parts[0], Prefix: parts[1], Idempotent: parts[2] == modeIdempotent,
		})
	}
	s.Routes = routes

	return nil
}

func formatOrders(m proto.Message) string {
	s, ok := m.(*wire.Server)
	if !ok {
		return ""
	}
	words := make([]string, 0, len(s.GetOrders()))
	for _, o := range s.GetOrders() {
		words = append(words, o.GetVerb()+" "+o.GetSubject()+" "+o.GetState())
	}

	return strings.Join(words, ", ")
}

// CopyFields copies the named fields from one object to another of the same kind. It
// returns an error for a field that the objects do not have.
func CopyFields(to, from proto.Message, names []string) error {
	for _, name := range names {
		d := descriptor(to, name)
		if d == nil || descriptor(from, name) == nil {
			return errors.Newf("no field %s", name)
		}
		if !from.ProtoReflect().Has(d) {
			to.ProtoReflect().Clear(d)

			continue
		}
		to.ProtoReflect().Set(d, proto.CloneOf(from).ProtoReflect().Get(d))
	}

	return nil
}
