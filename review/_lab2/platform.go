// Command lab2 plays small deployments on loopback addresses: it starts the project's own
// programs as separate processes, and stands in for the platform, the servers, the clients and
// the operator. The cases in review/6 to review/10 use it.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits and bounds of the site file guild-lever, as its machines and SYSTEM.md give them.
const (
	frontMemoryMB = 134
	sideMemoryMB  = 216
	maxFiles      = 4100
	restartDelay  = 500 * time.Millisecond
	sampleTime    = 5 * time.Millisecond
)

// machine is a machine of the deployment. Each has a loopback address of its own.
type machine struct {
	ip, zone string
}

// lab is one deployment.
type lab struct {
	dir      string
	node     string // path of the program under test
	base     int    // first internal port
	began    time.Time
	zones    []string
	list     *http.Server
	listAddr string
	fronts   []machine
	seeds    []string

	mu      sync.Mutex
	record  *os.File
	runners []*runner
	procs   []*proc
	closing bool
}

// coreFronts is the number of front machines with a disk, the first of each zone, and frontCount that
// of all.
const (
	coreFronts = 3
	frontCount = 8
)

// newLab prepares a deployment of three zones in three regions.
func newLab(recordPath string) (*lab, error) {
	dir, err := os.MkdirTemp("", "lab2")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	node, err := filepath.Abs("target/node")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, node: node, began: time.Now(), record: record, zones: []string{"z1", "z2", "z3"}}
	if l.base, err = freePorts(); err != nil {
		return nil, err
	}
	for i, zone := range l.zones {
		m := machine{ip: fmt.Sprintf("127.3.0.%d", i+1), zone: zone}
		l.fronts = append(l.fronts, m)
		l.seeds = append(l.seeds, net.JoinHostPort(m.ip, strconv.Itoa(l.base+13)))
	}
	listener, err := net.Listen("tcp", "127.3.1.1:0")
	if err != nil {
		return nil, err
	}
	l.listAddr = listener.Addr().String()
	l.list = &http.Server{Handler: http.HandlerFunc(l.serveList)}
	go l.list.Serve(listener)

	return l, nil
}

