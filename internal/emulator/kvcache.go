package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// prefillRequest is the body of POST /prefill.
type prefillRequest struct {
	ID     string   `json:"id"`
	Prompt string   `json:"prompt"`
	Prefix []uint64 `json:"prefix"`
	Tokens int64    `json:"tokens"`
	Blocks int64    `json:"pieces"`
	Rank   int32    `json:"rank"`
}

func (p *process) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var params prefillRequest
	if !readJSON(w, r, &params) {
		return
	}
	e := p.engine
	if p.triggersCrash(params.Prompt) {
		e.Crash()

		return
	}
	e.mu.Lock()
	if p.jobs[params.ID] != nil {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, CodeRefused, "id is in use")

		return
	}
	j := p.addJob(params.ID, statePrefill, max(params.Blocks, 1))
	if j == nil {
		e.mu.Unlock()
		writeError(w, http.StatusInsufficientStorage, CodeOutOfMemory, "not enough memory")

		return
	}
	e.counters.Prefills++
	j.prompt, j.promptTokens, j.rank = params.Prompt, params.Tokens, params.Rank
	j.cachedTokens = min(int64(p.prefixCache.matchPrefix(params.Prefix))*BlockTokens, params.Tokens)
	e.mu.Unlock()
	// The prefill continues if its caller disconnects: only a cancel call ends it.
	finished := make(chan bool, 1)
	go func() { finished <- p.runPrefill(j, params.Prefix) }()
	select {
	case ok := <-finished:
		if !ok {
			writeError(w, http.StatusConflict, CodeCancelled, "cancelled")

			return
		}
		writeJSON(w, map[string]any{"handle": j.handle, "tokens": j.promptTokens, "cached": j.cachedTokens})
	case <-r.Context().Done():
	}
}

// runPrefill computes the uncached tokens in time slices. It returns false if the
// job was cancelled.
func (p *process) runPrefill(j *job, prefix []uint64) bool {
	e := p.engine
	seconds := float64(j.promptTokens-j.cachedTokens) / e.settings.PrefillRate
	remaining := time.Duration(seconds * float64(time.Second))
	for remaining > 0 {
		step := min(remaining, prefillTimeSlice)
		if !p.priorityLock.acquire(j.ctx, j.rank) {
			return false
		}
		ok := sleep(j.ctx, step)
		p.priorityLock.release()
		if !ok {
			return false
		}
		remaining -= step
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.state != statePrefill {
		return false
	}
	j.state = statePrefilled
	p.publishCacheEvent(p.prefixCache.insert(prefix))
	time.AfterFunc(e.settings.ResultTTL, func() { p.evictUnused(j) })
	e.notifyChanged()

	return true
}

// evictUnused frees a prefill result unless it is being exported.
func (p *process) evictUnused(j *job) {
	p.engine.mu.Lock()
	defer p.engine.mu.Unlock()
	if j.state == statePrefilled && j.activeExports == 0 {
		p.endJob(j, stateDone)
	}
}

// exportHeader is the first line of an export. The KV cache follows, with one byte
// for each token.
type exportHeader struct {
	Prompt string `json:"prompt"`
	Tokens int64  `json:"tokens"`
}

func (p *process) handleExport(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("handle")
	e := p.engine
	e.mu.Lock()
	var j *job
	for _, other := range p.jobs {
		if other.handle == handle && other.state == statePrefilled {
			j = other
		}
	}
	if j == nil {
		e.mu.Unlock()
		writeError(w, http.StatusGone, CodeEvicted, "no prefill result "+strconv.Quote(handle))

		return
	}
	j.activeExports++
	e.mu.Unlock()
	complete := newLineWriter(w).writeLine(exportHeader{Prompt: j.prompt, Tokens: j.promptTokens}) &&
		p.sendKV(r.Context(), w, j)
	e.mu.Lock()
	j.activeExports--
	j.exported = j.exported || complete
	if j.activeExports == 0 && (complete || time.Since(j.started) > e.settings.ResultTTL) {
		p.endJob(j, stateDone)
	}
	e.mu.Unlock()
}

// sendKV sends the KV cache at the export rate. It returns false if the transfer is
// incomplete.
func (p *process) sendKV(ctx context.Context, w http.ResponseWriter, j *job) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(j.ctx, cancel) //nolint:contextcheck // ends when the job or the caller ends
	defer stop()
	flusher, _ := w.(http.Flusher)
	for sent := int64(0); sent < j.promptTokens; {
		if !p.engine.waitUnstalled(ctx) {
			return false
		}
		step := min(j.promptTokens-sent, exportStep)
		if err := p.exportLimiter.wait(ctx, int(step)); err != nil {
			return false
		}
		if _, err := w.Write(make([]byte, step)); err != nil {
			return false
		}
		flusher.Flush()
		sent += step
	}

	return true
}

