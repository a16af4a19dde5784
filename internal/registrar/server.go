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
	// maxOrders is the maximum number of waiting orders of one server.
	maxOrders      = 16
	maxEndedOrders = 1_024
	orderWaiting   = "waiting"
	orderDone      = "done"
	orderFailed    = "failed"
)

// findServer returns a copy of a registered server, or of one that deregistered but
// whose state is kept, with its key.
func (d *draft) findServer(name string) (key, *wire.Server, error) {
	for _, kind := range []string{parser.Server, departed} {
		k := key{kind, name}
		if s, ok := d.get(k).(*wire.Server); ok {
			return k, proto.CloneOf(s), nil
		}
	}

	return key{}, nil, errors.New("it does not exist")
}

// drain drains a server or returns it to service.
func (d *draft) drain(e *wire.Edit) error {
	if e.GetKind() != parser.Server {
		return errors.New("only a server can be drained")
	}
	k, s, err := d.findServer(e.GetName())
	if err != nil {
		return err
	}
	s.Drained = e.GetVerb() == parser.Drain
	d.put(k, s)

	return nil
}

// addOrder adds an engine order with a new fencing token. Tokens increase across all
// servers, so that none is issued twice even if a server is deleted.
func (d *draft) addOrder(i int, e *wire.Edit) error {
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
	k, s, err := d.findServer(e.GetName())
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
		Fence: d.fence, State: orderWaiting,
	})
	d.put(k, s)

	return nil
}

// register records the start or end of a process. It does not change the revision.
func (r *Registrar) register(index uint64, now time.Time, m *wire.Register) *wire.Result {
	a := m.GetAttach()
	if err := checkName(a.GetName()); err != nil {
		return invalid("register: %w", err)
	}
	switch a.GetRole() {
	case "entry":
		if m.GetGone() {
			return r.claims.markAbsent(now, a.GetName(), a.GetEpoch())
		}

		return r.claims.markPresent(now, a.GetName(), a.GetEpoch())
	case "agent":
		if m.GetGone() {
			return r.removeServer(index, a)
		}

		return r.addServer(index, a)
	default:
		return invalid("register %s: role %q is not entry or agent", a.GetName(), a.GetRole())
	}
}

// checkServer validates the registration of a server.
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

// addServer registers a server. It keeps the drained state, the fencing token and the
// orders of an earlier registration.
func (r *Registrar) addServer(index uint64, a *wire.Attach) *wire.Result {
	if err := checkServer(a); err != nil {
		return invalid("register server %s: %w", a.GetName(), err)
	}
	k, departedKey := key{parser.Server, a.GetName()}, key{departed, a.GetName()}
	next := &wire.Server{
		Name: a.GetName(), Service: a.GetService(), Phase: a.GetPhase(), Addr: a.GetAddr(),
		Region: a.GetRegion(), Centre: a.GetCentre(), Pieces: a.GetPieces(), Epoch: a.GetEpoch(),
	}
	old, _ := r.objects.get(k).(*wire.Server)
	if old == nil {
		old, _ = r.objects.get(departedKey).(*wire.Server)
	}
	if old == nil {
		// Orders of a deleted server with the same name have a lower token.
		r.fence++
		next.Fence = r.fence
	} else {
		next.Drained, next.Fence, next.Orders = old.GetDrained(), old.GetFence(), old.GetOrders()
	}
	if proto.Equal(next, r.objects.get(k)) {
		return done("server %s is registered already", a.GetName())
	}
	r.remove(index, departedKey)
	r.put(index, k, next)

	return done("server %s is registered", a.GetName())
}

// removeServer deregisters a server. If it is drained or has orders, these are kept
// for its next start.
func (r *Registrar) removeServer(index uint64, a *wire.Attach) *wire.Result {
	k := key{parser.Server, a.GetName()}
	s, ok := r.objects.get(k).(*wire.Server)
	if !ok {
		return done("server %s was not registered", a.GetName())
	}
	if s.GetEpoch() != a.GetEpoch() {
		return done("server %s was started again", a.GetName())
	}
	r.remove(index, k)
	if s.GetDrained() || len(s.GetOrders()) > 0 {
		r.put(index, key{departed, a.GetName()}, s)
	}

	return done("server %s is deregistered", a.GetName())
}

// recordOrderEnd moves an engine order that succeeded or failed from its server to the
// ended orders.
func (r *Registrar) recordOrderEnd(index uint64, now time.Time, m *wire.Report) *wire.Result {
	if m.GetState() != orderDone && m.GetState() != orderFailed {
		return invalid("state %q of an order is not done or failed", m.GetState())
	}
	for _, kind := range []string{parser.Server, departed} {
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
		if o.GetVerb() == "role" && m.GetState() == orderDone {
			s.Phase = o.GetSubject()
		}
		r.put(index, k, s)
		r.endedOrders = append(r.endedOrders, &wire.Carried{Server: m.GetServer(), Order: o, Time: now.UnixMilli()})
		if len(r.endedOrders) > maxEndedOrders {
			r.endedOrders = slices.Clone(r.endedOrders[maxEndedOrders/2:])
		}

		return done("order %s %s", m.GetOrder(), m.GetState())
	}
	for _, c := range r.endedOrders {
		if c.GetOrder().GetId() == m.GetOrder() {
			return done("order %s was reported before", m.GetOrder())
		}
	}

	return invalid("server %s has no order %s", m.GetServer(), m.GetOrder())
}
