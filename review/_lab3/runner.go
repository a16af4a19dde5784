package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a sound backend server of the platform.
type runner struct {
	lab     *lab
	id      string
	service string
	stage   string // "" for a service without a model
	version string
	born    int64
	l       net.Listener
	server  *http.Server
	// report, if set, answers GET /damasklever/report in place of the runner.
	report func(w http.ResponseWriter, r *http.Request) bool

	mu  sync.Mutex
	ran int
}

// newRunner starts a runner on its own address and lists it.
func (l *lab) newRunner(n int, id, service, stage string) (*runner, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(serverIP(n), "0"))
	if err != nil {
		return nil, err
	}
	x := &runner{lab: l, id: id, service: service, stage: stage, version: "v1", born: time.Now().UnixMilli(), l: listener}
	x.server = &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = x.server.Serve(listener) }()
	x.enlist("ready")

	return x, nil
}

func (x *runner) addr() string { return x.l.Addr().String() }

// enlist sets the entry of the runner in the host list.
func (x *runner) enlist(state string) {
	e := map[string]any{
		"id": x.id, "service": x.service, "address": x.addr(), "zone": "kochi-a", "version": x.version, "slots": 64, "state": state,
		"cold_remaining_ms": 0, "born": x.born,
	}
	if x.stage != "" {
		e["stage"], e["models"] = x.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	x.lab.list.set(x.id, e)
}

func (x *runner) soundReport() map[string]any {
	return map[string]any{
		"stage": x.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 66998, "handles": 0, "born": x.born, "state": "ready", "runs": []any{},
	}
}

// ServeHTTP implements http.Handler.
func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Damasklever-Request-Id")
	if target := r.Header.Get("X-Damasklever-Target-Instance"); target != "" && target != x.id {
		w.Header().Set("X-Damasklever-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	if r.URL.Path == "/damasklever/report" && x.stage != "" {
		if x.report != nil && x.report(w, r) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(x.soundReport())

		return
	}
	if id == "" {
		w.Header().Set("X-Damasklever-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	x.mu.Lock()
	x.ran++
	x.mu.Unlock()
	x.lab.record.printf("server %s runs %s (%s %s)", x.id, id, r.Method, r.URL.Path)
	w.Header().Set("X-Damasklever-Request-Id", id)
	w.Header().Set("X-Damasklever-Server-Signature", "sig."+x.id)
	fmt.Fprintf(w, "answer to %s by %s", id, x.id)
}

func (x *runner) close() { _ = x.server.Close() }
