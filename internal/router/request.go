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
	// blockTokens is the number of tokens in a memory block of an engine.
	blockTokens = 2048
	// bytesPerToken is used to estimate the tokens of a prompt from its length.
	bytesPerToken = 4
	blockBytes    = blockTokens * bytesPerToken

	defaultTimeout = 2 * time.Minute
	// transferTimePerToken extends the time limit of a transfer for each token.
	transferTimePerToken = 20 * time.Microsecond
	// A prefill fails after prefillSlack plus prefillFactor times the expected time.
	// Batching and other prompts slow an engine down, while a hang lasts much longer.
	prefillSlack  = 2 * time.Second
	prefillFactor = 4
	// confirmationSlack is added to the timeout of a claimed call to get how long the entry
	// waits for the agent to confirm whether the call ran, after the caller got the final
	// answer.
	confirmationSlack = 2 * time.Second
	// defaultCallTime is the expected time of a plain call whose rank has no target.
	defaultCallTime = time.Second
	// minGrantWait is the shortest time allowed for a grant, so that a prompt whose
	// prefill takes as long as the first-token target is still tried.
	minGrantWait = 100 * time.Millisecond
)

// preparedRequest is a validated request with everything that its execution needs.
type preparedRequest struct {
	request   dispatcher.Request
	rank      *wire.Rank
	regions   []string // allowed by the rule, empty for all
	query     admitter.Query
	digest    string        // of method, path and body, only for a claimed call
	retention time.Duration // of the claim
}

// refusal is the reply to a request that is not started.
type refusal struct {
	status int
	reason string
	after  time.Duration // until a retry can succeed, 0 to announce none
	allow  string        // allowed methods, for status 405
}

