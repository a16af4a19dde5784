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

// Listing is the result of one read of the host list, in the form in which processes pass
// it on. It is immutable.
type Listing struct {
	term, number uint64
	read         time.Time // when the read began, by the clock of this process
	digest       uint64
	hosts        []*wire.Host // sorted by id
}

// NewListing returns the listing of a read that began at the time read. If a server is
// listed twice, the last entry is used.
func NewListing(term, number uint64, read time.Time, servers []placer.Server) *Listing {
	byID := make(map[string]*wire.Host, len(servers))
	for _, s := range servers {
		byID[s.ID] = &wire.Host{
			Id: s.ID, Addr: s.Addr, Pool: s.Pool, Centre: s.Centre, Region: s.Region, Stage: int32(s.Stage),
			Leaving: s.Leaving, Version: s.Version, Birth: s.Birth,
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

// digest never returns 0, which means no listing in a message.
func digest(hosts []*wire.Host) uint64 {
	sum := fnv.New64a()
	options := proto.MarshalOptions{Deterministic: true}
	var b []byte
	for _, h := range hosts {
		var err error
		if b, err = options.MarshalAppend(b[:0], h); err != nil {
			// Marshal fails only for invalid UTF-8, and then for every process, so using
			// the id alone still gives equal digests for equal hosts.
			b = append(b[:0], h.GetId()...)
		}
		_, _ = sum.Write(b) // never returns an error
	}

	return max(sum.Sum64(), 1)
}

// Term returns the term in which the leader read the list.
func (l *Listing) Term() uint64 { return l.term }

// Number returns the sequence number of the listing within its term.
func (l *Listing) Number() uint64 { return l.number }

// ReadTime returns the time at which the read began.
func (l *Listing) ReadTime() time.Time { return l.read }

// Digest returns a hash of the hosts.
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
			Version: h.GetVersion(), Birth: h.GetBirth(),
		})
	}

	return out
}

// isNewer reports whether the listing was read after other, which may be nil.
func (l *Listing) isNewer(other *Listing) bool {
	return other == nil || l.term > other.term || l.term == other.term && l.number > other.number
}

// Message returns the message that updates a receiver from the listing held to this one.
// It has only the changes, or all hosts if held is nil.
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

// errUnknownBase is returned for a message with changes to a listing that the receiver
// does not have.
var errUnknownBase = errors.New("the changes are based on another listing")

// ApplyMessage applies a message to the listing held, which is nil before the first message, and
// returns the resulting listing.
func ApplyMessage(now time.Time, held *Listing, m *wire.Listing) (*Listing, error) {
	read := now.Add(-time.Duration(max(m.GetAge(), 0)) * time.Millisecond)
	hosts := make(map[string]*wire.Host)
	switch {
	case m.GetBase() == 0:
	case held == nil || held.digest != m.GetBase():
		return nil, errUnknownBase
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
		return nil, errors.Newf("digest of the resulting listing is %x, want %x", out.digest, m.GetDigest())
	}

	return out, nil
}
