package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	discoverInterval = 200 * time.Millisecond
	identityTimeout  = 2 * time.Second
	// roundsPerLog is the number of discovery rounds between two log lines about a
	// member that does not answer.
	roundsPerLog = 25
	// The first snapshot of a cluster contains only its members.
	firstIndex = 1
	firstTerm  = 1
)

// bootstrap writes the first snapshot of a new cluster. An empty data directory does
// not tell a new host from one that lost its disk, so all members must be reachable
// once and record each other's identity. A host that loses its disk later gets a new
// identity, finds members that know its old one, and waits to be added.
func (c *Controller) bootstrap() error {
	st, err := c.rec.Load()
	if err != nil {
		return errors.Newf("load data directory: %w", err)
	}
	if st.Snapshot != nil || len(st.Entries) > 0 || len(c.s.Members) == 0 {
		return nil
	}
	members, err := c.discoverMembers()
	if err != nil || members == nil {
		return err
	}
	c.founding.Store(true)
	// A host may have voted before it received any entry.
	if st.Vote.GetTerm() < firstTerm {
		if err := c.rec.Save(&wire.Vote{Term: firstTerm}, nil); err != nil {
			return errors.Newf("bootstrap cluster: %w", err)
		}
	}
	err = c.rec.Snapshot(&wire.Snapshot{Index: firstIndex, Term: firstTerm, Members: members})
	if err != nil {
		return errors.Newf("bootstrap cluster: %w", err)
	}
	// The other hosts wait for a cluster once they have been told its members, so these must
	// be on disk first.
	c.knownMembers.Store(members)

	return nil
}

// discoverMembers returns the initial members, or nil if the cluster already exists
// without this host. An answer from one member of the existing cluster is enough, as the
// others may be down.
func (c *Controller) discoverMembers() (*wire.Members, error) {
	known := map[uint64]*wire.Member{c.s.Number: c.self}
	for round := 0; ; round++ {
		for _, m := range c.s.Members {
			if known[m.GetNumber()] != nil {
				continue
			}
			g, err := c.requestIdentity(c.ctx, m.GetAddr())
			if err != nil && round%roundsPerLog != 0 {
				continue
			}
			if err != nil {
				c.s.Log.Info().Uint64("number", m.GetNumber()).Str("addr", m.GetAddr()).Err(err).Msg("waiting for member")

				continue
			}
			if g.GetNumber() != m.GetNumber() {
				return nil, errors.Newf("bootstrap cluster: host at %s has number %d, but the settings say %d",
					m.GetAddr(), g.GetNumber(), m.GetNumber())
			}
			if g.GetMembers() != nil {
				return c.joinExisting(g.GetMembers()), nil
			}
			known[m.GetNumber()] = &wire.Member{Id: g.GetId(), Addr: m.GetAddr(), Number: m.GetNumber()}
		}
		if len(known) == len(c.s.Members) {
			break
		}
		if !c.sleep(c.ctx, discoverInterval) {
			return nil, errors.Newf("bootstrap cluster: %w", ErrClosed)
		}
	}
	// Sorted by number, so that all initial members write the same snapshot
	// regardless of the order in their settings.
	members := &wire.Members{}
	for _, number := range slices.Sorted(maps.Keys(known)) {
		members.Voters = append(members.Voters, known[number])
	}

	return members, nil
}

// joinExisting returns the members of an existing cluster if this host is one of the initial
// ones, and otherwise nil, as it then waits to be added or to receive the log.
func (c *Controller) joinExisting(members *wire.Members) *wire.Members {
	if c.isInitialVoter(members) {
		return members
	}
	c.logIfReplaced(members)
	c.knownMembers.Store(members)

	return nil
}

// isInitialVoter reports whether members are those that the cluster started with, and this
// host, whose log is empty, is one of them. A learner becomes a voter only once it has entries,
// so a voter without any is an initial one. It must have the first snapshot like the others, or
// the cluster would be lost with the only disk that has it.
func (c *Controller) isInitialVoter(members *wire.Members) bool {
	voters := members.GetVoters()
	if len(members.GetLearners()) > 0 || len(voters) != len(c.s.Members) {
		return false
	}
	for _, m := range c.s.Members {
		if !slices.ContainsFunc(voters, func(v *wire.Member) bool {
			return v.GetNumber() == m.GetNumber() && v.GetAddr() == m.GetAddr()
		}) {
			return false
		}
	}

	return slices.ContainsFunc(voters, func(v *wire.Member) bool { return v.GetId() == c.self.GetId() })
}

// logIfReplaced logs an error if an existing cluster has this host's number under
// another identity, as it does when this host has lost its data directory.
func (c *Controller) logIfReplaced(members *wire.Members) {
	for _, m := range append(members.GetVoters(), members.GetLearners()...) {
		if m.GetNumber() == c.s.Number && m.GetId() != c.self.GetId() {
			c.s.Log.Error().Uint64("number", c.s.Number).Str("addr", c.self.GetAddr()).
				Msg("data directory is new but the cluster knows this host: remove the member and add it again")
		}
	}
}

func (c *Controller) requestIdentity(ctx context.Context, addr string) (*wire.Greeting, error) {
	ctx, cancel := c.withTimeout(ctx, identityTimeout)
	defer cancel()
	response, err := c.links.call(ctx, addr, &wire.Request{Body: &wire.Request_Greet{
		Greet: &wire.Greet{Id: c.self.GetId(), Number: c.s.Number},
	}})
	if err != nil {
		return nil, errors.Newf("greet %s: %w", addr, err)
	}
	if response.GetGreeting().GetId() == 0 {
		return nil, errors.Newf("greet %s: unexpected answer", addr)
	}

	return response.GetGreeting(), nil
}

// identityReply answers a host that is new or about to be added. A host whose data
// directory names members must report them even before its log runs; otherwise a
// host that lost its disk could bootstrap a second cluster with it. While they are being
// written, the answer is empty and the other host asks again.
func (c *Controller) identityReply() *wire.Greeting {
	founding, members := c.founding.Load(), c.knownMembers.Load()
	if founding && members == nil {
		return &wire.Greeting{}
	}

	return &wire.Greeting{Id: c.self.GetId(), Number: c.s.Number, Members: members}
}
