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
	greetInterval = 200 * time.Millisecond
	greetTimeout  = 2 * time.Second
	// greetRounds is the number of rounds between two log lines.
	greetRounds = 25
	// The first snapshot of a cluster holds its members and nothing else.
	firstIndex = 1
	firstTerm  = 1
)

// found writes the first snapshot of a new cluster. A new data directory cannot
// tell whether the host is new or lost its disk, so all members have to meet
// once and record each other's identity. A host whose disk is lost later has a
// new identity, meets members that know its old one, and waits to be added.
func (c *Controller) found() error {
	st, err := c.rec.Load()
	if err != nil {
		return errors.Newf("load log: %w", err)
	}
	if st.Snapshot != nil || len(st.Entries) > 0 || len(c.s.Members) == 0 {
		return nil
	}
	members, err := c.meet()
	if err != nil || members == nil {
		return err
	}
	if err := c.rec.Save(&wire.Vote{Term: firstTerm}, nil); err != nil {
		return errors.Newf("found cluster: %w", err)
	}
	c.recorded.Store(members)
	err = c.rec.Snapshot(&wire.Snapshot{Index: firstIndex, Term: firstTerm, Members: members})
	if err != nil {
		return errors.Newf("found cluster: %w", err)
	}

	return nil
}

// meet returns the founding members, or nil if the cluster exists already. One
// member that knows the cluster is enough to tell: the others may be down.
func (c *Controller) meet() (*wire.Members, error) {
	met := map[uint64]*wire.Member{c.s.Number: c.me}
	for round := 0; ; round++ {
		for _, m := range c.s.Members {
			if met[m.GetNumber()] != nil {
				continue
			}
			g, err := c.greet(c.ctx, m.GetAddr())
			if err != nil && round%greetRounds != 0 {
				continue
			}
			if err != nil {
				c.s.Log.Info().Uint64("number", m.GetNumber()).Str("addr", m.GetAddr()).Err(err).Msg("waiting for member")

				continue
			}
			if g.GetNumber() != m.GetNumber() {
				return nil, errors.Newf("found cluster: host at %s has number %d, the settings say %d",
					m.GetAddr(), g.GetNumber(), m.GetNumber())
			}
			if g.GetMembers() != nil {
				c.reportPlace(g.GetMembers())
				c.recorded.Store(g.GetMembers())

				return nil, nil //nolint:nilnil // documented
			}
			met[m.GetNumber()] = &wire.Member{Id: g.GetId(), Addr: m.GetAddr(), Number: m.GetNumber()}
		}
		if len(met) == len(c.s.Members) {
			break
		}
		if !c.pause(c.ctx, greetInterval) {
			return nil, errors.Newf("found cluster: %w", ErrClosed)
		}
	}
	// All founders write the same snapshot, in whatever order they were named.
	members := &wire.Members{}
	for _, number := range slices.Sorted(maps.Keys(met)) {
		members.Voters = append(members.Voters, met[number])
	}

	return members, nil
}

// reportPlace says what a host with a new data directory is in a cluster that
// exists.
func (c *Controller) reportPlace(members *wire.Members) {
	for _, m := range append(members.GetVoters(), members.GetLearners()...) {
		if m.GetNumber() == c.s.Number && m.GetId() != c.me.GetId() {
			c.s.Log.Error().Uint64("number", c.s.Number).Str("addr", c.me.GetAddr()).
				Msg("data directory is new but the cluster knows this host: remove the member and add it again")
		}
	}
}

func (c *Controller) greet(ctx context.Context, addr string) (*wire.Greeting, error) {
	ctx, cancel := c.within(ctx, greetTimeout)
	defer cancel()
	response, err := c.links.call(ctx, addr, &wire.Request{Body: &wire.Request_Greet{
		Greet: &wire.Greet{Id: c.me.GetId(), Number: c.s.Number},
	}})
	if err != nil {
		return nil, errors.Newf("greet %s: %w", addr, err)
	}
	if response.GetGreeting().GetId() == 0 {
		return nil, errors.Newf("greet %s: unexpected answer", addr)
	}

	return response.GetGreeting(), nil
}

// greeting answers a host that is new or about to be added. A host whose data
// directory names members must say so even before its log runs: otherwise a
// host with a lost disk could found a second cluster with it.
func (c *Controller) greeting() *wire.Greeting {
	return &wire.Greeting{Id: c.me.GetId(), Number: c.s.Number, Members: c.recorded.Load()}
}
