package registrar

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/parser"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// maxOrders bounds the waiting orders of one server.
	maxOrders  = 16
	maxCarried = 1_024
	waiting    = "waiting"
	carriedOut = "done"
	failed     = "failed"
)

// server returns a server, or what is kept of one that left.
func (d *draft) server(name string) (key, *wire.Server, error) {
	for _, kind := range []string{parser.Server, parked} {
		k := key{kind, name}
		if s, ok := d.get(k).(*wire.Server); ok {
			return k, proto.CloneOf(s), nil
		}
	}

	return key{}, nil, errors.New("it does not exist")
}

func (d *draft) drain(e *wire.Edit) error {
	if e.GetKind() != parser.Server {
		return errors.New("only a server can be drained")
	}
	k, s, err := d.server(e.GetName())
	if err != nil {
		return err
	}
	s.Drained = e.GetVerb() == parser.Drain
	d.put(k, s)

	return nil
}

// command adds an engine order under a new fencing token. Tokens grow over all
// servers, so that one is never issued twice even if a server is deleted.
func (d *draft) command(i int, e *wire.Edit) error {
	o := e.GetOrder()
	if e.GetKind() != parser.Server || o == nil {
		return errors.New("an order needs a server and what to do")
	}
	switch {
	case o.GetVerb() != "load" && o.GetVerb() != "unload" && o.GetVerb() != "role":
		return errors.Newf("order %q is not load, unload or role", o.GetVerb())
	case o.GetVerb() == "role" && o.GetSubject() != "prefill" && o.GetSubject() != "decode":
		return errors.Newf("role %q is not prefill or decode", o.GetSubject())
	case o.GetSubject() == "":
		return errors.New("the subject of the order is missing")
	}
	k, s, err := d.server(e.GetName())
	if err != nil {
		return err
	}
	if len(s.GetOrders()) >= maxOrders {
		return errors.Newf("it has %d orders waiting already", maxOrders)
	}
	d.fence++
	s.Fence = d.fence
	s.Orders = append(s.Orders, &wire.Order{
		Id: fmt.Sprintf("%s.%d", d.id, i+1), Verb: o.GetVerb(), Subject: o.GetSubject(),
		Fence: d.fence, State: waiting,
	})
	d.put(k, s)

	return nil
}

// register records a process start or its end. It does not change the operators'
// revision.
func (r *Registrar) register(index uint64, now time.Time, m *wire.Register) *wire.Result {
	a := m.GetAttach()
	if err := checkName(a.GetName()); err != nil {
		return invalid("register: %w", err)
	}
	switch a.GetRole() {
	case "entry":
		if m.GetGone() {
			return r.claims.absent(now, a.GetName(), a.GetEpoch())
		}

		return r.claims.present(now, a.GetName(), a.GetEpoch())
	case "agent":
		if m.GetGone() {
			return r.leave(index, a)
		}

		return r.join(index, a)
	default:
		return invalid("register %s: role %q is not entry or agent", a.GetName(), a.GetRole())
	}
}

func checkServer(a *wire.Attach) error {
	switch {
	case a.GetService() == "":
		return errors.New("service is missing")
	case a.GetAddr() == "":
		return errors.New("address is missing")
	case a.GetPhase() != "prefill" && a.GetPhase() != "decode" && a.GetPhase() != "plain":
		return errors.Newf("phase %q is not prefill, decode or plain", a.GetPhase())
	case a.GetPieces() <= 0:
		return errors.New("pieces must be positive")
	}

	return nil
}

func (r *Registrar) join(index uint64, a *wire.Attach) *wire.Result {
	if err := checkServer(a); err != nil {
		return invalid("register server %s: %w", a.GetName(), err)
	}
	k, left := key{parser.Server, a.GetName()}, key{parked, a.GetName()}
	next := &wire.Server{
		Name: a.GetName(), Service: a.GetService(), Phase: a.GetPhase(), Addr: a.GetAddr(),
		Region: a.GetRegion(), Centre: a.GetCentre(), Pieces: a.GetPieces(), Epoch: a.GetEpoch(),
	}
	old, _ := r.objects.get(k).(*wire.Server)
	if old == nil {
		old, _ = r.objects.get(left).(*wire.Server)
	}
	if old == nil {
		// Orders of an earlier server of this name have a lower token.
		r.fence++
		next.Fence = r.fence
	} else {
		next.Drained, next.Fence, next.Orders = old.GetDrained(), old.GetFence(), old.GetOrders()
	}
	if proto.Equal(next, r.objects.get(k)) {
		return done("server %s is registered already", a.GetName())
	}
	r.drop(index, left)
	r.put(index, k, next)

	return done("server %s is registered", a.GetName())
}

func (r *Registrar) leave(index uint64, a *wire.Attach) *wire.Result {
	k := key{parser.Server, a.GetName()}
	s, ok := r.objects.get(k).(*wire.Server)
	if !ok {
		return done("server %s was not registered", a.GetName())
	}
	if s.GetEpoch() != a.GetEpoch() {
		return done("server %s was started again", a.GetName())
	}
	r.drop(index, k)
	if s.GetDrained() || len(s.GetOrders()) > 0 {
		r.put(index, key{parked, a.GetName()}, s)
	}

	return done("server %s is deregistered", a.GetName())
}

// report records the end of an engine order.
func (r *Registrar) report(index uint64, now time.Time, m *wire.Report) *wire.Result {
	if m.GetState() != carriedOut && m.GetState() != failed {
		return invalid("state %q of an order is not done or failed", m.GetState())
	}
	for _, kind := range []string{parser.Server, parked} {
		k := key{kind, m.GetServer()}
		s, ok := r.objects.get(k).(*wire.Server)
		if !ok {
			continue
		}
		at := slices.IndexFunc(s.GetOrders(), func(o *wire.Order) bool { return o.GetId() == m.GetOrder() })
		if at < 0 {
			continue
		}
		s = proto.CloneOf(s)
		o := s.GetOrders()[at]
		o.State, o.Reason = m.GetState(), m.GetReason()
		s.Orders = slices.Delete(s.GetOrders(), at, at+1)
		if o.GetVerb() == "role" && m.GetState() == carriedOut {
			s.Phase = o.GetSubject()
		}
		r.put(index, k, s)
		r.carried = append(r.carried, &wire.Carried{Server: m.GetServer(), Order: o, Time: now.UnixMilli()})
		if len(r.carried) > maxCarried {
			r.carried = slices.Clone(r.carried[maxCarried/2:])
		}

		return done("order %s %s", m.GetOrder(), m.GetState())
	}
	for _, c := range r.carried {
		if c.GetOrder().GetId() == m.GetOrder() {
			return done("order %s was reported before", m.GetOrder())
		}
	}

	return invalid("server %s has no order %s", m.GetServer(), m.GetOrder())
}
