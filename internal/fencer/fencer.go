// Package fencer decides which engine orders an agent may execute. It tracks the
// latest fencing token issued by control and the result of each order. It does no
// I/O and is not safe for concurrent use.
package fencer

// Kind says whether an order may run and, if not, why.
type Kind int

const (
	// Run allows the order. The caller executes it and then calls Finish.
	Run Kind = iota + 1
	// Running means that an order with the same id is still running.
	Running
	// Duplicate means that the order has already finished; Result is its first result.
	Duplicate
	// Stale means that the fencing token of the order is older than the current one.
	Stale
	// TokenUnknown means that the current token has not been read from control yet.
	TokenUnknown
)

// Result is the outcome of a finished order.
type Result struct {
	State  string // done or failed
	Reason string
}

// Decision is returned by Begin. Result is set only if Kind is Duplicate.
type Decision struct {
	Kind   Kind
	Result Result
}

// maxResults is the number of results kept. Control drops an order once its result is
// in the replicated log, so only a few are needed at a time.
const maxResults = 1024

// Fencer tracks the orders for one backend server. Create it with New.
type Fencer struct {
	tokenKnown bool
	token      uint64
	running    map[string]bool
	results    map[string]Result
	finished   []string // ids in results, oldest first
}

// New returns a fencer that rejects every order until UpdateToken is called, because
// an agent that has restarted may have missed newer tokens.
func New() *Fencer {
	return &Fencer{running: make(map[string]bool), results: make(map[string]Result)}
}

// UpdateToken records the current token as read from control. It ignores a token older
// than the highest one seen.
func (f *Fencer) UpdateToken(token uint64) {
	f.tokenKnown = true
	f.token = max(f.token, token)
}

// Token returns the highest token seen and whether UpdateToken has been called.
func (f *Fencer) Token() (token uint64, tokenKnown bool) { return f.token, f.tokenKnown }

// Begin reports whether the order may run now. A duplicate of a finished order
// gets the first result, even if its token has become stale.
func (f *Fencer) Begin(id string, token uint64) Decision {
	if !f.tokenKnown {
		return Decision{Kind: TokenUnknown}
	}
	if result, ok := f.results[id]; ok {
		return Decision{Kind: Duplicate, Result: result}
	}
	if f.running[id] {
		return Decision{Kind: Running}
	}
	if token < f.token {
		return Decision{Kind: Stale}
	}
	f.token = token
	f.running[id] = true

	return Decision{Kind: Run}
}

// IsCurrent reports whether an order with the token may still act on the engine.
// An order checks it before each retry, because a newer order may have arrived
// in the meantime.
func (f *Fencer) IsCurrent(token uint64) bool { return f.tokenKnown && token >= f.token }

// Finish stores the result of an order that Begin allowed. A later result for the
// same id is ignored.
func (f *Fencer) Finish(id string, r Result) {
	delete(f.running, id)
	if _, ok := f.results[id]; ok {
		return
	}
	f.results[id] = r
	f.finished = append(f.finished, id)
	if len(f.finished) > maxResults {
		delete(f.results, f.finished[0])
		f.finished = f.finished[1:]
	}
}
