package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Parts of prompts. All sound requests have firstPart and nextPart; badPart makes servers crash.
	firstPart = "5c1e07a2:200"
	nextPart  = "91bd3f06:300"
	badPart   = "bad0bad0:400"
	contact   = 4 * time.Second // contact_ms
	// backAfter is after how long a server that has crashed is back.
	backAfter = 3 * time.Second
)

// part is one play of sound requests, and others with a part that makes servers crash.
type part struct {
	l       *lab
	entries []*process

	mu      sync.Mutex
	crashes []time.Time
	began   map[string]bool      // requests that servers began to run
	first   map[string]time.Time // first attempts of sound requests
	ends    map[string]int
	lastID  int
}

// onRun notes the run of a request with a prompt, and ends the server if it has the bad part.
func (p *part) onRun(x *modelServer, prompt string) bool {
	parts := strings.Split(prompt, ",")
	id, _, _ := strings.Cut(parts[len(parts)-1], ":")
	p.mu.Lock()
	p.began[id] = true
	p.mu.Unlock()
	if !strings.Contains(prompt, badPart) {
		return true
	}
	p.l.record.printf("server %s begins with prompt %s, which has the bad part", x.id, id)
	time.Sleep(20 * time.Millisecond) // the first step
	if !x.crash() {
		return false
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.l.record.printf("server %s crashes, crash %d", x.id, n)
	time.AfterFunc(backAfter, x.restart)

	return false
}

// send sends a request and, where the answer asks for it, its one retry.
func (p *part) send(kind string, limit time.Duration, retries int, shared ...string) {
	p.mu.Lock()
	p.lastID++
	n := p.lastID
	own := fmt.Sprintf("%x", 0xe0000000+n)
	if kind == "sound" && retries > 0 {
		p.first[own] = time.Now()
	}
	p.mu.Unlock()
	began, id := time.Now(), fmt.Sprintf("%s-%d", kind, n)
	prompt, tokens := append(shared, own+":2000"), 0
	for _, one := range prompt {
		_, size, _ := strings.Cut(one, ":")
		t, _ := strconv.Atoi(size)
		tokens += t
	}
	got := call(http.MethodPost, p.entries[n%len(p.entries)].settings["listen"].(map[string]string)["front"], "desk.example", "/review/notes", "prompt "+id, map[string]string{
		"X-Damasklever-Request-Id": id, "X-Damasklever-Request-Deadline": fmt.Sprint(limit.Milliseconds()), "X-Damasklever-Model": "m",
		"X-Damasklever-Token-Usage": fmt.Sprintf("%d,72", tokens), "X-Damasklever-Prompt-Prefix": strings.Join(prompt, ","),
	}, limit)
	p.mu.Lock()
	p.ends[fmt.Sprintf("%s %d", kind, got.status)]++
	p.mu.Unlock()
	p.l.record.printf("client: %s with prompt %s answered %v", id, own, got)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	wait := time.Duration(after * float64(time.Second))
	left := limit - time.Since(began)
	if err != nil || retries == 0 || wait > left/3 {
		return
	}
	time.Sleep(wait)
	p.send(kind, left-wait, retries-1, shared...)
}

// every calls f at a rate, each call in a goroutine of its own.
func every(interval, during time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(during); time.Now().Before(end); <-ticker.C {
		go f()
	}
}

// badPartUnframed plays a part of prompts that crashes servers whose streams end with their channels.
// The part stands between two parts that all sound requests have.
func badPartUnframed(l *lab, trouble bool) (outcome, string) {
	const (
		calm, during  = 12 * time.Second, 45 * time.Second
		soundInterval = 250 * time.Millisecond
		badInterval   = 100 * time.Millisecond
		timeLimit     = 14 * time.Second
		// crashesOfRule and requestsOfRule are numbers of the rule.
		crashesOfRule, requestsOfRule = 5, 20
	)
	p := &part{l: l, began: make(map[string]bool), first: make(map[string]time.Time), ends: make(map[string]int)}
	controls := l.addControls(3)
	for n := 1; n <= 3; n++ {
		p.entries = append(p.entries, l.addEntry(n))
	}
	started := append(append([]*process{}, controls...), p.entries...)
	var models []*modelServer
	for n := 1; n <= 9; n++ {
		stage := "decode"
		if n%3 == 0 {
			stage = "prefill"
		}
		x, err := l.newModelServer(n, stage)
		if err != nil {
			return unplayed, err.Error()
		}
		x.onRun = p.onRun
		models = append(models, x)
		defer x.crash()
		started = append(started, l.addAgent(n, x.address))
	}
	if err := startAll(started...); err != nil {
		return unplayed, err.Error()
	}
	if !l.configure(controls, fmt.Sprintf(modelConfiguration, 1), 15*time.Second) {
		return unplayed, "the first configuration was not acknowledged"
	}
	for _, e := range p.entries {
		if !l.awaitReady(e, 15*time.Second) {
			return unplayed, e.name + " is not ready"
		}
	}
	time.Sleep(2 * time.Second) // sessions with agents
	if trouble {
		time.AfterFunc(calm, func() {
			every(badInterval, during-calm-3*time.Second, func() { p.send("bad", timeLimit, 1, firstPart, badPart, nextPart) })
		})
	}
	every(soundInterval, during, func() { p.send("sound", timeLimit, 1, firstPart, nextPart) })
	time.Sleep(4 * time.Second)
	if slices.ContainsFunc(models, (*modelServer).isLost) {
		return unplayed, "a model server could not start again"
	}

	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) == 0 {
		return held, fmt.Sprintf("no crash; answers: %v", p.ends)
	}
	last := min(len(p.crashes), crashesOfRule)
	from := p.crashes[last-1].Add(2 * contact)
	var before, begunBefore, after, begunAfter int
	for own, at := range p.first {
		switch {
		case at.Before(p.crashes[0].Add(-contact)):
			before++
			if p.began[own] {
				begunBefore++
			}
		case at.After(from):
			after++
			if p.began[own] {
				begunAfter++
			}
		}
	}
	text := fmt.Sprintf("%d crashes; %d of %d sound requests began at the first attempt before them, and %d of %d from 8 s after crash %d on; answers: %v",
		len(p.crashes), begunBefore, before, begunAfter, after, last, p.ends)
	switch {
	case before < requestsOfRule || after < requestsOfRule:
		return unplayed, "too few sound requests: " + text
	case 2*begunAfter*before < begunBefore*after:
		return broken, text
	default:
		return held, text
	}
}
