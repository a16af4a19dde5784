package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const modelConfiguration = `{"version":%d,"routes":[
{"name":"review","host":"desk.example","path_prefix":"/review/","kind":"stream","timeout_ms":14000,"target_latency_ms":800,"priority":0,"service":"summary","max_attempts":1,"sticky_sessions":true,"resumable":false,"target_gap_ms":300},
{"name":"read","host":"desk.example","path_prefix":"/read/","kind":"safe","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"desk","max_attempts":2},
{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"desk","max_attempts":1}],
"services":[{"name":"summary","health_path":"/health","max_connections":380,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":66998,"kv_token_bytes":327680,"link_mbps":3800000.0,"moves":true,"backups":true,"stride":11,"most":12,"handle_ttl_s":0.5,"stage_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}},
{"name":"desk","health_path":"/health","max_connections":120,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// endlessReport answers a report in which the entry of a run does not end, until the caller closes.
func endlessReport(x *runner, on *atomic.Bool) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, _ *http.Request) bool {
		if !on.Load() {
			return false
		}
		w.Header().Set("Content-Type", "application/json")
		_, err := fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":1,"kv_used":1460,"kv_total":66998,"handles":0,"born":%d,"runs":[["9c41d07be2a35f68",`, x.stage, x.born)
		piece := []byte(strings.Repeat("1,", 8<<10))
		sent := 0
		for err == nil {
			var n int
			n, err = w.Write(piece)
			sent += n
		}
		x.lab.record.printf("server %s: its report was read for %d KB before the caller closed", x.id, sent>>10)

		return true
	}
}

// endlessReports plays model servers whose reports do not end, and watches the memory of the
// control hosts. The platform ends a process that uses more than its machine has.
func endlessReports(l *lab, trouble bool) (outcome, string) {
	const (
		servers   = 9
		faulty    = 3
		watchTime = 80 * time.Second
		// endsOfRule is how often processes of one machine end in the rule.
		endsOfRule = 3
	)
	var on atomic.Bool
	controls := l.addControls(3)
	for n := 1; n <= servers; n++ {
		stage := "decode"
		if n%3 == 0 {
			stage = "prefill"
		}
		x, err := l.newRunner(n, fmt.Sprintf("i-%d", n), "summary", stage)
		if err != nil {
			return unplayed, err.Error()
		}
		defer x.close()
		if n <= faulty {
			x.report = endlessReport(x, &on)
		}
	}
	if err := startAll(controls...); err != nil {
		return unplayed, err.Error()
	}
	if !l.configure(controls, fmt.Sprintf(modelConfiguration, 1), 15*time.Second) {
		return unplayed, "the first configuration was not acknowledged"
	}
	time.Sleep(8 * time.Second) // a new leader reads reports after a pause
	on.Store(trouble)
	l.record.printf("reports of %d of %d model servers do not end from now on: %v", faulty, servers, trouble)
	peak, ends := make(map[*process]float64), make(map[*process]int)
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, p := range controls {
			used := p.anonymousMB()
			peak[p] = max(peak[p], used)
			if used <= float64(p.memoryMB) {
				continue
			}
			ends[p]++
			l.record.printf("%s uses %.1f MB of %d MB; the platform kills it, the %d. time", p.name, used, p.memoryMB, ends[p])
			p.kill()
			go restartLater(p)
		}
	}
	text, machines, total := "", 0, 0
	for _, p := range controls {
		text += fmt.Sprintf("%s: at most %.0f MB of %d, ended %d times; ", p.name, peak[p], p.memoryMB, ends[p])
		total += ends[p]
		if ends[p] >= endsOfRule {
			machines++
		}
	}
	if 2*machines >= len(controls) {
		return broken, text + fmt.Sprintf("on %d of %d machines of the core, processes ended by themselves %d times or more", machines, len(controls), endsOfRule)
	}

	return held, text + fmt.Sprintf("%d ends in all", total)
}
