package listener_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/listener"
)

// Guards against invalid input that is accepted, is rejected without a reason, or stops
// the process.
func TestInvalidInput(t *testing.T) {
	big := strings.Repeat("x", 2000)
	tests := map[string]struct {
		request string
		status  int
		reason  string
	}{
		"no body":           {post("/v1/completions", ""), 400, "no body"},
		"broken JSON":       {post("/v1/completions", `{"model":`), 400, "not valid JSON"},
		"no object":         {post("/v1/completions", `[]`), 400, "not a JSON object"},
		"two objects":       {post("/v1/completions", `{} {}`), 400, "after the JSON"},
		"no model":          {post("/v1/completions", `{"prompt":"a"}`), 400, "model is missing"},
		"no prompt":         {post("/v1/completions", `{"model":"m"}`), 400, "prompt must be a string"},
		"prompt of numbers": {post("/v1/completions", `{"model":"m","prompt":[1]}`), 400, "prompt must be a string"},
		"empty prompt":      {post("/v1/completions", `{"model":"m","prompt":""}`), 400, "prompt is empty"},
		"no messages":       {post("/v1/chat/completions", `{"model":"m"}`), 400, "messages"},
		"wrong type":        {post("/v1/completions", `{"model":1}`), 400, "model has the wrong type"},
		"negative limit":    {post("/v1/completions", `{"model":"m","prompt":"a","max_tokens":-1}`), 400, "max_tokens"},
		"two answers":       {post("/v1/completions", `{"model":"m","prompt":"a","n":2}`), 400, "n must be 1"},
		"no bearer":         {post("/v1/completions", validBody, "Authorization: Basic eA=="), 400, "bearer"},
		"bad caller":        {post("/v1/completions", validBody, "Damask-Caller: a b"), 400, "caller"},
		"bad token count":   {post("/v1/completions", validBody, "Damask-Tokens: many"), 400, "Damask-Tokens"},
		"bad key":           {post("/s/d/p", "x", "Idempotency-Key: "+strings.Repeat("k", 256)), 400, "Idempotency-Key"},
		"wrong method":      {"GET /v1/completions HTTP/1.1\r\nHost: h\r\n\r\n", 405, "POST"},
		"unknown path":      {post("/v2", "x"), 404, "path"},
		"no service":        {post("/s/", "x"), 404, "service"},
		"body too long":     {post("/v1/completions", big), 413, "body"},
		"body too long for the service": {
			post("/s/small/p", strings.Repeat("x", 11)),
			413, "body",
		},
		"announced body too long": {"POST /s/d/p HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\nx", 413, "body"},
		"chunks too long": {"POST /s/small/p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"8\r\n12345678\r\n8\r\n12345678\r\n", 413, "body"},
		"endless chunk": {"POST /s/small/p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n" +
			strings.Repeat(big, 100), 413, "body"},
		"two lengths": {
			"POST /s/d/p HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
			400, "length",
		},
		"space before a colon": {
			"POST /s/d/p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400, "header",
		},
		"space before the colon of a length": {
			"POST /s/d/p HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx", 400, "header",
		},
		"folded header":    {"POST /s/d/p HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\nContent-Length: 1\r\n\r\nx", 400, "header"},
		"no host":          {"POST /s/d/p HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", 400, "Host"},
		"two hosts":        {"POST /s/d/p HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 1\r\n\r\nx", 400, "Host"},
		"header too long":  {post("/s/d/p", "x", "A: "+big), 431, "headers"},
		"many headers":     {post("/s/d/p", "x", strings.Split(strings.Repeat("A: b,", 700)+"A: b", ",")...), 431, "headers"},
		"endless header":   {"POST /s/d/p HTTP/1.1\r\nA: " + strings.Repeat(big, 100), 431, "headers"},
		"long path":        {post("/s/d/"+big, "x"), 431, "headers"},
		"not HTTP":         {"\x16\x03\x01", 400, "malformed"},
		"unknown verb":     {"FETCH / HTTP/1.1\r\n\r\n", 400, "malformed"},
		"broken chunk":     {"POST /s/d/p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "malformed"},
		"header with a LF": {"POST /s/d/p HTTP/1.1\nHost: h\n\n", 400, "malformed"},
	}
	l, _ := start(t, echoBackend(), listener.Settings{MaxBody: 1000, MaxHeader: 1000})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, reader := connect(t, l)
			go io.WriteString(conn, test.request)
			response := receive(t, reader)
			var reason struct {
				Error struct{ Message, Outcome string }
			}
			if err := json.Unmarshal([]byte(response.body), &reason); err != nil || strings.Count(response.body, "\n") != 1 {
				t.Errorf("body: got %q (%v), want one line of JSON", response.body, err)
			}
			if got, want := response.status, test.status; got != want {
				t.Errorf("status: got %d (%s), want %d", got, response.body, want)
			}
			if got, want := reason.Error.Message, test.reason; !strings.Contains(got, want) {
				t.Errorf("reason: got %q, want %q in it", got, want)
			}
			if got, want := response.header.Get("Damask-Outcome"), "not-run"; got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
			conn, reader = connect(t, l)
			io.WriteString(conn, post("/s/d/p", ""))
			if got, want := receive(t, reader).status, 201; got != want {
				t.Errorf("next request: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a caller that waits in vain for "100 Continue" before it sends its body.
func TestExpectContinue(t *testing.T) {
	l, _ := start(t, echoBackend(), listener.Settings{})
	conn, reader := connect(t, l)
	head, body, _ := strings.Cut(post("/s/d/p", "x", "Expect: 100-continue"), "\r\n\r\n")
	io.WriteString(conn, head+"\r\n\r\n")
	line, _ := reader.ReadString('\n')
	if got, want := line, "HTTP/1.1 100 Continue\r\n"; got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	reader.ReadString('\n')
	io.WriteString(conn, body)
	if got := receive(t, reader).body; got != "POST /p x" {
		t.Errorf("got %q, want the response to the request", got)
	}
}

// Guards against a caller that waits in vain for "100 Continue" because the response to its request
// before was still being written.
func TestExpectContinueBehindResponse(t *testing.T) {
	for name, waits := range map[string]bool{"waits": true, "sends the body at once": false} {
		t.Run(name, func(t *testing.T) {
			b, release := echoBackend(), make(chan struct{})
			echo := b.call
			b.call = func(ctx context.Context, c *listener.Call) listener.Reply {
				if c.Path == "/first" {
					<-release
				}

				return echo(ctx, c)
			}
			l, _ := start(t, b, listener.Settings{})
			conn, reader := connect(t, l)
			head, body, _ := strings.Cut(post("/s/d/p", "x", "Expect: 100-continue"), "\r\n\r\n")
			request := post("/s/d/first", "y") + head + "\r\n\r\n"
			if !waits {
				request += body
			}
			io.WriteString(conn, request)
			close(release)
			if got, want := receive(t, reader).body, "POST /first y"; got != want {
				t.Errorf("first: got %q, want %q", got, want)
			}
			if waits {
				line, _ := reader.ReadString('\n')
				if got, want := line, "HTTP/1.1 100 Continue\r\n"; got != want {
					t.Fatalf("got %q, want %q", got, want)
				}
				reader.ReadString('\n')
				io.WriteString(conn, body)
			}
			second := receive(t, reader)
			if !waits && second.status == http.StatusContinue {
				second = receive(t, reader)
			}
			if got, want := second.body, "POST /p x"; got != want {
				t.Errorf("second: got %q, want %q", got, want)
			}
			io.WriteString(conn, post("/s/d/q", "z"))
			if got, want := receive(t, reader).body, "POST /q z"; got != want {
				t.Errorf("third: got %q, want %q", got, want)
			}
		})
	}
}

// Guards against a caller that never finishes a header and keeps its connection open.
func TestHeaderTimeout(t *testing.T) {
	l, clock := start(t, echoBackend(), listener.Settings{HeaderTimeout: 3 * time.Second})
	request := post("/s/d/p", "x")
	conn, reader := connect(t, l)
	io.WriteString(conn, request[:20])
	clock.Advance(2 * time.Second)
	io.WriteString(conn, request[20:])
	if got, want := receive(t, reader).status, 201; got != want {
		t.Errorf("header in two fragments, in time: got %d, want %d", got, want)
	}
	io.WriteString(conn, request[:20])
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if got, want := receive(t, reader), 408; got.status != want || !got.close {
			t.Errorf("header that is never finished: got %d, close %v, want %d and close", got.status, got.close, want)
		}
	}()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			clock.Advance(time.Second)
		}
	}
}

// Guards against a blank before a colon that is missed because the header arrives in
// fragments, and against one that is reported although it is in the body or in a value.
func TestBlankBeforeColonInFragments(t *testing.T) {
	bad := "POST /s/d/p HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\nx"
	good := post("/s/d/p", "Content-Length : 1\r\nHost : h\r\n", "A: b : c")
	for name, test := range map[string]struct {
		request string
		want    int
	}{"in the header": {bad, 400}, "in a body and in a value": {good, 201}} {
		t.Run(name, func(t *testing.T) {
			for cut := 1; cut < len(test.request); cut++ {
				l, _ := start(t, echoBackend(), listener.Settings{})
				conn, reader := connect(t, l)
				io.WriteString(conn, test.request[:cut])
				<-time.After(time.Millisecond) // so that the fragments are read separately
				go io.WriteString(conn, test.request[cut:])
				if got := receive(t, reader).status; got != test.want {
					t.Errorf("cut after %d bytes: got %d, want %d", cut, got, test.want)
				}
				l.Close()
			}
		})
	}
}

// Guards against a caller that sends requests without reading responses until the memory
// is full.
func TestPipelineLimit(t *testing.T) {
	l, _ := start(t, echoBackend(), listener.Settings{MaxPipelined: 2})
	conn, reader := connect(t, l)
	go io.WriteString(conn, strings.Repeat(post("/s/d/p", "x"), 2000))
	for n := 0; ; n++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("after %d responses: got %v, want status 429 in the end", n, err)
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusTooManyRequests {
			return
		}
	}
}

// Guards against a caller's name that is taken from the wrong header.
func TestCallerName(t *testing.T) {
	tests := map[string]struct{ header, want string }{
		"token":       {"Authorization: Bearer desk-1", "desk-1"},
		"header":      {"Damask-Caller: desk-2", "desk-2"},
		"token first": {"Damask-Caller: desk-2\r\nAuthorization: bearer desk-1", "desk-1"},
		"none":        {"Accept: */*", listener.Anonymous},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := listener.NewExchange("/v1/completions", parseHeader(test.header), []byte(validBody))
			c, err := listener.ParseCompletion(e)
			if err != nil {
				t.Fatal(err)
			}
			if got := c.Caller; got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func parseHeader(text string) http.Header {
	h := make(http.Header)
	for line := range strings.SplitSeq(text, "\r\n") {
		key, value, ok := strings.Cut(line, ": ")
		if ok {
			h.Add(key, value)
		}
	}

	return h
}

// Guards against a connection, and its file descriptor, that stays open after the
// response to an invalid request.
func TestInvalidRequestClosesConnection(t *testing.T) {
	for name, keepsSending := range map[string]bool{"silent afterwards": false, "keeps sending": true} {
		t.Run(name, func(t *testing.T) {
			l, _ := start(t, echoBackend(), listener.Settings{})
			conn, r := connect(t, l)
			if _, err := io.WriteString(conn, "not HTTP\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			receive(t, r)
			answered := time.Now()
			stop := make(chan struct{})
			defer close(stop)
			if keepsSending {
				go func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(10 * time.Millisecond):
							io.WriteString(conn, "x")
						}
					}
				}()
			}
			// The read ends with EOF or a connection reset.
			_, _ = io.Copy(io.Discard, r)
			if got, want := time.Since(answered), time.Second; got > want {
				t.Errorf("time open after the response: got %s, want at most %s", got, want)
			}
		})
	}
}

// Guards against a body that makes the decoder panic, or that is accepted without a model
// and a prompt.
func FuzzCompletion(f *testing.F) {
	f.Add(validBody, false)
	f.Add(`{"model":"m","messages":[{"content":[{"type":"text","text":"a"},"b",null]}]}`, true)
	f.Add(`{"model":"m","prompt":["a"],"max_tokens":1e3,"n":1,"stream_options":null}`, false)
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		c, err := listener.ParseCompletion(listener.NewExchange(path, nil, []byte(body)))
		if err == nil && (c.Model == "" || c.Prompt == "" || c.Limit < 0) {
			t.Errorf("got %+v, want a model, a prompt and a limit that is not negative", c)
		}
	})
}

// Guards against a header that makes the decoder panic, and against a caller or key with
// characters that would break a log line.
func FuzzHeaders(f *testing.F) {
	f.Add("Authorization: Bearer x\r\nIdempotency-Key: k")
	f.Add("Damask-Caller: c\r\nConnection: a, b\r\nDamask-Tokens: 9")
	f.Fuzz(func(t *testing.T, text string) {
		h := parseHeader(text)
		c, err := listener.ParseCall(listener.NewExchange("/s/desk/path", h, nil))
		if err == nil && (c.Caller == "" || strings.ContainsAny(c.Caller+c.Key, "\r\n\x00")) {
			t.Errorf("got caller %q, key %q, want printable characters only", c.Caller, c.Key)
		}
		_, _ = listener.ParseCompletion(listener.NewExchange("/v1/completions", h, []byte(validBody)))
	})
}

// Guards against a validation that reports only the first error.
func TestSettingsReportAllErrors(t *testing.T) {
	s := listener.Settings{MaxBody: -1, IdleTimeout: -1}
	s.Defaults()
	got := fmt.Sprint(s.Validate())
	for _, want := range []string{"body", "idle"} {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want %q in it", got, want)
		}
	}
}