// freePorts returns the first of 16 ports that are free on all addresses of the front machines.
func freePorts() (int, error) {
	for range 100 {
		probe, err := net.Listen("tcp", "127.3.0.1:0")
		if err != nil {
			return 0, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		probe.Close()
		if port > 65000 {
			continue
		}
		free := true
		for offset := 0; offset < 16 && free; offset++ {
			for i := 1; i <= frontCount && free; i++ {
				held, err := net.Listen("tcp", fmt.Sprintf("127.3.0.%d:%d", i, port+offset))
				if free = err == nil; free {
					held.Close()
				}
			}
		}
		if free {
			return port, nil
		}
	}

	return 0, fmt.Errorf("no free ports")
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// serveList serves the infrastructure's list of runners.
func (l *lab) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	l.mu.Lock()
	entries := []any{}
	for _, x := range l.runners {
		if entry := x.listed(); entry != nil {
			entries = append(entries, entry)
		}
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
}

// proc is a process of the deployment. The platform starts it again when it ends.
type proc struct {
	l           *lab
	name, role  string
	settings    string
	memoryMB    int
	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{}
	peakMB      float64
	overMemory  int  // how often it was killed because it used more than memoryMB
	ended       int  // how often it ended by itself otherwise
	down        bool // ended by the test
	pausedWatch bool
}

// start starts a process of a role on a machine.
func (l *lab) start(role string, m machine, more map[string]any) (*proc, error) {
	name := role + "-" + m.ip
	memory := frontMemoryMB
	if role == "agent" {
		memory = sideMemoryMB
	}
	settings := map[string]any{
		"node_name": name, "role": role, "ip": m.ip, "zone": m.zone, "region": "r-" + m.zone,
		"zones":          map[string]string{"z1": "r-z1", "z2": "r-z2", "z3": "r-z3"},
		"internal_ports": []int{l.base, l.base + 10}, "seeds": l.seeds, "bootstrap": role == "control", "loss_counts": role == "control",
		"limits":    map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": memory, "max_fds": maxFiles, "link_mbps": 1000.0, "disk_mb": 64},
		"discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200, "config_mode": "highest",
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2500, "downgrade_ms": 250, "max_skew_ms": 6000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"retry_budget_slack": 60, "recovery_s": 12, "transit_ms": 250, "reuse_window_s": 6.9, "require_fencing": true, "lease_ms": 3000,
			"thaw_ms": 300,
		},
		"cloud": map[string]any{"address": l.listAddr, "rate_per_s": 42.0, "duties": []string{}, "lag_ms": 800},
	}
	for key, value := range more {
		settings[key] = value
	}
	text, err := json.MarshalIndent(settings, "", " ") // JSON is valid YAML
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.dir, name+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	p := &proc{l: l, name: name, role: role, settings: file, memoryMB: memory}
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()

	return p, p.run()
}

// run starts the process with the command of the deploy file.
func (p *proc) run() error {
	log, err := os.OpenFile(filepath.Join(p.l.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.l.node, p.role)
	cmd.Env = append(os.Environ(), "DAMASKLEVER_SETTINGS="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.exited, p.down = cmd, make(chan struct{}), false
	exited := p.exited
	p.mu.Unlock()
	p.l.note("started %s, pid %d", p.name, cmd.Process.Pid)
	over := make(chan struct{})
	go p.watchMemory(cmd, exited, over)
	go func() {
		cmd.Wait()
		log.Close()
		close(exited)
		p.ends(cmd, over)
	}()

	return nil
}

// ends starts the process again, as the platform does, unless the test has ended it.
func (p *proc) ends(cmd *exec.Cmd, over chan struct{}) {
	p.mu.Lock()
	down := p.down
	wasOver := false
	select {
	case <-over:
		wasOver = true
		p.overMemory++
	default:
		if !down {
			p.ended++
		}
	}
	p.mu.Unlock()
	if down || p.l.isClosing() {
		return
	}
	if !wasOver {
		p.l.note("%s ended by itself: %v", p.name, cmd.ProcessState)
	}
	time.Sleep(restartDelay)
	if !p.l.isClosing() {
		p.run()
	}
}

func (l *lab) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.closing
}

// watchMemory does what the platform does: a process that uses more than memory_mb is killed. Only
// the anonymous memory of the process is counted, neither the program nor buffers of sockets.
func (p *proc) watchMemory(cmd *exec.Cmd, exited, over chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(sampleTime):
		}
		used := anonymousMB(cmd.Process.Pid)
		p.mu.Lock()
		p.peakMB = max(p.peakMB, used)
		p.mu.Unlock()
		if used > float64(p.memoryMB) {
			close(over)
			p.l.note("killed %s: it uses %.0f MB of %d", p.name, used, p.memoryMB)
			cmd.Process.Kill()

			return
		}
	}
}

// anonymousMB returns RssAnon of a process in MB.
func anonymousMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)

			return kb / 1024
		}
	}

	return 0
}

// signal sends a signal to the process.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(s)
}

// end ends the process with a signal and waits. It is not started again.
func (p *proc) end(s syscall.Signal) {
	p.mu.Lock()
	p.down = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	cmd.Process.Signal(s)
	<-exited
}

// startCore starts a control host and an entry on each front machine.
func (l *lab) startCore() (controls, entries []*proc, err error) {
	for i, m := range l.fronts {
		p, err := l.start("control", m, map[string]any{
			"machine_class": "front", "serves": []string{"control"}, "listen": map[string]string{"control": l.seeds[i]}, "data_dir": filepath.Join(l.dir, "data-"+m.ip),
		})
		if err != nil {
			return nil, nil, err
		}
		controls = append(controls, p)
	}
	for _, m := range l.fronts {
		p, err := l.startEntry(m)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, p)
	}

	return controls, entries, nil
}