// waitUnstalled waits while exports are stalled. It returns false if ctx ends
// first.
func (e *Engine) waitUnstalled(ctx context.Context) bool {
	for {
		e.mu.Lock()
		stalled, changed := e.stalled, e.changed
		e.mu.Unlock()
		if !stalled {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// importRequest is the body of POST /import.
type importRequest struct {
	ID     string `json:"id"`
	Handle string `json:"handle"`
	Source string `json:"source"`
	Tokens int64  `json:"tokens"`
	Blocks int64  `json:"pieces"`
	Rank   int32  `json:"rank"`
}

// importProgress is one line of the response to POST /import. The last line has
// Done, or Code and Text.
type importProgress struct {
	Moved int64  `json:"moved"`
	Done  bool   `json:"done,omitempty"`
	Code  string `json:"code,omitempty"`
	Text  string `json:"text,omitempty"`
}

func (p *process) handleImport(w http.ResponseWriter, r *http.Request) {
	var params importRequest
	if !readJSON(w, r, &params) {
		return
	}
	e := p.engine
	e.mu.Lock()
	if p.jobs[params.ID] != nil {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, CodeRefused, "id is in use")

		return
	}
	j := p.addJob(params.ID, stateImport, max(params.Blocks, 1))
	if j == nil {
		e.mu.Unlock()
		writeError(w, http.StatusInsufficientStorage, CodeOutOfMemory, "not enough memory")

		return
	}
	e.counters.Imports++
	j.rank = params.Rank
	e.mu.Unlock()
	updates := make(chan importProgress, 1)
	go p.runImport(j, params, updates)
	lines := newLineWriter(w)
	for update := range updates {
		if r.Context().Err() == nil {
			lines.writeLine(update)
		}
	}
}

// runImport copies the KV cache from the exporting engine and ends the job if that
// fails. It closes updates after the last line.
func (p *process) runImport(j *job, params importRequest, updates chan<- importProgress) {
	defer close(updates)
	e := p.engine
	code, text := p.copyKV(j, params, updates)
	e.mu.Lock()
	if code != "" {
		p.endJob(j, stateCancelled)
	} else if j.state == stateImport {
		j.state = stateImported
		e.notifyChanged()
	}
	e.mu.Unlock()
	updates <- importProgress{Done: code == "", Code: code, Text: text}
}

// copyKV reads an export to its end. It returns the code and text of an error.
func (p *process) copyKV(j *job, params importRequest, updates chan<- importProgress) (code, text string) {
	exportURL := "http://" + params.Source + "/export?handle=" + url.QueryEscape(params.Handle)
	req, err := http.NewRequestWithContext(j.ctx, http.MethodGet, exportURL, nil)
	if err != nil {
		return CodeInvalid, err.Error()
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return CodeSourceFailed, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return CodeEvicted, "source answered " + res.Status
	}
	body := bufio.NewReader(res.Body)
	firstLine, err := body.ReadBytes('\n')
	if err != nil {
		return CodeSourceFailed, err.Error()
	}
	var head exportHeader
	if err := json.Unmarshal(firstLine, &head); err != nil {
		return CodeSourceFailed, err.Error()
	}
	buffer := make([]byte, exportStep)
	for received := int64(0); received < head.Tokens; {
		n, err := body.Read(buffer)
		received += int64(n)
		if received < head.Tokens && err != nil {
			return CodeSourceFailed, "transfer ended early: " + describeReadError(err)
		}
		select {
		case updates <- importProgress{Moved: received}:
		case <-j.ctx.Done():
			return CodeCancelled, "cancelled"
		}
	}
	p.engine.mu.Lock()
	j.prompt, j.promptTokens = head.Prompt, head.Tokens
	p.engine.mu.Unlock()

	return "", ""
}

func describeReadError(err error) string {
	if err == io.EOF { //nolint:errorlint // Read returns io.EOF itself
		return "end of stream"
	}

	return err.Error()
}
