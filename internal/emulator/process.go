package emulator

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
	// resumeWindow is how long the chunks of a finished decode can be read again.
	resumeWindow = 5 * time.Second
)

// job is a prefill, an import or the decode that follows an import.
type job struct {
	id            string
	state         string
	handle        string
	prompt        string
	promptTokens  int64
	blocks        int64
	rank          int32
	maxTokens     int64
	cachedTokens  int64
	activeExports int  // exports in progress
	exported      bool // completely, at least once
	chunks        []string
	ctx           context.Context //nolint:containedctx // lifetime of the job, not of a call
	cancel        context.CancelFunc
	changed       chan struct{}
	started       time.Time
}

// wakeReaders wakes the streams that send the chunks of the job. The caller holds
// mu.
func (j *job) wakeReaders() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// process is the state of an engine from its start to its crash. The mutex of the
// engine guards it.
type process struct {
	engine          *Engine
	bootID          int64
	server          *http.Server
	ctx             context.Context //nolint:containedctx // ends with the crash
	cancel          context.CancelFunc
	jobs            map[string]*job
	heldBlocks      int64
	priorityLock    *priorityLock
	prefixCache     *prefixCache
	scheduledEvents []scheduledEvent
	exportLimiter   *exportLimiter
	loadHistory     []loadSample
}

func newProcess(e *Engine, bootID int64) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		engine: e, bootID: bootID, ctx: ctx, cancel: cancel,
		jobs: make(map[string]*job), priorityLock: newPriorityLock(),
		prefixCache: newPrefixCache(e.settings.CachedPrefixes), exportLimiter: newExportLimiter(e.settings.ExportRate),
	}

	return p
}

// runningJobs lists the jobs that hold memory. The caller holds mu.
func (p *process) runningJobs() []*job {
	var list []*job
	for _, j := range p.jobs {
		if j.state != stateDone && j.state != stateCancelled {
			list = append(list, j)
		}
	}

	return list
}

// addJob reserves memory for a new job. It returns nil if too little memory is
// free. The caller holds mu.
func (p *process) addJob(id, state string, blocks int64) *job {
	if p.heldBlocks+blocks > p.engine.settings.Pieces {
		return nil
	}
	ctx, cancel := context.WithCancel(p.ctx)
	j := &job{
		id: id, state: state, blocks: blocks, ctx: ctx, cancel: cancel,
		changed: make(chan struct{}), started: time.Now(),
		handle: strconv.FormatInt(p.bootID, 10) + "/" + id,
	}
	p.heldBlocks += blocks
	p.jobs[id] = j
	p.recordLoad()
	p.engine.notifyChanged()

	return j
}

// endJob ends a job in the given state and frees its memory. A finished decode
// stays readable for resumeWindow. The caller holds mu.
func (p *process) endJob(j *job, state string) {
	if j.state == stateDone || j.state == stateCancelled {
		return
	}
	if j.state == statePrefilled && !j.exported || j.state == statePrefill {
		p.engine.counters.WastedPrefills++
	}
	j.state = state
	j.cancel()
	j.wakeReaders()
	p.heldBlocks -= j.blocks
	p.recordLoad()
	if state == stateDone && j.chunks != nil {
		time.AfterFunc(resumeWindow, func() { p.removeJob(j) })
	} else if p.jobs[j.id] == j {
		delete(p.jobs, j.id)
	}
	p.engine.notifyChanged()
}

func (p *process) removeJob(j *job) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if p.jobs[j.id] == j {
		delete(p.jobs, j.id)
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
