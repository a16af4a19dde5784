package evaluator

import (
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// naive is the baseline: servers in turn, first come first served, decode
// memory asked for only after the prefill.
type naive struct {
	r        dispatcher.Request
	p        dispatcher.Policy
	count    int
	prefill  string // attempt
	decode   string
	servers  map[string]string // of the attempts
	started  bool
	over     bool
	restarts int
}

const (
	naiveRestarts = 5
	naiveTransfer = 2 * time.Second // a longer transfer counts as stalled
)

func newNaive(r dispatcher.Request, p dispatcher.Policy) *naive {
	return &naive{r: r, p: p, servers: map[string]string{}}
}

func (n *naive) ask(now time.Time, phase wire.Phase, pieces int64, cost time.Duration) (string, []dispatcher.Action) {
	n.count++
	id := n.r.ID + "." + strconv.Itoa(n.count)
	n.servers[id] = n.p.Pick(now, &n.r, dispatcher.Choice{Phase: phase, Count: 1})[0]

	return id, []dispatcher.Action{dispatcher.Ask{
		ID: id, Server: n.servers[id], Phase: phase, Due: n.r.End, Pieces: pieces, Cost: cost,
	}}
}

func (n *naive) begin(now time.Time) (out []dispatcher.Action) {
	if n.r.Kind == wire.Kind_KIND_PLAIN {
		n.decode, out = n.ask(now, wire.Phase_PHASE_PLAIN, 1, n.r.Work)
	} else {
		n.prefill, out = n.ask(now, wire.Phase_PHASE_PREFILL, 1, n.r.Work)
	}

	return out
}

func (n *naive) end(o dispatcher.Outcome) []dispatcher.Action {
	n.over = true

	return append([]dispatcher.Action{dispatcher.Finish{Outcome: o}}, n.withdraw()...)
}

func (n *naive) withdraw() (out []dispatcher.Action) {
	for _, id := range []string{n.prefill, n.decode} {
		if id != "" {
			out = append(out, dispatcher.Withdraw{ID: id, Server: n.servers[id]})
		}
	}
	n.prefill, n.decode = "", ""

	return out
}

func (n *naive) restart(now time.Time) []dispatcher.Action {
	if n.restarts++; n.restarts > naiveRestarts || n.started {
		return n.end(dispatcher.Outcome{Result: dispatcher.MayHaveRun, Reason: "failed"})
	}
	out := n.withdraw()

	return append(out, n.begin(now)...)
}

// Step implements flow.
func (n *naive) Step(now time.Time, e dispatcher.Event) (out []dispatcher.Action) {
	if n.over {
		return nil
	}
	switch e := e.(type) {
	case dispatcher.Begin:
		return n.begin(now)
	case dispatcher.Granted:
		switch {
		case e.ID == n.prefill:
			return []dispatcher.Action{dispatcher.Prefill{ID: e.ID, Server: n.servers[e.ID]}}
		case e.ID == n.decode && n.r.Kind == wire.Kind_KIND_PLAIN:
			return []dispatcher.Action{dispatcher.Run{ID: e.ID, Server: n.servers[e.ID]}}
		case e.ID == n.decode:
			return []dispatcher.Action{
				dispatcher.Import{ID: e.ID, Server: n.servers[e.ID], Handle: n.prefill},
				dispatcher.Wake{At: now.Add(naiveTransfer)},
			}
		}
	case dispatcher.Prefilled:
		if e.ID == n.prefill {
			n.decode, out = n.ask(now, wire.Phase_PHASE_DECODE, n.r.Pieces, n.r.Stream)
		}
	case dispatcher.Imported:
		if e.ID == n.decode {
			n.started = true
			out = []dispatcher.Action{dispatcher.Decode{ID: e.ID, Server: n.servers[e.ID]}}
		}
	case dispatcher.Arrived:
		out = []dispatcher.Action{dispatcher.Emit{Seq: e.Seq}}
	case dispatcher.Answered:
		out = n.end(dispatcher.Outcome{Result: dispatcher.Done})
	case dispatcher.Ended:
		switch {
		case e.Status == wire.Status_STATUS_DONE && e.ID == n.decode:
			out = n.end(dispatcher.Outcome{Result: dispatcher.Done})
		case e.ID == n.decode || e.ID == n.prefill:
			out = n.restart(now)
		}
	case dispatcher.Woken:
		if n.decode != "" && !n.started {
			out = n.restart(now)
		}
	case dispatcher.Lost:
		if e.ID == n.decode || e.ID == n.prefill {
			out = n.restart(now)
		}
	case dispatcher.Refused:
		if e.ID == n.decode || e.ID == n.prefill {
			out = n.restart(now)
		}
	case dispatcher.Gone:
		out = n.end(dispatcher.Outcome{Result: dispatcher.MayHaveRun, Gone: true})
	}

	return out
}
