package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
)

func newDrainer(t *testing.T) *drainer.Drainer {
	t.Helper()
	clock := timer.New()
	t.Cleanup(clock.Close)

	return drainer.New(clock)
}

// Guards against requests that wait for memory when a shutdown begins and are held until its end.
func TestShutdownEndsEarlierWaits(t *testing.T) {
	const answer, limit = 400 * time.Millisecond, time.Second
	noMemory := func(ctx context.Context, a grantclient.Ask) error {
		if a.ID == "warm" {
			return nil
		}
		<-ctx.Done()

		return context.Cause(ctx)
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
				<-time.After(answer)
				io.WriteString(w, "id: 1\ndata: x\n\n")
			})
			d := newDrainer(t)
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Agents, s.Drainer = &fakeAgents{refuse: noMemory}, d }, a.server(placer.Decode))
			if got, want := (<-heldRequest(t, r, path, "warm")).status, http.StatusOK; got != want {
				t.Fatalf("first answer: got %d, want %d", got, want)
			}
			result := heldRequest(t, r, path, "r1")
			for r.gateway.Active() == 0 {
				<-time.After(time.Millisecond)
			}
			<-time.After(50 * time.Millisecond)
			d.Begin(0, limit)
			begun := time.Now()
			if got, want := (<-result).status, http.StatusServiceUnavailable; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := time.Since(begun), limit-answer+answer/4; got > want {
				t.Errorf("refused after: got %v, want at most %v", got, want)
			}
		})
	}
}
