package listener

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"

	"github.com/damasklever/damasklever/internal/dispatcher"
)

// stream writes the answer of a model request, at once or as server-sent
// events.
type stream struct {
	w       *writer
	c       *Completion
	created int64 // Unix seconds
	text    strings.Builder
	tokens  int64
	started bool
}

type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

type part struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int     `json:"index"`
	Text    *string `json:"text,omitempty"`
	Message *part   `json:"message,omitempty"`
	Delta   *part   `json:"delta,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// emit takes the next piece of the answer.
func (s *stream) emit(text string, tokens int64) {
	s.tokens += tokens
	if !s.c.Stream {
		s.text.WriteString(text)

		return
	}
	s.send(s.event(text, nil))
}

// finish ends the response. A stream that fails midway ends with an error event
// and without [DONE].
func (s *stream) finish(r Reply) {
	if r.Gone {
		return
	}
	done := r.Result == dispatcher.Done
	switch {
	case !done && !s.started:
		s.w.end(r.Outcome)
	case !done:
		s.send(append([]byte("event: error\ndata: "), append(s.w.failure(r.Outcome), '\n')...))
		s.close(r.Outcome)
	case !s.c.Stream:
		header := http.Header{"Content-Type": {"application/json"}}
		s.w.head(r.Outcome, header)
		s.w.reply(http.StatusOK, header, encode(s.whole(r)))
	default:
		reason := s.reason()
		s.send(s.event("", &reason))
		if s.c.Usage {
			a := s.answer()
			a.Choices, a.Usage = []choice{}, s.usage(r)
			s.send(data(encode(a)))
		}
		s.send([]byte("data: [DONE]\n\n"))
		s.close(r.Outcome)
	}
}

// reason tells whether the answer reached its limit.
func (s *stream) reason() string {
	if s.c.Limit > 0 && s.tokens >= s.c.Limit {
		return "length"
	}

	return "stop"
}

func (s *stream) usage(r Reply) *usage {
	return &usage{Prompt: r.Prompt, Completion: s.tokens, Total: r.Prompt + s.tokens}
}

func (s *stream) answer() answer {
	a := answer{ID: s.w.id, Object: "text_completion", Created: s.created, Model: s.c.Model}
	switch {
	case s.c.Chat && s.c.Stream:
		a.Object = "chat.completion.chunk"
	case s.c.Chat:
		a.Object = "chat.completion"
	}

	return a
}

func (s *stream) whole(r Reply) answer {
	a, text, reason := s.answer(), s.text.String(), s.reason()
	c := choice{Finish: &reason}
	if s.c.Chat {
		c.Message = &part{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.Choices, a.Usage = []choice{c}, s.usage(r)

	return a
}

func (s *stream) event(text string, finish *string) []byte {
	a := s.answer()
	c := choice{Finish: finish}
	if s.c.Chat {
		c.Delta = &part{Content: text}
		if !s.started {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	a.Choices = []choice{c}

	return data(encode(a))
}

// data makes an event of one line of JSON.
func data(line []byte) []byte {
	return append(append([]byte("data: "), line...), '\n')
}

// send writes one event as one chunk, and before the first one the headers.
func (s *stream) send(event []byte) {
	var out bytes.Buffer
	if !s.started {
		s.started = true
		header := http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}
		header.Set("Damask-Request", s.w.id)
		if s.w.e.old {
			s.w.e.close = true
		} else {
			header.Set("Transfer-Encoding", "chunked")
			header.Set("Trailer", headerOutcome)
		}
		out = *s.w.start(http.StatusOK, header)
	}
	if s.w.e.old {
		out.Write(event)
	} else {
		_, _ = httputil.NewChunkedWriter(&out).Write(event)
	}
	_, _ = s.w.p.Write(out.Bytes())
}

// close ends the chunks. The outcome follows as a trailer, since it isn't known
// when the headers are sent.
func (s *stream) close(o dispatcher.Outcome) {
	if s.w.e.old {
		return
	}
	var out bytes.Buffer
	_ = httputil.NewChunkedWriter(&out).Close()
	_, _ = io.WriteString(&out, headerOutcome+": "+o.Result.String()+"\r\n\r\n")
	_, _ = s.w.p.Write(out.Bytes())
}
