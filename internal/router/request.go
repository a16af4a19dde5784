package router

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/damasklever/damasklever/internal/admitter"
	"github.com/damasklever/damasklever/internal/digester"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/listener"
	"github.com/damasklever/damasklever/internal/picker"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// pieceTokens is the size of an engine's memory block, tokenBytes the size
	// of a token in the estimate of a prompt's length.
	pieceTokens = 2048
	tokenBytes  = 4
	pieceBytes  = pieceTokens * tokenBytes

	defaultTimeout = 2 * time.Minute
	// transferTokenTime is added to the limit of a transfer for each token.
	transferTokenTime = 20 * time.Microsecond
	// A prefill that takes longer than these together counts as failed. Batches
	// and other prompts slow an engine down, a hang lasts much longer.
	prefillSlack  = 2 * time.Second
	prefillFactor = 4
	// lingerSlack is how much longer than its call a claim waits for the end.
	lingerSlack = 2 * time.Second
	// minStart is the least time for a grant, so that a prompt whose prefill
	// takes as long as the target is still tried.
	minStart = 100 * time.Millisecond
)

// plan is a request that was checked and may be started.
type plan struct {
	request dispatcher.Request
	rank    *wire.Rank
	regions []string
	query   admitter.Query
	digest  string
	keep    time.Duration
}

// refusal is the outcome of a request that is not started.
type refusal struct {
	status int
	reason string
	after  time.Duration
	allow  string
}

func refuse(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

// match returns the first rule for a caller and a service, and its rank.
// Without a rule the least urgent rank applies.
func match(v View, service, caller string) (*wire.Rule, *wire.Rank) {
	for _, rule := range v.Rules() {
		if s := rule.GetService(); s != "" && s != "*" && s != service {
			continue
		}
		if !isCaller(rule.GetCaller(), caller) {
			continue
		}
		if rank := v.Rank(rule.GetRank()); rank != nil {
			return rule, rank
		}
	}
	ranks := v.Ranks()
	if len(ranks) == 0 {
		return nil, nil
	}

	return nil, ranks[len(ranks)-1]
}

func isCaller(pattern, caller string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(caller, prefix)
	}

	return pattern == caller
}

func modelService(v View, model string) *wire.Service {
	for _, s := range v.Services() {
		if s.GetKind() != wire.Kind_KIND_PLAIN && (s.GetModel() == model || s.GetName() == model) {
			return s
		}
	}

	return nil
}

// planModel checks a model request and computes what it needs.
func (r *Router) planModel(now time.Time, v View, c *listener.Completion) (*plan, *refusal) {
	service := modelService(v, c.Model)
	if service == nil {
		return nil, refuse(http.StatusNotFound, "unknown model "+short(c.Model))
	}
	if limit := service.GetBody(); limit > 0 && int64(len(c.Prompt)) > limit {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the prompt is over the limit of the service")
	}
	p := &plan{}
	rule, rank := match(v, service.GetName(), c.Caller)
	p.rank, p.regions = rank, rule.GetRegions()
	tokens := c.Tokens
	if tokens == 0 {
		tokens = (int64(len(c.Prompt)) + tokenBytes - 1) / tokenBytes
	}
	c.Limit = r.outputLimit(service, c.Limit)
	work := time.Duration(tokens) * time.Second / time.Duration(r.settings.Speed)
	end := now.Add(timeout(service))
	p.request = dispatcher.Request{
		ID: c.ID, Kind: wire.Kind_KIND_MODEL, Service: service.GetName(), Caller: c.Caller,
		Digest: digester.Sum(c.Caller, service.GetName(), c.Prompt), Rank: int(rank.GetLevel()),
		Start: start(now, rank, work), End: end, Prompt: c.Prompt, Prefix: prefixes(c.Prompt),
		Tokens: tokens, Limit: c.Limit, Pieces: pieces(tokens + c.Limit), Work: work,
		Stream: time.Duration(c.Limit) * r.settings.Token, Limits: r.settings.Limits,
	}
	if p.request.Limits.Prefill == 0 {
		p.request.Limits.Prefill = prefillSlack + prefillFactor*work
	}
	if p.request.Limits.Transfer == 0 {
		p.request.Limits.Transfer = dispatcher.DefaultLimits().Transfer + time.Duration(tokens)*transferTokenTime
	}
	if !fits(v, service.GetName(), picker.Decode, p.request.Pieces) ||
		!fits(v, service.GetName(), picker.Prefill, pieces(tokens)) {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the prompt and its answer are larger than an engine's memory")
	}
	p.query = admitter.Query{
		Service: service.GetName(), Caller: c.Caller, Rank: p.request.Rank, Tokens: int(tokens),
		Limit: int(c.Limit), Pieces: int(p.request.Pieces),
	}

	return p, nil
}

// maxName bounds a caller's words in a reason or a log line.
const maxName = 100

func short(name string) string {
	if len(name) <= maxName {
		return name
	}

	return strings.ToValidUTF8(name[:maxName], "") + "..."
}

func (r *Router) outputLimit(s *wire.Service, asked int64) int64 {
	switch limit := s.GetLimit(); {
	case asked == 0 && limit == 0:
		return r.settings.Output
	case asked == 0:
		return min(limit, r.settings.Output)
	case limit > 0:
		return min(asked, limit)
	default:
		return asked
	}
}

func timeout(s *wire.Service) time.Duration {
	if s.GetTimeout() > 0 {
		return milliseconds(s.GetTimeout())
	}

	return defaultTimeout
}

