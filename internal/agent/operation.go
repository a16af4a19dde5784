package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/wire"
)

// backend is the client of the backend server. Its implementation is driver.Client.
type backend interface {
	Addr() string
	Prefill(ctx context.Context, in driver.Prefill) (driver.PrefillResult, error)
	Import(ctx context.Context, in driver.Import) error
	Decode(ctx context.Context, in driver.Decode, fn func(driver.Chunk)) (int64, error)
	Cancel(ctx context.Context, id string) error
	Work(ctx context.Context) ([]driver.Work, error)
	Load(ctx context.Context) (driver.Load, error)
	Order(ctx context.Context, o driver.Order) error
	Watch(ctx context.Context, fn func(driver.Event)) error
	Run(ctx context.Context, call driver.Call) (driver.Response, error)
	Probe(ctx context.Context) bool
	Close()
}

var _ backend = (*driver.Client)(nil)

const (
	// crashDetectTime is how long a call whose connection broke waits for watchEngine
	// to detect a crash. Without one, only the connection was lost.
	crashDetectTime = 500 * time.Millisecond
	// maxResumes is the number of consecutive times that a decode is resumed without
	// receiving a chunk.
	maxResumes = 3
	// minRetryWait and maxRetryWait bound the exponential backoff of cancellations,
	// engine orders and proposals.
	minRetryWait = 20 * time.Millisecond
	maxRetryWait = time.Second
)

// operation is a running call to the backend server.
type operation struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// performActions performs the actions of the machine without blocking. The caller holds
// mu, so that the actions of different events are performed in order.
func (a *Agent) performActions(actions []action) {
	if a.closed {
		return
	}
	for _, act := range actions {
		switch act.kind {
		case actStart:
			a.startOperation(act)
		case actCancel:
			a.cancelOperation(act.id)
		case actAbort:
			if op := a.operations[act.id]; op != nil {
				op.cancel()
			}
		case actReportCrash:
			a.reportCrash(act.digests)
		}
	}
}

// startOperation starts a call to the backend server in a new goroutine.
//
//nolint:contextcheck,nolintlint // contextcheck also reports callers, which nolintlint does not see; the call uses the context of the process
func (a *Agent) startOperation(act action) {
	ctx, cancel := context.WithCancel(a.ctx)
	op := &operation{cancel: cancel, done: make(chan struct{})}
	a.operations[act.id] = op
	backendCtx := a.backendCtx
	a.tasks.Go(func() {
		defer cancel()
		result := a.execute(ctx, backendCtx, act)
		close(op.done)
		box := a.operationFinished(op, act.id, result)
		if result.release != nil {
			box.waitSent()
			result.release()
		}
		if result.backendDown {
			// The result is handled before the crash, so that a call that was not
			// sent is not among the suspects.
			a.backendDown()
		}
	})
}

// operationFinished passes the result of a call to the machine. It returns the outbox to which the
// machine has passed the answer, or nil.
func (a *Agent) operationFinished(op *operation, id string, result callResult) *outbox {
	a.mu.Lock()
	defer a.mu.Unlock()
	var box *outbox
	if attempt := a.machine.attempts[id]; attempt != nil {
		box, _ = attempt.stream.(*outbox)
	}
	if a.operations[id] == op {
		delete(a.operations, id)
	}
	a.performActions(a.machine.Finished(a.deps.Timer.Now(), id, result))

	return box
}

