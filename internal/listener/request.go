package listener

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Completion is a model request.
type Completion struct {
	ID     string
	Model  string
	Caller string
	Prompt string
	// Limit is the maximum number of tokens to generate, 0 if the caller sets none.
	Limit int64
	// Tokens is the number of prompt tokens that the caller declared, 0 if unknown.
	Tokens int64
	Chat   bool
	Stream bool
	Usage  bool // send the token counts at the end of the stream
}

// Call is a call of a plain service.
type Call struct {
	ID      string
	Service string
	Method  string
	Path    string // relative to the service, starts with "/", includes the query
	Header  http.Header
	Body    []byte
	Caller  string
	Key     string // value of the Idempotency-Key header, may be empty
}

const (
	// Anonymous is the caller of a request without a caller's name.
	Anonymous = "anonymous"

	maxCaller = 128 // bytes
	maxKey    = 255 // bytes
	maxTokens = 1 << 24
	// defaultRole is the role of a message without a role.
	defaultRole = "user"

	headerCaller       = "Damask-Caller"
	headerPromptLength = "Damask-Tokens"
	headerKey          = "Idempotency-Key"

	headerOutcome = "Damask-Outcome"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   *int64          `json:"n"`
	StreamOptions       struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func badRequest(reason string) *rejection { return &rejection{http.StatusBadRequest, reason} }

// parseCompletion decodes and validates a model request.
func parseCompletion(e *exchange) (*Completion, *rejection) {
	c := &Completion{Chat: e.path == pathChat}
	var rejected *rejection
	if c.Caller, rejected = callerName(e.header); rejected != nil {
		return nil, rejected
	}
	if c.Tokens, rejected = declaredPromptTokens(e.header); rejected != nil {
		return nil, rejected
	}
	var body completionBody
	if rejected := decode(e.body, &body); rejected != nil {
		return nil, rejected
	}
	if body.Model == "" {
		return nil, badRequest("the field model is missing")
	}
	if body.N != nil && *body.N != 1 {
		return nil, badRequest("the field n must be 1")
	}
	c.Model, c.Stream, c.Usage = body.Model, body.Stream, body.StreamOptions.Usage
	if c.Limit, rejected = body.tokenLimit(); rejected != nil {
		return nil, rejected
	}
	if c.Prompt, rejected = body.prompt(c.Chat); rejected != nil {
		return nil, rejected
	}

	return c, nil
}

// decode parses a body that must consist of one JSON object.
func decode(data []byte, into any) *rejection {
	if len(bytes.TrimSpace(data)) == 0 {
		return badRequest("the request has no body")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(into); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return badRequest("the field " + typeErr.Field + " has the wrong type")
		}
		if errors.As(err, &typeErr) {
			return badRequest("the body is not a JSON object")
		}

		return badRequest("the body is not valid JSON")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badRequest("the body has data after the JSON object")
	}

	return nil
}

func (b *completionBody) tokenLimit() (int64, *rejection) {
	tokenLimit := b.MaxTokens
	if tokenLimit == nil {
		tokenLimit = b.MaxCompletionTokens
	}
	switch {
	case tokenLimit == nil:
		return 0, nil
	case *tokenLimit < 1 || *tokenLimit > maxTokens:
		return 0, badRequest("the field max_tokens must be from 1 to " + strconv.Itoa(maxTokens))
	default:
		return *tokenLimit, nil
	}
}

func (b *completionBody) prompt(chat bool) (string, *rejection) {
	if chat {
		return b.chat()
	}
	prompt, ok := contentText(b.Prompt)
	if !ok {
		return "", badRequest("the field prompt must be a string")
	}
	if prompt == "" {
		return "", badRequest("the prompt is empty")
	}

	return prompt, nil
}

// chat joins the messages into one prompt.
func (b *completionBody) chat() (string, *rejection) {
	if len(b.Messages) == 0 {
		return "", badRequest("the field messages is missing or empty")
	}
	var out strings.Builder
	for _, m := range b.Messages {
		content, ok := contentText(m.Content)
		if !ok {
			return "", badRequest("the content of a message must be text")
		}
		role := m.Role
		if role == "" {
			role = defaultRole
		}
		out.WriteString(role + ": " + content + "\n")
	}

	return out.String(), nil
}

// contentText returns the text of a content field: a string, or a list of strings and
// text parts. It returns false for any other content.
func contentText(raw json.RawMessage) (string, bool) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return one, string(raw) != "null"
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return "", false
	}
	var out strings.Builder
	for _, item := range list {
		var part struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		switch {
		case json.Unmarshal(item, &one) == nil && string(item) != "null":
			out.WriteString(one)
		case json.Unmarshal(item, &part) == nil && part.Type == "text":
			out.WriteString(part.Text)
		default:
			return "", false
		}
	}

	return out.String(), true
}

// parseCall validates a call of a plain service.
func parseCall(e *exchange) (*Call, *rejection) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(e.path, pathServices), "/")
	service, err := url.PathUnescape(service)
	if err != nil || service == "" {
		return nil, &rejection{http.StatusNotFound, "unknown service"}
	}
	c := &Call{Service: service, Method: e.method, Path: "/" + rest, Body: e.body}
	if e.query != "" {
		c.Path += "?" + e.query
	}
	var rejected *rejection
	if c.Caller, rejected = callerName(e.header); rejected != nil {
		return nil, rejected
	}
	c.Key = e.header.Get(headerKey)
	if !isPrintable(c.Key, maxKey) {
		return nil, badRequest("the header " + headerKey + " must be at most 255 printable characters")
	}
	c.Header = e.header.Clone()
	removeHopHeaders(c.Header)
	c.Header.Del("Authorization")
	c.Header.Del("Expect")

	return c, nil
}

// callerName returns the bearer token, or the Damask-Caller header if there is no token.
func callerName(h http.Header) (string, *rejection) {
	name := h.Get(headerCaller)
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	switch {
	case strings.EqualFold(scheme, "Bearer"):
		name = strings.TrimSpace(token)
		if name == "" {
			return "", badRequest("the bearer token is empty")
		}
	case scheme != "" && name == "":
		return "", badRequest("the header Authorization must hold a bearer token")
	}
	if name == "" {
		return Anonymous, nil
	}
	if !isPrintable(name, maxCaller) || strings.Contains(name, " ") {
		return "", badRequest("the caller must be at most 128 printable characters without spaces")
	}

	return name, nil
}

func declaredPromptTokens(h http.Header) (int64, *rejection) {
	value := h.Get(headerPromptLength)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 1 || n > maxTokens {
		return 0, badRequest("the header " + headerPromptLength + " must be from 1 to " + strconv.Itoa(maxTokens))
	}

	return n, nil
}

func isPrintable(s string, limit int) bool {
	if len(s) > limit {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}

	return true
}

// removeHopHeaders removes hop-by-hop headers and those that the listener sets itself.
func removeHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
	} {
		h.Del(name)
	}
}
