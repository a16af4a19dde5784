package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

func init() { tests["endless"] = endless }

const (
	// calmTime is how long the deployment runs before the disruption, and troubleTime how long that
	// lasts.
	calmTime    = 12 * time.Second
	troubleTime = 85 * time.Second
	// maxOwnEnds is how often the processes of one machine may end by themselves (RULES.md, Fault).
	maxOwnEnds = 3
)

// endlessHead answers every request with a head that does not end until the caller closes.
func endlessHead(x *runner, w http.ResponseWriter, r *http.Request) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(troubleTime))
	started := time.Now()
	sent, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	lines := bytes.Repeat([]byte("a:\n"), 10<<10)
	for err == nil {
		var n int
		n, err = conn.Write(lines)
		sent += n
	}
	x.l.note("%s: %s %s from %s got %d bytes of a head in %v until the caller closed", x.id, r.Method, r.URL.Path, r.RemoteAddr, sent, time.Since(started).Round(time.Millisecond))

	return true
}

// startModels starts runners of the stages with their agents, the core and the entries, and puts the
// first configuration in force.
func (l *lab) startModels(stages ...string) (runners []*runner, controls, entries, agents []*proc, err error) {
	for number, stage := range stages {
		x, err := l.addRunner(number+1, "desk", stage)
		if err != nil {
			return nil, nil, nil, nil, err
		}
		a, err := l.startAgent(x)
		if err != nil {
			return nil, nil, nil, nil, err
		}
		runners, agents = append(runners, x), append(agents, a)
	}
	if controls, entries, err = l.startCore(); err != nil {
		return nil, nil, nil, nil, err
	}
	if status, text := l.operate(http.MethodPost, "/damasklever/Config.Replace", configuration(7), 20*time.Second); status != http.StatusOK {
		return nil, nil, nil, nil, fmt.Errorf("first configuration: status %d %s", status, text)
	}
	l.note("first configuration acknowledged")

	return runners, controls, entries, agents, nil
}

// nineStages are those of the nine model runners of the site.
var nineStages = []string{"prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode"}

// endless: two of nine model runners answer with heads that do not end. The platform kills a
// process that uses more than its memory.
func endless(l *lab, trouble bool) (bool, error) {
	runners, controls, entries, agents, err := l.startModels(nineStages...)
	if err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	if trouble {
		for _, x := range runners[5:7] {
			l.note("%s begins to answer with heads that do not end", x.id)
			x.setServe(endlessHead)
		}
	}
	for version, end := 8, time.Now().Add(troubleTime); time.Now().Before(end); version++ {
		began := time.Now()
		status, _ := l.operate(http.MethodPost, "/damasklever/Config.Replace", configuration(version), 8*time.Second)
		l.note("configuration %d: status %d after %v", version, status, time.Since(began).Round(time.Millisecond))
		time.Sleep(2 * time.Second)
	}
	core, often := 0, 0
	for _, p := range append(append(append([]*proc{}, controls...), entries...), agents...) {
		l.note("%s: peak %.0f MB of %d, killed %d times for its memory, ended by itself %d times", p.name, p.peakMB, p.memoryMB, p.overMemory, p.ended)
		if p.role == "control" {
			core++
			if p.overMemory+p.ended >= maxOwnEnds {
				often++
			}
		}
	}
	l.note("%d of %d machines of the core have processes that ended by themselves %d times or more", often, core, maxOwnEnds)

	return 2*often >= core, nil
}