// start is the time after which a grant is useless, zero without a target.
func start(now time.Time, rank *wire.Rank, work time.Duration) time.Time {
	first := milliseconds(rank.GetFirst())
	if first <= 0 {
		return time.Time{}
	}

	return now.Add(max(first-work, minStart))
}

func pieces(tokens int64) int64 { return max((tokens+pieceTokens-1)/pieceTokens, 1) }

// fits reports whether any server of the phase has the memory. Without a known
// server the request isn't too large; it is refused for want of a server.
func fits(v View, service, phase string, need int64) bool {
	known := false
	for _, s := range v.Servers(service) {
		if s.GetPhase() != phase {
			continue
		}
		if s.GetPieces() >= need {
			return true
		}
		known = true
	}

	return !known
}

// prefixes returns the hashes of the prompt up to the end of each whole memory
// block.
func prefixes(prompt string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for len(prompt) >= pieceBytes {
		_, _ = d.WriteString(prompt[:pieceBytes])
		out = append(out, d.Sum64())
		prompt = prompt[pieceBytes:]
	}

	return out
}

// planCall checks a call of a plain service.
func (r *Router) planCall(now time.Time, v View, c *listener.Call) (*plan, *refusal) {
	service := v.Service(c.Service)
	if service.GetKind() != wire.Kind_KIND_PLAIN {
		return nil, refuse(http.StatusNotFound, "unknown service "+short(c.Service))
	}
	route, no := findRoute(service, c.Method, c.Path)
	if no != nil {
		return nil, no
	}
	p := &plan{}
	rule, rank := match(v, service.GetName(), c.Caller)
	p.rank, p.regions = rank, rule.GetRegions()
	wait := timeout(service)
	p.request = dispatcher.Request{
		ID: c.ID, Kind: wire.Kind_KIND_PLAIN, Service: service.GetName(), Caller: c.Caller,
		Digest: digester.Sum(c.Caller, service.GetName(), c.Method, c.Path, string(c.Body)),
		Rank:   int(rank.GetLevel()), Start: start(now, rank, 0), End: now.Add(wait),
		Method: c.Method, Path: c.Path, Headers: headers(c), Body: c.Body,
		Idempotent: route.GetIdempotent(), Limits: r.settings.Limits,
	}
	if !p.request.Idempotent {
		r.planClaim(p, service, c)
	}
	if p.request.Limits.Linger == 0 {
		p.request.Limits.Linger = wait + lingerSlack
	}
	p.query = admitter.Query{Service: service.GetName(), Caller: c.Caller, Rank: p.request.Rank, Plain: true}

	return p, nil
}

// planClaim chooses the key of a non-idempotent call. The keys of two callers
// or services never meet.
func (r *Router) planClaim(p *plan, service *wire.Service, c *listener.Call) {
	p.digest = digester.Sum(c.Method, c.Path, string(c.Body))
	if c.Key != "" {
		p.request.Key = "key." + digester.Sum(service.GetName(), c.Caller, c.Key)
		p.keep = time.Duration(service.GetRetention()) * time.Second

		return
	}
	p.request.Key = "body." + digester.Sum(service.GetName(), c.Caller, c.Method, c.Path, string(c.Body))
	p.keep = r.settings.Window
}

// findRoute returns the route with the longest prefix of the path. A service
// without routes takes every path, and repeats only what reads.
func findRoute(s *wire.Service, method, target string) (*wire.Route, *refusal) {
	name, _, _ := strings.Cut(target, "?")
	plainName, err := url.PathUnescape(name)
	if err != nil || !utf8.ValidString(target) || !isClean(plainName) {
		// Another spelling of a path must not choose another route than the
		// backend server does.
		return nil, refuse(http.StatusBadRequest, "the path is not in its shortest form")
	}
	if len(s.GetRoutes()) == 0 {
		return &wire.Route{Method: method, Idempotent: method == http.MethodGet || method == http.MethodHead}, nil
	}
	var best *wire.Route
	var methods []string
	for _, route := range s.GetRoutes() {
		if !hasPrefix(plainName, route.GetPrefix()) {
			continue
		}
		methods = append(methods, route.GetMethod())
		if route.GetMethod() == method && (best == nil || len(route.GetPrefix()) > len(best.GetPrefix())) {
			best = route
		}
	}
	if best != nil {
		return best, nil
	}
	if len(methods) == 0 {
		return nil, refuse(http.StatusNotFound, "the service has no such path")
	}
	slices.Sort(methods)
	no := refuse(http.StatusMethodNotAllowed, "the path does not take this method")
	no.allow = strings.Join(slices.Compact(methods), ", ")

	return nil, no
}

func isClean(name string) bool {
	return name == path.Clean(name) || name == path.Clean(name)+"/"
}

// hasPrefix compares whole segments.
func hasPrefix(name, prefix string) bool {
	rest, ok := strings.CutPrefix(name, strings.TrimSuffix(prefix, "/"))

	return ok && (rest == "" || rest[0] == '/')
}

// headers returns what is passed on to the service, sorted by name.
func headers(c *listener.Call) []*wire.Header {
	var out []*wire.Header
	for name, values := range c.Header {
		for _, value := range values {
			out = append(out, &wire.Header{Name: name, Value: strings.ToValidUTF8(value, "?")})
		}
	}
	out = append(out, &wire.Header{Name: "Damask-Request", Value: c.ID})
	slices.SortStableFunc(out, func(a, b *wire.Header) int { return strings.Compare(a.GetName(), b.GetName()) })

	return out
}
