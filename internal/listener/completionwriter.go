package listener

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"

	"github.com/damasklever/damasklever/internal/dispatcher"
)

// completionWriter writes the response to a model request, either as a whole or as
// server-sent events.
type completionWriter struct {
	w       *responseWriter
	c       *Completion
	created int64 // Unix seconds
	text    strings.Builder
	tokens  int64
	started bool
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// emit adds the next piece of the output.
func (cw *completionWriter) emit(text string, tokens int64) {
	cw.tokens += tokens
	if !cw.c.Stream {
		cw.text.WriteString(text)

		return
	}
	cw.send(cw.chunkEvent(text, nil))
}

// finish ends the response. A stream that fails midway ends with an error event instead
// of [DONE].
func (cw *completionWriter) finish(r Reply) {
	if r.CallerGone {
		return
	}
	done := r.Result == dispatcher.Done
	switch {
	case !done && !cw.started:
		cw.w.writeError(r.Outcome)
	case !done:
		cw.send(append([]byte("event: error\ndata: "), append(cw.w.errorBody(r.Outcome), '\n')...))
		cw.endChunks(r.Outcome)
	case !cw.c.Stream:
		header := http.Header{"Content-Type": {"application/json"}}
		cw.w.setOutcomeHeaders(r.Outcome, header)
		cw.w.writeResponse(http.StatusOK, header, encode(cw.fullResponse(r)))
	default:
		finishReason := cw.finishReason()
		cw.send(cw.chunkEvent("", &finishReason))
		if cw.c.Usage {
			a := cw.completionResponse()
			a.Choices, a.Usage = []choice{}, cw.usage(r)
			cw.send(sseEvent(encode(a)))
		}
		cw.send([]byte("data: [DONE]\n\n"))
		cw.endChunks(r.Outcome)
	}
}

// finishReason returns "length" if the output reached the token limit, otherwise "stop".
func (cw *completionWriter) finishReason() string {
	if cw.c.Limit > 0 && cw.tokens >= cw.c.Limit {
		return "length"
	}

	return "stop"
}

func (cw *completionWriter) usage(r Reply) *usage {
	return &usage{PromptTokens: r.PromptTokens, CompletionTokens: cw.tokens, TotalTokens: r.PromptTokens + cw.tokens}
}

func (cw *completionWriter) completionResponse() completionResponse {
	a := completionResponse{ID: cw.w.id, Object: "text_completion", Created: cw.created, Model: cw.c.Model}
	switch {
	case cw.c.Chat && cw.c.Stream:
		a.Object = "chat.completion.chunk"
	case cw.c.Chat:
		a.Object = "chat.completion"
	}

	return a
}

func (cw *completionWriter) fullResponse(r Reply) completionResponse {
	a, text, finishReason := cw.completionResponse(), cw.text.String(), cw.finishReason()
	c := choice{Finish: &finishReason}
	if cw.c.Chat {
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.Choices, a.Usage = []choice{c}, cw.usage(r)

	return a
}

func (cw *completionWriter) chunkEvent(text string, finish *string) []byte {
	a := cw.completionResponse()
	c := choice{Finish: finish}
	if cw.c.Chat {
		c.Delta = &chatMessage{Content: text}
		if !cw.started {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	a.Choices = []choice{c}

	return sseEvent(encode(a))
}

// sseEvent formats one line of JSON as a server-sent event.
func sseEvent(line []byte) []byte {
	return append(append([]byte("data: "), line...), '\n')
}

// send writes one event as one chunk. The first event is preceded by the headers.
func (cw *completionWriter) send(event []byte) {
	var out bytes.Buffer
	if !cw.started {
		cw.started = true
		header := http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}
		header.Set("Damask-Request", cw.w.id)
		if cw.w.e.http10 {
			cw.w.e.close = true
		} else {
			header.Set("Transfer-Encoding", "chunked")
			header.Set("Trailer", headerOutcome)
		}
		out = *cw.w.responseHead(http.StatusOK, header)
	}
	if cw.w.e.http10 {
		out.Write(event)
	} else {
		_, _ = httputil.NewChunkedWriter(&out).Write(event)
	}
	_, _ = cw.w.conn.Write(out.Bytes())
}

// endChunks writes the last chunk. The outcome follows as a trailer, because it isn't
// known when the headers are sent.
func (cw *completionWriter) endChunks(o dispatcher.Outcome) {
	if cw.w.e.http10 {
		return
	}
	var out bytes.Buffer
	_ = httputil.NewChunkedWriter(&out).Close()
	_, _ = io.WriteString(&out, headerOutcome+": "+o.Result.String()+"\r\n\r\n")
	_, _ = cw.w.conn.Write(out.Bytes())
}
