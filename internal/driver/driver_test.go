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
	"github.com/damasklever/damasklever/internal/testlistener"
	"github.com/damasklever/damasklever/internal/timer"
)

// newTestClient starts a backend server and returns a client with a stall timeout of
// 100 ms for it.
func newTestClient(t *testing.T, handle http.HandlerFunc) *driver.Client {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)

	return driver.New(strings.TrimPrefix(server.URL, "http://"), 100*time.Millisecond)
}

// Checks that an incomplete answer is not accepted as complete, and that each error
// response maps to its own error.
func TestDecodeErrors(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   error
	}{
		"complete":        {200, `{"seq":2,"text":"a","tokens":1}` + "\n" + `{"end":"done","chunks":3}` + "\n", nil},
		"no end marker":   {200, `{"seq":2,"text":"a","tokens":1}` + "\n", driver.ErrConnBroken},
		"inside a line":   {200, `{"seq":2,"text":"a","tokens":1}` + "\n" + `{"seq":3,"te`, driver.ErrConnBroken},
		"no line end":     {200, `{"end":"done","chunks":2}`, nil},
		"short":           {200, `{"seq":2,"text":"a"}` + "\n" + `{"end":"done","chunks":9}` + "\n", driver.ErrInvalid},
		"gap":             {200, `{"seq":3,"text":"a"}` + "\n", driver.ErrInvalid},
		"not JSON":        {200, "data\n", driver.ErrInvalid},
		"line too long":   {200, strings.Repeat(" ", 2<<20) + "\n", driver.ErrConnBroken},
		"cancelled":       {200, `{"code":"cancelled"}` + "\n", driver.ErrCancelled},
		"evicted":         {410, `{"code":"evicted"}`, driver.ErrEvicted},
		"memory":          {507, `{"code":"memory"}`, driver.ErrOutOfMemory},
		"stale":           {409, `{"code":"stale"}`, driver.ErrStaleToken},
		"unknown failure": {500, "oops", driver.ErrInvalid},
		"unknown refusal": {404, "not found", driver.ErrRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
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

// signallingClock sends a value each time a watchdog is started or reset.
type signallingClock struct {
	*timer.Manual
	resets chan struct{}
}

// After implements timer.Service.
func (c signallingClock) After(d time.Duration, fn func(now time.Time)) func() {
	stop := c.Manual.After(d, fn)
	c.resets <- struct{}{}

	return stop
}

// Checks that a stalled transfer is aborted, and that a transfer that makes progress
// is not: its ten steps take six times the stall timeout.
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
			clock := signallingClock{timer.NewManual(time.Unix(0, 0)), make(chan struct{}, steps+1)}
			c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				<-clock.resets
				for i := range steps {
					fmt.Fprintf(w, `{"moved":%d}`+"\n", (i+1)*test.step)
					w.(http.Flusher).Flush()
					if test.step > 0 {
						<-clock.resets
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

// Checks that a call is not sent twice. net/http retries a request with an
// Idempotency-Key header by default.
func TestRunIsNotRepeated(t *testing.T) {
	var runs atomic.Int32
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		runs.Store(0)
		_, err := c.Run(t.Context(), driver.Call{
			Method: method, Path: "/book", HeaderFields: []driver.HeaderField{{Name: "Idempotency-Key", Value: "k"}},
		})
		var unsent *driver.UnsentError
		if !errors.Is(err, driver.ErrConnBroken) || errors.As(err, &unsent) {
			t.Errorf("%s: got %v, want a broken connection", method, err)
		}
		if got, want := runs.Load(), int32(1); got != want {
			t.Errorf("%s: got %d runs, want %d", method, got, want)
		}
	}
}

// Checks that a call that was never sent returns an UnsentError, so that it is not
// reported as possibly run.
func TestRunUnsent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := map[string]struct {
		ctx  context.Context //nolint:containedctx // input of the test case
		call driver.Call
	}{
		"nothing listens": {t.Context(), driver.Call{Method: "POST", Path: "/"}},
		"bad path":        {t.Context(), driver.Call{Method: "POST", Path: "http://other/"}},
		"bad method":      {t.Context(), driver.Call{Method: "PO ST", Path: "/"}},
		"bad header":      {t.Context(), driver.Call{Method: "POST", Path: "/", HeaderFields: []driver.HeaderField{{Name: "a\n", Value: "b"}}}},
		"cancelled":       {cancelled, driver.Call{Method: "POST", Path: "/"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := driver.New(closed.Addr().String(), time.Second).Run(test.ctx, test.call)
			var unsent *driver.UnsentError
			if !errors.As(err, &unsent) {
				t.Errorf("got %v, want an UnsentError", err)
			}
		})
	}
}

// Checks that Watch returns ErrConnBroken if the engine stops sending events but keeps
// the connection open.
func TestWatchSilence(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"boot":1}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	var boots []int64
	err := c.Watch(t.Context(), func(e driver.Event) { boots = append(boots, e.BootID) })
	if !errors.Is(err, driver.ErrConnBroken) || len(boots) != 1 {
		t.Errorf("got %v after boot IDs %v, want a broken connection after boot ID 1", err, boots)
	}
}

// Guards against a call whose service ended with an unframed response that looks whole.
func TestUnframedResponseOfEndedServiceIsBroken(t *testing.T) {
	tests := map[string]struct {
		method, framing string
		ends            bool
		want            error
	}{
		"running":         {http.MethodPost, "", false, nil},
		"ended":           {http.MethodPost, "", true, driver.ErrConnBroken},
		"ended, length":   {http.MethodPost, "Content-Length: 3\r\n", true, nil},
		"ended, HEAD":     {http.MethodHead, "", true, nil},
		"running, length": {http.MethodPost, "Content-Length: 3\r\n", false, nil},
		"too long":        {http.MethodPost, "Content-Length: 4\r\n", false, driver.ErrConnBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					if n, _ := conn.Read(make([]byte, 4096)); n > 0 && test.ends {
						l.Close()
					}
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+test.framing+"\r\n")
					if test.method != http.MethodHead {
						fmt.Fprint(conn, "all")
					}
					conn.Close()
				}
			}()
			_, err = driver.New(l.Addr().String(), 100*time.Millisecond).Run(t.Context(), driver.Call{Method: test.method, Path: "/x"})
			if !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against a head that stops in its middle and is taken for that of a whole response, and
// against the text of an error that is passed on as part of a stream.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"connection": "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
		"LF":         "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"interim":    "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			t.Run(name+"/"+method, func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) {
					addr := testlistener.ServeOnce(t, head[:cut], false, func() {})
					got, err := driver.New(addr, time.Second).Run(t.Context(), driver.Call{Method: method, Path: "/x"})
					if !errors.Is(err, driver.ErrConnBroken) {
						t.Errorf("head cut after %q: got %v, %v, want a broken connection", head[:cut], got, err)
					}
				}
			})
		}
	}
	chunks := 0
	c := newTestClient(t, respondWithError)
	if _, err := c.Decode(t.Context(), driver.Decode{ID: "a", Offset: 2}, func(driver.Chunk) { chunks++ }); err == nil || chunks > 0 {
		t.Errorf("resumed stream: got error %v after %d chunks, want an error and no chunk", err, chunks)
	}
}

func respondWithError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	fmt.Fprintln(w, `{"seq":2,"text":"the engine failed","tokens":1}`)
}
