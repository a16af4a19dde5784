package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in for a runner on a side machine.
type runner struct {
	l        *lab
	id       string
	ip, zone string
	addr     string
	service  string
	stage    string // prefill, decode, or empty for a plain service
	version  string

	mu       sync.Mutex
	server   *http.Server
	born     int64
	draining bool
	up       bool
	sequence int64
	boots    int
	pace     time.Duration // between two events
	runs     map[string]*run
	handles  atomic.Int64
	// serve, if set, answers a request in place of the usual answer. It returns false to have the
	// usual one.
	serve func(x *runner, w http.ResponseWriter, r *http.Request) bool
	// onRun, if set, is called when a run begins. It returns false if the runner has crashed.
	onRun func(x *runner, r *http.Request) bool
}

// run is a request that is being run.
type run struct {
	tokens, events int
}

// addRunner starts a runner on its own address and lists it.
func (l *lab) addRunner(number int, service, stage string) (*runner, error) {
	x := &runner{
		l: l, id: fmt.Sprintf("i-%s-%d", service, number), ip: fmt.Sprintf("127.4.0.%d", number), zone: l.zones[number%len(l.zones)],
		service: service, stage: stage, version: "v1", pace: 8 * time.Millisecond, runs: make(map[string]*run),
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(x.ip, "0"))
	if err != nil {
		return nil, err
	}
	x.addr = listener.Addr().String()
	x.begin(listener)
	l.mu.Lock()
	l.runners = append(l.runners, x)
	l.mu.Unlock()

	return x, nil
}

func (x *runner) begin(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(x.handle)}
	x.mu.Lock()
	x.server, x.up, x.born = server, true, time.Now().UnixMilli()
	x.sequence, x.runs = 0, make(map[string]*run)
	x.boots++
	x.mu.Unlock()
	go server.Serve(listener)
}

// stop ends the runner at once: its connections break and nothing listens. It returns false if the
// runner is down already.
func (x *runner) stop() bool {
	x.mu.Lock()
	server, up := x.server, x.up
	x.up = false
	x.mu.Unlock()
	if up {
		server.Close()
	}

	return up
}

// restart starts the runner again at its address after a time, under its id.
func (x *runner) restart(after time.Duration) error {
	time.Sleep(after)
	var err error
	for range 100 {
		if x.l.isClosing() {
			return nil
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", x.addr); err == nil {
			x.begin(listener)

			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}

	return err
}

// listed returns the entry of the runner in the infrastructure's list.
func (x *runner) listed() map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	state := "ready"
	if x.draining {
		state = "draining"
	}
	entry := map[string]any{
		"id": x.id, "service": x.service, "address": x.addr, "zone": x.zone, "version": x.version, "slots": 64, "state": state,
		"cold_remaining_ms": 0, "born": x.born,
	}
	if x.stage != "" {
		entry["stage"] = x.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	} else {
		entry["slots"] = 6
	}

	return entry
}

func (x *runner) setServe(serve func(x *runner, w http.ResponseWriter, r *http.Request) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.serve = serve
}

// promptTokens and outputTokens return what a request states in X-Damasklever-Token-Usage.
func promptTokens(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get("X-Damasklever-Token-Usage"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)

	return prompt, output
}

func (x *runner) handle(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	serve, draining := x.serve, x.draining
	x.mu.Unlock()
	if serve != nil && serve(x, w, r) {
		return
	}
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	id := r.Header.Get("X-Damasklever-Request-Id")
	if id != "" {
		w.Header().Set("X-Damasklever-Request-Id", id)
	}
	if target := r.Header.Get("X-Damasklever-Target-Instance"); target != "" && target != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	switch {
	case r.URL.Path == "/damasklever/report" && x.stage != "":
		x.writeReport(w)
	case strings.HasPrefix(r.URL.Path, "/damasklever/kv-handle/"), strings.HasPrefix(r.URL.Path, "/damasklever/hold-drop/"):
	case r.URL.Path == "/damasklever/order":
		x.takeOrder(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("X-Damasklever-Instance-Id", x.id)
	case id == "":
		w.Header().Set("X-Damasklever-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		x.answer(w, r, id)
	}
}

func (x *runner) writeReport(w http.ResponseWriter) {
	x.mu.Lock()
	used, runs := 0, []any{}
	for id, u := range x.runs {
		used += u.tokens
		runs = append(runs, []any{id, u.tokens, u.events, 5})
	}
	doc := map[string]any{
		"stage": x.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": x.sequence,
		"waiting": 0, "running": len(x.runs), "kv_used": used, "kv_total": 66998, "handles": 0, "born": x.born, "runs": runs, "state": "ready",
	}
	x.mu.Unlock()
	writeJSON(w, doc)
}

// takeOrder answers an order. It carries none out: the deployment has too few runners.
func (x *runner) takeOrder(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	x.l.note("order at %s: %s", x.id, text)
	w.WriteHeader(http.StatusConflict)
}

// answer runs a request, or processes its prompt.
func (x *runner) answer(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	prompt, output := promptTokens(r)
	switch {
	case r.Header.Get("X-Damasklever-Stage") == "prefill" && x.stage == "prefill":
		time.Sleep(time.Duration(prompt/55) * time.Millisecond)
		writeJSON(w, map[string]any{"transfer_handle": fmt.Sprintf("h%d", x.handles.Add(1)), "tokens": prompt, "version": 1})

		return
	case r.Header.Get("X-Damasklever-Stage") == "prefill", x.stage == "prefill":
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	if x.onRun != nil && !x.onRun(x, r) {
		panic(http.ErrAbortHandler) // no answer
	}
	w.Header().Set("X-Damasklever-Server-Signature", "proof-"+x.id+"-"+id)
	if x.stage == "" {
		time.Sleep(30 * time.Millisecond)
		io.WriteString(w, r.Method+" "+r.RequestURI+" "+string(body))

		return
	}
	x.stream(w, r, id, prompt, output)
}

// stream writes the events of an answer, from the one after Last-Event-Id on.
func (x *runner) stream(w http.ResponseWriter, r *http.Request, id string, prompt, output int) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	u := &run{tokens: prompt}
	x.mu.Lock()
	x.runs[id] = u
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.runs, id)
		x.mu.Unlock()
	}()
	if r.Header.Get("X-Damasklever-Kv-Source") == "" {
		time.Sleep(time.Duration(prompt/27) * time.Millisecond)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Damasklever-Weight-Versions", "1")
	for event := first; event <= max(output/2, 1); event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(x.pace):
		}
		x.mu.Lock()
		u.tokens, u.events = u.tokens+1, event
		x.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d of %s.\n\n", event, x.version, event, id); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
	}
}
