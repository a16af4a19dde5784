package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	tests["again"] = again
	tests["between"] = between
}

const (
	// Parts of prompts: firstPart and nextPart are those of all sound requests, badPart makes runners
	// crash.
	firstPart = "5c1e07a2:200"
	nextPart  = "91bd3f06:300"
	badPart   = "bad0bad0:400"
	// contact is contact_ms, and partCrashes, partRequests and lostOf the numbers of the rules.
	contact      = 4 * time.Second
	partCrashes  = 5
	partRequests = 3
	lostOf       = 20
	// backAfter is after how long a runner that has crashed is back.
	backAfter = 3 * time.Second
	// timeLimit and clientRetries are those of the site's streams.
	timeLimit     = 14 * time.Second
	clientRetries = 1
	// soundInterval is the time between two new sound requests.
	soundInterval = 250 * time.Millisecond
	// badInterval is the time between two new requests with the bad part. Both together are about as
	// many as the streams of the site.
	badInterval = 100 * time.Millisecond
)

// crasher makes runners crash that begin to write an answer to a prompt with the bad part.
type crasher struct {
	l       *lab
	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time     // requests with the bad part that runners were to run
	began   map[string]bool // requests that have begun to run
}

// onRun notes a run, and ends the runner if the prompt has the bad part.
func (c *crasher) onRun(x *runner, r *http.Request) bool {
	id, bad := r.Header.Get("X-Damasklever-Request-Id"), strings.Contains(r.Header.Get("X-Damasklever-Prompt-Prefix"), badPart)
	c.mu.Lock()
	c.began[id] = true
	if bad {
		c.reached = append(c.reached, time.Now())
	}
	c.mu.Unlock()
	if !bad {
		return true
	}
	c.l.note("%s has the bad part and runs at %s", id, x.id)
	time.Sleep(20 * time.Millisecond) // the first step
	if !x.stop() {
		return false // another request has made it crash
	}
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	n := len(c.crashes)
	c.mu.Unlock()
	c.l.note("%s crashes (crash %d)", x.id, n)
	go x.restart(backAfter)

	return false
}

// attempt is a client's first attempt at a sound request.
type attempt struct {
	id string
	at time.Time
}

// parts is one play of requests with the bad part beside sound ones.
type parts struct {
	l       *lab
	crasher *crasher
	mu      sync.Mutex
	ends    map[string]int
	first   []attempt
}

// send sends a request and, where the answer asks for it, its retries.
func (p *parts) send(kind string, n int, limit time.Duration, retries int, prompt ...string) {
	id, began := newID(kind), time.Now()
	p.mu.Lock()
	if kind == "sound" && retries == clientRetries {
		p.first = append(p.first, attempt{id, began})
	}
	p.mu.Unlock()
	got := p.l.call(p.l.fronts[n%len(p.l.fronts)], http.MethodPost, "/notes/"+id, id, "prompt of "+id, limit, promptHeaders(72, prompt...))
	p.mu.Lock()
	p.ends[fmt.Sprintf("%s: %d, whole %v", kind, got.status, got.whole)]++
	p.mu.Unlock()
	if kind == "bad" || got.status != http.StatusOK {
		p.l.note("%s answered: %d %s, Retry-After %q, %v", id, got.status, firstLine(got.body), got.header.Get("Retry-After"), got.err)
	}
	left := limit - time.Since(began)
	wait, ok := comeBack(got, left)
	if !ok || retries == 0 {
		return
	}
	time.Sleep(wait)
	p.send(kind, n+1, left-wait, retries-1, prompt...)
}

// playParts plays sound requests for a time, and from some seconds after their begin on, with
// trouble, requests with the bad part. badFirst tells on which side of nextPart the bad part is.
func playParts(l *lab, trouble, badFirst bool, during, badInterval time.Duration) (*parts, error) {
	runners, _, _, _, err := l.startModels(nineStages...)
	if err != nil {
		return nil, err
	}
	p := &parts{l: l, crasher: &crasher{l: l, began: make(map[string]bool)}, ends: make(map[string]int)}
	for _, x := range runners {
		x.onRun = p.crasher.onRun
	}
	const calm, end = 12 * time.Second, 3 * time.Second
	time.Sleep(2 * time.Second)
	wait := every(soundInterval, during, func(n int) {
		p.send("sound", n, timeLimit, clientRetries, firstPart, nextPart, fmt.Sprintf("e4%06x:2000", n))
	})
	time.Sleep(calm)
	if trouble {
		every(badInterval, during-calm-end, func(n int) {
			prompt := []string{firstPart, nextPart, badPart, fmt.Sprintf("f7%06x:2000", n)}
			if badFirst {
				prompt[1], prompt[2] = prompt[2], prompt[1]
			}
			p.send("bad", n, timeLimit, clientRetries, prompt...)
		})
	}
	wait()
	time.Sleep(end)

	return p, nil
}

// again: requests with the bad part come on while they are blocked.
func again(l *lab, trouble bool) (bool, error) {
	p, err := playParts(l, trouble, false, 85*time.Second, badInterval)
	if err != nil {
		return false, err
	}
	c := p.crasher
	c.mu.Lock()
	defer c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	if len(c.crashes) >= partCrashes {
		for _, at := range c.reached {
			if at.After(c.crashes[partCrashes-1].Add(contact)) {
				late++
			}
		}
	}
	l.note("%d crashes; %d requests with the bad part reached runners, %d of them later than %v after crash %d; answers: %v",
		len(c.crashes), len(c.reached), late, contact, partCrashes, p.ends)

	return late > partRequests, nil
}

// between: the bad part stands between the two parts that all sound requests have.
func between(l *lab, trouble bool) (bool, error) {
	p, err := playParts(l, trouble, true, 45*time.Second, badInterval)
	if err != nil {
		return false, err
	}
	c := p.crasher
	c.mu.Lock()
	defer c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(c.crashes) == 0 {
		l.note("no crash; answers: %v", p.ends)

		return false, nil
	}
	from := c.crashes[min(len(c.crashes), partCrashes)-1].Add(2 * contact)
	var before, after, begunBefore, begunAfter int
	for _, a := range p.first {
		switch {
		case a.at.Before(c.crashes[0].Add(-contact)):
			before++
			if c.began[a.id] {
				begunBefore++
			}
		case a.at.After(from):
			after++
			if c.began[a.id] {
				begunAfter++
			}
		}
	}
	l.note("%d crashes; of %d sound requests before the first crash %d began at the first attempt; of %d from %v after crash %d on, %d did; answers: %v",
		len(c.crashes), before, begunBefore, after, 2*contact, min(len(c.crashes), partCrashes), begunAfter, p.ends)
	if before < lostOf || after < lostOf {
		return false, fmt.Errorf("too few sound requests: %d and %d", before, after)
	}

	return 2*begunAfter*before < begunBefore*after, nil
}
