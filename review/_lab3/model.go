package main

import (
	"bufio"
	"encoding/json"
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

// modelServer is a sound model server. Its streams come with neither a length nor chunks and end with
// their channels, as the news page allows, or in chunks.
type modelServer struct {
	lab                *lab
	id, address, stage string
	onRun              func(x *modelServer, prompt string) bool // false if the server has crashed
	chunked            bool                                     // its streams come in chunks
	pace               time.Duration                            // between two events
	handles            atomic.Int64
	mu                 sync.Mutex
	listener           net.Listener
	lost               bool // it could not start again
	conns              map[net.Conn]bool
	running            map[string]int // memory by request
	born               int64
}

func (l *lab) newModelServer(n int, stage string) (*modelServer, error) {
	x := &modelServer{lab: l, id: fmt.Sprintf("m-%d", n), stage: stage, address: net.JoinHostPort(serverIP(n), "0"), pace: 8 * time.Millisecond}

	return x, x.start()
}

func (x *modelServer) start() error {
	listener, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.address, x.listener, x.born = listener.Addr().String(), listener, time.Now().UnixMilli()
	x.conns, x.running = make(map[net.Conn]bool), make(map[string]int)
	x.mu.Unlock()
	x.lab.list.set(x.id, map[string]any{
		"id": x.id, "service": "summary", "address": x.address, "zone": "kochi-a", "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "born": x.born, "stage": x.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns[conn] = true
			x.mu.Unlock()
			go x.serve(conn)
		}
	}()

	return nil
}

// restart starts the server again after it has crashed.
func (x *modelServer) restart() {
	err := x.start()
	x.lab.record.printf("server %s is back, error: %v", x.id, err)
	x.mu.Lock()
	x.lost = x.lost || err != nil
	x.mu.Unlock()
}

// isLost reports whether the server could not start again, so that the case can't be judged.
func (x *modelServer) isLost() bool {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.lost
}

// crash breaks all channels of the server. It returns false if the server is down already.
func (x *modelServer) crash() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener == nil {
		return false
	}
	_ = x.listener.Close()
	x.listener = nil
	for conn := range x.conns {
		_ = conn.Close()
	}

	return true
}

func (x *modelServer) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		x.mu.Lock()
		delete(x.conns, conn)
		x.mu.Unlock()
	}()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !x.answer(conn, r) {
			return
		}
	}
}

// whole writes an answer with a length.
func whole(conn net.Conn, status int, id, extra string, body any) bool {
	text, _ := json.Marshal(body)
	if id != "" {
		extra += "X-Damasklever-Request-Id: " + id + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(text), extra, text)

	return err == nil
}

// answer answers one request. It returns false if the channel ends then.
func (x *modelServer) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Damasklever-Request-Id")
	prefill := r.Header.Get("X-Damasklever-Stage") == "prefill"
	target := r.Header.Get("X-Damasklever-Target-Instance")
	notRun := "X-Damasklever-Not-Executed: 1\r\n"
	switch {
	case target != "" && target != x.id:
		return whole(conn, http.StatusMisdirectedRequest, id, notRun, nil)
	case r.URL.Path == "/damasklever/report":
		return whole(conn, http.StatusOK, "", "", x.report())
	case r.URL.Path == "/damasklever/order":
		return whole(conn, http.StatusConflict, "", "", nil)
	case strings.HasPrefix(r.URL.Path, "/damasklever/"):
		return whole(conn, http.StatusOK, id, "", nil)
	case id == "":
		return whole(conn, http.StatusBadRequest, "", notRun, nil)
	case prefill != (x.stage == "prefill"):
		return whole(conn, http.StatusMisdirectedRequest, id, notRun, nil)
	}
	prompt, output := usage(r)
	if prefill {
		time.Sleep(time.Duration(prompt/55) * time.Millisecond)

		return whole(conn, http.StatusOK, id, "", map[string]any{"transfer_handle": fmt.Sprintf("%s%x", x.id, x.handles.Add(1)), "tokens": prompt, "version": 1})
	}
	if !x.onRun(x, r.Header.Get("X-Damasklever-Prompt-Prefix")) {
		return false
	}
	err := x.stream(conn, r, id, prompt, output)

	return err == nil && x.chunked
}

// usage returns the tokens of a prompt and the most tokens of its answer.
func usage(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get("X-Damasklever-Token-Usage"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)

	return prompt, output
}

// stream runs a request and writes its events.
func (x *modelServer) stream(conn net.Conn, r *http.Request, id string, prompt, output int) error {
	x.mu.Lock()
	x.running[id] = prompt
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.running, id)
		x.mu.Unlock()
	}()
	x.lab.record.printf("server %s runs %s", x.id, id)
	if r.Header.Get("X-Damasklever-Kv-Source") == "" {
		time.Sleep(time.Duration(prompt/27) * time.Millisecond)
	}
	framing := "Connection: close"
	if x.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nContent-Type: text/event-stream\r\nX-Damasklever-Request-Id: %s\r\nX-Damasklever-Server-Signature: sig.%s.%s\r\n\r\n", framing, id, x.id, id)
	for event := 1; event <= max(output/2, 1) && err == nil; event++ {
		time.Sleep(x.pace)
		text := fmt.Sprintf("id: %d\ndata: token %d of %s.\n\n", event, event, id)
		if x.chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err = io.WriteString(conn, text)
	}
	if err == nil && x.chunked {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}

	return err
}

func (x *modelServer) report() map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	used, runs := 0, []any{}
	for id, tokens := range x.running {
		used += tokens
		runs = append(runs, []any{id, tokens, 1, 5})
	}

	return map[string]any{
		"stage": x.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": len(runs), "kv_used": used, "kv_total": 66998, "handles": 0, "born": x.born, "state": "ready", "runs": runs,
	}
}