func (l *lab) startEntry(m machine) (*proc, error) {
	return l.start("entry", m, map[string]any{
		"machine_class": "front", "serves": []string{"front"},
		"listen": map[string]string{"front": l.frontAddr(m), "ready": net.JoinHostPort(m.ip, strconv.Itoa(l.base+12))},
	})
}

// addFronts starts entries on front machines without a disk, up to frontCount machines in all.
func (l *lab) addFronts() (entries []*proc, err error) {
	for i := coreFronts; i < frontCount; i++ {
		m := machine{ip: fmt.Sprintf("127.3.0.%d", i+1), zone: l.zones[i%len(l.zones)]}
		p, err := l.startEntry(m)
		if err != nil {
			return nil, err
		}
		l.fronts, entries = append(l.fronts, m), append(entries, p)
	}

	return entries, nil
}

func (l *lab) frontAddr(m machine) string { return net.JoinHostPort(m.ip, strconv.Itoa(l.base+11)) }

// startAgent starts the agent beside a runner.
func (l *lab) startAgent(x *runner) (*proc, error) {
	return l.start("agent", machine{ip: x.ip, zone: x.zone}, map[string]any{
		"machine_class": "side", "serves": []string{"side"}, "app": x.addr, "listen": map[string]string{},
	})
}

// close ends everything that was started.
func (l *lab) close() {
	l.mu.Lock()
	l.closing = true
	procs, runners := l.procs, l.runners
	l.mu.Unlock()
	for _, p := range procs {
		p.end(syscall.SIGKILL)
	}
	for _, x := range runners {
		x.stop()
	}
	l.list.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", l.dir)
	}
	l.record.Close()
}

// httpClient opens a connection for each request.
func httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
}

// operate sends a request to the operator's API, to one control host after the other until one has
// answered with a status below 500, for at most the given time.
func (l *lab) operate(method, path string, body []byte, within time.Duration) (status int, text []byte) {
	client := httpClient(time.Second)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, addr := range l.seeds {
			r, err := http.NewRequestWithContext(context.Background(), method, "http://"+addr+path, bytes.NewReader(body))
			if err != nil {
				return 0, nil
			}
			response, err := client.Do(r)
			if err != nil {
				continue
			}
			text, err = io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil && response.StatusCode < http.StatusInternalServerError {
				return response.StatusCode, text
			}
		}
	}

	return 0, nil
}

// routes are the routes of the deployment, by the kind of request.
var routes = map[string]string{"stream": "/notes/", "once": "/firm/", "unsafe": "/book/", "safe": "/roster/"}

// configuration returns a configuration like that of the page.
func configuration(version int) []byte {
	route := func(name, kind, prefix, service string, timeout int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 1000,
			"priority": 1, "service": service, "max_attempts": 2,
		}
		for key, value := range more {
			r[key] = value
		}

		return r
	}
	stream := map[string]any{"sticky_sessions": true, "resumable": true, "target_gap_ms": 300, "priority": 0}
	once := map[string]any{"sticky_sessions": true, "resumable": false, "target_gap_ms": 300, "priority": 2}
	c := map[string]any{
		"version": version,
		"routes": []any{
			route("r-notes", "stream", "/notes/", "desk", 14000, stream), route("r-firm", "stream", "/firm/", "desk", 14000, once),
			route("r-book", "unsafe", "/book/", "booking", 1500, nil), route("r-roster", "safe", "/roster/", "booking", 1500, nil),
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": 380, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 66998, "kv_token_bytes": 327680, "link_mbps": 3800000.0, "moves": true, "backups": true, "stride": 11, "most": 12,
				"handle_ttl_s": 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "booking", "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}

	return text
}
