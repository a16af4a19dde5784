package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// forward passes the channels of an address on to a runner, and resets them while it is gone.
func (l *lab) forward(public string, r *runner) {
	listener, err := net.Listen("tcp", public)
	if err != nil {
		l.giveUp("forwarder of %s: %v", r.id, err)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				in := c.(*net.TCPConn)
				defer in.Close()
				out, err := net.Dial("tcp", r.addr)
				if err != nil {
					in.SetLinger(0)

					return
				}
				defer out.Close()
				go func() {
					io.Copy(out, in)
					out.Close()
				}()
				if _, err := io.Copy(in, out); err != nil {
					in.SetLinger(0)
				}
			}()
		}
	}()
}

// forwarder: one request crashes each runner that begins to run it. The runners are behind
// forwarders, so that a channel to one that is gone is reset after it was accepted. With DIRECT set
// there are no forwarders.
func forwarder(l *lab) {
	const runners = 6
	behind := os.Getenv("DIRECT") == ""
	var mu sync.Mutex
	crashes, retries, lost := 0, 0, 0
	var third time.Time
	var entries []any
	for host := 1; host <= runners; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "summary-desk", "decode", "v1")
		public := r.addr
		if behind {
			r.addr = net.JoinHostPort(l.runnerIP(host), strconv.Itoa(l.port+15))
			l.forward(public, r)
		}
		stream := r.generate(20, 30*time.Millisecond)
		r.work = func(w http.ResponseWriter, q *http.Request) {
			if !strings.HasSuffix(q.URL.Path, "/bad") {
				stream(w, q)
				return
			}
			io.Copy(io.Discard, q.Body)
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			crashes++
			if crashes == 3 {
				third = time.Now()
			}
			if !third.IsZero() && time.Since(third) > 4*time.Second {
				retries++
			}
			l.logf("runner %s crashes on %s (%d)", r.id, q.Header.Get(headerID), crashes)
			mu.Unlock()
			go func() {
				r.crash()
				time.Sleep(3 * time.Second)
				r.up()
			}()
			time.Sleep(200 * time.Millisecond)
		}
		r.up()
		e := r.entry()
		e["address"] = public
		entries = append(entries, e)
		l.startAgent(host, r)
	}
	l.list.set(entries...)
	l.startHosts()
	l.operator(configuration(7, route("r-review", "/review/", "stream", "summary-desk", 14000, 2000, 2, true)))
	l.waitReady()
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	for n := range 80 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			path, body := "/review/x", fmt.Sprint("notes", n)
			if l.trouble && n%4 == 3 {
				path, body = "/review/bad", "bad"
			}
			got := (&caller{l: l}).model(n%3+1, path, newID("8", n, 0), body, n)
			if path == "/review/x" && got.err != nil {
				mu.Lock()
				lost++
				mu.Unlock()
			}
			l.logf("client got %d (%v) for %s %s", got.status, got.err, newID("8", n, 0), path)
		}()
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	l.verdict(retries > 3, "BUDGET: %d crashes; the request reached runners %d times later than 4 s after the third crash; %d sound streams broke", crashes, retries, lost)
}

// model sends a request to a model and reads its whole answer.
func (c *caller) model(host int, path, id, body string, n int) answer {
	q, err := http.NewRequest(http.MethodPost, "http://"+c.l.front(host)+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = "desk.example"
	q.Header = http.Header{
		headerID: {id}, headerDeadline: {"14000"}, "X-Damasklever-Model": {"m"}, "X-Damasklever-Token-Usage": {"500,72"},
		"X-Damasklever-Prompt-Prefix": {fmt.Sprintf("%x:500", 4096+n)},
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}).Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)

	return answer{status: response.StatusCode, header: response.Header, body: text, err: err}
}
