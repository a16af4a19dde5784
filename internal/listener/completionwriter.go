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
func (s *completionWriter) emit(text string, tokens int64) {
	s.tokens += tokens
	if !s.c.Stream {
		s.text.WriteString(text)

		return
	}
	s.send(s.chunkEvent(text, nil))
}

// finish ends the response. A stream that fails midway ends with an error event instead
// of [DONE].
func (s *completionWriter) finish(r Reply) {
	if r.CallerGone {
		return
	}
	done := r.Result == dispatcher.Done
	switch {
	case !done && !s.started:
		s.w.writeError(r.Outcome)
	case !done:
		s.send(append([]byte("event: error\ndata: "), append(s.w.errorBody(r.Outcome), '\n')...))
		s.endChunks(r.Outcome)
	case !s.c.Stream:
		header := http.Header{"Content-Type": {"application/json"}}
		s.w.setOutcomeHeaders(r.Outcome, header)
		s.w.writeResponse(http.StatusOK, header, encode(s.fullResponse(r)))
	default:
		finishReason := s.finishReason()
		s.send(s.chunkEvent("", &finishReason))
		if s.c.Usage {
			a := s.completionResponse()
			a.Choices, a.Usage = []choice{}, s.usage(r)
			s.send(sseEvent(encode(a)))
		}
		s.send([]byte("data: [DONE]\n\n"))
		s.endChunks(r.Outcome)
	}
}

// finishReason returns "length" if the output reached the token limit, otherwise "stop".
func (s *completionWriter) finishReason() string {
	if s.c.Limit > 0 && s.tokens >= s.c.Limit {
		return "length"
	}

	return "stop"
}

func (s *completionWriter) usage(r Reply) *usage {
	return &usage{PromptTokens: r.PromptTokens, CompletionTokens: s.tokens, TotalTokens: r.PromptTokens + s.tokens}
}

func (s *completionWriter) completionResponse() completionResponse {
	a := completionResponse{ID: s.w.id, Object: "text_completion", Created: s.created, Model: s.c.Model}
	switch {
	case s.c.Chat && s.c.Stream:
		a.Object = "chat.completion.chunk"
	case s.c.Chat:
		a.Object = "chat.completion"
	}

	return a
}

func (s *completionWriter) fullResponse(r Reply) completionResponse {
	a, text, finishReason := s.completionResponse(), s.text.String(), s.finishReason()
	c := choice{Finish: &finishReason}
	if s.c.Chat {
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.Choices, a.Usage = []choice{c}, s.usage(r)

	return a
}

func (s *completionWriter) chunkEvent(text string, finish *string) []byte {
	a := s.completionResponse()
	c := choice{Finish: finish}
	if s.c.Chat {
		c.Delta = &chatMessage{Content: text}
		if !s.started {
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
func (s *completionWriter) send(event []byte) {
	var out bytes.Buffer
	if !s.started {
		s.started = true
		header := http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}
		header.Set("Damask-Request", s.w.id)
		if s.w.e.http10 {
			s.w.e.close = true
		} else {
			header.Set("Transfer-Encoding", "chunked")
			header.Set("Trailer", headerOutcome)
		}
		out = *s.w.responseHead(http.StatusOK, header)
	}
	if s.w.e.http10 {
		out.Write(event)
	} else {
		_, _ = httputil.NewChunkedWriter(&out).Write(event)
	}
	_, _ = s.w.conn.Write(out.Bytes())
}

// endChunks writes the last chunk. The outcome follows as a trailer, because it isn't
// known when the headers are sent.
func (s *completionWriter) endChunks(o dispatcher.Outcome) {
	if s.w.e.http10 {
		return
	}
	var out bytes.Buffer
	_ = httputil.NewChunkedWriter(&out).Close()
	_, _ = io.WriteString(&out, headerOutcome+": "+o.Result.String()+"\r\n\r\n")
	_, _ = s.w.conn.Write(out.Bytes())
}
