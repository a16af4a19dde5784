package lister

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Listing is one reading of the host list as it is passed on. It never changes.
type Listing struct {
	term, number uint64
	read         time.Time // when the reading began, by the clock of this process
	digest       uint64
	hosts        []*wire.Host // by id
}

// NewListing returns a reading that began at a time. A server that the list names twice
// counts once, as it is named last.
func NewListing(term, number uint64, read time.Time, servers []placer.Server) *Listing {
	byID := make(map[string]*wire.Host, len(servers))
	for _, s := range servers {
		byID[s.ID] = &wire.Host{
			Id: s.ID, Addr: s.Addr, Pool: s.Pool, Centre: s.Centre, Region: s.Region, Stage: int32(s.Stage),
			Leaving: s.Leaving,
		}
	}

	return newListing(term, number, read, byID)
}

func newListing(term, number uint64, read time.Time, byID map[string]*wire.Host) *Listing {
	l := &Listing{term: term, number: number, read: read, hosts: make([]*wire.Host, 0, len(byID))}
	for _, h := range byID {
		l.hosts = append(l.hosts, h)
	}
	slices.SortFunc(l.hosts, func(a, b *wire.Host) int { return cmp.Compare(a.GetId(), b.GetId()) })
	l.digest = digest(l.hosts)

	return l
}

// digest is never 0, which stands for no listing.
func digest(hosts []*wire.Host) uint64 {
	sum := fnv.New64a()
	options := proto.MarshalOptions{Deterministic: true}
	var b []byte
	for _, h := range hosts {
		var err error
		if b, err = options.MarshalAppend(b[:0], h); err != nil {
			// Only invalid UTF-8 gives an error, and it gives the same one each time.
			b = append(b[:0], h.GetId()...)
		}
		_, _ = sum.Write(b) // it never fails
	}

	return max(sum.Sum64(), 1)
}

// Term is that of the leader that read the list.
func (l *Listing) Term() uint64 { return l.term }

// Number orders the readings of a term.
func (l *Listing) Number() uint64 { return l.number }

// Read is when the reading began.
func (l *Listing) Read() time.Time { return l.read }

// Digest tells listings with other hosts apart.
func (l *Listing) Digest() uint64 { return l.digest }

// Size returns the number of servers.
func (l *Listing) Size() int { return len(l.hosts) }

// Servers returns a copy of the list.
func (l *Listing) Servers() []placer.Server {
	out := make([]placer.Server, 0, len(l.hosts))
	for _, h := range l.hosts {
		out = append(out, placer.Server{
			ID: h.GetId(), Addr: h.GetAddr(), Pool: h.GetPool(), Centre: h.GetCentre(), Region: h.GetRegion(),
			Stage: placer.Stage(h.GetStage()), Leaving: h.GetLeaving(),
		})
	}

	return out
}

// newer tells whether a listing was read after another one, which may be nil.
func (l *Listing) newer(other *Listing) bool {
	return other == nil || l.term > other.term || l.term == other.term && l.number > other.number
}

// Message returns what a receiver that holds a listing needs to hold this one; held is
// nil if it holds none.
func (l *Listing) Message(now time.Time, held *Listing) *wire.Listing {
	m := &wire.Listing{
		Term: l.term, Number: l.number, Age: max(now.Sub(l.read).Milliseconds(), 0), Digest: l.digest, Hosts: l.hosts,
	}
	if held == nil {
		return m
	}
	m.Base, m.Hosts = held.digest, nil
	if held.digest == l.digest {
		return m
	}
	old := held.byID()
	for _, h := range l.hosts {
		if !proto.Equal(old[h.GetId()], h) {
			m.Hosts = append(m.Hosts, h)
		}
		delete(old, h.GetId())
	}
	for id := range old {
		m.Gone = append(m.Gone, id)
	}

	return m
}

func (l *Listing) byID() map[string]*wire.Host {
	out := make(map[string]*wire.Host, len(l.hosts))
	for _, h := range l.hosts {
		out[h.GetId()] = h
	}

	return out
}

// errBase ends the reading of a message that changes a listing which is not held.
var errBase = errors.New("the message changes another listing")

// Next returns the listing that a message makes of the one held, which is nil before the
// first message.
func Next(now time.Time, held *Listing, m *wire.Listing) (*Listing, error) {
	read := now.Add(-time.Duration(max(m.GetAge(), 0)) * time.Millisecond)
	hosts := make(map[string]*wire.Host)
	switch {
	case m.GetBase() == 0:
	case held == nil || held.digest != m.GetBase():
		return nil, errBase
	case m.GetDigest() == held.digest:
		return &Listing{term: m.GetTerm(), number: m.GetNumber(), read: read, digest: held.digest, hosts: held.hosts}, nil
	default:
		hosts = held.byID()
	}
	for _, id := range m.GetGone() {
		delete(hosts, id)
	}
	for _, h := range m.GetHosts() {
		hosts[h.GetId()] = h
	}
	out := newListing(m.GetTerm(), m.GetNumber(), read, hosts)
	if out.digest != m.GetDigest() {
		return nil, errors.Newf("the digest is %x, want %x", out.digest, m.GetDigest())
	}

	return out, nil
}
