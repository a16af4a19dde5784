package emulator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/emulator"
)

func start(t *testing.T, s emulator.EngineSettings) (*emulator.Engine, *driver.Client) {
	t.Helper()
	e, err := emulator.NewEngine(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c := driver.New(e.Addr(), 10*time.Second)
	t.Cleanup(func() {
		c.Close()
		_ = e.Close()
	})

	return e, c
}

func await(t *testing.T, e *emulator.Engine, ok func(emulator.Counters) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := e.Await(ctx, ok); err != nil {
		t.Fatal(err)
	}
}

// Guards against an engine that grants more memory than it has, or that keeps the
// memory of a cancelled prefill.
func TestMemory(t *testing.T) {
	e, c := start(t, emulator.EngineSettings{Role: "prefill", Pieces: 4, ResultTTL: time.Hour})
	if _, err := c.Prefill(t.Context(), driver.Prefill{ID: "a", Tokens: 1, Pieces: 3}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Prefill(t.Context(), driver.Prefill{ID: "b", Tokens: 1, Pieces: 2}); !errors.Is(err, driver.ErrOutOfMemory) {
		t.Errorf("got %v, want %v", err, driver.ErrOutOfMemory)
	}
	if err := c.Cancel(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	if got, want := e.Counters().HeldBlocks, int64(0); got != want {
		t.Errorf("held: got %d, want %d", got, want)
	}
}

// Guards against a prefill result that is not evicted although nobody imports it,
// and against an import of an evicted result.
func TestEviction(t *testing.T) {
	e, c := start(t, emulator.EngineSettings{Role: "prefill", ResultTTL: 10 * time.Millisecond})
	got, err := c.Prefill(t.Context(), driver.Prefill{ID: "a", Tokens: 1, Pieces: 1})
	if err != nil {
		t.Fatal(err)
	}
	await(t, e, func(c emulator.Counters) bool { return c.WastedPrefills == 1 && c.HeldBlocks == 0 })
	_, decode := start(t, emulator.EngineSettings{})
	err = decode.Import(t.Context(), driver.Import{ID: "b", Handle: got.Handle, Source: e.Addr(), Pieces: 1})
	if !errors.Is(err, driver.ErrEvicted) {
		t.Errorf("got %v, want %v", err, driver.ErrEvicted)
	}
}

// Guards against a prefix cache that never hits or never evicts, and against cache
// events that are all delivered although some must be lost.
func TestPrefixCache(t *testing.T) {
	e, c := start(t, emulator.EngineSettings{
		Role: "prefill", CachedPrefixes: 2, PrefillRate: 1e6, EventDelay: time.Millisecond, LostEventInterval: 2,
	})
	for i, want := range []int64{0, 4096, 0, 0} {
		prefix := [][]uint64{{1, 2}, {1, 2}, {3, 4}, {1, 2}}[i]
		got, err := c.Prefill(t.Context(), driver.Prefill{
			ID: fmt.Sprint(i), Tokens: 5000, Pieces: 1, Prefix: prefix,
		})
		if err != nil {
			t.Fatal(err)
		}
		if got.Cached != want {
			t.Errorf("prefill %d: got %d tokens cached, want %d", i, got.Cached, want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var seqs []uint64
	_ = c.Watch(ctx, func(event driver.Event) {
		if event.Seq > 0 {
			seqs = append(seqs, event.Seq)
		}
		if event.Seq == 3 {
			cancel()
		}
	})
	if got, want := fmt.Sprint(seqs), "[1 3]"; got != want {
		t.Errorf("events: got %s, want %s", got, want)
	}
	if got, want := e.Counters().Prefills, 4; got != want {
		t.Errorf("prefills: got %d, want %d", got, want)
	}
}

// Guards against an urgent prefill that waits until a long one has finished.
func TestPriority(t *testing.T) {
	e, c := start(t, emulator.EngineSettings{Role: "prefill", PrefillRate: 1000})
	go func() {
		_, _ = c.Prefill(t.Context(), driver.Prefill{ID: "long", Tokens: 1_000_000, Pieces: 1, Rank: 2})
	}()
	await(t, e, func(c emulator.Counters) bool { return c.Prefills == 1 })
	if _, err := c.Prefill(t.Context(), driver.Prefill{ID: "urgent", Tokens: 50, Pieces: 1}); err != nil {
		t.Fatal(err)
	}
	work, err := c.Work(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(work), 2; got != want {
		t.Errorf("work: got %v, want %d entries", work, want)
	}
}

// Guards against a load report that is up to date: those of real engines lag.
func TestLoadLags(t *testing.T) {
	_, c := start(t, emulator.EngineSettings{Role: "prefill", Pieces: 4, LoadReportDelay: time.Hour, ResultTTL: time.Hour})
	if _, err := c.Prefill(t.Context(), driver.Prefill{ID: "a", Tokens: 1, Pieces: 3}); err != nil {
		t.Fatal(err)
	}
	load, err := c.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got, want := load.Free, int64(4); got != want {
		t.Errorf("free an hour ago: got %d, want %d", got, want)
	}
}

// Guards against an engine that keeps its jobs across a crash, or that does not
// restart.
func TestCrash(t *testing.T) {
	e, c := start(t, emulator.EngineSettings{Role: "prefill", RestartDelay: 10 * time.Millisecond, ResultTTL: time.Hour})
	if _, err := c.Prefill(t.Context(), driver.Prefill{ID: "a", Tokens: 1, Pieces: 3}); err != nil {
		t.Fatal(err)
	}
	_, err := c.Prefill(t.Context(), driver.Prefill{ID: "b", Prompt: "a [crash] b", Tokens: 1, Pieces: 1})
	if !errors.Is(err, driver.ErrConnBroken) {
		t.Errorf("got %v, want %v", err, driver.ErrConnBroken)
	}
	await(t, e, func(c emulator.Counters) bool { return c.Boots == 2 })
	if got, want := e.Counters().HeldBlocks, int64(0); got != want {
		t.Errorf("held: got %d, want %d", got, want)
	}
}

// Guards against an engine that ignores fencing tokens although the settings say
// that it checks them, and the reverse.
func TestFence(t *testing.T) {
	for name, check := range map[string]bool{"checks": true, "ignores": false} {
		t.Run(name, func(t *testing.T) {
			_, c := start(t, emulator.EngineSettings{CheckFencingToken: check})
			if err := c.Order(t.Context(), driver.Order{ID: "a", Verb: "load", Subject: "m", Fence: 2}); err != nil {
				t.Fatal(err)
			}
			err := c.Order(t.Context(), driver.Order{ID: "b", Verb: "unload", Subject: "m", Fence: 1})
			if got := errors.Is(err, driver.ErrStaleToken); got != check {
				t.Errorf("got %v, want stale %v", err, check)
			}
		})
	}
}

// Guards against a plain service that changes the body or miscounts its runs.
func TestPlain(t *testing.T) {
	p := emulator.NewPlainService(time.Millisecond)
	if err := p.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Close() }()
	req, err := http.NewRequest(http.MethodPost, "http://"+p.Addr()+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(emulator.HeaderKey, "k")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(body), "body"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
	if got, want := p.Runs("k"), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}
