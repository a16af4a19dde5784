package driver_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/testlistener"
)

// testCall is a call, and the body of a response with which it succeeds.
type testCall struct {
	run  func(ctx context.Context, c *driver.Client) error
	body string
}

func testCalls() map[string]testCall {
	return map[string]testCall{
		"run": {func(ctx context.Context, c *driver.Client) error {
			got, err := c.Run(ctx, driver.Call{Method: http.MethodPost, Path: "/x"})
			if err == nil && (got.Status != http.StatusOK || string(got.Body) != "ok") {
				return errors.Newf("status %d, body %q", got.Status, got.Body)
			}

			return err
		}, "ok"},
		"prefill": {func(ctx context.Context, c *driver.Client) error {
			_, err := c.Prefill(ctx, driver.Prefill{ID: "a"})

			return err
		}, `{"handle":"h"}`},
		"decode": {func(ctx context.Context, c *driver.Client) error {
			_, err := c.Decode(ctx, driver.Decode{ID: "a"}, func(driver.Chunk) {})

			return err
		}, `{"end":"done"}`},
		"import": {func(ctx context.Context, c *driver.Client) error {
			return c.Import(ctx, driver.Import{ID: "a"})
		}, `{"done":true}`},
		"order": {func(ctx context.Context, c *driver.Client) error {
			return c.Order(ctx, driver.Order{ID: "a"})
		}, `{"state":"done"}`},
		"work": {func(ctx context.Context, c *driver.Client) error {
			_, err := c.Work(ctx)

			return err
		}, `[]`},
	}
}

// Guards against what a server in trouble sends and that is taken for a response, or for the
// word of the server that it has not done the work.
func TestInvalidResponse(t *testing.T) {
	for name, call := range testCalls() {
		for response, text := range testlistener.InvalidResponses(call.body) {
			t.Run(name+"/"+response, func(t *testing.T) {
				t.Parallel()
				err := call.run(t.Context(), driver.New(testlistener.ServeOnce(t, text, false, func() {}), time.Second))
				var unsent *driver.UnsentError
				if !errors.Is(err, driver.ErrConnBroken) || errors.Is(err, driver.ErrRefused) || errors.As(err, &unsent) {
					t.Errorf("got %v, want a broken connection", err)
				}
			})
		}
	}
}

// Guards against unusual responses that are rejected.
func TestSoundResponse(t *testing.T) {
	for name, call := range testCalls() {
		for response, text := range testlistener.SoundResponses(call.body) {
			t.Run(name+"/"+response, func(t *testing.T) {
				t.Parallel()
				if err := call.run(t.Context(), driver.New(testlistener.ServeOnce(t, text, false, func() {}), time.Second)); err != nil {
					t.Errorf("got %v, want no error", err)
				}
			})
		}
	}
}
