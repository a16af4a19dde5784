// Package crowd_test brings crowds of clients that the operators do not control to the
// processes of the program. It checks only what does not depend on the speed of the machine.
package crowd_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/testlistener"
)

const (
	// hostMemory and openFiles are the limits that the processes are started with.
	hostMemory = 256 << 20 // bytes
	openFiles  = 512
	// maxOpenFiles leaves descriptors for the connections that a process opens itself.
	maxOpenFiles = openFiles - openFiles/8
	maxBody      = 4 << 20 // bytes, the default of the entry

	// waitTimeout only ends a hung test.
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

const configuration = `set rank drill level=0 first=20s gap=300ms
set service echo kind=plain timeout=20s body=4MiB routes="POST /echo idempotent, GET /large idempotent, GET /ordinary idempotent, GET /endless idempotent"
set rule all order=1 caller=* service=echo rank=drill
`

var programs string

// TestMain builds the programs.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	for _, program := range []string{"damasklever", "damaskctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "../../"+program)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s\n", program, err, out)

			return 1
		}
	}

	return m.Run()
}

// system is a control host, an agent beside a plain service, and an entry, each a process of
// its own.
type system struct {
	t         *testing.T
	addrs     map[string]string // listen and operations address by name
	processes map[string]*exec.Cmd
	exited    map[string]chan struct{}
	callers   *http.Client
}

// startSystem starts the processes with the limits of the test. It returns once a body of
// the maximum size has been served, so that only the crowd can be the cause of a failure.
func startSystem(t *testing.T) *system {
	t.Helper()

	return startSystemWith(t, testlistener.EndlessResponse{Begin: "HTTP/1.1 200 OK\r\n\r\n", Piece: "x"})
}

// startSystemWith is startSystem with a response that the plain service sends at /endless.
func startSystemWith(t *testing.T, endless testlistener.EndlessResponse) *system {
	t.Helper()
	s := &system{
		t: t, addrs: chooseAddrs(t, "control", "control-ops", "agent", "agent-ops", "entry", "entry-ops"),
		processes: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{},
		callers: &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.start("control", "--id", "1", "--data", t.TempDir())
	s.await("control-ops", "/readyz", "")
	file := filepath.Join(t.TempDir(), "crowd.conf")
	if err := os.WriteFile(file, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	s.ctl("apply", file)
	s.start("agent", "--service", "echo", "--phase", "plain", "--pieces", "4", "--backend", startBackend(t, endless), "--control", s.addrs["control"])
	s.start("entry", "--control", s.addrs["control"])
	s.await("entry-ops", "/dump", `"servers": 1`)
	s.await("entry-ops", "/readyz", "")
	if got, want := len(s.call(http.MethodPost, "/s/echo/echo", strings.Repeat("x", maxBody))), maxBody; got != want {
		t.Fatalf("body of the maximum size in calm: got %d bytes back, want %d", got, want)
	}

	return s
}

// startBackend starts a plain service, which returns the body of a request or, at /large,
// largeAnswer bytes and, at /endless, an endless response.
func startBackend(t *testing.T, endless testlistener.EndlessResponse) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	large := []byte(strings.Repeat("x", largeAnswer))
	server := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(large)

			return
		}
		if r.URL.Path == "/endless" {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				endless.Write(conn)
				_ = conn.Close()
			}

			return
		}
		_, _ = io.Copy(w, r.Body)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })

	return l.Addr().String()
}

// chooseAddrs returns free addresses on a random loopback host.
func chooseAddrs(t *testing.T, names ...string) map[string]string {
	t.Helper()
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), 1).String()
	addrs := map[string]string{}
	for _, name := range names {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		addrs[name] = l.Addr().String()
	}

	return addrs
}

func (s *system) start(role string, args ...string) {
	s.t.Helper()
	program := filepath.Join(programs, "damasklever")
	args = append([]string{
		"-c", fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", openFiles), program, role, "--name", role + "-1",
		"--region", "kochi", "--centre", "kochi-1", "--listen", s.addrs[role], "--ops", s.addrs[role+"-ops"],
	}, args...)
	cmd := exec.Command("sh", args...)
	cmd.Env = append(os.Environ(), "DAMASK_MEMORY="+strconv.Itoa(hostMemory))
	log, err := os.Create(filepath.Join(s.t.TempDir(), role+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	s.processes[role], s.exited[role] = cmd, exited
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
		if s.t.Failed() {
			s.t.Logf("end of the log of %s:\n%s", role, tail(log.Name()))
		}
		_ = log.Close()
	})
}

