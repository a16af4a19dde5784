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

// Limits of a wait in a session. They only bound a hang; no result depends on
// how long something took.
const (
	waitLimit = 20 * time.Second
	waitPause = 50 * time.Millisecond
)

// TestMain adds the stand-ins and the caller as commands of the sessions, each
// of which runs as a process of its own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"engine": engineMain,
		"plain":  plainMain,
		"caller": callerMain,
		"flood":  floodMain,
	})
}

// buildPrograms returns the folder of both programs, newly built.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, program := range []string{"damasklever", "damaskctl"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, program), "../"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}

	return folder
}

// Guards the whole path as separate processes: what callers and operators see
// is held in the golden files.
func TestSessions(t *testing.T) {
	programs := buildPrograms(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/session",
		// UPDATE=1 writes what was seen into the golden files.
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

// ports NAME... sets each variable to a free address on a random loopback host,
// which keeps it apart from the ports that other tests use on 127.0.0.1. All
// are kept open until all are chosen, so that they differ.
func ports(ts *testscript.TestScript, _ bool, args []string) {
	host := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), 1).String()
	for _, name := range args {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		ts.Check(err)
		defer l.Close()
		ts.Setenv(name, l.Addr().String())
	}
}

// await URL [PATTERN] waits until the answer has status 200 and matches the
// pattern. With "!" it waits until there is no such answer.
func await(ts *testscript.TestScript, neg bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	ticker := time.NewTicker(waitPause)
	defer ticker.Stop()
	pattern := regexp.MustCompile(strings.Join(args[1:], " "))
	for answered(ctx, args[0], pattern) == neg {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ts.Fatalf("%s: no answer with %q in %s", args[0], pattern, waitLimit)
		}
	}
}

func answered(ctx context.Context, url string, pattern *regexp.Regexp) bool {
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

// exits STATUS PROGRAM ARG... runs a program to its end and checks its exit
// status.
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

// sendSignal SIGNAL NAME... signals the background processes that were started
// with "--name NAME" or listen on that address.
func sendSignal(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args[1:] {
		found := false
		for _, cmd := range ts.BackgroundCmds() {
			if slices.Contains(cmd.Args, name) {
				found = true
				if args[0] == "STOP" {
					// A process that stays stopped after a failure would keep
					// the session from ending.
					time.AfterFunc(waitLimit, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
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