func newRefusal(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

// matchRule returns the first rule that matches a caller and a service and whose rank
// exists, and that rank. If none matches, the rule is nil and the rank is the least urgent one.
func matchRule(v View, service, caller string) (*wire.Rule, *wire.Rank) {
	for _, rule := range v.Rules() {
		if s := rule.GetService(); s != "" && s != "*" && s != service {
			continue
		}
		if !matchesCaller(rule.GetCaller(), caller) {
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

// matchesCaller reports whether a caller matches a rule's pattern, which is a name or
// a prefix followed by *.
func matchesCaller(pattern, caller string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(caller, prefix)
	}

	return pattern == caller
}

// findModelService returns the service of a model, by the name of either, or nil.
func findModelService(v View, model string) *wire.Service {
	for _, s := range v.Services() {
		if s.GetKind() != wire.Kind_KIND_PLAIN && (s.GetModel() == model || s.GetName() == model) {
			return s
		}
	}

	return nil
}

// prepareCompletion validates a model request and computes its memory, time limits
// and rank. It also sets c.Limit to the effective output limit.
func (r *Router) prepareCompletion(now time.Time, v View, c *listener.Completion) (*preparedRequest, *refusal) {
	service := findModelService(v, c.Model)
	if service == nil {
		return nil, newRefusal(http.StatusNotFound, "unknown model "+truncateName(c.Model))
	}
	if limit := service.GetBody(); limit > 0 && int64(len(c.Prompt)) > limit {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "the prompt is over the limit of the service")
	}
	p := &preparedRequest{}
	rule, rank := matchRule(v, service.GetName(), c.Caller)
	p.rank, p.regions = rank, rule.GetRegions()
	tokens := c.Tokens
	if tokens == 0 {
		tokens = (int64(len(c.Prompt)) + bytesPerToken - 1) / bytesPerToken
	}
	c.Limit = r.outputLimit(service, c.Limit)
	work := time.Duration(tokens) * time.Second / time.Duration(r.settings.PrefillRate)
	end := now.Add(serviceTimeout(service))
	p.request = dispatcher.Request{
		ID: c.ID, Kind: wire.Kind_KIND_MODEL, Service: service.GetName(), Caller: c.Caller,
		Digest: digester.Sum(c.Caller, service.GetName(), c.Prompt), Rank: int(rank.GetLevel()),
		GrantDeadline: grantDeadline(now, rank, work), Deadline: end, Prompt: c.Prompt, Prefix: prefixHashes(c.Prompt),
		Tokens: tokens, Limit: c.Limit, Pieces: blocks(tokens + c.Limit), WorkTime: work,
		DecodeTime: time.Duration(c.Limit) * r.settings.TokenInterval, Limits: r.settings.Limits,
	}
	if p.request.Limits.Prefill == 0 {
		p.request.Limits.Prefill = prefillSlack + prefillFactor*work
	}
	if p.request.Limits.Transfer == 0 {
		p.request.Limits.Transfer = dispatcher.DefaultLimits().Transfer + time.Duration(tokens)*transferTimePerToken
	}
	if !fitsAnyServer(v, service.GetName(), picker.Decode, p.request.Pieces) ||
		!fitsAnyServer(v, service.GetName(), picker.Prefill, blocks(tokens)) {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "the prompt and its answer are larger than an engine's memory")
	}
	p.query = admitter.Query{
		Service: service.GetName(), Caller: c.Caller, Rank: p.request.Rank, Tokens: int(tokens),
		Limit: int(c.Limit), Pieces: int(p.request.Pieces),
	}

	return p, nil
}

// maxNameLength bounds, in bytes, a name from the caller that is quoted in a reason
// or a log line.
const maxNameLength = 100

// truncateName shortens a name to maxNameLength.
func truncateName(name string) string {
	if len(name) <= maxNameLength {
		return name
	}

	return strings.ToValidUTF8(name[:maxNameLength], "") + "..."
}

// outputLimit returns the most tokens that a request may generate. The service's
// limit applies to both the requested number and the default.
func (r *Router) outputLimit(s *wire.Service, requested int64) int64 {
	switch limit := s.GetLimit(); {
	case requested == 0 && limit == 0:
		return r.settings.DefaultOutput
	case requested == 0:
		return min(limit, r.settings.DefaultOutput)
	case limit > 0:
		return min(requested, limit)
	default:
		return requested
	}
}

// serviceTimeout returns the time limit for a whole request of a service.
func serviceTimeout(s *wire.Service) time.Duration {
	if s.GetTimeout() > 0 {
		return milliseconds(s.GetTimeout())
	}

	return defaultTimeout
}

// grantDeadline returns the time after which a grant would be too late to meet the
// first-token target. It is zero if the rank has no target.
func grantDeadline(now time.Time, rank *wire.Rank, work time.Duration) time.Time {
	first := milliseconds(rank.GetFirst())
	if first <= 0 {
		return time.Time{}
	}

	return now.Add(max(first-work, minGrantWait))
}

// callTime returns the expected time of a plain call, which is the target of its rank.
func callTime(rank *wire.Rank, timeout time.Duration) time.Duration {
	expected := milliseconds(rank.GetFirst())
	if expected <= 0 {
		expected = defaultCallTime
	}

	return min(expected, timeout)
}

// blocks returns the number of memory blocks that tokens occupy, at least 1.
func blocks(tokens int64) int64 { return max((tokens+blockTokens-1)/blockTokens, 1) }

// fitsAnyServer reports whether any server of the phase has enough memory blocks. If
// no server is known it returns true, so that the request isn't refused as too large
// but because there is no server.
func fitsAnyServer(v View, service, phase string, need int64) bool {
	found := false
	for _, s := range v.Servers(service) {
		if s.GetPhase() != phase {
			continue
		}
		if s.GetPieces() >= need {
			return true
		}
		found = true
	}

	return !found
}

// prefixHashes returns, for each complete memory block of the prompt, the hash of the
// prompt up to the end of that block.
func prefixHashes(prompt string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for len(prompt) >= blockBytes {
		_, _ = d.WriteString(prompt[:blockBytes])
		out = append(out, d.Sum64())
		prompt = prompt[blockBytes:]
	}

	return out
}

// prepareCall validates a call of a plain service and finds its route, rank and
// claim.
func (r *Router) prepareCall(now time.Time, v View, c *listener.Call) (*preparedRequest, *refusal) {
	service := v.Service(c.Service)
	if service.GetKind() != wire.Kind_KIND_PLAIN {
		return nil, newRefusal(http.StatusNotFound, "unknown service "+truncateName(c.Service))
	}
	route, refused := findRoute(service, c.Method, c.Path)
	if refused != nil {
		return nil, refused
	}
	p := &preparedRequest{}
	rule, rank := matchRule(v, service.GetName(), c.Caller)
	p.rank, p.regions = rank, rule.GetRegions()
	timeout := serviceTimeout(service)
	p.request = dispatcher.Request{
		ID: c.ID, Kind: wire.Kind_KIND_PLAIN, Service: service.GetName(), Caller: c.Caller,
		Digest: digester.Sum(c.Caller, service.GetName(), c.Method, c.Path, string(c.Body)),
		Rank:   int(rank.GetLevel()), GrantDeadline: grantDeadline(now, rank, 0), Deadline: now.Add(timeout),
		Method: c.Method, Path: c.Path, Headers: forwardedHeaders(c), Body: c.Body,
		Idempotent: route.GetIdempotent(), CallTime: callTime(rank, timeout), Limits: r.settings.Limits,
	}
	if !p.request.Idempotent {
		r.setClaimKey(p, service, c)
	}
	if p.request.Limits.ConfirmationTimeout == 0 {
		p.request.Limits.ConfirmationTimeout = timeout + confirmationSlack
	}
	p.query = admitter.Query{Service: service.GetName(), Caller: c.Caller, Rank: p.request.Rank, Plain: true}

	return p, nil
}

// setClaimKey sets the key, digest and retention of the claim of a non-idempotent
// call. The key includes the service and the caller, so that equal keys of different
// callers or services don't collide.
func (r *Router) setClaimKey(p *preparedRequest, service *wire.Service, c *listener.Call) {
	p.digest = digester.Sum(c.Method, c.Path, string(c.Body))
	if c.Key != "" {
		p.request.Key = "key." + digester.Sum(service.GetName(), c.Caller, c.Key)
		p.retention = time.Duration(service.GetRetention()) * time.Second

		return
	}
	p.request.Key = "body." + digester.Sum(service.GetName(), c.Caller, c.Method, c.Path, string(c.Body))
	p.retention = r.settings.DuplicateWindow
}

// findRoute returns the route for a method with the longest matching path prefix. A
// service without routes accepts every path; then only GET and HEAD are idempotent.
func findRoute(s *wire.Service, method, target string) (*wire.Route, *refusal) {
	name, _, _ := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(name)
	if err != nil || !utf8.ValidString(target) || !isCleanPath(decoded) {
		// The backend server could normalize the path and thereby choose another
		// route than this one.
		return nil, newRefusal(http.StatusBadRequest, "the path is not in its shortest form")
	}
	if len(s.GetRoutes()) == 0 {
		return &wire.Route{Method: method, Idempotent: method == http.MethodGet || method == http.MethodHead}, nil
	}
	var best *wire.Route
	var methods []string
	for _, route := range s.GetRoutes() {
		if !hasPathPrefix(decoded, route.GetPrefix()) {
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
		return nil, newRefusal(http.StatusNotFound, "the service has no such path")
	}
	slices.Sort(methods)
	refused := newRefusal(http.StatusMethodNotAllowed, "the path does not take this method")
	refused.allow = strings.Join(slices.Compact(methods), ", ")

	return nil, refused
}

// isCleanPath reports whether a path has no empty, . or .. segments.
func isCleanPath(name string) bool {
	return name == path.Clean(name) || name == path.Clean(name)+"/"
}

// hasPathPrefix reports whether name starts with the whole path segments of prefix.
func hasPathPrefix(name, prefix string) bool {
	rest, ok := strings.CutPrefix(name, strings.TrimSuffix(prefix, "/"))

	return ok && (rest == "" || rest[0] == '/')
}

// forwardedHeaders returns the headers to send to the service, sorted by name.
func forwardedHeaders(c *listener.Call) []*wire.Header {
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
