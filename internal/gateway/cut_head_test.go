package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/damasklever/damasklever/internal/placer"
)

// cuttingServer answers with whole and keeps the connection, and each request after a number of
// answered ones with the next beginning of head, and closes it.
func cuttingServer(t *testing.T, answered int, whole, head string) placer.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if isStatusRequest(r) {
						io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")

						continue
					}
					n := int(requests.Add(1)) - 1
					if n%(answered+1) == answered {
						io.WriteString(conn, head[:n/(answered+1)])

						return
					}
					io.WriteString(conn, whole)
				}
			}()
		}
	}()

	return placer.Server{ID: "a", Addr: l.Addr().String(), Pool: "pool", Centre: "c", Region: "r"}
}

// Guards against a head that stops in its middle and is passed on as the head of a whole answer.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const event = "id: 1\n\n"
	heads := map[string]string{
		"length":     fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(event)),
		"connection": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"LF":         "HTTP/1.1 200 OK\nContent-Length: 7\n\n",
		"interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
		"hints":      "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\nContent-Length: 7\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
	}
	paths := map[string]placer.Stage{"/once/x": placer.Plain, "/resume/x": placer.Decode}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(event), event)
	for name, head := range heads {
		for path, stage := range paths {
			for _, method := range []string{http.MethodPost, http.MethodHead} {
				for _, answered := range []int{0, 1} {
					t.Run(fmt.Sprint(name, path, "/", method, "/answered ", answered), func(t *testing.T) {
						t.Parallel()
						before := whole
						if method == http.MethodHead {
							before = whole[:len(whole)-len(event)]
						}
						s := cuttingServer(t, answered, before, head)
						s.Stage = stage
						r := newTestGateway(t, nil, s)
						conn, err := net.Dial("tcp", r.gateway.Addr())
						if err != nil {
							t.Fatal(err)
						}
						defer conn.Close()
						for cut := range len(head) {
							for range answered {
								if got := exchange(t, conn, method, path, "", nil); got.status != http.StatusOK || got.broken {
									t.Fatalf("answer before: got status %d, broken %v, want a whole one", got.status, got.broken)
								}
							}
							if got := exchange(t, conn, method, path, "", nil); got.status != http.StatusBadGateway {
								t.Errorf("head cut after %q: got status %d, body %q, want 502", head[:cut], got.status, got.body)
							}
						}
					})
				}
			}
		}
	}
}
