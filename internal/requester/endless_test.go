package requester_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/requester"
)

// serveEndless sends a start and then endless repetitions of a piece on each connection
// until it is closed.
func serveEndless(t *testing.T, begin, piece string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		work.Wait()
	})
	block := bytes.Repeat([]byte(piece), 16<<10/len(piece)+1)
	work.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer conn.Close()
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				io.WriteString(conn, begin)
				for {
					if _, err := conn.Write(block); err != nil {
						return
					}
				}
			})
		}
	})

	return l
}

// Fifty concurrent responses that never end must each fail well before the caller's
// timeout, with bounded memory.
func TestHeadWithoutEnd(t *testing.T) {
	const (
		servers     = 50
		maxGrowth   = 32 << 20
		maxDuration = 2 * time.Second
	)
	for name, test := range map[string]struct{ begin, piece string }{
		"status line":              {"HTTP/1.1 200 ", "O"},
		"header line":              {"HTTP/1.1 200 OK\r\nId: a\r\nA: ", "b"},
		"headers":                  {"HTTP/1.1 200 OK\r\nId: a\r\n", "A: b\r\n"},
		"interim responses":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other responses":          {"", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 3\r\n\r\nbad"},
		"body of another response": {"HTTP/1.1 200 OK\r\nId: z\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nbad\r\n"},
		"chunk size":               {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":          {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3;a=", "b"},
		"trailer":                  {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "b"},
		"trailers":                 {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server := serveEndless(t, test.begin, test.piece)
			rq := newRequester(t)
			ctx, cancel := context.WithTimeout(t.Context(), 2*maxDuration)
			defer cancel()
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begun := time.Now()
			var work sync.WaitGroup
			for range servers {
				work.Go(func() {
					if _, err := do(ctx, rq, server.Addr().String()); err == nil {
						t.Error("error: got none, want one")
					}
				})
			}
			work.Wait()
			if took := time.Since(begun); took > maxDuration {
				t.Errorf("took %s, want at most %s", took, maxDuration)
			}
			runtime.ReadMemStats(&after)
			if grown := after.HeapSys - before.HeapSys; after.HeapSys > before.HeapSys && grown > maxGrowth {
				t.Errorf("heap: grew by %d MB, want at most %d", grown>>20, maxGrowth>>20)
			}
		})
	}
}

// A request that requires a new connection must not use an idle one.
func TestFresh(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headID, r.Header.Get(headID))
	}))
	t.Cleanup(s.Close)
	rq := newRequester(t)
	for range 2 {
		r, err := rq.Do(t.Context(), s.Listener.Addr().String(), &requester.Request{
			Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{headID: {"a"}}, NewConn: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := rq.Opened(), uint64(2); got != want {
		t.Errorf("connections opened: got %d, want %d", got, want)
	}
}
