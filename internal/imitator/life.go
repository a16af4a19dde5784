package imitator

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

const (
	statePrefill   = "prefill"
	statePrefilled = "prefilled"
	stateImport    = "import"
	stateImported  = "imported"
	stateDecode    = "decode"
	stateDone      = "done"
	stateCancelled = "cancelled"
	// replayTime is how long the text of a finished decode can be resumed.
	replayTime = 5 * time.Second
)

// job is one piece of work that an engine holds.
type job struct {
	id       string
	state    string
	handle   string
	prompt   string
	tokens   int64
	pieces   int64
	rank     int32
	limit    int64
	cached   int64
	exported int // exports that run
	used     bool
	chunks   []string
	ctx      context.Context //nolint:containedctx // lifetime of the work, not of a call
	cancel   context.CancelFunc
	changed  chan struct{}
	started  time.Time
}

// wake tells the readers of the job about a change. The caller holds mu.
func (j *job) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// life is all state between two crashes. It is guarded by the engine's mutex.
type life struct {
	engine *Engine
	boot   int64
	server *http.Server
	ctx    context.Context //nolint:containedctx // ends with the crash
	cancel context.CancelFunc
	jobs   map[string]*job
	held   int64
	lane   *lane
	cache  *cache
	events []record
	link   *link
	loads  []loadSample
}

func newLife(e *Engine, boot int64) *life {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		engine: e, boot: boot, ctx: ctx, cancel: cancel,
		jobs: make(map[string]*job), lane: newLane(),
		cache: newCache(e.settings.Cache), link: newLink(e.settings.LinkRate),
	}

	return l
}

// running lists the jobs that hold memory. The caller holds mu.
func (l *life) running() []*job {
	var list []*job
	for _, j := range l.jobs {
		if j.state != stateDone && j.state != stateCancelled {
			list = append(list, j)
		}
	}

	return list
}

// take reserves memory for a new job, or returns nil without enough of it. The
// caller holds mu.
func (l *life) take(id, state string, pieces int64) *job {
	if l.held+pieces > l.engine.settings.Pieces {
		return nil
	}
	ctx, cancel := context.WithCancel(l.ctx)
	j := &job{
		id: id, state: state, pieces: pieces, ctx: ctx, cancel: cancel,
		changed: make(chan struct{}), started: time.Now(),
		handle: strconv.FormatInt(l.boot, 10) + "/" + id,
	}
	l.held += pieces
	l.jobs[id] = j
	l.sample()
	l.engine.announce()

	return j
}

// free ends a job and returns its memory. The caller holds mu.
func (l *life) free(j *job, state string) {
	if j.state == stateDone || j.state == stateCancelled {
		return
	}
	if j.state == statePrefilled && !j.used || j.state == statePrefill {
		l.engine.counters.Wasted++
	}
	j.state = state
	j.cancel()
	j.wake()
	l.held -= j.pieces
	l.sample()
	if state == stateDone && j.chunks != nil {
		time.AfterFunc(replayTime, func() { l.forget(j) })
	} else if l.jobs[j.id] == j {
		delete(l.jobs, j.id)
	}
	l.engine.announce()
}

func (l *life) forget(j *job) {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	if l.jobs[j.id] == j {
		delete(l.jobs, j.id)
	}
}

// pause waits for d; it reports false if ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
