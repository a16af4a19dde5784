package main

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/damasklever/damasklever/internal/wire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"damaskctl": main})
}

// Guards against unintended changes of the output: each file in testdata contains commands with
// their expected output.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			_, addr, stop := newFakeControl(t)
			e.Defer(stop)
			e.Setenv("DAMASK_CONTROL", addr)
			e.Setenv("DAMASK_WHO", "anu")

			return nil
		},
	})
}

// Guards against an exit status from which a script concludes wrongly that a change was made or
// was not made.
func TestExitStatus(t *testing.T) {
	outcome := func(o wire.Outcome) func(*fakeControl) {
		return func(c *fakeControl) {
			c.answerCommand = func(cmd *wire.Command) *wire.Result {
				return &wire.Result{Id: cmd.GetId(), Outcome: o, Text: "text"}
			}
		}
	}
	tests := map[string]struct {
		prepare func(c *fakeControl)
		args    string
		status  int
		err     string
	}{
		"done":               {nil, "run set rank master", 0, ""},
		"query":              {nil, "show ranks", 0, ""},
		"stale":              {func(c *fakeControl) { c.stale = true }, "show ranks", 0, "may be old"},
		"unreachable":        {nil, "--control 127.0.0.1:1 --timeout 300ms run set rank master", 1, "did not run"},
		"query, unreachable": {nil, "--control 127.0.0.1:1 --timeout 300ms show ranks", 1, "show ranks"},
		"no control":         {nil, "--control= show ranks", 2, "set --control or DAMASK_CONTROL"},
		"bad control":        {nil, "--control nowhere show ranks", 2, "want ip:port"},
		"flag":               {nil, "--colour show ranks", 2, "colour"},
		"flag value":         {nil, "--expect soon show ranks", 2, "expect"},
		"command":            {nil, "shwo ranks", 2, "unknown command"},
		"statement":          {nil, "run drain servers a", 2, "expected server"},
		"field":              {nil, "show ranks where lvl = 1", 2, "the known ones are: name, level"},
		"no file":            {nil, "apply missing.conf", 2, "missing.conf"},
		"two changes":        {nil, "--expect 1 run delete rank a; delete rank b", 2, "use damaskctl apply"},
		"conflict":           {nil, "--expect 9 run set rank master", 3, "conflict: expected revision 9"},
		"invalid":            {nil, "run delete rank master", 4, "does not exist"},
		"refused":            {outcome(wire.Outcome_OUTCOME_REFUSED), "--timeout 300ms run set rank master", 4, "did not run: text"},
		"pending":            {outcome(wire.Outcome_OUTCOME_PENDING), "--timeout 300ms --id x7 run set rank master", 5, "send it again with --id x7"},
		"no answer":          {func(c *fakeControl) { c.silent = true }, "--timeout 300ms --id x7 run set rank master", 5, "send it again with --id x7"},
		"no peer":            {nil, "run remove peer 7", 4, "no control host with number 7"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, addr, stop := newFakeControl(t)
			defer stop()
			if test.prepare != nil {
				test.prepare(c)
			}
			args := append([]string{"damaskctl", "--control", addr}, strings.Fields(test.args)...)
			if strings.HasPrefix(test.args, "--control") {
				args = append(args[:1], args[3:]...)
			}
			var out, errOut bytes.Buffer
			if got, want := run(t.Context(), args, strings.NewReader(""), &out, &errOut), test.status; got != want {
				t.Errorf("status: got %d, want %d\n%s%s", got, want, out.String(), errOut.String())
			}
			if got, want := errOut.String(), test.err; !strings.Contains(got, want) || (want == "") != (got == "") {
				t.Errorf("standard error: got %q, want it to contain %q", got, want)
			}
		})
	}
}

