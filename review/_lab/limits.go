package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	limitRoutes  = 3 * time.Second // timeout_ms of the route
	limitRunners = 24
	limitClients = 60 // of each entry
	limitTime    = 90 * time.Second
)

// limits: runners in need name a Server-Limit in their answers, for a few seconds at a time.
func limits(l *lab) {
	var needy atomic.Bool
	var ran atomic.Int64
	var entries []any
	for host := 1; host <= limitRunners; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "booking-desk", "", "v1")
		r.work = func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, q.Body)
			time.Sleep(10 * time.Millisecond)
			ran.Add(1)
			if needy.Load() {
				w.Header().Set("Server-Limit", "25")
			}
			w.Write(make([]byte, 800))
		}
		r.up()
		entries = append(entries, r.entry())
	}
	l.list.set(entries...)
	_, fronts := l.startHosts()
	l.operator(configuration(7, route("r-read", "/roster/", "safe", "booking-desk", int(limitRoutes.Milliseconds()), 200, 2, false)))
	l.waitReady()
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), limitTime)
	defer cancel()
	var mu sync.Mutex
	var sent, served, refused, other, unanswered, late [4]int
	var lastAnswer [4]time.Time
	var wg sync.WaitGroup
	for host := 1; host <= 3; host++ {
		lastAnswer[host] = time.Now()
		for n := range limitClients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &caller{l: l, keep: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
				for try := 0; ctx.Err() == nil; try++ {
					id := newID(strconv.Itoa(host), n, 0) + strconv.FormatInt(int64(try), 16)
					begun := time.Now()
					mu.Lock()
					sent[host]++
					mu.Unlock()
					// The client itself waits longer than the route allows.
					got := c.call(host, http.MethodGet, "/roster/x", id, nil, 4*time.Second)
					took := time.Since(begun)
					mu.Lock()
					switch {
					case got.err == nil && got.status == http.StatusOK:
						served[host]++
					case got.err == nil && got.status == http.StatusServiceUnavailable:
						refused[host]++
					default:
						other[host]++
					}
					if got.err == nil {
						lastAnswer[host] = time.Now()
					}
					if took > limitRoutes {
						unanswered[host]++
					}
					if took > limitRoutes+500*time.Millisecond {
						late[host]++
						if late[host] <= 20 {
							l.logf("client got %d (%v) from entry %d after %.1f s for %s", got.status, got.err, host, took.Seconds(), id)
						}
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
	}
	hung, nextTotals := 0, time.Now()
	for begun := time.Now(); time.Since(begun) < limitTime && hung == 0; time.Sleep(100 * time.Millisecond) {
		phase := int(time.Since(begun).Seconds()/2) % 4
		if on := l.trouble && phase == 3; needy.Swap(on) != on {
			l.logf("runners name a limit: %v", on)
		}
		mu.Lock()
		if time.Now().After(nextTotals) {
			nextTotals = nextTotals.Add(time.Second)
			l.logf("totals of entries 1 to 3: sent %v, served %v, refused with 503 %v, other ends %v; runners ran %d", sent[1:], served[1:], refused[1:], other[1:], ran.Load())
		}
		for host := 1; host <= 3; host++ {
			if late[host] >= 2*limitClients && time.Since(lastAnswer[host]) > 2*limitRoutes {
				hung = host
			}
		}
		mu.Unlock()
	}
	cancel()
	// Only what was seen before the hung entry gets its signals counts.
	mu.Lock()
	finalSent, finalServed, finalRefused, finalOther, finalUnanswered, finalLate := sent, served, refused, other, unanswered, late
	mu.Unlock()
	if hung > 0 {
		// The readiness endpoint still answers, and the goroutines show where they wait.
		response, err := (&http.Client{Timeout: time.Second}).Get("http://" + net.JoinHostPort(l.hostIP(hung), strconv.Itoa(l.port+12)) + "/damasklever/ready")
		if err == nil {
			response.Body.Close()
			l.logf("entry %d answers its readiness check with %d", hung, response.StatusCode)
		}
		fronts[hung-1].cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-fronts[hung-1].done:
			l.logf("entry %d ended after SIGTERM", hung)
		case <-time.After(8 * time.Second):
			l.logf("entry %d still runs grace_s (8 s) after SIGTERM", hung)
		}
		l.stacks(fronts[hung-1], hung)
	}
	wg.Wait()
	open, tardy := 0, 0
	for host := 1; host <= 3; host++ {
		l.logf("entry %d: %d requests, %d served, %d refused, %d other ends; %d unanswered at timeout_ms, %d half a second later",
			host, finalSent[host], finalServed[host], finalRefused[host], finalOther[host], finalUnanswered[host], finalLate[host])
		open, tardy = open+finalUnanswered[host], tardy+finalLate[host]
	}
	l.verdict(tardy >= 8 && 2*tardy > open, "CONFIG: %d requests were unanswered at their route's timeout_ms, %d of these half a second later; entry %d has stopped answering (0: none)", open, tardy, hung)
}
