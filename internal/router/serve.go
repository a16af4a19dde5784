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

// BodyLimit implements listener.Backend.
func (r *Router) BodyLimit(path string) int64 {
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
		return r.refuse(c.ID, c.Caller, nil, noConfiguration())
	}
	p, refused := r.prepareCompletion(now, v, c)
	if refused != nil {
		return r.refuse(c.ID, c.Caller, nil, refused)
	}
	reply := r.execute(ctx, now, v, p, emit)
	reply.PromptTokens = p.request.Tokens

	return reply
}

// Call implements listener.Backend.
func (r *Router) Call(ctx context.Context, c *listener.Call) listener.Reply {
	now, v := r.timers.Now(), r.control.View()
	if v.Index() == 0 {
		return r.refuse(c.ID, c.Caller, nil, noConfiguration())
	}
	p, refused := r.prepareCall(now, v, c)
	if refused != nil {
		return r.refuse(c.ID, c.Caller, nil, refused)
	}

	return r.execute(ctx, now, v, p, func(string, int64) {})
}

// noConfiguration refuses a request before the first view has arrived. It asks for a
// retry, because the service may exist.
func noConfiguration() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "the process has no configuration yet", after: time.Second,
	}
}

// execute admits a prepared request and runs it to its final outcome.
//
//nolint:contextcheck // a claim must be completed even after the caller disconnected
func (r *Router) execute(
	ctx context.Context, now time.Time, v View, p *preparedRequest, emit func(text string, tokens int64),
) listener.Reply {
	if !r.drainer.Accepts(p.request.Deadline.Sub(now)) {
		return r.refuse(p.request.ID, p.request.Caller, p, &refusal{
			status: http.StatusServiceUnavailable, reason: "the process is stopping", after: time.Second,
		})
	}
	if v.Blocked(p.request.Digest, now) != nil {
		return r.refuse(p.request.ID, p.request.Caller, p, newRefusal(http.StatusForbidden,
			"the request is blocked because it crashed servers"))
	}
	if decision := r.fleet.admit(now, p.query); !decision.OK {
		return r.refuse(p.request.ID, p.request.Caller, p, admissionRefusal(decision))
	}
	f := &inflight{
		r: r, request: p.request, rank: p.rank, query: p.query, digest: p.digest, retention: p.retention,
		emit: emit, started: now, machine: dispatcher.New(p.request, fleetPolicy{r.fleet, p.regions}),
		attempts: make(map[string]*attempt), finished: make(chan struct{}),
	}
	r.background.Add(1)
	r.shard(p.request.ID).add(f)
	r.metrics.started(f)
	f.limit()
	f.step(dispatcher.Started{})
	stop := context.AfterFunc(ctx, func() { f.step(dispatcher.CallerGone{}) })
	defer stop()
	select {
	case <-f.finished:
		return listener.Reply{Outcome: f.outcome, Release: f.releaseAnswer}
	case <-r.ctx.Done():
		return listener.Reply{Outcome: dispatcher.Outcome{CallerGone: true}}
	}
}

// admissionRefusal converts a refusal of the admitter to a reply.
func admissionRefusal(d admitter.Decision) *refusal {
	refused := &refusal{status: http.StatusTooManyRequests, after: max(d.RetryAfter, time.Second)}
	switch d.Reason {
	case admitter.ReasonNoServer:
		refused.status, refused.reason = http.StatusServiceUnavailable, "no server of the service is known"
	case admitter.ReasonShare:
		refused.reason = "the caller is over its share"
	case admitter.ReasonFirstToken:
		refused.reason = "the first token would come too late"
	case admitter.ReasonTokenGap:
		refused.reason = "the tokens would come too slowly"
	default:
		refused.status, refused.reason = http.StatusServiceUnavailable, "not admitted: "+d.Reason
	}

	return refused
}

// refuse counts and logs a request that is not started and returns its reply.
func (r *Router) refuse(id, caller string, p *preparedRequest, refused *refusal) listener.Reply {
	o := dispatcher.Outcome{Result: dispatcher.NotRun, Status: refused.status, Reason: refused.reason, After: refused.after}
	request := dispatcher.Request{ID: id, Caller: caller}
	rank := ""
	if p != nil {
		request, rank = p.request, p.rank.GetName()
	}
	r.metrics.refuse(request.Service, rank, refused.status)
	r.logOutcome(request, o, 0, "")

	return listener.Reply{Outcome: o, Allow: refused.allow}
}

// logOutcome logs a request that did not succeed.
func (r *Router) logOutcome(q dispatcher.Request, o dispatcher.Outcome, age time.Duration, server string) {
	if o.Result == dispatcher.Done {
		return
	}
	message := "failed"
	entry := r.log.Warn()
	switch {
	case o.CallerGone:
		message, entry = "caller disconnected", r.log.Info()
	case o.Status == http.StatusForbidden:
		message = "blocked"
	case o.Result == dispatcher.NotRun:
		message, entry = "refused", r.log.Info()
	}
	entry.Str("req", q.ID).Str("service", q.Service).Str("caller", q.Caller).Int("rank", q.Rank).
		Int("status", o.Status).Str("outcome", o.Result.String()).Str("reason", o.Reason).
		Dur("after", o.After).Dur("age", age).Str("server", server).Msg(message)
}
