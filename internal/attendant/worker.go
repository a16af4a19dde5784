package attendant

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/wire"
)

// backend is the port to the backend server.
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
	// crashGrace is how long a broken call waits for the watch stream to tell
	// a crash from a lost connection.
	crashGrace = 500 * time.Millisecond
	// maxResumes bounds how often a decode is resumed without a new token.
	maxResumes = 3
	// retryMin and retryMax bound the wait between attempts to cancel work.
	retryMin = 20 * time.Millisecond
	retryMax = time.Second
)

// operation is a call to the backend server that runs.
type operation struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// perform carries actions out without blocking. The caller holds mu, so that
// the actions of two events keep their order.
func (a *Attendant) perform(actions []action) {
	if a.closed {
		return
	}
	for _, act := range actions {
		switch act.kind {
		case actStart:
			a.startOperation(act)
		case actStop:
			a.stopOperation(act.id)
		case actDrop:
			if op := a.operations[act.id]; op != nil {
				op.cancel()
			}
		case actBlame:
			a.blame(act.digests)
		}
	}
}

// startOperation makes a call that outlives the event that starts it.
//
//nolint:contextcheck,nolintlint // the directive reaches callers, which nolintlint does not see; the context is that of the process
func (a *Attendant) startOperation(act action) {
	ctx, cancel := context.WithCancel(a.ctx)
	op := &operation{cancel: cancel, done: make(chan struct{})}
	a.operations[act.id] = op
	life := a.life
	a.work.Go(func() {
		defer cancel()
		o := a.carryOut(ctx, life, act)
		close(op.done)
		a.finished(op, act.id, o)
		if o.down {
			// A call that was not sent is settled first: it has no part in the
			// crash.
			a.down()
		}
	})
}

func (a *Attendant) finished(op *operation, id string, o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.operations[id] == op {
		delete(a.operations, id)
	}
	a.perform(a.keeper.Finished(a.deps.Timer.Now(), id, o))
}

// stopOperation ends the running call first, so that the cancellation cannot
// overtake it, and then repeats the cancellation until the engine confirms it
// or has crashed.
//
//nolint:contextcheck,nolintlint // the directive reaches callers, which nolintlint does not see; the context is that of the backend server's life
func (a *Attendant) stopOperation(id string) {
	op, life := a.operations[id], a.life
	a.work.Go(func() {
		if op != nil {
			op.cancel()
			<-op.done
		}
		for wait := retryMin; ; wait = min(2*wait, retryMax) {
			if err := a.backend.Cancel(life, id); err == nil {
				break
			}
			if !sleep(life, wait) {
				return
			}
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.perform(a.keeper.Cancelled(a.deps.Timer.Now(), id))
	})
}

// carryOut makes one call to the backend server.
func (a *Attendant) carryOut(ctx, life context.Context, act action) outcome {
	var o outcome
	switch body := act.call.GetBody().(type) {
	case *wire.Call_Prefill:
		o = a.prefill(ctx, act, body.Prefill)
	case *wire.Call_Import:
		in := body.Import
		o.err = a.backend.Import(ctx, driver.Import{
			ID: act.id, Handle: in.GetHandle(), Source: in.GetSource(),
			Tokens: in.GetTokens(), Pieces: act.pieces, Rank: act.rank,
		})
		o.imported = o.err == nil
	case *wire.Call_Decode:
		o.chunks, o.err = a.decode(ctx, life, act, body.Decode)
	case *wire.Call_Run:
		return a.run(ctx, act, body.Run)
	}
	if isBroken(o.err) {
		a.awaitCrash(ctx, life)
	}

	return o
}

func (a *Attendant) prefill(ctx context.Context, act action, in *wire.Prefill) outcome {
	out, err := a.backend.Prefill(ctx, driver.Prefill{
		ID: act.id, Prompt: in.GetPrompt(), Prefix: in.GetPrefix(),
		Tokens: in.GetTokens(), Pieces: act.pieces, Rank: act.rank,
	})
	if err != nil {
		return outcome{err: err}
	}

	return outcome{prefilled: &wire.Prefilled{
		Id: act.id, Handle: out.Handle, Tokens: out.Tokens, Cached: out.Cached,
		Source: a.backend.Addr(),
	}}
}

// decode streams an answer and resumes it if the connection breaks while the
// engine goes on.
func (a *Attendant) decode(ctx, life context.Context, act action, in *wire.Decode) (int64, error) {
	next, tries := act.offset, 0
	for {
		total, err := a.backend.Decode(ctx, driver.Decode{
			ID: act.id, Offset: next, Limit: in.GetLimit(),
		}, func(c driver.Chunk) {
			next++
			tries = 0
			a.mu.Lock()
			defer a.mu.Unlock()
			a.keeper.Chunk(act.id, c.Text, c.Tokens)
		})
		if !isBroken(err) || tries >= maxResumes || a.awaitCrash(ctx, life) {
			return total, err
		}
		tries++
	}
}

// errTimeout ends a plain call that takes longer than its service allows.
var errTimeout = errors.New("the call took too long")

func (a *Attendant) run(ctx context.Context, act action, in *wire.Run) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer a.deps.Timer.After(a.timeout(), func(time.Time) { cancel(errTimeout) })()
	call := driver.Call{Method: in.GetMethod(), Path: in.GetPath(), Body: in.GetBody()}
	for _, h := range in.GetHeaders() {
		call.HeaderFields = append(call.HeaderFields, driver.HeaderField{Name: h.GetName(), Value: h.GetValue()})
	}
	out, err := a.backend.Run(ctx, call)
	if err != nil {
		o := outcome{err: err}
		o.down = isBroken(err) && !a.backend.Probe(context.WithoutCancel(ctx))
		if o.down && !unsent(err) {
			a.down()
		}

		return o
	}
	answer := &wire.Answer{Id: act.id, Status: out.Status, Body: out.Body}
	for _, f := range out.HeaderFields {
		answer.Headers = append(answer.Headers, &wire.Header{Name: f.Name, Value: f.Value})
	}

	return outcome{answer: answer}
}

// timeout bounds a plain call. The operators' setting of the service counts
// more than that of the process.
func (a *Attendant) timeout() time.Duration {
	if ms := a.control.View().Service(a.settings.Service).GetTimeout(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}

	return a.settings.Timeout
}

func isBroken(err error) bool {
	return errors.Is(err, driver.ErrBroken) || errors.Is(err, driver.ErrUnreachable)
}

// awaitCrash gives the watcher time to notice a crash. It reports true if the
// call is not to be repeated.
func (a *Attendant) awaitCrash(ctx, life context.Context) bool {
	select {
	case <-life.Done():
		return true
	case <-ctx.Done():
		return true
	case <-time.After(crashGrace):
		return false
	}
}

// sleep waits for d; it reports false if ctx ended before.
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
