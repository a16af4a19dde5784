package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID       = "X-Damasklever-Request-Id"
	headerProof    = "X-Damasklever-Server-Signature"
	headerTarget   = "X-Damasklever-Target-Instance"
	headerDeadline = "X-Damasklever-Request-Deadline"
	notExecuted    = "X-Damasklever-Not-Executed"
)

// runner is a stand-in for a runner of the platform. A runner with a stage has a model.
type runner struct {
	l           *lab
	id, service string
	zone, addr  string
	stage       string
	work        http.HandlerFunc // runs a request
	mu          sync.Mutex
	version     string
	born        int64
	conns       map[net.Conn]bool
	listener    net.Listener
	running     map[string]bool
	holds       int
}

func (l *lab) newRunner(host int, id, service, stage, version string) *runner {
	return &runner{
		l: l, id: id, service: service, stage: stage, version: version, zone: zoneOf(host), running: make(map[string]bool),
		addr: net.JoinHostPort(l.runnerIP(host), strconv.Itoa(l.port+14)),
	}
}

// up starts the runner, with nothing of before.
func (r *runner) up() {
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		r.l.giveUp("runner %s: %v", r.id, err)
	}
	r.mu.Lock()
	r.listener, r.born, r.conns, r.running = listener, time.Now().UnixMilli(), make(map[net.Conn]bool), make(map[string]bool)
	version := r.version
	r.mu.Unlock()
	r.l.logf("runner %s runs, version %s", r.id, version)
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateClosed {
			delete(r.conns, c)
		} else {
			r.conns[c] = true
		}
	}}
	go server.Serve(listener)
}

// crash ends the runner: its connections are reset, and its port is closed.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
	for c := range r.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// entry is the runner's entry in the host list.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]any{
		"id": r.id, "service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "born": r.born,
	}
	if r.stage != "" {
		out["slots"], out["stage"], out["models"] = 64, r.stage, r.models()
	}

	return out
}

func (r *runner) models() []any {
	return []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
}

// serve answers as the pages say for all runners, and passes requests to run to work.
func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	if id := q.Header.Get(headerID); id != "" {
		h.Set(headerID, id)
	}
	if target := q.Header.Get(headerTarget); target != "" && target != r.id {
		h.Set(notExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	switch {
	case r.stage != "" && q.URL.Path == "/damasklever/report":
		r.report(w)
	case r.stage != "" && q.URL.Path == "/damasklever/hold-take":
		r.mu.Lock()
		r.holds++
		hold := fmt.Sprintf("%s-%d", strconv.FormatInt(r.born, 36), r.holds)
		r.mu.Unlock()
		writeJSON(w, map[string]any{"hold": hold, "born": r.born})
	case r.stage != "" && q.Method == http.MethodDelete:
	case q.Header.Get(headerID) == "":
		h.Set(notExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
	case q.Header.Get("X-Damasklever-Stage") != "":
		h.Set(notExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		h.Set(headerProof, fmt.Sprintf("%s.%08x", r.id, rand.Uint32()))
		r.work(w, q)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	runs := []any{}
	for id := range r.running {
		runs = append(runs, []any{id, 600, 1, 5})
	}
	out := map[string]any{
		"stage": r.stage, "models": r.models(), "busy": false, "sequence": 0, "waiting": 0, "running": len(runs), "kv_used": 600 * len(runs),
		"kv_total": 66998, "handles": 0, "state": "ready", "next": 0, "runs": runs, "pinned": 0, "held": 0, "born": r.born,
	}
	r.mu.Unlock()
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(document)
}

// book runs a plain request in about 30 ms and answers with 800 bytes.
func (r *runner) book(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	time.Sleep(30 * time.Millisecond)
	r.l.logf("runner %s ran %s %s (%d bytes)", r.id, q.Header.Get(headerID), q.Method, len(body))
	w.Write(make([]byte, 800))
}

// generate writes a stream of events, and goes on after Last-Event-Id.
func (r *runner) generate(events int, gap time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		r.mu.Lock()
		version, id, running := r.version, q.Header.Get(headerID), r.running
		running[id] = true
		r.mu.Unlock()
		defer func() {
			r.mu.Lock()
			delete(running, id)
			r.mu.Unlock()
		}()
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		r.l.logf("runner %s runs %s from event %d, version %s", r.id, id, last+1, version)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Damasklever-Weight-Versions", "1")
		for n := last + 1; n <= events; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s %s token-%d\n\n", n, r.id, version, n)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-q.Context().Done():
				return
			case <-time.After(gap):
			}
		}
	}
}
