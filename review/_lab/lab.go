// Command lab plays the script cases of the review. It starts the project's processes with the
// commands of the deploy file on loopback addresses, beside stand-ins for the platform's host
// list, the runners, the operator and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site guild-lever.
const (
	listLag     = 800 * time.Millisecond
	memoryMB    = 134
	sideMB      = 216
	servicePort = 8080
	maxRun      = 115 * time.Second
)

var zones = []string{"kochi-a", "thrissur-a", "kozhikode-a"}

var regions = map[string]string{"kochi-a": "kochi", "thrissur-a": "thrissur", "kozhikode-a": "kozhikode"}

// lab is one small deployment.
type lab struct {
	dir     string
	node    string // path of the project's binary
	network int    // second byte of all addresses
	port    int    // first internal port
	record  *os.File
	start   time.Time
	trouble bool

	mu    sync.Mutex
	procs []*process
	seeds []string
	list  *hostList
}

// process is a running process of the project.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newLab(record string) *lab {
	l := &lab{network: 64 + rand.Intn(160), trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if l.record, err = os.Create(record); err != nil {
		l.giveUp("create record: %v", err)
	}
	if l.node, err = filepath.Abs("target/node"); err != nil {
		l.giveUp("find the build: %v", err)
	}
	if _, err := os.Stat(l.node); err != nil {
		l.giveUp("no build: %v", err)
	}
	if l.dir, err = os.MkdirTemp("", "review-"); err != nil {
		l.giveUp("create folder: %v", err)
	}
	l.port = freePort(l.hostIP(1))
	for host := 1; host <= 3; host++ {
		l.seeds = append(l.seeds, net.JoinHostPort(l.hostIP(host), strconv.Itoa(l.port+13)))
	}
	l.list = newHostList(l.ip(9, 9))
	l.logf("disruption: %v", l.trouble)
	time.AfterFunc(maxRun, func() { l.giveUp("not done after %v", maxRun) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { l.giveUp("stopped by %v", <-stop) }()

	return l
}

// freePort returns the first of 16 ports that are probably free.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 7380
	}
	defer listener.Close()

	return min(listener.Addr().(*net.TCPAddr).Port, 65000)
}

func (l *lab) ip(group, host int) string { return fmt.Sprintf("127.%d.%d.%d", l.network, group, host) }

func (l *lab) hostIP(host int) string { return l.ip(1, host) }

func (l *lab) runnerIP(host int) string { return l.ip(2, host) }

func zoneOf(host int) string { return zones[(host-1)%len(zones)] }

// logf writes a line to the record.
func (l *lab) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	l.mu.Lock()
	defer l.mu.Unlock()
	io.WriteString(l.record, line)
}

// giveUp ends the lab because the case could not run.
func (l *lab) giveUp(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if l.record != nil {
		l.logf("could not run: %s", text)
	}
	fmt.Fprintln(os.Stderr, "could not run:", text)
	l.close(2)
}

// close ends all processes and exits with a status.
func (l *lab) close(status int) {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.done
	}
	if l.dir != "" {
		if os.Getenv("KEEP_LOGS") == "" {
			os.RemoveAll(l.dir)
		} else {
			fmt.Fprintln(os.Stderr, "logs:", l.dir)
		}
	}
	os.Exit(status)
}

// verdict ends the lab with the result of the check.
func (l *lab) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	status, word := 0, "held"
	if broken {
		status, word = 1, "BROKEN"
	}
	l.logf("%s: %s", word, text)
	fmt.Println(word+":", text)
	l.close(status)
}

