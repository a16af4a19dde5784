package imitator

import (
	"context"
	"net/http"
	"time"
)

// Chunk is one line of the response to POST /decode. The last line has End and
// Chunks, or Code and Text.
type Chunk struct {
	Seq    int64  `json:"seq"`
	Text   string `json:"text,omitempty"`
	Tokens int64  `json:"tokens,omitempty"`
	End    string `json:"end,omitempty"`
	Chunks int64  `json:"chunks,omitempty"`
	Code   string `json:"code,omitempty"`
}

func (l *life) decode(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID     string `json:"id"`
		Offset int64  `json:"offset"`
		Limit  int64  `json:"limit"`
	}
	if !parse(w, r, &in) {
		return
	}
	e := l.engine
	e.mu.Lock()
	j := l.jobs[in.ID]
	if j == nil || j.state == stateImport || j.state == statePrefill || j.state == statePrefilled {
		e.mu.Unlock()
		fail(w, http.StatusGone, CodeEvicted, "no KV cache for "+in.ID)

		return
	}
	if j.state == stateImported {
		j.state, j.limit, j.chunks = stateDecode, in.Limit, []string{}
		e.counters.Decodes++
		go l.generate(j)
	}
	e.mu.Unlock()
	l.stream(r.Context(), newLines(w), j, in.Offset)
}

// generate produces tokens at the decode rate until the limit.
func (l *life) generate(j *job) {
	e := l.engine
	gap := time.Duration(float64(time.Second) / e.settings.DecodeRate)
	ticker := time.NewTicker(max(gap, 1))
	defer ticker.Stop()
	for seq := int64(0); seq < j.limit; seq++ {
		select {
		case <-ticker.C:
		case <-j.ctx.Done():
			return
		}
		e.mu.Lock()
		if j.state != stateDecode {
			e.mu.Unlock()

			return
		}
		j.chunks = append(j.chunks, Token(j.prompt, seq))
		e.counters.Tokens++
		j.wake()
		e.announce()
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.state == stateDecode {
		l.free(j, stateDone)
	}
}

// stream sends the chunks from offset and then the end marker.
func (l *life) stream(ctx context.Context, out *lines, j *job, offset int64) {
	for {
		l.engine.mu.Lock()
		state, changed := j.state, j.changed
		var ready []string
		if offset < int64(len(j.chunks)) {
			ready = j.chunks[offset:]
		}
		total := int64(len(j.chunks))
		l.engine.mu.Unlock()
		for _, text := range ready {
			if !out.send(Chunk{Seq: offset, Text: text, Tokens: 1}) {
				return
			}
			offset++
		}
		switch state {
		case stateDone:
			out.send(Chunk{Seq: total, End: stateDone, Chunks: total})

			return
		case stateCancelled:
			out.send(Chunk{Seq: total, Code: CodeCancelled})

			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}
