package testlistener

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// EndlessResponse is a response that goes on until its caller closes the connection: a start, and
// repetitions of a piece.
type EndlessResponse struct{ Begin, Piece string }

// EndlessHeads returns responses whose head does not end, by name.
func EndlessHeads() map[string]EndlessResponse {
	return map[string]EndlessResponse{
		"no response":       {"", "\xff"},
		"status line":       {"HTTP/1.1 200 ", "O"},
		"field name":        {"HTTP/1.1 200 OK\r\n", "A"},
		"field value":       {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"short fields":      {"HTTP/1.1 200 OK\r\n", "a:\n"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	}
}

// EndlessBodies returns responses whose body does not end, by name.
func EndlessBodies() map[string]EndlessResponse {
	const (
		unframed = "HTTP/1.1 200 OK\r\n\r\n"
		chunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)

	return map[string]EndlessResponse{
		"zeros":           {unframed, "\x00"},
		"blanks":          {unframed, " "},
		"lines":           {unframed, "\n"},
		"digits":          {unframed, "1"},
		"brackets":        {unframed, "["},
		"text":            {unframed + "{\"a\":\"", "b"},
		"failure":         {"HTTP/1.1 500 Failed\r\n\r\n", "b"},
		"rejection":       {"HTTP/1.1 404 Not Found\r\n\r\n", "b"},
		"chunks":          {chunks, "400\r\n" + strings.Repeat("b", 1<<10) + "\r\n"},
		"small chunks":    {chunks, "3\r\nbad\r\n"},
		"chunk size":      {chunks, "0"},
		"chunk extension": {chunks + "3;a=", "b"},
		"trailer":         {chunks + "0\r\nA: ", "b"},
		"trailers":        {chunks + "0\r\n", "A: b\r\n"},
	}
}

// Write sends the response until the connection is closed.
func (e EndlessResponse) Write(conn net.Conn) {
	block := bytes.Repeat([]byte(e.Piece), blockBytes/len(e.Piece)+1)
	_, err := io.WriteString(conn, e.Begin)
	for err == nil {
		_, err = conn.Write(block)
	}
}

const (
	blockBytes = 16 << 10
	// callTimeout is the time in which a caller must have given up an endless response.
	callTimeout = 10 * time.Second
)

// CheckCalls makes calls to a server with an endless response, all at a time. All of them must end,
// and must not allocate more than a number of bytes.
func CheckCalls(t testing.TB, calls int, maxBytes uint64, call func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var work sync.WaitGroup
	for range calls {
		work.Go(func() { call(ctx) })
	}
	work.Wait()
	runtime.ReadMemStats(&after)
	if ctx.Err() != nil {
		t.Errorf("calls: got no end in %s, want one", callTimeout)
	}
	if got := after.TotalAlloc - before.TotalAlloc; got > maxBytes {
		t.Errorf("allocated by %d calls: got %d MB, want at most %d MB", calls, got>>20, maxBytes>>20)
	}
}

// ServeEndless answers each request with an endless response. It returns the address.
func ServeEndless(t testing.TB, e EndlessResponse) string {
	t.Helper()

	return Serve(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.Write(conn)
	})
}
