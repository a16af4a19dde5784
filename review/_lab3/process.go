package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one process of the project, started with a command of the deploy file.
type process struct {
	lab      *lab
	name     string
	role     string
	settings map[string]any
	file     string
	memoryMB int // limit in the settings

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	closed bool // it is not started any more
}

// writeSettings writes the settings file. JSON is valid YAML.
func (p *process) writeSettings() error {
	text, err := json.MarshalIndent(p.settings, "", " ")
	if err != nil {
		return err
	}

	return os.WriteFile(p.file, text, 0o600)
}

// start starts the process, unless the lab is closing.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.lab.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.lab.repository, "target", "node"), p.role)
	cmd.Dir = p.lab.repository
	cmd.Env = append(os.Environ(), "DAMASKLEVER_SETTINGS="+p.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()

	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}

	return p.cmd.Process.Pid
}

var errClosed = errors.New("the lab is closing")

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.kill()
}

// kill ends the process and waits for that.
func (p *process) kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-exited
}

// anonymousMB returns the anonymous memory of the process in MB, 0 if it does not run. It leaves
// out the program's file and the buffers of its sockets.
func (p *process) anonymousMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])

			return float64(kb) / 1024
		}
	}

	return 0
}

// lab is a small platform on loopback addresses.
type lab struct {
	dir        string // temporary folder
	repository string
	record     *record
	base       int // first internal port
	seeds      []string
	processes  []*process
	list       *hostList
}

// newLab returns a lab whose platform has no servers yet.
func newLab(rec *record) (*lab, error) {
	repository, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, repository: repository, record: rec}
	if l.base, err = freePorts(); err != nil {
		return nil, err
	}
	if l.list, err = newHostList(); err != nil {
		return nil, err
	}

	return l, nil
}

// freePorts returns the first of 16 ports that are free on the addresses of all machines. They are
// below those that the system gives to outgoing connections.
func freePorts() (int, error) {
	const first, count = 10000, 1300
	var ips []string
	for n := 1; n <= 9; n++ {
		ips = append(ips, controlIP(n), entryIP(n), serverIP(n))
	}
	for offset, begin := 0, rand.IntN(count); offset < count; offset++ {
		if base := first + 16*((begin+offset)%count); areFree(ips, base) {
			return base, nil
		}
	}

	return 0, errors.New("no free ports")
}

// areFree reports whether 16 ports are free on all addresses.
func areFree(ips []string, base int) bool {
	for port := base; port < base+16; port++ {
		for _, ip := range ips {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}

	return true
}

func (l *lab) close() {
	for _, p := range l.processes {
		p.close()
	}
	l.list.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}

// Ports of the platform, as offsets from the first internal port.
const (
	frontOffset   = 10
	readyOffset   = 11
	controlOffset = 12
)

func (l *lab) addr(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(l.base+offset))
}

// add adds a process that is not started yet. Its settings are those of the guild-lever site.
func (l *lab) add(role, ip, app string, memoryMB, files int, listen map[string]string) *process {
	name := role + "-" + ip
	p := &process{lab: l, name: name, role: role, memoryMB: memoryMB, file: filepath.Join(l.dir, name+".yaml")}
	p.settings = map[string]any{
		"node_name": name, "role": role, "machine_class": "front", "ip": ip, "zone": "kochi-a", "region": "kochi",
		"zones":  map[string]string{"kochi-a": "kochi", "thrissur-a": "thrissur", "kozhikode-a": "kozhikode"},
		"listen": listen, "internal_ports": []int{l.base, l.base + 9}, "seeds": l.seeds, "bootstrap": true, "loss_counts": role == "control",
		"limits":   map[string]any{"cpu_share": 0.72, "cores": 1, "memory_mb": memoryMB, "max_fds": files, "link_mbps": 1000.0, "disk_mb": 64},
		"data_dir": filepath.Join(l.dir, "data-"+name), "discovery": "cloud", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2500, "downgrade_ms": 250, "max_skew_ms": 6000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "retry_budget_slack": 60, "recovery_s": 12, "transit_ms": 250, "reuse_window_s": 6.9,
			"require_fencing": true, "lease_ms": 3000, "thaw_ms": 300,
		},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": l.list.addr(), "rate_per_s": 42.0, "duties": []string{}, "lag_ms": 800},
	}
	if app != "" {
		p.settings["app"] = app
	}
	l.processes = append(l.processes, p)

	return p
}

func controlIP(n int) string { return fmt.Sprintf("127.31.0.%d", n) }
func entryIP(n int) string   { return fmt.Sprintf("127.32.0.%d", n) }
func serverIP(n int) string  { return fmt.Sprintf("127.33.0.%d", n) }

// Limits of the machines of the guild-lever site.
const (
	frontMemoryMB = 134
	sideMemoryMB  = 216
	frontFiles    = 4100
	sideFiles     = 4096
)

// addControls adds control hosts. The first three are the seeds.
func (l *lab) addControls(n int) []*process {
	for host := 1; host <= min(n, 3); host++ {
		l.seeds = append(l.seeds, l.addr(controlIP(host), controlOffset))
	}
	var out []*process
	for host := 1; host <= n; host++ {
		ip := controlIP(host)
		out = append(out, l.add("control", ip, "", frontMemoryMB, frontFiles, map[string]string{"control": l.addr(ip, controlOffset)}))
	}

	return out
}

func (l *lab) addEntry(n int) *process {
	ip := entryIP(n)

	return l.add("entry", ip, "", frontMemoryMB, frontFiles, map[string]string{"front": l.addr(ip, frontOffset), "ready": l.addr(ip, readyOffset)})
}

func (l *lab) addAgent(n int, app string) *process {
	ip := serverIP(n)

	return l.add("agent", ip, app, sideMemoryMB, sideFiles, map[string]string{"inbound": l.addr(ip, frontOffset), "ready": l.addr(ip, readyOffset)})
}

func startAll(processes ...*process) error {
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}

	return nil
}

// restartLater starts a process again shortly after it was ended, as the platform does.
func restartLater(p *process) {
	time.Sleep(500 * time.Millisecond)
	p.mu.Lock()
	p.settings["bootstrap"] = false
	p.mu.Unlock()
	_ = p.start()
}