// run starts a process of a role with settings as DEPLOY.md lists them.
func (l *lab) run(role, ip string, host int, serves []string, listen map[string]string, app string, bootstrap bool, memory float64) *process {
	name := role + "-" + strconv.Itoa(host)
	zone := zoneOf(host)
	settings := map[string]any{
		"node_name": name, "role": role, "machine_class": "front", "serves": serves, "ip": ip, "zone": zone, "region": regions[zone],
		"zones": regions, "listen": listen, "internal_ports": []int{l.port, l.port + 15}, "seeds": l.seeds, "bootstrap": bootstrap,
		"loss_counts": role == "control", "data_dir": filepath.Join(l.dir, "data-"+name),
		"limits":    map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": memory, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 64},
		"discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2500, "downgrade_ms": 250, "max_skew_ms": 6000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "retry_budget_slack": 60, "recovery_s": 12, "transit_ms": 250, "reuse_window_s": 6.9,
			"require_fencing": true, "lease_ms": 3000, "thaw_ms": 300,
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": l.list.addr, "rate_per_s": 42.0, "duties": []string{}, "lag_ms": 800},
	}
	if app != "" {
		settings["app"] = app
		settings["machine_class"] = "side"
	}
	text, err := json.Marshal(settings) // JSON is valid YAML.
	if err != nil {
		l.giveUp("settings of %s: %v", name, err)
	}
	file := filepath.Join(l.dir, name+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		l.giveUp("settings of %s: %v", name, err)
	}
	out, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		l.giveUp("log of %s: %v", name, err)
	}
	cmd := exec.Command(l.node, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKLEVER_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		l.giveUp("start %s: %v", name, err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		out.Close()
		close(p.done)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.logf("started %s (pid %d)", name, cmd.Process.Pid)

	return p
}

// startHosts starts a control process and an entry on each of three hosts.
func (l *lab) startHosts() (controls, entries []*process) {
	for host := 1; host <= 3; host++ {
		controls = append(controls, l.run("control", l.hostIP(host), host, []string{"control"},
			map[string]string{"control": l.seeds[host-1]}, "", true, memoryMB))
		entries = append(entries, l.startEntry(host))
	}

	return controls, entries
}

func (l *lab) startEntry(host int) *process {
	return l.run("entry", l.hostIP(host), host, []string{"front"}, map[string]string{
		"front": l.front(host), "ready": net.JoinHostPort(l.hostIP(host), strconv.Itoa(l.port+12)),
	}, "", false, memoryMB)
}

// startAgent starts the agent beside a runner.
func (l *lab) startAgent(host int, r *runner) *process {
	return l.run("agent", l.runnerIP(host), host, []string{"side"}, map[string]string{}, r.addr, false, sideMB)
}

func (l *lab) front(host int) string {
	return net.JoinHostPort(l.hostIP(host), strconv.Itoa(l.port+11))
}

// operator sends a configuration to the control hosts in turn until one acknowledges it.
func (l *lab) operator(configuration map[string]any) {
	text, err := json.Marshal(configuration)
	if err != nil {
		l.giveUp("configuration: %v", err)
	}
	client := &http.Client{Timeout: time.Second}
	for try := range 40 {
		response, err := client.Post("http://"+l.seeds[try%3]+"/damasklever/Config.Replace", "application/json", bytes.NewReader(text))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				l.logf("configuration %v acknowledged by %s", configuration["version"], l.seeds[try%3])

				return
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	l.giveUp("no control host acknowledged the configuration")
}

// waitReady waits until all entries report that they are ready.
func (l *lab) waitReady() {
	client := &http.Client{Timeout: time.Second}
	for host := 1; host <= 3; host++ {
		url := "http://" + net.JoinHostPort(l.hostIP(host), strconv.Itoa(l.port+12)) + "/damasklever/ready"
		for try := 0; ; try++ {
			response, err := client.Get(url)
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if try == 80 {
				l.giveUp("entry %d does not become ready", host)
			}
			time.Sleep(250 * time.Millisecond)
		}
	}
	l.logf("all entries are ready")
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
	out := map[string]any{
		"name": name, "host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
		"priority": 1, "service": service, "max_attempts": attempts,
	}
	if kind == "stream" {
		out["sticky_sessions"], out["resumable"], out["target_gap_ms"] = true, resumable, 300
	}

	return out
}

func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": "summary-desk", "health_path": "/health", "max_connections": 380, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_cache_tokens": 66998, "kv_token_bytes": 327680, "link_mbps": 3800000.0, "moves": true, "backups": true,
					"stride": 11, "most": 12, "handle_ttl_s": 0.5, "stage_switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "booking-desk", "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// hostList is the platform's list of runners. It shows each state listLag after it began.
type hostList struct {
	addr string
	mu   sync.Mutex
	past []listState
}

type listState struct {
	at      time.Time
	entries []any
}

func newHostList(ip string) *hostList {
	h := &hostList{past: []listState{{at: time.Time{}, entries: []any{}}}}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "host list:", err)
		os.Exit(2)
	}
	h.addr = listener.Addr().String()
	go http.Serve(listener, h)

	return h
}

// set makes the entries the state of the list from now on.
func (h *hostList) set(entries ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.past = append(h.past, listState{time.Now(), entries})
}

// ServeHTTP answers GET /instances.
func (h *hostList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	var shown []any
	for _, s := range h.past {
		if time.Since(s.at) >= listLag {
			shown = s.entries
		}
	}
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"instances": shown, "next": nil})
}

// stacks ends a process with SIGQUIT and copies the goroutines that wait for a lock into the record.
func (l *lab) stacks(p *process, host int) {
	p.cmd.Process.Signal(syscall.SIGQUIT)
	<-p.done
	text, err := os.ReadFile(filepath.Join(l.dir, "entry-"+strconv.Itoa(host)+".log"))
	if err != nil {
		return
	}
	seen := make(map[string]bool)
	for _, stack := range strings.Split(string(text), "\n\n") {
		if !strings.HasPrefix(stack, "goroutine ") || !strings.Contains(stack, "sync.(*Mutex).Lock") {
			continue
		}
		var calls []string
		for _, line := range strings.Split(stack, "\n") {
			if name, _, ok := strings.Cut(line, "("); ok && strings.Contains(line, "damasklever/internal/") && !strings.HasPrefix(line, "\t") {
				_ = name
				calls = append(calls, line[strings.LastIndex(line[:strings.LastIndex(line, "(")], "/")+1:strings.LastIndex(line, "(")])
			}
		}
		key := strings.Join(calls, " < ")
		if !seen[key] {
			seen[key] = true
			l.logf("a goroutine waits for a lock: %s", key)
		}
	}
}
