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

// Dump is the state of a control host, in a form that encodes to JSON.
type Dump struct {
	Number   uint64   `json:"number"`
	ID       string   `json:"id"`
	Addr     string   `json:"addr"`
	Founded  bool     `json:"founded"`
	Role     string   `json:"role"`
	Leader   string   `json:"leader"` // id, empty if unknown
	Term     uint64   `json:"term"`
	Last     uint64   `json:"last"`   // index of the last log entry
	Commit   uint64   `json:"commit"` // index of the last committed entry
	Applied  uint64   `json:"applied"`
	Snapshot uint64   `json:"snapshot"`
	Revision uint64   `json:"revision"`
	Index    uint64   `json:"index"` // last change visible to subscribers
	Lease    int64    `json:"lease"` // milliseconds since a majority answered, -1 if never
	Waiting  int      `json:"waiting"`
	Members  []Member `json:"members"`
	Attached int      `json:"attached"`
}

// Member is a member of the replicated log in a Dump.
type Member struct {
	Number  uint64 `json:"number"`
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Learner bool   `json:"learner"`
	Match   uint64 `json:"match"` // highest replicated index, known only on the leader
}

// Dump returns the state shown on the operations port.
func (c *Controller) Dump() Dump {
	d := Dump{Number: c.s.Number, Addr: c.Addr(), Lease: -1, ID: formatMemberID(c.rec.Identity().GetId())}
	d.Attached = int(c.attachments.count(&wire.Census{}, 0).GetKnown())
	c.do(func() {
		st := c.core.Status()
		d.Founded, d.Role, d.Term = true, roleName(st.Role), st.Term
		if st.Leader != 0 {
			d.Leader = formatMemberID(st.Leader)
		}
		d.Last, d.Commit, d.Applied, d.Snapshot = st.Last, st.Commit, c.applied, c.snapshotIndex
		d.Revision, d.Index, d.Waiting = c.state.Revision(), c.state.Index(), len(c.proposals)
		if lease := c.core.Lease(c.s.Timer.Now()); lease >= 0 {
			d.Lease = lease.Milliseconds()
		}
		d.Members = memberList(st)
	})

	return d
}

// Ready reports whether the host knows a leader and has heard from a majority
// within the election timeout.
func (c *Controller) Ready() bool {
	ready := false
	c.do(func() {
		lease := c.core.Lease(c.s.Timer.Now())
		ready = c.core.Status().Leader != 0 && lease >= 0 && lease < c.s.ElectionTimeout
	})

	return ready
}

// memberList lists the members of the last committed configuration, so that an operator
// who sees a host as a voter can rely on its vote when removing another one.
func memberList(st replicator.Status) []Member {
	var list []Member
	for i, m := range slices.Concat(st.CommittedMembers.GetVoters(), st.CommittedMembers.GetLearners()) {
		match := st.Match[m.GetId()]
		if m.GetId() == st.ID {
			match = st.Last
		}
		list = append(list, Member{
			Number: m.GetNumber(), ID: formatMemberID(m.GetId()), Addr: m.GetAddr(),
			Learner: i >= len(st.CommittedMembers.GetVoters()), Match: match,
		})
	}

	return list
}

// formatMemberID formats a member's id for dumps, tables and the log.
func formatMemberID(id uint64) string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, id))
}

func roleName(r replicator.Role) string {
	return [...]string{"follower", "prober", "candidate", "leader"}[r]
}

// liveTable returns a function that builds the table of a subject that is not in the
// replicated state, or nil for any other subject.
func (c *Controller) liveTable(ctx context.Context, q *wire.Query) func() (*wire.Table, error) {
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
		{Name: "force"}, // "yes" if the process has applied the latest change
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
		for _, m := range memberList(st) {
			role := "voter"
			switch {
			case m.Learner:
				role = "learner"
			case st.Leader != 0 && m.ID == formatMemberID(st.Leader):
				role = "leader"
			}
			rows = append(rows, []string{formatUint(m.Number), m.ID, m.Addr, role, formatUint(m.Match)})
		}
	})

	return rows
}

func (c *Controller) processRows(ctx context.Context) [][]string {
	var rows [][]string
	var index uint64
	c.do(func() { index = c.state.Index() })
	for _, p := range c.queryProcesses(ctx, &wire.Census{Full: true}).GetEntries() {
		rows = append(rows, []string{
			p.GetName(), p.GetRole(), p.GetAddr(), p.GetRegion(), p.GetCentre(),
			formatUint(p.GetHost()), formatUint(p.GetIndex()), yesNo(p.GetIndex() >= index), yesNo(p.GetLeaving()),
		})
	}

	return rows
}

func (c *Controller) requestRows(ctx context.Context) [][]string {
	var rows [][]string
	for _, p := range c.queryProcesses(ctx, &wire.Census{Full: true}).GetEntries() {
		for _, f := range p.GetFlights() {
			rows = append(rows, []string{
				f.GetId(), f.GetService(), f.GetCaller(), fmt.Sprint(f.GetRank()), f.GetPhase(),
				f.GetServer(), fmt.Sprint(f.GetAge()), fmt.Sprint(f.GetLate()), p.GetName(),
			})
		}
	}

	return rows
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}

	return "no"
}
