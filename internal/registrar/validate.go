package registrar

import (
	"slices"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// configObject is an object that operators configure.
type configObject interface {
	// Defaults sets the default values of fields that are zero. Validate checks the
	// object without regard to other objects.
	Defaults()
	Validate() error
}

// configObjectOf returns the defaults and validation of an object, or nil if operators
// do not configure objects of its type.
func configObjectOf(m object) configObject {
	switch m := m.(type) {
	case *wire.Service:
		return service{m}
	case *wire.Rank:
		return rank{m}
	case *wire.Rule:
		return rule{m}
	default:
		return nil
	}
}

// payload returns the object in an edit, or nil.
func payload(e *wire.Edit) object {
	switch {
	case e.GetKind() == parser.Service && e.GetService() != nil:
		return e.GetService()
	case e.GetKind() == parser.Rank && e.GetRank() != nil:
		return e.GetRank()
	case e.GetKind() == parser.Rule && e.GetRule() != nil:
		return e.GetRule()
	default:
		return nil
	}
}

// set creates or changes an object. An edit without a list of fields replaces all of
// them.
func (d *draft) set(e *wire.Edit) error {
	given := payload(e)
	if given == nil {
		return errors.Newf("a %s cannot be set, or its fields are missing", e.GetKind())
	}
	if err := checkName(e.GetName()); err != nil {
		return err
	}
	k := key{e.GetKind(), e.GetName()}
	old := d.get(k)
	switch {
	case e.GetVerb() == parser.Create && old != nil:
		return errors.New("it exists already")
	case e.GetVerb() == parser.Change && old == nil:
		return errors.New("it does not exist")
	}
	next := parser.New(k.kind)
	if old != nil {
		next = proto.CloneOf(old)
	}
	known := parser.Fields(k.kind)
	fields := e.GetFields()
	if len(fields) == 0 {
		for _, f := range known[1:] {
			fields = append(fields, f.Name)
		}
	}
	if err := copyFields(next, given, known[1:], fields); err != nil {
		return err
	}
	if err := parser.SetField(next, known[0], e.GetName()); err != nil {
		return errors.Newf("set name: %w", err)
	}
	if err := fillAndValidate(next, known, e.GetFields()); err != nil {
		return err
	}
	d.put(k, next)

	return nil
}

// copyFields copies the named fields and rejects unknown names.
func copyFields(to, from object, known []parser.Field, fields []string) error {
	for _, name := range fields {
		if !slices.ContainsFunc(known, func(f parser.Field) bool { return f.Name == name }) {
			return errors.Newf("unknown field %s", name)
		}
	}
	if err := parser.CopyFields(to, from, fields); err != nil {
		return errors.Newf("set fields: %w", err)
	}

	return nil
}

// fillAndValidate sets defaults and validates the object. A field that the operator
// set to zero explicitly is an error if a default would replace it silently.
func fillAndValidate(m object, known []parser.Field, set []string) error {
	before := proto.CloneOf(m)
	model := configObjectOf(m)
	model.Defaults()
	for _, f := range known {
		was, is := parser.FormatField(before, f), parser.FormatField(m, f)
		if was != is && slices.Contains(set, f.Name) {
			return errors.Newf("%s must not be %q", f.Name, was)
		}
	}

	return model.Validate()
}

// checkName accepts names that can be displayed in logs and tables.
func checkName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Newf("a name has 1 to %d bytes", maxNameBytes)
	}
	bad := func(c rune) bool { return unicode.IsSpace(c) || !unicode.IsPrint(c) }
	if strings.ContainsFunc(name, bad) {
		return errors.New("a name has no spaces or control characters")
	}

	return nil
}

// validate checks the constraints that involve several objects, such as references.
func (d *draft) validate() error {
	if !d.configChanged {
		return nil
	}
	if err := d.checkRanks(); err != nil {
		return err
	}
	if err := d.checkModels(); err != nil {
		return err
	}

	return d.checkRules()
}

// checkRules checks that the services and ranks of all rules exist.
func (d *draft) checkRules() error {
	users := make(map[key][]string)
	var missing []key
	for _, m := range d.all(parser.Rule) {
		x, _ := m.(*wire.Rule)
		for _, k := range []key{{parser.Service, x.GetService()}, {parser.Rank, x.GetRank()}} {
			if d.get(k) != nil {
				continue
			}
			if users[k] == nil {
				missing = append(missing, k)
			}
			users[k] = append(users[k], x.GetName())
		}
	}
	if len(missing) == 0 {
		return nil
	}
	k := missing[0]
	by := strings.Join(users[k], ", ")
	if _, deleted := d.changed[k]; deleted {
		return errors.Newf("%s %s is in use by rule %s; change or delete the rule first", k.kind, k.name, by)
	}

	return errors.Newf("rule %s names %s %q, which does not exist", by, k.kind, k.name)
}

// checkRanks checks that levels are unique and floors add up to at most 100%.
func (d *draft) checkRanks() error {
	levels := make(map[int32]string)
	floors := int32(0)
	for _, m := range d.all(parser.Rank) {
		x, _ := m.(*wire.Rank)
		if other, taken := levels[x.GetLevel()]; taken {
			return errors.Newf("ranks %s and %s have the same level %d", other, x.GetName(), x.GetLevel())
		}
		levels[x.GetLevel()] = x.GetName()
		floors += x.GetFloor()
	}
	if floors > 100 {
		return errors.Newf("the floors of all ranks add up to %d%%, more than 100%%", floors)
	}

	return nil
}

// checkModels checks that no two services have the same model.
func (d *draft) checkModels() error {
	models := make(map[string]string)
	for _, m := range d.all(parser.Service) {
		x, _ := m.(*wire.Service)
		if x.GetKind() != wire.Kind_KIND_MODEL {
			continue
		}
		if other, taken := models[x.GetModel()]; taken {
			return errors.Newf("services %s and %s have the same model %s", other, x.GetName(), x.GetModel())
		}
		models[x.GetModel()] = x.GetName()
	}

	return nil
}
