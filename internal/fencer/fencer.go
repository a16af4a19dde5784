// Package fencer decides which engine orders an agent may carry out. It keeps
// the fencing token that control has issued last and the result of each order.
// It has no I/O and is not safe for concurrent use.
package fencer

// Kind is the verdict on an order.
type Kind int

const (
	// Run lets the caller carry the order out and then call Finish.
	Run Kind = iota + 1
	// Busy says that the same order runs already.
	Busy
	// Repeat says that the order ended before; Result is its first result.
	Repeat
	// Stale says that the order has an older fencing token than the current one.
	Stale
	// Unread says that the current token was not read from control yet.
	Unread
)

// Result is the end of an order.
type Result struct {
	State  string // done or failed
	Reason string
}

// Verdict is the answer to Begin.
type Verdict struct {
	Kind   Kind
	Result Result
}

// keep is the number of results remembered. Control drops an order once its
// result is in the log, so few are open at a time.
const keep = 1024

// Fencer is the state of one backend server. Use New.
type Fencer struct {
	read    bool
	token   uint64
	running map[string]bool
	results map[string]Result
	ended   []string // ids in results, the oldest first
}

// New returns a fencer that accepts nothing until Learn was called, as an agent
// that restarted may have missed newer tokens.
func New() *Fencer {
	return &Fencer{running: make(map[string]bool), results: make(map[string]Result)}
}

// Learn takes the current token as read from control. An older token than one
// seen before is ignored.
func (f *Fencer) Learn(token uint64) {
	f.read = true
	f.token = max(f.token, token)
}

// Token returns the highest token seen and whether it was read from control.
func (f *Fencer) Token() (token uint64, read bool) { return f.token, f.read }

// Begin asks whether the order may run now. A duplicate of an order that ended
// gets its first result, even if its token is old by now.
func (f *Fencer) Begin(id string, token uint64) Verdict {
	if !f.read {
		return Verdict{Kind: Unread}
	}
	if result, ok := f.results[id]; ok {
		return Verdict{Kind: Repeat, Result: result}
	}
	if f.running[id] {
		return Verdict{Kind: Busy}
	}
	if token < f.token {
		return Verdict{Kind: Stale}
	}
	f.token = token
	f.running[id] = true

	return Verdict{Kind: Run}
}

// Current reports whether an order with the token may still act on the engine.
// Retries of an order check it, as a newer order may have arrived meanwhile.
func (f *Fencer) Current(token uint64) bool { return f.read && token >= f.token }

// Finish stores the result of an order that Begin let run. The first result of
// an id stays.
func (f *Fencer) Finish(id string, r Result) {
	delete(f.running, id)
	if _, ok := f.results[id]; ok {
		return
	}
	f.results[id] = r
	f.ended = append(f.ended, id)
	if len(f.ended) > keep {
		delete(f.results, f.ended[0])
		f.ended = f.ended[1:]
	}
}