// tail returns the last lines of a file.
func tail(name string) string {
	const lines = 15
	data, _ := os.ReadFile(name)
	all := strings.Split(string(data), "\n")

	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// await waits until the response at an operations port has status 200 and contains text.
func (s *system) await(addr, path, text string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, body, err := s.send(ctx, http.MethodGet, "http://"+s.addrs[addr]+path, "")
		if err == nil && status == http.StatusOK && strings.Contains(body, text) {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.t.Fatalf("%s%s: got status %d, body %q, error %v, want status 200 with %q", addr, path, status, body, err, text)
		}
	}
}

// call sends one request to the entry. It sends a request that has not run again after the
// time in Retry-After, as the callers' page says.
func (s *system) call(method, path, body string) string {
	s.t.Helper()
	for began := time.Now(); ; {
		request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.addrs["entry"]+path, strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		response, err := s.callers.Do(request)
		if err != nil {
			s.t.Fatalf("%s %s: got error %v, want an answer", method, path, err)
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		after, again := strconv.Atoi(response.Header.Get("Retry-After"))
		switch {
		case err == nil && response.StatusCode == http.StatusOK:
			return string(answer)
		case again == nil && response.Header.Get("Damask-Outcome") == "not-run" && time.Since(began) < waitTimeout:
			<-time.After(time.Duration(after) * time.Second)
		default:
			s.t.Fatalf("%s %s: got status %d, error %v, %.200s, want status 200", method, path, response.StatusCode, err, answer)
		}
	}
}

func (s *system) send(ctx context.Context, method, url, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := s.callers.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)

	return response.StatusCode, string(answer), err
}

// ctl runs an operator's command.
func (s *system) ctl(args ...string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(programs, "damaskctl"), args...)
	cmd.Env = append(os.Environ(), "DAMASK_CONTROL="+s.addrs["control"])
	if out, err := cmd.CombinedOutput(); err != nil {
		s.t.Fatalf("damaskctl %v: got %v, want success: %s", args, err, out)
	}
}

// check checks, while the crowd is still there, that each process lives within its limits
// and that ordinary requests are answered.
func (s *system) check() {
	s.t.Helper()
	s.t.Logf("after the crowd: %s", s.usage())
	s.checkAlive()
	s.call(http.MethodGet, "/s/echo/ordinary", "")
	s.await("entry-ops", "/healthz", "ok")
	s.ctl("show", "services")
	s.checkAlive()
	s.t.Logf("after an ordinary request: %s", s.usage())
	for _, role := range []string{"control", "agent", "entry"} {
		if got := s.peakMemory(role); got > hostMemory {
			s.t.Errorf("peak memory of %s: got %d MiB, want at most %d MiB", role, got>>20, hostMemory>>20)
		}
		if got := s.descriptors(role); got > maxOpenFiles {
			s.t.Errorf("open descriptors of %s: got %d, want at most %d", role, got, maxOpenFiles)
		}
	}
}

func (s *system) checkAlive() {
	s.t.Helper()
	for role, exited := range s.exited {
		select {
		case <-exited:
			s.t.Fatalf("%s: got an exit, want a running process", role)
		default:
		}
	}
}

func (s *system) usage() string {
	var out []string
	for _, role := range []string{"control", "agent", "entry"} {
		out = append(out, fmt.Sprintf("%s peak %d MiB, %d descriptors", role, s.peakMemory(role)>>20, s.descriptors(role)))
	}

	return strings.Join(out, "; ")
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+([0-9]+) kB`)

// peakMemory returns the peak of the resident memory in bytes.
func (s *system) peakMemory(role string) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.processes[role].Process.Pid))
	match := peakPattern.FindSubmatch(status)
	if match == nil {
		s.t.Fatalf("%s: no peak memory in %q", role, status)
	}
	kilobytes, _ := strconv.ParseInt(string(match[1]), 10, 64)

	return kilobytes << 10
}

func (s *system) descriptors(role string) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.processes[role].Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}

	return len(entries)
}

// awaitRead waits until the kernel holds no bytes for connections to addr that the process
// has not read. A process may also leave bytes unread, so the end of the wait is no failure.
func awaitRead(t *testing.T, addr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for bytesInKernel(t, addr) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// listening is the state of a listening socket, whose queue counts connections.
const listening = "0A"

// bytesInKernel returns the bytes sent to addr that are in a queue of the kernel.
func bytesInKernel(t *testing.T, addr string) int64 {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(addr)
	ip := at.Addr().As4()
	end := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port())
	var sum int64
	for line := range strings.Lines(string(table)) {
		// The fields are number, local address, remote address, state, and send:receive queue.
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		sending, receiving, _ := strings.Cut(fields[4], ":")
		queue := ""
		switch end {
		case fields[1]:
			queue = receiving
		case fields[2]:
			queue = sending
		}
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		sum += bytes
	}

	return sum
}
