package driver_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/timer"
)

// serve starts a backend server and returns a client for it.
func serve(t *testing.T, handle http.HandlerFunc) *driver.Client {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)

	return driver.New(strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond)
}

// Guards against an answer that ends early and is taken for complete, and
// against errors that are taken for each other.
func TestDecodeErrors(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   error
	}{
		"complete":        {200, `{"seq":2,"text":"a","tokens":1}` + "\n" + `{"end":"done","chunks":3}` + "\n", nil},
		"no end marker":   {200, `{"seq":2,"text":"a","tokens":1}` + "\n", driver.ErrBroken},
		"short":           {200, `{"seq":2,"text":"a"}` + "\n" + `{"end":"done","chunks":9}` + "\n", driver.ErrInvalid},
		"gap":             {200, `{"seq":3,"text":"a"}` + "\n", driver.ErrInvalid},
		"not JSON":        {200, "data\n", driver.ErrInvalid},
		"line too long":   {200, strings.Repeat(" ", 2<<20) + "\n", driver.ErrBroken},
		"cancelled":       {200, `{"code":"cancelled"}` + "\n", driver.ErrCancelled},
		"evicted":         {410, `{"code":"evicted"}`, driver.ErrEvicted},
		"memory":          {507, `{"code":"memory"}`, driver.ErrMemory},
		"stale":           {409, `{"code":"stale"}`, driver.ErrStale},
		"unknown failure": {500, "oops", driver.ErrInvalid},
		"unknown refusal": {404, "not found", driver.ErrRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				fmt.Fprint(w, test.body)
			})
			_, err := c.Decode(t.Context(), driver.Decode{ID: "a", Offset: 2}, func(driver.Chunk) {})
			if !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// armed tells of each watchdog that is started or fed.
type armed struct {
	*timer.Manual
	fed chan struct{}
}

// After implements timer.Service.
func (a armed) After(d time.Duration, fn func(now time.Time)) func() {
	stop := a.Manual.After(d, fn)
	a.fed <- struct{}{}

	return stop
}

// Guards against a transfer that waits for ever, and against one that is
// abandoned although it makes progress: ten steps take six times the limit.
func TestImportStall(t *testing.T) {
	const steps = 10
	tests := map[string]struct {
		step int
		want error
	}{
		"progress": {1, nil},
		"stalled":  {0, driver.ErrStalled},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := armed{timer.NewManual(time.Unix(0, 0)), make(chan struct{}, steps+1)}
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				<-clock.fed
				for i := range steps {
					fmt.Fprintf(w, `{"moved":%d}`+"\n", (i+1)*test.step)
					w.(http.Flusher).Flush()
					if test.step > 0 {
						<-clock.fed
					}
					clock.Advance(60 * time.Millisecond)
				}
				if test.step == 0 {
					<-r.Context().Done()
				}
				fmt.Fprintln(w, `{"done":true}`)
			})
			c.SetClock(clock)
			err := c.Import(t.Context(), driver.Import{ID: "a"})
			if !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against a call that the transport sends a second time on its own, as it
// does for calls with a key header.
func TestRunIsNotRepeated(t *testing.T) {
	var runs atomic.Int32
	c := serve(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		runs.Store(0)
		_, err := c.Run(t.Context(), driver.Call{
			Method: method, Path: "/book", Fields: []driver.Field{{Name: "Idempotency-Key", Value: "k"}},
		})
		var unsent *driver.UnsentError
		if !errors.Is(err, driver.ErrBroken) || errors.As(err, &unsent) {
			t.Errorf("%s: got %v, want a broken connection", method, err)
		}
		if got, want := runs.Load(), int32(1); got != want {
			t.Errorf("%s: got %d runs, want %d", method, got, want)
		}
	}
}

// Guards against "may have run" for a call that never left the agent, and
// against a hang on a server that does not answer.
func TestRunUnsent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx  context.Context //nolint:containedctx // an input of the case
		call driver.Call
	}{
		"nothing listens": {t.Context(), driver.Call{Method: "POST", Path: "/"}},
		"bad path":        {t.Context(), driver.Call{Method: "POST", Path: "http://other/"}},
		"bad method":      {t.Context(), driver.Call{Method: "PO ST", Path: "/"}},
		"bad header":      {t.Context(), driver.Call{Method: "POST", Path: "/", Fields: []driver.Field{{Name: "a\n", Value: "b"}}}},
		"cancelled":       {cancelled, driver.Call{Method: "POST", Path: "/"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := driver.New(closed.Addr().String(), time.Second).Run(test.ctx, test.call)
			var unsent *driver.UnsentError
			if !errors.As(err, &unsent) {
				t.Errorf("got %v, want a call that was not sent", err)
			}
		})
	}
}

// Guards against an engine that hangs and is taken for a healthy one.
func TestWatchSilence(t *testing.T) {
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"boot":1}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	var boots []int64
	err := c.Watch(t.Context(), func(e driver.Event) { boots = append(boots, e.Boot) })
	if !errors.Is(err, driver.ErrBroken) || len(boots) != 1 {
		t.Errorf("got %v after %v, want a broken connection after start 1", err, boots)
	}
}
