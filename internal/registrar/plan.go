package registrar

import (
	"bytes"

	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// planKind is the kind of the plan. There is only one, and it has no name.
const planKind = "plan"

// Plan returns the active plan, or nil if there is none yet. It must not be
// modified.
func (r *Registrar) Plan() *wire.Plan {
	p, _ := r.objects.get(key{kind: planKind}).(*wire.Plan)

	return p
}

// Entries returns the number of entry processes that are registered and not absent.
func (r *Registrar) Entries() int { return len(r.claims.current) }

// replacePlan activates a plan if its version is higher than the current one. An
// older version succeeds without effect, since it is superseded, and so does the
// current version with the same content, which is a resend. The current version with
// different content is a conflict: the first content remains.
func (r *Registrar) replacePlan(index uint64, p *wire.Plan) *wire.Result {
	if err := matcher.Validate(p); err != nil {
		return invalid("%w", err)
	}
	current := r.Plan()
	switch {
	case current == nil || p.GetVersion() > current.GetVersion():
		r.put(index, key{kind: planKind}, p)

		return done("version %d is in force", p.GetVersion())
	case p.GetVersion() == current.GetVersion() && !bytes.Equal(p.GetSource(), current.GetSource()):
		return conflict("version %d is in force with other content", current.GetVersion())
	default:
		return done("version %d is in force", current.GetVersion())
	}
}
