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
	// maxHistory is the maximum number of changes in the history, enough for a day at
	// the design size.
	maxHistory = 8_192
	// maxTextBytes is the maximum length of the text of a change in the history.
	maxTextBytes = 4_096
	// maxEdits limits the work of one command.
	maxEdits = 10_000
	// AnyRevision is the value of Expect in a command that applies to any revision.
	AnyRevision = -1
)

// change applies all edits of an operator's change, or none if one is invalid.
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
		Time: now.UnixMilli(), Text: truncateText(cmd.GetChange().GetText()),
	})
	if len(r.history) > maxHistory {
		r.history = slices.Clone(r.history[maxHistory/2:])
	}

	return res
}

// truncateText limits the text of a change to maxTextBytes.
func truncateText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}

	return strings.ToValidUTF8(text[:maxTextBytes], "") + " ..."
}

// prepare applies the edits of a change to a draft. The draft is nil if the change is
// invalid.
func (r *Registrar) prepare(index uint64, now time.Time, cmd *wire.Command) (*draft, *wire.Result) {
	if res := r.checkRevision(cmd); res != nil {
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
	if err := d.validate(); err != nil {
		return nil, invalid("%w", err)
	}
	if cmd.GetChange().GetDry() {
		return d, done("valid, it would become revision %d", r.revision+1)
	}

	return d, done("revision %d", r.revision+1)
}

// checkRevision compares the current revision with the one that the sender expects.
// Of two changes that expect the same revision only one succeeds. The result is nil if
// the revision is as expected.
func (r *Registrar) checkRevision(cmd *wire.Command) *wire.Result {
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
			res.Winner = changeLabel(h)
			res.Text += "; " + res.GetWinner() + " came first"
		}
	}

	return res
}

// changeLabel returns the id and author of a change.
func changeLabel(h *wire.Revised) string {
	if h.GetWho() == "" {
		return h.GetId()
	}

	return fmt.Sprintf("%s by %s", h.GetId(), h.GetWho())
}

// draft holds the edits of one change on top of the current state until they are
// committed.
type draft struct {
	r             *Registrar
	index         uint64
	now           time.Time
	id            string
	changed       map[key]object // nil: deleted
	order         []key          // of the first change of each
	fence         uint64
	unblocked     []string // digests released
	configChanged bool     // services, ranks or rules changed
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
	d.configChanged = d.configChanged || k.kind == parser.Service || k.kind == parser.Rank || k.kind == parser.Rule
}

// all returns the objects of a kind after the edits in order of name.
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
	return parser.FormatField(m, parser.Fields(parser.KindOf(m))[0])
}

// commit writes the edits to the state.
func (d *draft) commit() {
	for _, k := range d.order {
		if m := d.changed[k]; m != nil {
			d.r.put(d.index, k, m)
		} else {
			d.r.remove(d.index, k)
		}
	}
	for _, digest := range d.unblocked {
		for _, c := range slices.Clone(d.r.crashes.byDigest[digest]) {
			d.r.crashes.resolve(c)
		}
	}
	d.r.fence = d.fence
}

// edit applies the edit with index i.
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
		return d.addOrder(i, e)
	case parser.Block:
		return d.block(e)
	case parser.Release:
		return d.release(e)
	default:
		return errors.New("the verb is unknown")
	}
}

// delete deletes an object. For a server this includes what is kept after it
// deregistered.
func (d *draft) delete(e *wire.Edit) error {
	k := key{e.GetKind(), e.GetName()}
	switch k.kind {
	case parser.Service, parser.Rank, parser.Rule, parser.Server:
	default:
		return errors.Newf("a %s cannot be deleted", k.kind)
	}
	departedKey := key{departed, k.name}
	if k.kind == parser.Server && d.get(departedKey) != nil {
		d.put(departedKey, nil)
	} else if d.get(k) == nil {
		return errors.New("it does not exist")
	}
	if d.get(k) != nil {
		d.put(k, nil)
	}

	return nil
}

// block blocks a digest.
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

// release ends the block of a digest.
func (d *draft) release(e *wire.Edit) error {
	k := key{parser.Digest, e.GetName()}
	if e.GetKind() != parser.Digest || d.get(k) == nil {
		return errors.New("it is not blocked")
	}
	d.put(k, nil)
	d.unblocked = append(d.unblocked, e.GetName())

	return nil
}
