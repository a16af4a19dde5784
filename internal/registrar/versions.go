package registrar

import (
	"slices"
	"strings"
	"time"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

// versionsKind is the kind of the objects that name the software versions of pools.
const versionsKind = "versions"

const (
	// maxVersionPools limits the pools with versions, and maxVersions those of one pool.
	maxVersionPools = 1_024
	maxVersions     = 64
)

// Versions returns the software versions of all pools whose streams may still go on, in
// order of the pools' names.
func (r *Registrar) Versions() []*wire.Versions {
	var out []*wire.Versions
	for _, m := range r.objects.all(versionsKind) {
		if v, ok := m.(*wire.Versions); ok {
			out = append(out, v)
		}
	}

	return out
}

// replaceVersions replaces the software versions of a pool.
func (r *Registrar) replaceVersions(index uint64, now time.Time, m *wire.Versions) *wire.Result {
	k := key{versionsKind, m.GetPool()}
	held, _ := r.objects.get(k).(*wire.Versions)
	tooLong := func(name string) bool { return len(name) > maxNameBytes }
	switch {
	case m.GetPool() == "" || tooLong(m.GetPool()) || slices.ContainsFunc(m.GetVersions(), tooLong):
		return invalid("the pool has no name, or a name is longer than %d bytes", maxNameBytes)
	case len(m.GetVersions()) > maxVersions:
		return invalid("pool %s: more than %d versions", m.GetPool(), maxVersions)
	case len(m.GetVersions()) == 0:
		r.remove(index, k)

		return done("pool %s has no versions", m.GetPool())
	case held == nil && len(r.Versions()) >= maxVersionPools:
		return refused("versions of %d pools are kept, which is the limit", maxVersionPools)
	}
	versions := slices.Compact(slices.Sorted(slices.Values(m.GetVersions())))
	if !slices.Equal(held.GetVersions(), versions) {
		r.put(index, k, &wire.Versions{Pool: m.GetPool(), Versions: versions, Since: now.UnixMilli()})
	}

	return done("pool %s has %d versions", m.GetPool(), len(versions))
}

// versionRows returns a row for each pool.
func (r *Registrar) versionRows() ([]Column, [][]string, error) {
	columns := []Column{{"pool", parser.Text}, {"versions", parser.List}, {"since", parser.Time}}
	var rows [][]string
	for _, v := range r.Versions() {
		rows = append(rows, []string{
			v.GetPool(), strings.Join(v.GetVersions(), ","), parser.FormatInteger(parser.Time, v.GetSince()),
		})
	}

	return columns, rows, nil
}
