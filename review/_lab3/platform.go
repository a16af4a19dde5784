package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{file: f, begin: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// hostList is the platform's list of servers.
type hostList struct {
	server *http.Server
	l      net.Listener

	mu      sync.Mutex
	entries map[string]map[string]any // by id
}

func newHostList() (*hostList, error) {
	l, err := net.Listen("tcp", "127.30.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &hostList{l: l, entries: make(map[string]map[string]any)}
	h.server = &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.Serve(l) }()

	return h, nil
}

func (h *hostList) addr() string { return h.l.Addr().String() }
func (h *hostList) close()       { _ = h.server.Close() }

// set adds or replaces an entry.
func (h *hostList) set(id string, entry map[string]any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries[id] = entry
}

// ServeHTTP implements http.Handler.
func (h *hostList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	instances := make([]any, 0, len(h.entries))
	for _, e := range h.entries {
		instances = append(instances, e)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next": nil})
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "error " + a.err.Error()
	}

	return fmt.Sprintf("%d %q", a.status, a.body[:min(len(a.body), 60)])
}

// call sends one request on a new channel.
func call(method, addr, host, path, body string, header map[string]string, limit time.Duration) answer {
	return callWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, method, addr, host, path, body, header, limit)
}

// callWith sends one request with a client, which may keep its channels.
func callWith(c *http.Client, method, addr, host, path, body string, header map[string]string, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)

	return answer{response.StatusCode, response.Header, string(text), err}
}

// configure sends a configuration to the control hosts in turn until one acknowledges it.
func (l *lab) configure(controls []*process, configuration string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, p := range controls {
			addr := p.settings["listen"].(map[string]string)["control"]
			got := call(http.MethodPost, addr, addr, "/damasklever/Config.Replace", configuration, map[string]string{"Content-Type": "application/json"}, 2*time.Second)
			l.record.printf("operator: configuration of %d bytes to %s: %v", len(configuration), p.name, got)
			if got.err == nil && got.status == http.StatusOK {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}

	return false
}

// awaitReady waits until an entry says that it is ready.
func (l *lab) awaitReady(p *process, limit time.Duration) bool {
	addr := p.settings["listen"].(map[string]string)["ready"]
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got := call(http.MethodGet, addr, addr, "/damasklever/ready", "", nil, time.Second); got.err == nil && got.status == http.StatusOK {
			return true
		}
	}

	return false
}
