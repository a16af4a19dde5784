package attendant_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/attendant"
	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/imitator"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against memory held by work that no attempt stands for, such as a call
// that reached the engine after its cancellation.
func TestOrphanedWork(t *testing.T) {
	h := newSite(t, fast("prefill"))
	orphans := driver.New(h.engine.Addr(), time.Second)
	defer orphans.Close()
	if _, err := orphans.Prefill(t.Context(), driver.Prefill{ID: "orphans", Tokens: 10, Pieces: 3}); err != nil {
		t.Fatal(err)
	}
	h.clock.Advance(time.Second)
	h.freed()
}

// Guards against a grant that outlives its prefill result when the entry does
// not withdraw it.
func TestPrefillEvicted(t *testing.T) {
	s := fast("prefill")
	s.Keep = 20 * time.Millisecond
	h := newSite(t, s)
	x := h.open()
	x.granted("a", wire.Phase_PHASE_PREFILL)
	x.prefill("a", "notes", 100)
	x.next()
	h.awaitEngine(func(c imitator.Counters) bool { return c.Wasted == 1 })
	h.clock.Advance(time.Second)
	h.freed()
}

// Guards against a host that is leaving and still takes work because nobody told
// its agent directly.
func TestHostList(t *testing.T) {
	engine, err := imitator.NewEngine(fast("decode"))
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
		agent, err := attendant.New(attendant.Settings{
			Name: host, Service: "desk", Region: "kochi", Backend: engine.Addr(),
			Hosts: file, Host: host,
		}, attendant.Deps{Timer: clock, Log: quiet(), Registry: prometheus.NewRegistry()})
		if err != nil {
			t.Fatal(err)
		}
		if err := agent.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if leaves {
			<-agent.Done()

			continue
		}
		for !agent.Ready() {
			pauseBriefly()
		}
		_ = agent.Close()
	}
}

// Guards against a fault that is reported only after another one was repaired.
func TestSettings(t *testing.T) {
	_, err := attendant.New(attendant.Settings{
		Phase: "both", Backend: "here", Control: []string{"there"}, Pieces: -1, Lease: time.Millisecond,
	}, attendant.Deps{Timer: timer.NewManual(time.Unix(1, 0)), Log: quiet()})
	if err == nil {
		t.Fatal("got no error, want one")
	}
	for _, want := range []string{"name", "service", "region", "phase", "backend", "control", "pieces", "lease"} {
		if !strings.Contains(err.Error(), want+":") {
			t.Errorf("got %v, want a fault of %s", err, want)
		}
	}
}
