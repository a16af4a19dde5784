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
	// Limit is the most tokens to generate, 0 if the caller names none.
	Limit int64
	// Tokens is the number of prompt tokens that the caller told, 0 if unknown.
	Tokens int64
	Chat   bool
	Stream bool
	Usage  bool // the stream ends with the token counts
}

// Call is a call of a plain service.
type Call struct {
	ID      string
	Service string
	Method  string
	Path    string // below the service, starts with "/", with the query
	Header  http.Header
	Body    []byte
	Caller  string
	Key     string // the caller's Idempotency-Key, may be empty
}

const (
	// Anonymous is the caller of a request that names none.
	Anonymous = "anonymous"

	maxCaller = 128 // bytes
	maxKey    = 255 // bytes
	maxTokens = 1 << 24
	// defaultRole is the role of a message that names none.
	defaultRole = "user"

	headerCaller = "Damask-Caller"
	headerCount  = "Damask-Tokens"
	headerKey    = "Idempotency-Key"

	headerOutcome = "Damask-Outcome"
)

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completionBody struct {
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []message       `json:"messages"`
	Max      *int64          `json:"max_tokens"`
	MaxChat  *int64          `json:"max_completion_tokens"`
	Stream   bool            `json:"stream"`
	N        *int64          `json:"n"`
	Options  struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func bad(reason string) *fault { return &fault{http.StatusBadRequest, reason} }

// readCompletion decodes and checks a model request.
func readCompletion(e *exchange) (*Completion, *fault) {
	c := &Completion{Chat: e.path == pathChat}
	var f *fault
	if c.Caller, f = caller(e.header); f != nil {
		return nil, f
	}
	if c.Tokens, f = tokens(e.header); f != nil {
		return nil, f
	}
	var body completionBody
	if f := decode(e.body, &body); f != nil {
		return nil, f
	}
	if body.Model == "" {
		return nil, bad("the field model is missing")
	}
	if body.N != nil && *body.N != 1 {
		return nil, bad("the field n must be 1")
	}
	c.Model, c.Stream, c.Usage = body.Model, body.Stream, body.Options.Usage
	if c.Limit, f = body.limit(); f != nil {
		return nil, f
	}
	if c.Prompt, f = body.prompt(c.Chat); f != nil {
		return nil, f
	}

	return c, nil
}

// decode reads one JSON object that is the whole body.
func decode(data []byte, into any) *fault {
	if len(bytes.TrimSpace(data)) == 0 {
		return bad("the request has no body")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(into); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) && kind.Field != "" {
			return bad("the field " + kind.Field + " has the wrong type")
		}
		if errors.As(err, &kind) {
			return bad("the body is not a JSON object")
		}

		return bad("the body is not valid JSON")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return bad("the body has data after the JSON object")
	}

	return nil
}

func (b *completionBody) limit() (int64, *fault) {
	limit := b.Max
	if limit == nil {
		limit = b.MaxChat
	}
	switch {
	case limit == nil:
		return 0, nil
	case *limit < 1 || *limit > maxTokens:
		return 0, bad("the field max_tokens must be from 1 to " + strconv.Itoa(maxTokens))
	default:
		return *limit, nil
	}
}

func (b *completionBody) prompt(chat bool) (string, *fault) {
	if chat {
		return b.chat()
	}
	prompt, ok := text(b.Prompt)
	if !ok {
		return "", bad("the field prompt must be a string")
	}
	if prompt == "" {
		return "", bad("the prompt is empty")
	}

	return prompt, nil
}

// chat writes the messages as one prompt.
func (b *completionBody) chat() (string, *fault) {
	if len(b.Messages) == 0 {
		return "", bad("the field messages is missing or empty")
	}
	var out strings.Builder
	for _, m := range b.Messages {
		content, ok := text(m.Content)
		if !ok {
			return "", bad("the content of a message must be text")
		}
		role := m.Role
		if role == "" {
			role = defaultRole
		}
		out.WriteString(role + ": " + content + "\n")
	}

	return out.String(), nil
}

// text reads a string, or a list of strings or of text parts.
func text(raw json.RawMessage) (string, bool) {
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

// readCall checks a call of a plain service.
func readCall(e *exchange) (*Call, *fault) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(e.path, pathServices), "/")
	service, err := url.PathUnescape(service)
	if err != nil || service == "" {
		return nil, &fault{http.StatusNotFound, "unknown service"}
	}
	c := &Call{Service: service, Method: e.method, Path: "/" + rest, Body: e.body}
	if e.query != "" {
		c.Path += "?" + e.query
	}
	var f *fault
	if c.Caller, f = caller(e.header); f != nil {
		return nil, f
	}
	c.Key = e.header.Get(headerKey)
	if !printable(c.Key, maxKey) {
		return nil, bad("the header " + headerKey + " must be at most 255 printable characters")
	}
	c.Header = e.header.Clone()
	dropHop(c.Header)
	c.Header.Del("Authorization")
	c.Header.Del("Expect")

	return c, nil
}

// caller returns the bearer token, else the Damask-Caller header.
func caller(h http.Header) (string, *fault) {
	name := h.Get(headerCaller)
	scheme, token, _ := strings.Cut(h.Get("Authorization"), " ")
	switch {
	case strings.EqualFold(scheme, "Bearer"):
		name = strings.TrimSpace(token)
		if name == "" {
			return "", bad("the bearer token is empty")
		}
	case scheme != "" && name == "":
		return "", bad("the header Authorization must hold a bearer token")
	}
	if name == "" {
		return Anonymous, nil
	}
	if !printable(name, maxCaller) || strings.Contains(name, " ") {
		return "", bad("the caller must be at most 128 printable characters without spaces")
	}

	return name, nil
}

func tokens(h http.Header) (int64, *fault) {
	value := h.Get(headerCount)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 1 || n > maxTokens {
		return 0, bad("the header " + headerCount + " must be from 1 to " + strconv.Itoa(maxTokens))
	}

	return n, nil
}

func printable(s string, limit int) bool {
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

// dropHop removes headers that concern one connection only, and those that the
// system sets itself.
func dropHop(h http.Header) {
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
