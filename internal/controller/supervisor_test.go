package controller_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a control host that is not reopened once its disk works again, and against
// successful answers while no host is open.
func TestReopenAfterFailure(t *testing.T) {
	clock := timer.New()
	t.Cleanup(clock.Close)
	dir := filepath.Join(t.TempDir(), "data")
	// A file in place of the directory simulates an unusable disk.
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	opened := make(chan struct{}, 64)
	supervisor := controller.NewSupervisor(func() controller.Settings {
		opened <- struct{}{}

		return controller.Settings{
			Number: 1, Listen: "127.0.0.1:0", DataDir: dir, Timer: clock, Log: logger.Discard(),
			Members: []*wire.Member{{Number: 1, Addr: "127.0.0.1:0"}},
		}
	}, clock, logger.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	go supervisor.Run(ctx)
	limit := time.NewTimer(20 * time.Second)
	defer limit.Stop()
	for range 2 {
		select {
		case <-opened:
		case <-limit.C:
			t.Fatal("attempts to open the host: got one, want a second after the first failed")
		}
	}
	if _, err := supervisor.Plan(ctx); err == nil || supervisor.Ready() {
		t.Errorf("while no host is open: got %v and ready %v, want an error and false", err, supervisor.Ready())
	}
	if got, want := supervisor.ReplacePlan(ctx, &wire.Plan{Version: 1}).GetOutcome(), wire.Outcome_OUTCOME_REFUSED; got != want {
		t.Errorf("outcome while no host is open: got %v, want %v", got, want)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !supervisor.Ready() {
		select {
		case <-ticker.C:
		case <-limit.C:
			t.Fatal("ready: got false, want true once the disk works")
		}
	}
	if got := supervisor.Dump(); !got.Founded {
		t.Errorf("dump: got %+v, want Founded true", got)
	}
	cancel()
	<-supervisor.Done()
}
