package monitor_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/monitor"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()

	return l.Addr().String()
}

// Guards against reporting ready while the process refuses work, and against
// missing state or metrics.
func TestRoutes(t *testing.T) {
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "damasklever_test_total", Help: "test"})
	registry.MustRegister(counter)
	addr := freeAddr(t)
	server, err := monitor.New(monitor.Settings{
		Listen:   addr,
		Ready:    func() error { return errors.New("shutting down") },
		Dump:     func() any { return map[string]int{"flights": 3} },
		Registry: registry,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	tests := map[string]struct {
		path   string
		status int
		body   string
	}{
		"health":    {"/healthz", 200, "ok"},
		"readiness": {"/readyz", 503, "shutting down"},
		"dump":      {"/dump", 200, `"flights": 3`},
		"metrics":   {"/metrics", 200, "damasklever_test_total 0"},
		"unknown":   {"/other", 404, "not found"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response, err := http.Get("http://" + addr + test.path)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			if got, want := response.StatusCode, test.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := string(body), test.body; !strings.Contains(got, want) {
				t.Errorf("body: got %q, want it to contain %q", got, want)
			}
		})
	}
}
