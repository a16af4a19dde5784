package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ingress is the platform's address for clients. It forwards each new channel to an entry.
type ingress struct {
	entries []*process

	mu     sync.Mutex
	misses map[*process]int
	next   int
}

// newIngress returns an ingress that asks its entries once a second whether they are ready.
func newIngress(entries []*process, stop <-chan struct{}) *ingress {
	in := &ingress{entries: entries, misses: make(map[*process]int)}
	for _, e := range entries {
		go func() {
			addr := e.settings["listen"].(map[string]string)["ready"]
			for ticker := time.NewTicker(time.Second); ; {
				got := call(http.MethodGet, addr, addr, "/damasklever/ready", "", nil, time.Second)
				in.mu.Lock()
				if got.err == nil && got.status == http.StatusOK {
					in.misses[e] = 0
				} else {
					in.misses[e]++
				}
				in.mu.Unlock()
				select {
				case <-ticker.C:
				case <-stop:
					ticker.Stop()

					return
				}
			}
		}()
	}

	return in
}

// front returns the address of the entry for the next channel: one in rotation, or any if fewer than
// half of them are.
func (in *ingress) front() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	var rotation []*process
	for _, e := range in.entries {
		if in.misses[e] < 2 {
			rotation = append(rotation, e)
		}
	}
	if 2*len(rotation) < len(in.entries) {
		rotation = in.entries
	}
	in.next++

	return rotation[in.next%len(rotation)].settings["listen"].(map[string]string)["front"]
}

// kindOfRequest is a kind of request in the rule.
type kindOfRequest struct {
	name, method, path string
	interval, limit    time.Duration
	prompt             bool
}

// day is one play of several kinds of requests.
type day struct {
	l  *lab
	in *ingress

	mu            sync.Mutex
	lastID        int
	asked, served map[string]int
	ends          map[string]int
}

// events is how many events each stream has.
const events = 36