// cancelOperation cancels an attempt at the engine and retries until the engine has
// confirmed it or has crashed. It waits for the end of a running call first, so that
// the cancellation cannot arrive before the call.
//
//nolint:contextcheck,nolintlint // contextcheck also reports callers, which nolintlint does not see; the cancellation uses backendCtx
func (a *Agent) cancelOperation(id string) {
	op, backendCtx := a.operations[id], a.backendCtx
	a.tasks.Go(func() {
		if op != nil {
			op.cancel()
			<-op.done
		}
		for wait := minRetryWait; ; wait = min(2*wait, maxRetryWait) {
			if err := a.backend.Cancel(backendCtx, id); err == nil {
				break
			}
			if !sleep(backendCtx, wait) {
				return
			}
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.performActions(a.machine.Cancelled(a.deps.Timer.Now(), id))
	})
}

// execute makes the call of an actStart and returns its result.
func (a *Agent) execute(ctx, backendCtx context.Context, act action) callResult {
	var result callResult
	switch body := act.call.GetBody().(type) {
	case *wire.Call_Prefill:
		result = a.runPrefill(ctx, act, body.Prefill)
	case *wire.Call_Import:
		in := body.Import
		result.err = a.backend.Import(ctx, driver.Import{
			ID: act.id, Handle: in.GetHandle(), Source: in.GetSource(),
			Tokens: in.GetTokens(), Pieces: act.units, Rank: act.rank,
		})
		result.imported = result.err == nil
	case *wire.Call_Decode:
		result.chunks, result.err = a.runDecode(ctx, backendCtx, act, body.Decode)
	case *wire.Call_Run:
		return a.runPlainCall(ctx, act, body.Run)
	}
	if isBroken(result.err) {
		a.waitForCrash(ctx, backendCtx)
	}

	return result
}

func (a *Agent) runPrefill(ctx context.Context, act action, in *wire.Prefill) callResult {
	out, err := a.backend.Prefill(ctx, driver.Prefill{
		ID: act.id, Prompt: in.GetPrompt(), Prefix: in.GetPrefix(),
		Tokens: in.GetTokens(), Pieces: act.units, Rank: act.rank,
	})
	if err != nil {
		return callResult{err: err}
	}

	return callResult{prefilled: &wire.Prefilled{
		Id: act.id, Handle: out.Handle, Tokens: out.Tokens, Cached: out.Cached,
		Source: a.backend.Addr(),
	}}
}

// runDecode passes the chunks of an answer to the machine. It resumes the stream if the
// connection breaks but the engine is still running. It returns the number of chunks.
func (a *Agent) runDecode(ctx, backendCtx context.Context, act action, in *wire.Decode) (int64, error) {
	next, tries := act.offset, 0
	for {
		total, err := a.backend.Decode(ctx, driver.Decode{
			ID: act.id, Offset: next, Limit: in.GetLimit(),
		}, func(c driver.Chunk) {
			next++
			tries = 0
			a.mu.Lock()
			defer a.mu.Unlock()
			a.machine.Chunk(act.id, c.Text, c.Tokens)
		})
		if !isBroken(err) || tries >= maxResumes || a.waitForCrash(ctx, backendCtx) {
			return total, err
		}
		tries++
	}
}

// errCallTimeout is the cause with which a plain call is cancelled at its timeout.
var errCallTimeout = errors.New("the plain call timed out")

func (a *Agent) runPlainCall(ctx context.Context, act action, in *wire.Run) callResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer a.deps.Timer.After(a.callTimeout(), func(time.Time) { cancel(errCallTimeout) })()
	call := driver.Call{Method: in.GetMethod(), Path: in.GetPath(), Body: in.GetBody()}
	for _, h := range in.GetHeaders() {
		call.HeaderFields = append(call.HeaderFields, driver.HeaderField{Name: h.GetName(), Value: h.GetValue()})
	}
	out, err := a.backend.Run(ctx, call)
	if err != nil {
		result := callResult{err: err}
		result.backendDown = isBroken(err) && !a.backend.Probe(context.WithoutCancel(ctx))
		if result.backendDown && !isUnsent(err) {
			a.backendDown()
		}

		return result
	}
	answer := &wire.Answer{Id: act.id, Status: out.Status, Body: out.Body}
	for _, f := range out.HeaderFields {
		answer.Headers = append(answer.Headers, &wire.Header{Name: f.Name, Value: f.Value})
	}

	return callResult{answer: answer, release: out.Release}
}

// callTimeout returns the timeout of a plain call. The timeout configured for the
// service takes precedence over Settings.CallTimeout.
func (a *Agent) callTimeout() time.Duration {
	if ms := a.control.View().Service(a.settings.Service).GetTimeout(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}

	return a.settings.CallTimeout
}

func isBroken(err error) bool {
	return errors.Is(err, driver.ErrConnBroken) || errors.Is(err, driver.ErrUnreachable)
}

// waitForCrash waits until a crash is detected or crashDetectTime has passed. It
// reports whether the call must not be repeated, because of a crash or because ctx has
// ended.
func (a *Agent) waitForCrash(ctx, backendCtx context.Context) bool {
	select {
	case <-backendCtx.Done():
		return true
	case <-ctx.Done():
		return true
	case <-time.After(crashDetectTime):
		return false
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
