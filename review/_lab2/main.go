package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A test plays one case. It returns whether the rule was broken.
type test func(l *lab, trouble bool) (broken bool, err error)

var tests = map[string]test{}

func main() {
	if len(os.Args) != 3 || tests[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		os.Exit(exitNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		l.close()
		os.Exit(exitNotRun)
	}()
	broken, err := tests[os.Args[1]](l, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "lab2:", err)
		code = exitNotRun
	case broken:
		l.note("BROKEN")
		code = exitBroken
	default:
		l.note("held")
	}
	l.close()
	os.Exit(code)
}

func writeJSON(w http.ResponseWriter, doc any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(doc)
}
