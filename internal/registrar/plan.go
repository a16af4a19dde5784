package registrar

import (
	"bytes"

	"github.com/damasklever/damasklever/internal/planner"
	"github.com/damasklever/damasklever/internal/wire"
)

// planKind is the kind of the one plan; it has no name.
const planKind = "plan"

// Plan returns the plan in force, or nil before the first one. It is read only.
func (r *Registrar) Plan() *wire.Plan {
	p, _ := r.objects.get(key{kind: planKind}).(*wire.Plan)

	return p
}

// Entries returns the number of entry processes that have registered and were
// not reported absent.
func (r *Registrar) Entries() int { return len(r.claims.current) }

// replace puts a plan in force if its version is the highest. An older one is
// done, since it is superseded, and a resend finds its own content. Other content
// under the version in force loses to what came first.
func (r *Registrar) replace(index uint64, p *wire.Plan) *wire.Result {
	if err := planner.Validate(p); err != nil {
		return invalid("%w", err)
	}
	held := r.Plan()
	switch {
	case held == nil || p.GetVersion() > held.GetVersion():
		r.put(index, key{kind: planKind}, p)

		return done("version %d is in force", p.GetVersion())
	case p.GetVersion() == held.GetVersion() && !bytes.Equal(p.GetSource(), held.GetSource()):
		return conflict("version %d is in force with other content", held.GetVersion())
	default:
		return done("version %d is in force", held.GetVersion())
	}
}
