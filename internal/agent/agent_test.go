package agent_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/agent"
	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Checks that the agent cancels work on the engine that belongs to no attempt, such as
// a call that reached the engine after its cancellation.
func TestOrphanedWork(t *testing.T) {
	h := newHarness(t, fastEngine("prefill"))
	client := driver.New(h.engine.Addr(), time.Second)
	defer client.Close()
	if _, err := client.Prefill(t.Context(), driver.Prefill{ID: "orphan", Tokens: 10, Pieces: 3}); err != nil {
		t.Fatal(err)
	}
	h.clock.Advance(time.Second)
	h.awaitAllFree()
}

// Checks that a grant ends when the engine evicts its prefill result, even if the entry
// does not withdraw the attempt.
func TestPrefillEvicted(t *testing.T) {
	s := fastEngine("prefill")
	s.ResultTTL = 20 * time.Millisecond
	h := newHarness(t, s)
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_PREFILL)
	x.prefill("a", "notes", 100)
	x.recv()
	h.awaitEngine(func(c emulator.Counters) bool { return c.WastedPrefills == 1 })
	h.clock.Advance(time.Second)
	h.awaitAllFree()
}

// Checks that an agent shuts down when the host list marks its host as leaving, even if
// nothing else tells it to, and otherwise keeps running.
func TestHostList(t *testing.T) {
	engine, err := emulator.NewEngine(fastEngine("decode"))
	if err != nil {
		t.Fatal(err)
	}
	if err := engine.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = engine.Close() }()
	file := filepath.Join(t.TempDir(), "hosts")
	list := "# hosts\nh1 live\nh2 leaving # since noon\n"
	if err := os.WriteFile(file, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	clock := timer.New()
	defer clock.Close()
	for host, leaves := range map[string]bool{"h1": false, "h2": true} {
		a, err := agent.New(agent.Settings{
			Name: host, Service: "desk", Region: "kochi", Backend: engine.Addr(),
			Hosts: file, HostName: host,
		}, agent.Deps{Timer: clock, Log: discardLogger(), Registry: prometheus.NewRegistry()})
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if leaves {
			<-a.Done()

			continue
		}
		for !a.Ready() {
			pollPause()
		}
		_ = a.Close()
	}
}

// Checks that New reports all invalid settings at once.
func TestSettings(t *testing.T) {
	_, err := agent.New(agent.Settings{
		Phase: "both", Backend: "here", Control: []string{"there"}, Pieces: -1, Lease: time.Millisecond,
	}, agent.Deps{Timer: timer.NewManual(time.Unix(1, 0)), Log: discardLogger()})
	if err == nil {
		t.Fatal("got no error, want one")
	}
	for _, want := range []string{"name", "service", "region", "phase", "backend", "control", "pieces", "lease"} {
		if !strings.Contains(err.Error(), want+":") {
			t.Errorf("got %v, want an error for %s", err, want)
		}
	}
}
