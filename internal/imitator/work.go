package imitator

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

// prefillInput is the body of POST /prefill.
type prefillInput struct {
	ID     string   `json:"id"`
	Prompt string   `json:"prompt"`
	Prefix []uint64 `json:"prefix"`
	Tokens int64    `json:"tokens"`
	Pieces int64    `json:"pieces"`
	Rank   int32    `json:"rank"`
}

func (l *life) prefill(w http.ResponseWriter, r *http.Request) {
	var in prefillInput
	if !parse(w, r, &in) {
		return
	}
	e := l.engine
	if l.crashes(in.Prompt) {
		e.Crash()

		return
	}
	e.mu.Lock()
	if l.jobs[in.ID] != nil {
		e.mu.Unlock()
		fail(w, http.StatusConflict, CodeRefused, "id is in use")

		return
	}
	j := l.take(in.ID, statePrefill, max(in.Pieces, 1))
	if j == nil {
		e.mu.Unlock()
		fail(w, http.StatusInsufficientStorage, CodeMemory, "not enough memory")

		return
	}
	e.counters.Prefills++
	j.prompt, j.tokens, j.rank = in.Prompt, in.Tokens, in.Rank
	j.cached = min(int64(l.cache.hits(in.Prefix))*PieceTokens, in.Tokens)
	e.mu.Unlock()
	// The work goes on without its caller, as only a cancel call ends it.
	finished := make(chan bool, 1)
	go func() { finished <- l.compute(j, in.Prefix) }()
	select {
	case ok := <-finished:
		if !ok {
			fail(w, http.StatusConflict, CodeCancelled, "cancelled")

			return
		}
		reply(w, map[string]any{"handle": j.handle, "tokens": j.tokens, "cached": j.cached})
	case <-r.Context().Done():
	}
}

func (l *life) compute(j *job, prefix []uint64) bool {
	e := l.engine
	seconds := float64(j.tokens-j.cached) / e.settings.PrefillRate
	left := time.Duration(seconds * float64(time.Second))
	for left > 0 {
		step := min(left, prefillStep)
		if !l.lane.enter(j.ctx, j.rank) {
			return false
		}
		ok := pause(j.ctx, step)
		l.lane.leave()
		if !ok {
			return false
		}
		left -= step
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.state != statePrefill {
		return false
	}
	j.state = statePrefilled
	l.publish(l.cache.add(prefix))
	time.AfterFunc(e.settings.Keep, func() { l.evict(j) })
	e.announce()

	return true
}

// evict frees a prefill result that nobody exports.
func (l *life) evict(j *job) {
	l.engine.mu.Lock()
	defer l.engine.mu.Unlock()
	if j.state == statePrefilled && j.exported == 0 {
		l.free(j, stateDone)
	}
}

// header is the first line of an export; the KV cache follows as one byte a
// token.
type header struct {
	Prompt string `json:"prompt"`
	Tokens int64  `json:"tokens"`
}

func (l *life) export(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("handle")
	e := l.engine
	e.mu.Lock()
	var j *job
	for _, other := range l.jobs {
		if other.handle == handle && other.state == statePrefilled {
			j = other
		}
	}
	if j == nil {
		e.mu.Unlock()
		fail(w, http.StatusGone, CodeEvicted, "no prefill result "+strconv.Quote(handle))

		return
	}
	j.exported++
	e.mu.Unlock()
	complete := newLines(w).send(header{Prompt: j.prompt, Tokens: j.tokens}) &&
		l.push(r.Context(), w, j)
	e.mu.Lock()
	j.exported--
	j.used = j.used || complete
	if j.exported == 0 && (complete || time.Since(j.started) > e.settings.Keep) {
		l.free(j, stateDone)
	}
	e.mu.Unlock()
}

// push sends the KV cache at the rate of the link.
func (l *life) push(ctx context.Context, w http.ResponseWriter, j *job) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(j.ctx, cancel) //nolint:contextcheck // ends with the job as well as with the caller
	defer stop()
	flusher, _ := w.(http.Flusher)
	for sent := int64(0); sent < j.tokens; {
		if !l.engine.unstalled(ctx) {
			return false
		}
		step := min(j.tokens-sent, linkStep)
		if err := l.link.wait(ctx, int(step)); err != nil {
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

// unstalled waits while transfers are stalled.
func (e *Engine) unstalled(ctx context.Context) bool {
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

// importInput is the body of POST /import.
type importInput struct {
	ID     string `json:"id"`
	Handle string `json:"handle"`
	Source string `json:"source"`
	Tokens int64  `json:"tokens"`
	Pieces int64  `json:"pieces"`
	Rank   int32  `json:"rank"`
}

// progress is one line of the response to POST /import; the last one has Done.
type progress struct {
	Moved int64  `json:"moved"`
	Done  bool   `json:"done,omitempty"`
	Code  string `json:"code,omitempty"`
	Text  string `json:"text,omitempty"`
}

func (l *life) importKV(w http.ResponseWriter, r *http.Request) {
	var in importInput
	if !parse(w, r, &in) {
		return
	}
	e := l.engine
	e.mu.Lock()
	if l.jobs[in.ID] != nil {
		e.mu.Unlock()
		fail(w, http.StatusConflict, CodeRefused, "id is in use")

		return
	}
	j := l.take(in.ID, stateImport, max(in.Pieces, 1))
	if j == nil {
		e.mu.Unlock()
		fail(w, http.StatusInsufficientStorage, CodeMemory, "not enough memory")

		return
	}
	e.counters.Imports++
	j.rank = in.Rank
	e.mu.Unlock()
	moved := make(chan progress, 1)
	go l.pull(j, in, moved)
	out := newLines(w)
	for p := range moved {
		if r.Context().Err() == nil {
			out.send(p)
		}
	}
}

// pull copies the KV cache from the exporting engine.
func (l *life) pull(j *job, in importInput, moved chan<- progress) {
	defer close(moved)
	e := l.engine
	code, text := l.copyKV(j, in, moved)
	e.mu.Lock()
	if code != "" {
		l.free(j, stateCancelled)
	} else if j.state == stateImport {
		j.state = stateImported
		e.announce()
	}
	e.mu.Unlock()
	moved <- progress{Done: code == "", Code: code, Text: text}
}

func (l *life) copyKV(j *job, in importInput, moved chan<- progress) (code, text string) {
	target := "http://" + in.Source + "/export?handle=" + url.QueryEscape(in.Handle)
	req, err := http.NewRequestWithContext(j.ctx, http.MethodGet, target, nil)
	if err != nil {
		return CodeInvalid, err.Error()
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return CodeSource, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return CodeEvicted, "source answered " + res.Status
	}
	body := bufio.NewReader(res.Body)
	line, err := body.ReadBytes('\n')
	if err != nil {
		return CodeSource, err.Error()
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return CodeSource, err.Error()
	}
	buffer := make([]byte, linkStep)
	for total := int64(0); total < h.Tokens; {
		n, err := body.Read(buffer)
		total += int64(n)
		if total < h.Tokens && err != nil {
			return CodeSource, "transfer ended early: " + ended(err)
		}
		select {
		case moved <- progress{Moved: total}:
		case <-j.ctx.Done():
			return CodeCancelled, "cancelled"
		}
	}
	l.engine.mu.Lock()
	j.prompt, j.tokens = h.Prompt, h.Tokens
	l.engine.mu.Unlock()

	return "", ""
}

func ended(err error) string {
	if err == io.EOF { //nolint:errorlint // Read returns io.EOF itself
		return "end of stream"
	}

	return err.Error()
}