// ask sends a request of a kind. A client sends it again if its channel was refused, and once if the
// answer asks for it within a third of the time that it has left.
func (d *day) ask(k kindOfRequest, limit time.Duration, retries int) {
	began := time.Now()
	d.mu.Lock()
	d.lastID++
	n := d.lastID
	if retries > 0 {
		d.asked[k.name]++
	}
	d.mu.Unlock()
	id, own := fmt.Sprintf("%s-%d", k.name, n), fmt.Sprintf("%x", 0xe0000000+n)
	header := map[string]string{"X-Damasklever-Request-Id": id, "X-Damasklever-Request-Deadline": fmt.Sprint(limit.Milliseconds())}
	if k.prompt {
		header["X-Damasklever-Model"] = "m"
		header["X-Damasklever-Token-Usage"] = fmt.Sprintf("2500,%d", 2*events)
		header["X-Damasklever-Prompt-Prefix"] = strings.Join([]string{firstPart, nextPart, own + ":2000"}, ",")
	}
	var got answer
	for {
		got = call(k.method, d.in.front(), "desk.example", k.path, "", header, limit-time.Since(began))
		if got.err == nil || !strings.Contains(got.err.Error(), "connection refused") || time.Since(began) > limit-time.Second {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	whole := got.err == nil && got.status == http.StatusOK && (!k.prompt || strings.Contains(got.body, fmt.Sprintf("id: %d\ndata: token %d of %s.\n\n", events, events, id)))
	end := strconv.Itoa(got.status)
	if got.status == http.StatusServiceUnavailable {
		end += " " + strings.TrimSpace(got.body)
	}
	if got.err != nil {
		end = "broken off"
	}
	d.l.record.printf("client: %s with prompt %s answered %v, whole: %v", id, own, got, whole)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	wait := time.Duration(after * float64(time.Second))
	left := limit - time.Since(began)
	if !whole && err == nil && retries > 0 && wait <= left/3 {
		time.Sleep(wait)
		d.ask(k, left-wait, retries-1)

		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends[k.name+": "+end]++
	if whole {
		d.served[k.name]++
	}
}

// outageAfterRoll plays a restart of the entries, one after another, and an outage of all model servers
// right after it. No request makes a server crash, and all prompts begin with the same two parts.
func outageAfterRoll(l *lab, trouble bool) (outcome, string) {
	const (
		length   = 75 * time.Second
		calm     = 4 * time.Second
		rollGap  = time.Second             // gap_s
		downTime = 4500 * time.Millisecond // for_s
		// afterRoll is from the time at which the last entry is ready again to the outage.
		afterRoll = time.Second
		pace      = 100 * time.Millisecond
	)
	kinds := []kindOfRequest{
		{"review", http.MethodPost, "/review/notes", 160 * time.Millisecond, 14 * time.Second, true},
		{"booking", http.MethodPost, "/book/kiln", 100 * time.Millisecond, 3 * time.Second, false},
		{"roster", http.MethodGet, "/read/roster", 125 * time.Millisecond, 3 * time.Second, false},
	}
	d := &day{l: l, asked: make(map[string]int), served: make(map[string]int), ends: make(map[string]int)}
	controls := l.addControls(3)
	var entries []*process
	for n := 1; n <= 3; n++ {
		entries = append(entries, l.addEntry(n))
	}
	started := append(append([]*process{}, controls...), entries...)
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
		x.chunked, x.pace = true, pace
		x.onRun = func(*modelServer, string) bool { return true }
		defer x.crash()
		models = append(models, x)
		started = append(started, l.addAgent(n, x.address))
	}
	for n := 1; n <= 3; n++ {
		x, err := l.newRunner(n, fmt.Sprintf("p-%d", n), "desk", "")
		if err != nil {
			return unplayed, err.Error()
		}
		defer x.close()
	}
	if err := startAll(started...); err != nil {
		return unplayed, err.Error()
	}
	if !l.configure(controls, fmt.Sprintf(modelConfiguration, 1), 15*time.Second) {
		return unplayed, "the first configuration was not acknowledged"
	}
	for _, e := range entries {
		if !l.awaitReady(e, 15*time.Second) {
			return unplayed, e.name + " is not ready"
		}
	}
	time.Sleep(2 * time.Second) // sessions with agents
	stop := make(chan struct{})
	defer close(stop)
	d.in = newIngress(entries, stop)
	var traffic sync.WaitGroup
	for _, k := range kinds {
		traffic.Go(func() { every(k.interval, length, func() { d.ask(k, k.limit, 1) }) })
	}
	if trouble {
		time.Sleep(calm)
		if !l.roll(entries, rollGap) {
			return unplayed, "an entry did not come back"
		}
		time.Sleep(afterRoll)
		l.record.printf("all model servers crash, for %v", downTime)
		for _, x := range models {
			x.crash()
			time.AfterFunc(downTime, x.restart)
		}
	}
	traffic.Wait()
	time.Sleep(6 * time.Second)
	if slices.ContainsFunc(models, (*modelServer).isLost) {
		return unplayed, "a model server could not start again"
	}

	return d.judge(kinds)
}

// roll restarts entries with SIGTERM, one after another, and waits until all are ready again.
func (l *lab) roll(entries []*process, gap time.Duration) bool {
	var back sync.WaitGroup
	ok := make([]bool, len(entries))
	for i, e := range entries {
		if i > 0 {
			time.Sleep(gap)
		}
		l.record.printf("%s gets SIGTERM", e.name)
		back.Go(func() {
			e.mu.Lock()
			exited := e.exited
			e.mu.Unlock()
			e.signal(syscall.SIGTERM)
			select {
			case <-exited:
			case <-time.After(8 * time.Second): // grace_s
				l.record.printf("%s gets SIGKILL", e.name)
				e.kill()
			}
			restartLater(e)
			ok[i] = l.awaitReady(e, 15*time.Second)
			l.record.printf("%s is ready again: %v", e.name, ok[i])
		})
	}
	back.Wait()
	for _, is := range ok {
		if !is {
			return false
		}
	}

	return true
}

// judge says whether a kind of request was served less than a quarter as often as all requests.
func (d *day) judge(kinds []kindOfRequest) (outcome, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	asked, served, text := 0, 0, ""
	for _, k := range kinds {
		asked, served = asked+d.asked[k.name], served+d.served[k.name]
		text += fmt.Sprintf("%s: %d of %d served; ", k.name, d.served[k.name], d.asked[k.name])
	}
	text += fmt.Sprintf("all: %d of %d; ends: %v", served, asked, d.ends)
	for _, k := range kinds {
		if 4*d.served[k.name]*asked < served*d.asked[k.name] {
			return broken, text
		}
	}

	return held, text
}
