package driver_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
)

// Guards against a large response that loses bytes, is rejected although there is memory for it, or
// keeps its memory after it has been rejected or has broken off.
func TestLargeResponse(t *testing.T) {
	const (
		memory = 4 << 20
		small  = 256 << 10
		block  = 1 << 20
	)
	for _, size := range []int{0, 1, small - 1, small, small + 1, small + block, small + block + 1, memory, memory + 1} {
		for _, framing := range []string{"length", "chunks", "connection"} {
			for _, breaks := range []bool{false, true} {
				t.Run(fmt.Sprint(size, " bytes/", framing, "/breaks ", breaks), func(t *testing.T) {
					t.Parallel()
					body := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
					c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
						switch framing {
						case "length":
							w.Header().Set("Content-Length", strconv.Itoa(size))
						case "connection":
							w.Header().Set("Connection", "close")
							w.Header().Set("Transfer-Encoding", "identity")
						}
						part := body
						if breaks {
							part = body[:size/2]
						}
						w.Write(part)
						http.NewResponseController(w).Flush()
						if breaks {
							panic(http.ErrAbortHandler)
						}
					})
					c.LimitMemory(memory)
					// The memory of a response that is kept would not suffice for the next one.
					for range 2 {
						got, err := c.Run(t.Context(), driver.Call{Method: http.MethodGet, Path: "/x"})
						switch {
						case size > memory && (framing == "length" || !breaks):
							if !errors.Is(err, driver.ErrInvalid) {
								t.Errorf("got %d bytes, error %v, want ErrInvalid", len(got.Body), err)
							}
						case breaks && framing != "connection" && size > 0:
							if !errors.Is(err, driver.ErrConnBroken) {
								t.Errorf("got %d bytes, error %v, want a broken connection", len(got.Body), err)
							}
						case !breaks && (err != nil || !bytes.Equal(got.Body, body)):
							t.Errorf("got %d bytes, error %v, want %d bytes", len(got.Body), err, size)
						}
						got.Release()
					}
				})
			}
		}
	}
}

// Guards against a response to HEAD that is rejected for the length that it states.
func TestLengthOfHead(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", strconv.Itoa(1<<40)) })
	c.LimitMemory(1 << 20)
	got, err := c.Run(t.Context(), driver.Call{Method: http.MethodHead, Path: "/x"})
	if err != nil || got.Status != http.StatusOK || len(got.Body) > 0 {
		t.Errorf("got status %d, %d bytes, error %v, want 200 without a body", got.Status, len(got.Body), err)
	}
}
