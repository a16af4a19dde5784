package requester_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/requester"
	"github.com/damasklever/damasklever/internal/testlistener"
)

// Guards against what a server in trouble sends and that is taken for a response.
func TestInvalidResponse(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 3\r\n\r\nbad"
	for name, text := range testlistener.InvalidResponses("ok") {
		for before, first := range map[string]string{"": "", "after another response/": other} {
			t.Run(before+name, func(t *testing.T) {
				t.Parallel()
				got, err := do(t.Context(), newRequester(t), testlistener.ServeOnce(t, first+text, false, func() {}))
				if err == nil || errors.Is(err, requester.ErrNotSent) {
					t.Errorf("got body %q, error %v, want an error that is not ErrNotSent", got, err)
				}
			})
		}
	}
}

// Guards against unusual responses that are rejected.
func TestSoundResponse(t *testing.T) {
	for name, text := range testlistener.SoundResponses("ok") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := do(t.Context(), newRequester(t), testlistener.ServeOnce(t, text, false, func() {}))
			if got != "ok" || err != nil {
				t.Errorf("got body %q, error %v, want ok", got, err)
			}
		})
	}
}
