package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// Limits for waits in the test scripts. They only end a hung test; no result depends on how
// long something took.
const (
	waitTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// TestMain adds the fake backend servers and the HTTP clients as commands for the test
// scripts. Each of them runs as a separate process.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"engine": engineMain,
		"plain":  plainMain,
		"caller": callerMain,
		"flood":  floodMain,
	})
}

// buildPrograms builds both programs and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, program := range []string{"damasklever", "damaskctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "../"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}

	return dir
}

// Tests all parts together as separate processes. The golden files contain the expected output
// for callers and operators.
func TestSessions(t *testing.T) {
	programs := buildPrograms(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/session",
		// UPDATE=1 updates the golden files with the actual output.
		UpdateScripts: os.Getenv("UPDATE") != "",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))

			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":  ports,
			"await":  await,
			"exits":  exits,
			"signal": sendSignal,
		},
	})
}

// ports NAME... sets each variable to a free address on a random loopback host, to avoid
// conflicts with other tests, which use ports on 127.0.0.1. All ports are kept open until the
// last one is chosen, so that they differ.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), 1).String()
	for _, name := range args {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		ts.Check(err)
		defer l.Close()
		ts.Setenv(name, l.Addr().String())
	}
}

// await URL [PATTERN] waits until the response has status 200 and a body that matches the
// pattern. With "!" it waits until there is no such response.
func await(ts *testscript.TestScript, neg bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	pattern := regexp.MustCompile(strings.Join(args[1:], " "))
	for responseMatches(ctx, args[0], pattern) == neg {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ts.Fatalf("%s: response did not match %q within %s", args[0], pattern, waitTimeout)
		}
	}
}

func responseMatches(ctx context.Context, url string, pattern *regexp.Regexp) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()

	return response.StatusCode == http.StatusOK && pattern.MatchString(readAll(response))
}

// exits STATUS PROGRAM ARG... runs a program and checks its exit status.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got, want := 0, args[0]
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("run %s: %v", args[1], err)
	}
	if strconv.Itoa(got) != want {
		ts.Fatalf("exit status: got %d, want %s", got, want)
	}
}

var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// sendSignal implements the command "signal SIGNAL NAME...". It signals the background processes
// that have NAME as an argument: the value of --name or the listen address.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		found := false
		for _, cmd := range ts.BackgroundCmds() {
			if slices.Contains(cmd.Args, name) {
				found = true
				if args[0] == "STOP" {
					// If the test fails, a process that stays stopped would prevent the
					// script from ending.
					time.AfterFunc(waitTimeout, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
				}
				if err := cmd.Process.Signal(signals[args[0]]); !errors.Is(err, os.ErrProcessDone) {
					ts.Check(err)
				}
			}
		}
		if !found {
			ts.Fatalf("no background process has the argument %s", name)
		}
	}
}
