package driver_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/testlistener"
)

var errTimeout = errors.New("timeout")

// lateContext is a context whose end is noticed only by those who ask for it, as if it ended
// just after the last event before.
type lateContext struct {
	context.Context //nolint:containedctx // a context itself
	ended           atomic.Bool
}

// Err implements context.Context.
func (c *lateContext) Err() error {
	if c.ended.Load() {
		return errTimeout
	}

	return nil
}

// Guards against the end of a call that is taken for a failure of the backend server, and
// against a failure that is not seen because the call has ended since.
func TestEndOfContext(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *driver.Client) error{
		"run": func(ctx context.Context, c *driver.Client) error {
			_, err := c.Run(ctx, driver.Call{Method: http.MethodPost, Path: "/x"})

			return err
		},
		"decode": func(ctx context.Context, c *driver.Client) error {
			_, err := c.Decode(ctx, driver.Decode{ID: "a"}, func(driver.Chunk) {})

			return err
		},
		"prefill": func(ctx context.Context, c *driver.Client) error {
			_, err := c.Prefill(ctx, driver.Prefill{ID: "a"})

			return err
		},
	}
	for name, text := range map[string]string{
		"before the head": "",
		"in the head":     "HTTP/1.1 200 OK\r\nA:",
		"in a length":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
		"in a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{",
		"in a trailer":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		"in a failure":    "HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\n{",
	} {
		for call, run := range calls {
			for _, byServer := range []bool{false, true} {
				t.Run(fmt.Sprint(call, "/", name, "/by the server ", byServer), func(t *testing.T) {
					t.Parallel()
					ctx, cancel := context.WithCancelCause(t.Context())
					defer cancel(nil)
					late := &lateContext{Context: context.Background()}
					end := func() { time.AfterFunc(20*time.Millisecond, func() { cancel(errTimeout) }) }
					if byServer {
						ctx, end = late, func() { late.ended.Store(true) }
					}
					err := run(ctx, driver.New(testlistener.ServeOnce(t, text, !byServer, end), time.Second))
					want := errTimeout
					if byServer {
						want = driver.ErrConnBroken
					}
					if !errors.Is(err, want) {
						t.Errorf("error: got %v, want %v", err, want)
					}
				})
			}
		}
	}
}
