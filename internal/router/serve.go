package router

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/listener"
)

// Limit implements listener.Backend.
func (r *Router) Limit(path string) int64 {
	rest, ok := strings.CutPrefix(path, "/s/")
	if !ok {
		return 0
	}
	name, _, _ := strings.Cut(rest, "/")

	return r.control.View().Service(name).GetBody()
}

// Complete implements listener.Backend.
func (r *Router) Complete(
	ctx context.Context, c *listener.Completion, emit func(text string, tokens int64),
) listener.Reply {
	now, v := r.timers.Now(), r.control.View()
	if v.Index() == 0 {
		return r.refused(c.ID, c.Caller, nil, unconfigured())
	}
	p, no := r.planModel(now, v, c)
	if no != nil {
		return r.refused(c.ID, c.Caller, nil, no)
	}
	reply := r.fly(ctx, now, v, p, emit)
	reply.Prompt = p.request.Tokens

	return reply
}

// Call implements listener.Backend.
func (r *Router) Call(ctx context.Context, c *listener.Call) listener.Reply {
	now, v := r.timers.Now(), r.control.View()
	if v.Index() == 0 {
		return r.refused(c.ID, c.Caller, nil, unconfigured())
	}
	p, no := r.planCall(now, v, c)
	if no != nil {
		return r.refused(c.ID, c.Caller, nil, no)
	}

	return r.fly(ctx, now, v, p, func(string, int64) {})
}

// unconfigured refuses a request before the first view: its service may exist.
func unconfigured() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "the process has no configuration yet", after: time.Second,
	}
}

// fly runs a planned request to its end.
//
//nolint:contextcheck // the log's result is of use after the caller has left
func (r *Router) fly(
	ctx context.Context, now time.Time, v View, p *plan, emit func(text string, tokens int64),
) listener.Reply {
	if v.Blocked(p.request.Digest, now) != nil {
		return r.refused(p.request.ID, p.request.Caller, p, refuse(http.StatusForbidden,
			"the request is blocked because it crashed servers"))
	}
	if verdict := r.fleet.admit(now, p.query); !verdict.OK {
		return r.refused(p.request.ID, p.request.Caller, p, overload(verdict))
	}
	f := &flight{
		r: r, request: p.request, rank: p.rank, query: p.query, digest: p.digest, keep: p.keep,
		emit: emit, began: now, machine: dispatcher.New(p.request, policy{r.fleet, p.regions}),
		attempts: make(map[string]*attempt), finished: make(chan struct{}),
	}
	r.work.Add(1)
	r.shard(p.request.ID).add(f)
	r.meter.began(f)
	f.step(dispatcher.Begin{})
	stop := context.AfterFunc(ctx, func() { f.step(dispatcher.Gone{}) })
	defer stop()
	select {
	case <-f.finished:
		return listener.Reply{Outcome: f.outcome}
	case <-r.ctx.Done():
		return listener.Reply{Outcome: dispatcher.Outcome{Gone: true}}
	}
}

// overload translates the admitter's refusal.
func overload(v admitter.Verdict) *refusal {
	no := &refusal{status: http.StatusTooManyRequests, after: max(v.After, time.Second)}
	switch v.Reason {
	case admitter.ReasonServer:
		no.status, no.reason = http.StatusServiceUnavailable, "no server of the service is known"
	case admitter.ReasonShare:
		no.reason = "the caller is over its share"
	case admitter.ReasonFirst:
		no.reason = "the first token would come too late"
	case admitter.ReasonGap:
		no.reason = "the tokens would come too slowly"
	default:
		no.status, no.reason = http.StatusServiceUnavailable, "not admitted: "+v.Reason
	}

	return no
}

// refused answers a request that is not started.
func (r *Router) refused(id, caller string, p *plan, no *refusal) listener.Reply {
	o := dispatcher.Outcome{Result: dispatcher.NotRun, Status: no.status, Reason: no.reason, After: no.after}
	request := dispatcher.Request{ID: id, Caller: caller}
	rank := ""
	if p != nil {
		request, rank = p.request, p.rank.GetName()
	}
	r.meter.refused(request.Service, rank, no.status)
	r.logEnd(request, o, 0, "")

	return listener.Reply{Outcome: o, Allow: no.allow}
}

// logEnd writes one line for each request that isn't done.
func (r *Router) logEnd(q dispatcher.Request, o dispatcher.Outcome, age time.Duration, server string) {
	if o.Result == dispatcher.Done {
		return
	}
	message := "failed"
	entry := r.log.Warn()
	switch {
	case o.Gone:
		message, entry = "caller gone", r.log.Info()
	case o.Status == http.StatusForbidden:
		message = "blocked"
	case o.Result == dispatcher.NotRun:
		message, entry = "refused", r.log.Info()
	}
	entry.Str("req", q.ID).Str("service", q.Service).Str("caller", q.Caller).Int("rank", q.Rank).
		Int("status", o.Status).Str("outcome", o.Result.String()).Str("reason", o.Reason).
		Dur("after", o.After).Dur("age", age).Str("server", server).Msg(message)
}
