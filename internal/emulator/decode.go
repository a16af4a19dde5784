package emulator

import (
	"context"
	"net/http"
	"time"
)

// Chunk is one line of the response to POST /decode. The last line has End and
// Chunks, or Code after an error.
type Chunk struct {
	Seq    int64  `json:"seq"`
	Text   string `json:"text,omitempty"`
	Tokens int64  `json:"tokens,omitempty"`
	End    string `json:"end,omitempty"`
	Chunks int64  `json:"chunks,omitempty"`
	Code   string `json:"code,omitempty"`
}

func (p *process) handleDecode(w http.ResponseWriter, r *http.Request) {
	var params struct {
		ID     string `json:"id"`
		Offset int64  `json:"offset"`
		Limit  int64  `json:"limit"`
	}
	if !readJSON(w, r, &params) {
		return
	}
	e := p.engine
	e.mu.Lock()
	j := p.jobs[params.ID]
	if j == nil || j.state == stateImport || j.state == statePrefill || j.state == statePrefilled {
		e.mu.Unlock()
		writeError(w, http.StatusGone, CodeEvicted, "no KV cache for "+params.ID)

		return
	}
	if j.state == stateImported {
		j.state, j.maxTokens, j.chunks = stateDecode, params.Limit, []string{}
		e.counters.Decodes++
		go p.generateTokens(j)
	}
	e.mu.Unlock()
	p.streamChunks(r.Context(), newLineWriter(w), j, params.Offset)
}

// generateTokens generates tokens at the decode rate up to the limit of the job.
func (p *process) generateTokens(j *job) {
	e := p.engine
	interval := time.Duration(float64(time.Second) / e.settings.DecodeRate)
	ticker := time.NewTicker(max(interval, 1))
	defer ticker.Stop()
	for seq := int64(0); seq < j.maxTokens; seq++ {
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
		j.wakeReaders()
		e.notifyChanged()
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.state == stateDecode {
		p.endJob(j, stateDone)
	}
}

// streamChunks sends the chunks from offset on and then a line that tells how the
// decode ended.
func (p *process) streamChunks(ctx context.Context, lines *lineWriter, j *job, offset int64) {
	for {
		p.engine.mu.Lock()
		state, changed := j.state, j.changed
		var ready []string
		if offset < int64(len(j.chunks)) {
			ready = j.chunks[offset:]
		}
		total := int64(len(j.chunks))
		p.engine.mu.Unlock()
		for _, text := range ready {
			if !lines.writeLine(Chunk{Seq: offset, Text: text, Tokens: 1}) {
				return
			}
			offset++
		}
		switch state {
		case stateDone:
			lines.writeLine(Chunk{Seq: total, End: stateDone, Chunks: total})

			return
		case stateCancelled:
			lines.writeLine(Chunk{Seq: total, Code: CodeCancelled})

			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-p.ctx.Done():
			return
		}
	}
}
