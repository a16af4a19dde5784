// Command lab3 plays the scripted cases of the third review: it starts the project's own processes
// on loopback addresses, with small stand-ins for the platform, its servers and its clients.
//
//	lab3 CASE FOLDER
//
// It runs in the repository, writes record.txt in the folder of the case, and exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// outcome of a case.
type outcome int

const (
	held     outcome = 0
	broken   outcome = 1
	unplayed outcome = 2
)

var cases = map[string]func(*lab, bool) (outcome, string){
	"reports": endlessReports,
	"http10":  chunksOfHTTP10,
	"limits":  raisedLimit,
	"part":    badPartUnframed,
	"fresh":   outageAfterRoll,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		os.Exit(int(unplayed))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, folder string) outcome {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return unplayed
	}
	l, err := newLab(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return unplayed
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", name, trouble)
	// Whatever hangs, or if the script is ended, the processes are ended too.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-ended:
		case <-time.After(110 * time.Second):
		}
		rec.printf("gave up")
		l.close()
		os.Exit(int(unplayed))
	}()
	result, text := cases[name](l, trouble)
	rec.printf("%s", text)
	fmt.Println([]string{"held:", "BROKEN:", "could not run:"}[result], text)

	return result
}
