package requester_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/requester"
	"github.com/damasklever/damasklever/internal/testlistener"
)

var errGone = errors.New("gone")

// lateContext is a context whose end is noticed only by those who ask for it, as if it ended
// just after the last event before.
type lateContext struct {
	context.Context //nolint:containedctx // a context itself
	ended           atomic.Bool
}

// Err implements context.Context.
func (c *lateContext) Err() error {
	if c.ended.Load() {
		return errGone
	}

	return nil
}

// Guards against taking the end of a context, while a response is read, for a failure of the
// server, and against excusing a server because the context has ended since.
func TestEndOfContext(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9\r\n\r\n"
	const length = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n"
	const chunks = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		text   string
		inBody bool
	}{
		"before the head":         {"", false},
		"interim response":        {"HTTP/1.1 100 Continue\r\n\r\n", false},
		"in the head":             {"HTTP/1.1 200 OK\r\nId:", false},
		"in the body of another":  {other + "x", false},
		"before a body":           {length, true},
		"in a body with a length": {length + "x", true},
		"before a chunk":          {chunks, true},
		"in a chunk":              {chunks + "5\r\nx", true},
		"in the size of a chunk":  {chunks + "1\r\nx\r\n5", true},
		"before the trailer":      {chunks + "0\r\n", true},
	} {
		for _, byServer := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", by the server ", byServer), func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithCancelCause(t.Context())
				late := &lateContext{Context: context.Background()}
				end := func() { cancel(errGone) }
				if byServer {
					ctx, end = late, func() { late.ended.Store(true) }
				}
				sent := end
				if test.inBody {
					sent = func() {}
				}
				r, err := newRequester(t).Do(ctx, testlistener.ServeOnce(t, test.text, !byServer, sent), &requester.Request{
					Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{headID: {"a"}},
				})
				if (err == nil) != test.inBody {
					t.Fatalf("head: got error %v, want one %v", err, !test.inBody)
				}
				if err == nil {
					end()
					_, err = io.ReadAll(r.Body)
				}
				if got := errors.Is(err, errGone); err == nil || got == byServer {
					t.Errorf("error: got %v, want that of the context %v", err, !byServer)
				}
				if errors.Is(err, requester.ErrNotSent) {
					t.Errorf("error: got %v, want none that says that nothing was sent", err)
				}
			})
		}
	}
}

// Guards against a context that ends while a connection is opened, and is taken for a failure
// of the server.
func TestEndOfContextDuringConnect(t *testing.T) {
	addr := testlistener.Full(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer time.AfterFunc(50*time.Millisecond, func() { cancel(errGone) }).Stop()
	if _, err := do(ctx, newRequester(t), addr); !errors.Is(err, errGone) || !errors.Is(err, requester.ErrNotSent) {
		t.Errorf("error: got %v, want the cause of the context, marked as not sent", err)
	}
}