// Guards against a change that is made twice when the response of the first host is missing or
// pending: the second host must get the command with the same ID.
func TestResendKeepsID(t *testing.T) {
	one, first, stopOne := newFakeControl(t)
	defer stopOne()
	two, second, stopTwo := newFakeControl(t)
	defer stopTwo()
	one.answerCommand = func(cmd *wire.Command) *wire.Result {
		return &wire.Result{Id: cmd.GetId(), Outcome: wire.Outcome_OUTCOME_PENDING}
	}
	var out, errOut bytes.Buffer
	args := []string{"damaskctl", "--control", first + "," + second, "run", "set rank master"}
	if got, want := run(t.Context(), args, nil, &out, &errOut), 0; got != want {
		t.Fatalf("status: got %d, want %d: %s", got, want, errOut.String())
	}
	if len(one.commands) != 1 || len(two.commands) != 1 {
		t.Fatalf("commands: got %d and %d, want 1 and 1", len(one.commands), len(two.commands))
	}
	if got, want := two.commands[0].GetId(), one.commands[0].GetId(); got != want || got == "" {
		t.Errorf("id: got %q, want %q", got, want)
	}
}

// Guards against a replacement that removes the old host before the new one is added, or before
// it is a voter: until then the loss of one more host would leave no majority.
func TestReplacePeer(t *testing.T) {
	for name, test := range map[string]struct {
		learnerPolls int // queries until the new host is a voter
		status       int
		want         string
	}{
		"votes at once": {0, 0, "add 10.0.0.9:7100, remove 10.0.0.2:7100"},
		"votes later":   {3, 0, "add 10.0.0.9:7100, remove 10.0.0.2:7100"},
		"never votes":   {math.MaxInt, exitPending, "add 10.0.0.9:7100"},
	} {
		t.Run(name, func(t *testing.T) {
			c, addr, stop := newFakeControl(t)
			defer stop()
			c.learnerPolls = test.learnerPolls
			var out, errOut bytes.Buffer
			args := []string{"damaskctl", "--control", addr, "--timeout", "1s", "run", "replace peer 2 10.0.0.9:7100"}
			if got, want := run(t.Context(), args, nil, &out, &errOut), test.status; got != want {
				t.Fatalf("status: got %d, want %d: %s", got, want, errOut.String())
			}
			var got []string
			for _, cmd := range c.commands {
				if cmd.GetPeering().GetVerb() == "remove" && c.learnerPolls > 0 {
					t.Errorf("old host removed %d queries before the new host is a voter", c.learnerPolls)
				}
				got = append(got, cmd.GetPeering().GetVerb()+" "+cmd.GetPeering().GetAddr())
			}
			if got, want := strings.Join(got, ", "), test.want; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// Guards against a dump that apply rejects or that lacks a field: applied to an empty state, a
// dump must result in the same dump.
func TestDumpRoundTrip(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.conf")
	text := `set service notes limit=900 timeout=90s retention=48h
set service "desk" kind=plain body=64KiB routes="GET /roster idempotent, POST /slots once"
set rank master level=0 first=500ms gap=40ms floor=20% worth=9
set rule one order=3 caller=guild-* service=notes rank=master share=10% regions=kochi,thrissur
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var dumps []string
	for range 2 {
		_, addr, stop := newFakeControl(t)
		var out, errOut bytes.Buffer
		for _, args := range [][]string{{"apply", file}, {"dump"}, {"diff", file}} {
			out.Reset()
			args = append([]string{"damaskctl", "--control", addr}, args...)
			if got, want := run(t.Context(), args, nil, &out, &errOut), 0; got != want {
				t.Fatalf("%v: got %d, want %d: %s", args, got, want, errOut.String())
			}
			if args[3] == "dump" {
				dumps = append(dumps, out.String())
				if err := os.WriteFile(file, out.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		if got, want := out.String(), ""; got != want {
			t.Errorf("diff of a dump: got %q, want nothing", got)
		}
		stop()
	}
	if got, want := dumps[1], dumps[0]; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
