package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/placer"
)

// answerError returns a handler that sends an error as its answer.
func answerError(status int, f framing, contentType, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		part := answerPart{status, f, contentType, text}.String()
		if f == withLength {
			part = strings.Replace(part, fmt.Sprint("Content-Length: ", len(text)+100), fmt.Sprint("Content-Length: ", len(text)), 1)
		}
		if f == chunked {
			part += "0\r\n\r\n"
		}
		io.WriteString(out, part)
		out.Flush()
	}
}

// Guards against the error of a server in the middle of a stream that another one has begun,
// and against such a stream that ends as if it were whole.
func TestErrorOfNextServerIsNotPassedOn(t *testing.T) {
	const begun, failure = "id: 1\n\n", "the engine failed\n\n"
	callers := map[string]string{"HTTP/1.0": "1.0\r\n", "HTTP/1.1": "1.1\r\n", "HTTP/1.1, close": "1.1\r\nConnection: close\r\n"}
	for name, head := range callers {
		for _, status := range []int{200, 204, 404, 421, 429, 500, 503} {
			for _, f := range []framing{withLength, chunked, byConnection} {
				for _, how := range []string{"", "prompt", "stop"} {
					t.Run(fmt.Sprint(name, "/", status, "/", f, "/", how), func(t *testing.T) {
						t.Parallel()
						var r *testGateway
						first := newBackend(t, "a", answerStream(withLength, "text/event-stream", begun+"id: 2"))
						fails := answerError(status, f, "text/plain", failure)
						second := newBackend(t, "b", func(w http.ResponseWriter, request *http.Request) {
							if how == "stop" {
								r.gateway.BeginDrain()
								go r.gateway.Drain(context.Background())
							}
							fails(w, request)
						})
						servers := []placer.Server{first.server(placer.Decode), second.server(placer.Decode)}
						change := func(*gateway.Settings) {}
						if how == "prompt" {
							servers = append(servers, newBackend(t, "p", respondWith(http.StatusOK, "handle")).server(placer.Prefill))
							change = func(s *gateway.Settings) { s.Agents = &fakeAgents{} }
						}
						r = newTestGatewayWith(t, change, servers...)
						conn, err := net.Dial("tcp", r.gateway.Addr())
						if err != nil {
							t.Fatal(err)
						}
						defer conn.Close()
						fmt.Fprintf(conn, "POST /resume/x HTTP/%sHost: h\r\nId: r1\r\nPrompt: 5000\r\nContent-Length: 0\r\n\r\n", head)
						response, err := http.ReadResponse(bufio.NewReader(conn), nil)
						if err != nil {
							t.Fatal(err)
						}
						defer response.Body.Close()
						body, err := io.ReadAll(response.Body)
						if got := string(body); got != begun || err == nil {
							t.Errorf("answer: got %q, error %v, want %q and an error", got, err, begun)
						}
						if len(second.arrivals()) == 0 {
							t.Error("next server: got no request")
						}
					})
				}
			}
		}
	}
}
