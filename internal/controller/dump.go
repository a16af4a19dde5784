package controller

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"

	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// Dump is the state of a control host in a form that encodes to JSON.
type Dump struct {
	Number   uint64   `json:"number"`
	ID       string   `json:"id"`
	Addr     string   `json:"addr"`
	Founded  bool     `json:"founded"`
	Role     string   `json:"role"`
	Leader   string   `json:"leader"` // id, empty if unknown
	Term     uint64   `json:"term"`
	Last     uint64   `json:"last"`   // entry of the log
	Commit   uint64   `json:"commit"` // entry
	Applied  uint64   `json:"applied"`
	Snapshot uint64   `json:"snapshot"`
	Revision uint64   `json:"revision"`
	Index    uint64   `json:"index"` // last change that subscribers see
	Lease    int64    `json:"lease"` // milliseconds since a majority was heard, -1 if never
	Waiting  int      `json:"waiting"`
	Members  []Member `json:"members"`
	Attached int      `json:"attached"`
}

// Member is a member of the control log in a Dump.
type Member struct {
	Number  uint64 `json:"number"`
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Learner bool   `json:"learner"`
	Match   uint64 `json:"match"` // known on the leader
}

// Dump returns the state for the operations port.
func (c *Controller) Dump() Dump {
	d := Dump{Number: c.s.Number, Addr: c.Addr(), Lease: -1, ID: memberName(c.rec.Identity().GetId())}
	d.Attached = int(c.attachments.count(&wire.Census{}, 0).GetKnown())
	c.do(func() {
		st := c.core.Status()
		d.Founded, d.Role, d.Term = true, roleName(st.Role), st.Term
		if st.Leader != 0 {
			d.Leader = memberName(st.Leader)
		}
		d.Last, d.Commit, d.Applied, d.Snapshot = st.Last, st.Commit, c.applied, c.compacted
		d.Revision, d.Index, d.Waiting = c.state.Revision(), c.state.Index(), len(c.waiting)
		if lease := c.core.Lease(c.s.Timer.Now()); lease >= 0 {
			d.Lease = lease.Milliseconds()
		}
		d.Members = members(st)
	})

	return d
}

// Ready reports whether the host knows a leader and has heard from a majority
// within an election timeout.
func (c *Controller) Ready() bool {
	ready := false
	c.do(func() {
		lease := c.core.Lease(c.s.Timer.Now())
		ready = c.core.Status().Leader != 0 && lease >= 0 && lease < c.s.Election
	})

	return ready
}

// members lists the committed members: an operator who reads that a host votes
// may rely on it when another one is taken away.
func members(st replicator.Status) []Member {
	var list []Member
	for i, m := range slices.Concat(st.Settled.GetVoters(), st.Settled.GetLearners()) {
		match := st.Match[m.GetId()]
		if m.GetId() == st.ID {
			match = st.Last
		}
		list = append(list, Member{
			Number: m.GetNumber(), ID: memberName(m.GetId()), Addr: m.GetAddr(),
			Learner: i >= len(st.Settled.GetVoters()), Match: match,
		})
	}

	return list
}

// memberName is the form of a member's id in dumps and tables.
func memberName(id uint64) string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, id))
}

func roleName(r replicator.Role) string {
	return [...]string{"follower", "prober", "candidate", "leader"}[r]
}

// listing returns a function for the subjects that are not in the replicated
// state, or nil.
func (c *Controller) listing(ctx context.Context, q *wire.Query) func() (*wire.Table, error) {
	var columns []registrar.Column
	var rows func() [][]string
	switch q.GetSubject() {
	case "peers":
		columns, rows = peerColumns, c.peerRows
	case "processes", "status":
		columns, rows = processColumns, func() [][]string { return c.processRows(ctx) }
	case "requests":
		columns, rows = requestColumns, func() [][]string { return c.requestRows(ctx) }
	default:
		return nil
	}

	return func() (*wire.Table, error) { return registrar.Select(q, columns, rows()) }
}

var (
	peerColumns = []registrar.Column{
		{Name: "number", Unit: registrar.Number},
		{Name: "id"},
		{Name: "addr"},
		{Name: "role"},
		{Name: "match", Unit: registrar.Number},
	}
	processColumns = []registrar.Column{
		{Name: "name"},
		{Name: "role"},
		{Name: "addr"},
		{Name: "region"},
		{Name: "centre"},
		{Name: "host", Unit: registrar.Number},
		{Name: "index", Unit: registrar.Number},
		{Name: "force"}, // yes if the process has the latest revision in force
		{Name: "leaving"},
	}
	requestColumns = []registrar.Column{
		{Name: "id"},
		{Name: "service"},
		{Name: "caller"},
		{Name: "rank", Unit: registrar.Number},
		{Name: "phase"},
		{Name: "server"},
		{Name: "age", Unit: registrar.Number},
		{Name: "late", Unit: registrar.Number},
		{Name: "entry"},
	}
)

func (c *Controller) peerRows() [][]string {
	var rows [][]string
	c.do(func() {
		st := c.core.Status()
		for _, m := range members(st) {
			role := "voter"
			switch {
			case m.Learner:
				role = "learner"
			case st.Leader != 0 && m.ID == memberName(st.Leader):
				role = "leader"
			}
			rows = append(rows, []string{number(m.Number), m.ID, m.Addr, role, number(m.Match)})
		}
	})

	return rows
}

func (c *Controller) processRows(ctx context.Context) [][]string {
	var rows [][]string
	var index uint64
	c.do(func() { index = c.state.Index() })
	for _, p := range c.census(ctx, &wire.Census{Full: true}).GetEntries() {
		rows = append(rows, []string{
			p.GetName(), p.GetRole(), p.GetAddr(), p.GetRegion(), p.GetCentre(),
			number(p.GetHost()), number(p.GetIndex()), yes(p.GetIndex() >= index), yes(p.GetLeaving()),
		})
	}

	return rows
}

func (c *Controller) requestRows(ctx context.Context) [][]string {
	var rows [][]string
	for _, p := range c.census(ctx, &wire.Census{Full: true}).GetEntries() {
		for _, f := range p.GetFlights() {
			rows = append(rows, []string{
				f.GetId(), f.GetService(), f.GetCaller(), fmt.Sprint(f.GetRank()), f.GetPhase(),
				f.GetServer(), fmt.Sprint(f.GetAge()), fmt.Sprint(f.GetLate()), p.GetName(),
			})
		}
	}

	return rows
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func yes(b bool) string {
	if b {
		return "yes"
	}

	return "no"
}
