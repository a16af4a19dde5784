package registrar

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// maxHistory covers a day of changes at the design size.
	maxHistory = 8_192
	// maxTextBytes bounds the text of a change in the history.
	maxTextBytes = 4_096
	// maxEdits bounds the work of one command.
	maxEdits = 10_000
	// AnyRevision is the Expect of a command that takes any revision.
	AnyRevision = -1
)

// change applies an operator's change, all or nothing.
func (r *Registrar) change(index uint64, now time.Time, cmd *wire.Command) *wire.Result {
	d, res := r.prepare(index, now, cmd)
	if d == nil || cmd.GetChange().GetDry() {
		return res
	}
	d.commit()
	r.revision++
	r.visible = index
	r.history = append(r.history, &wire.Revised{
		Revision: r.revision, Index: index, Id: cmd.GetId(), Who: cmd.GetWho(),
		Time: now.UnixMilli(), Text: shorten(cmd.GetChange().GetText()),
	})
	if len(r.history) > maxHistory {
		r.history = slices.Clone(r.history[maxHistory/2:])
	}

	return res
}

func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}

	return strings.ToValidUTF8(text[:maxTextBytes], "") + " ..."
}

// prepare makes the edits on a draft. The draft is nil if one of them failed.
func (r *Registrar) prepare(index uint64, now time.Time, cmd *wire.Command) (*draft, *wire.Result) {
	if res := r.expect(cmd); res != nil {
		return nil, res
	}
	edits := cmd.GetChange().GetEdits()
	if len(edits) == 0 {
		return nil, invalid("the change has no edits")
	}
	if len(edits) > maxEdits {
		return nil, invalid("the change has %d edits, at most %d are allowed", len(edits), maxEdits)
	}
	d := &draft{r: r, index: index, now: now, id: cmd.GetId(), changed: make(map[key]object), fence: r.fence}
	for i, e := range edits {
		if err := d.edit(i, e); err != nil {
			return nil, invalid("edit %d, %s %s %s: %w", i+1, e.GetVerb(), e.GetKind(), e.GetName(), err)
		}
	}
	if err := d.check(); err != nil {
		return nil, invalid("%w", err)
	}
	if cmd.GetChange().GetDry() {
		return d, done("valid, it would become revision %d", r.revision+1)
	}

	return d, done("revision %d", r.revision+1)
}

// expect compares the revision that the sender saw, so that of two commands with
// the same one exactly one wins.
func (r *Registrar) expect(cmd *wire.Command) *wire.Result {
	want := cmd.GetExpect()
	if want < AnyRevision {
		return invalid("the expected revision %d is negative", want)
	}
	if want == AnyRevision || uint64(want) == r.revision {
		return nil
	}
	if uint64(want) > r.revision {
		return conflict("expected revision %d, but the current one is %d", want, r.revision)
	}
	res := conflict("expected revision %d, but the current one is %d", want, r.revision)
	for _, h := range r.history {
		if h.GetRevision() == uint64(want)+1 {
			res.Winner = winner(h)
			res.Text += "; " + res.GetWinner() + " came first"
		}
	}

	return res
}

func winner(h *wire.Revised) string {
	if h.GetWho() == "" {
		return h.GetId()
	}

	return fmt.Sprintf("%s by %s", h.GetId(), h.GetWho())
}

// draft collects the edits of one change over the state.
type draft struct {
	r       *Registrar
	index   uint64
	now     time.Time
	id      string
	changed map[key]object // nil: deleted
	order   []key          // of the first change of each
	fence   uint64
	freed   []string // digests released
	config  bool     // services, ranks or rules changed
}

func (d *draft) get(k key) object {
	if m, ok := d.changed[k]; ok {
		return m
	}

	return d.r.objects.get(k)
}

func (d *draft) put(k key, m object) {
	if _, ok := d.changed[k]; !ok {
		d.order = append(d.order, k)
	}
	d.changed[k] = m
	d.config = d.config || k.kind == parser.Service || k.kind == parser.Rank || k.kind == parser.Rule
}

// all returns the objects of a kind after the edits, sorted by name.
func (d *draft) all(kind string) []object {
	var out []object
	for _, m := range d.r.objects.all(kind) {
		if _, ok := d.changed[key{kind, nameOf(m)}]; !ok {
			out = append(out, m)
		}
	}
	for _, k := range d.order {
		if m := d.changed[k]; k.kind == kind && m != nil {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b object) int { return strings.Compare(nameOf(a), nameOf(b)) })

	return out
}

func nameOf(m object) string {
	return parser.Format(m, parser.Fields(parser.KindOf(m))[0])
}

func (d *draft) commit() {
	for _, k := range d.order {
		if m := d.changed[k]; m != nil {
			d.r.put(d.index, k, m)
		} else {
			d.r.drop(d.index, k)
		}
	}
	for _, digest := range d.freed {
		for _, c := range slices.Clone(d.r.crashes.suspects[digest]) {
			d.r.crashes.explain(c)
		}
	}
	d.r.fence = d.fence
}

func (d *draft) edit(i int, e *wire.Edit) error {
	if e.GetName() == "" {
		return errors.New("the name is missing")
	}
	switch e.GetVerb() {
	case parser.Create, parser.Change, parser.Set:
		return d.set(e)
	case parser.Delete:
		return d.delete(e)
	case parser.Drain, parser.Return:
		return d.drain(e)
	case parser.Order:
		return d.command(i, e)
	case parser.Block:
		return d.block(e)
	case parser.Release:
		return d.release(e)
	default:
		return errors.New("the verb is unknown")
	}
}

func (d *draft) delete(e *wire.Edit) error {
	k := key{e.GetKind(), e.GetName()}
	switch k.kind {
	case parser.Service, parser.Rank, parser.Rule, parser.Server:
	default:
		return errors.Newf("a %s cannot be deleted", k.kind)
	}
	left := key{parked, k.name}
	if k.kind == parser.Server && d.get(left) != nil {
		d.put(left, nil)
	} else if d.get(k) == nil {
		return errors.New("it does not exist")
	}
	if d.get(k) != nil {
		d.put(k, nil)
	}

	return nil
}

func (d *draft) block(e *wire.Edit) error {
	if e.GetKind() != parser.Digest {
		return errors.New("only a digest can be blocked")
	}
	b := block{&wire.Block{Digest: e.GetName(), Reason: e.GetBlock().GetReason(), Hold: e.GetBlock().GetHold()}}
	b.Defaults()
	if err := b.Validate(); err != nil {
		return err
	}
	hold := time.Duration(b.GetHold()) * time.Second
	d.put(key{parser.Digest, e.GetName()}, &wire.Block{
		Digest: e.GetName(), Until: d.now.Add(hold).UnixMilli(), Reason: e.GetBlock().GetReason(),
	})

	return nil
}

func (d *draft) release(e *wire.Edit) error {
	k := key{parser.Digest, e.GetName()}
	if e.GetKind() != parser.Digest || d.get(k) == nil {
		return errors.New("it is not blocked")
	}
	d.put(k, nil)
	d.freed = append(d.freed, e.GetName())

	return nil
}
