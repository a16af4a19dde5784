package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// listedVersions is when the leader last saw the software versions of each pool listed, by its
// own clock. All fields are accessed only by the event loop.
type listedVersions struct {
	term uint64 // the leader's term in which seen was begun
	// begun is the log index that must be applied before the versions in the log are known.
	begun    uint64
	seen     map[string]map[string]time.Time // by pool and version, nil before that
	proposed map[string]versionProposal      // the last one by pool
	failed   bool
}

// versionProposal is a proposal that may not be committed yet.
type versionProposal struct {
	versions []string
	at       time.Time
}

// versionProposalInterval is the time after which a proposal that is not committed is made
// again.
const versionProposalInterval = time.Second

// updateVersions runs in the event loop. On the leader, it proposes the software versions of
// each pool whose streams may still go on, where those in the log differ. A new leader
// counts from its first listing, so a version is kept rather too long.
func (c *Controller) updateVersions() {
	now, v, l := c.s.Timer.Now(), &c.versions, c.hosts.store.Current()
	status := c.core.Status()
	if status.Role != replicator.Leader || l == nil {
		return
	}
	if v.term != status.Term {
		*v = listedVersions{term: status.Term, begun: status.Last}
	}
	if c.applied < v.begun {
		return
	}
	// The first proposals of a term reach hosts that have applied earlier ones with older
	// software, which did not know them.
	first := v.seen == nil
	if first {
		v.seen, v.proposed = make(map[string]map[string]time.Time), make(map[string]versionProposal)
		for _, held := range c.state.Versions() {
			for _, version := range held.GetVersions() {
				v.note(now, held.GetPool(), version)
			}
		}
	}
	for _, s := range l.Servers() {
		if s.Stage != placer.Plain {
			v.note(now, s.Pool, s.Version)
		}
	}
	held := make(map[string][]string)
	for _, x := range c.state.Versions() {
		held[x.GetPool()] = x.GetVersions()
	}
	oldest := now.Add(-c.longestStream() - c.s.VersionMargin)
	for pool, seen := range v.seen {
		maps.DeleteFunc(seen, func(_ string, at time.Time) bool { return at.Before(oldest) })
		if versions := slices.Sorted(maps.Keys(seen)); first || !slices.Equal(versions, held[pool]) {
			c.proposeVersions(pool, versions, held[pool])
		}
		if len(seen) == 0 && len(held[pool]) == 0 {
			delete(v.seen, pool)
			delete(v.proposed, pool)
		}
	}
}

// note records that a version of a pool may have streams at a time.
func (v *listedVersions) note(now time.Time, pool, version string) {
	if v.seen[pool] == nil {
		v.seen[pool] = make(map[string]time.Time)
	}
	v.seen[pool][version] = now
}

// longestStream returns the longest time limit of the streams of the active plan.
func (c *Controller) longestStream() time.Duration {
	longest := int64(0)
	for _, p := range c.state.Plan().GetPaths() {
		if p.GetNature() == wire.Nature_NATURE_STREAM {
			longest = max(longest, p.GetTimeout())
		}
	}

	return time.Duration(longest) * time.Millisecond
}

func (c *Controller) proposeVersions(pool string, versions, before []string) {
	now := c.s.Timer.Now()
	if last := c.versions.proposed[pool]; slices.Equal(last.versions, versions) && now.Sub(last.at) < versionProposalInterval {
		return
	}
	c.versions.proposed[pool] = versionProposal{versions, now}
	cmd := &wire.Command{
		Id:  fmt.Sprintf("versions/%s/%x/%d", pool, c.self.GetId(), now.UnixNano()),
		Who: "control", Expect: -1, Body: &wire.Command_Versions{Versions: &wire.Versions{Pool: pool, Versions: versions}},
	}
	_, _, err := c.appendCommand(cmd, nil)
	if err == nil {
		c.versions.failed = false
		c.s.Log.Info().Str("pool", pool).Strs("versions", versions).Strs("before", before).Msg("software versions changed")

		return
	}
	if !c.versions.failed {
		c.s.Log.Warn().Str("pool", pool).Strs("versions", versions).Err(err).Msg("failed to propose software versions")
	}
	c.versions.failed = true
}
