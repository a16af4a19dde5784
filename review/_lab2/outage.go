package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { tests["outage"] = outage }

const (
	// outageTime is for how long the model runners are down, dayTime how long traffic lasts, and
	// outageAt when in that time they crash.
	outageTime = 4500 * time.Millisecond
	dayTime    = 60 * time.Second
	outageAt   = 6 * time.Second
	// eventPace is the time between two events of a runner. The answers then take about as long as
	// those of the site's runners under load.
	eventPace = 40 * time.Millisecond
)

// kindOfRequest is one kind of request with its traffic.
type kindOfRequest struct {
	name     string
	interval time.Duration // between two requests
	path     string
	stream   bool
	limit    time.Duration
}

// kindsOfRequests are like those of the site, at about its rates.
var kindsOfRequests = []kindOfRequest{
	{"notes", 200 * time.Millisecond, "/notes/", true, 14 * time.Second},
	{"firm", 200 * time.Millisecond, "/firm/", true, 14 * time.Second},
	{"book", 100 * time.Millisecond, "/book/", false, 3 * time.Second},
	{"roster", 125 * time.Millisecond, "/roster/", false, 3 * time.Second},
}

// outage: all model runners crash at once and are back soon. No request has made them crash.
func outage(l *lab, trouble bool) (bool, error) {
	for number := 11; number <= 13; number++ {
		if _, err := l.addRunner(number, "booking", ""); err != nil {
			return false, err
		}
	}
	runners, _, _, _, err := l.startModels(nineStages...)
	if err != nil {
		return false, err
	}
	for _, x := range runners {
		x.pace = eventPace
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	asked, served, ends := map[string]int{}, map[string]int{}, map[string]int{}
	var waits []func()
	for _, k := range kindsOfRequests {
		waits = append(waits, every(k.interval, dayTime, func(n int) {
			status, reason := l.ask(k, n)
			mu.Lock()
			defer mu.Unlock()
			asked[k.name]++
			ends[fmt.Sprintf("%s: %d %s", k.name, status, reason)]++
			if status == http.StatusOK && reason == "" {
				served[k.name]++
			}
		}))
	}
	time.Sleep(outageAt)
	if trouble {
		l.note("all model runners crash, for %v", outageTime)
		for _, x := range runners {
			x.stop()
			go x.restart(outageTime)
		}
		time.Sleep(outageTime + time.Second)
		l.note("all model runners are back")
	}
	for _, wait := range waits {
		wait()
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	all, allServed := 0, 0
	for _, k := range kindsOfRequests {
		all, allServed = all+asked[k.name], allServed+served[k.name]
	}
	broken := false
	for _, k := range kindsOfRequests {
		l.note("%s: %d of %d served", k.name, served[k.name], asked[k.name])
		broken = broken || 4*served[k.name]*all < allServed*asked[k.name]
	}
	l.note("all: %d of %d served; answers: %v", allServed, all, ends)

	return broken, nil
}

// ask sends a request of a kind, once more if the answer asks for it. It returns the last status and
// what was wrong with the answer.
func (l *lab) ask(k kindOfRequest, n int) (status int, reason string) {
	began := time.Now()
	for try := 0; ; try++ {
		id, method, more := newID(k.name), http.MethodPost, map[string]string(nil)
		if k.name == "roster" {
			method = http.MethodGet
		}
		if k.stream {
			more = promptHeaders(72, firstPart, nextPart, fmt.Sprintf("e4%s%06x:2000", k.path[1:3], n))
		}
		got := l.call(l.fronts[(n+try)%len(l.fronts)], method, k.path+id, id, "body of "+id, k.limit-time.Since(began), more)
		reason = ""
		switch {
		case got.status != http.StatusOK:
			reason = firstLine(got.body)
		case !got.whole:
			reason = "cut"
		}
		l.note("%s answered: %d %s, Retry-After %q", id, got.status, reason, got.header.Get("Retry-After"))
		wait, ok := comeBack(got, k.limit-time.Since(began))
		if try == clientRetries || !ok {
			return got.status, reason
		}
		time.Sleep(wait)
	}
}
