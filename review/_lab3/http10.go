package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// chunksOfHTTP10 plays a server that spoils some of its answers: they say HTTP/1.0 and come in chunks.
func chunksOfHTTP10(l *lab, trouble bool) (outcome, string) {
	const (
		requests = 600
		interval = 40 * time.Millisecond
		// one of the three servers spoils every spoilt. answer.
		spoilt = 20
	)
	controls := l.addControls(3)
	entries := []*process{l.addEntry(1), l.addEntry(2)}
	for n := 1; n <= 3; n++ {
		x, err := l.newRunner(n, fmt.Sprintf("p-%d", n), "desk", "")
		if err != nil {
			return unplayed, err.Error()
		}
		defer x.close()
		var answered atomic.Int64
		if n == 1 && trouble {
			x.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("X-Damasklever-Request-Id")
				if id == "" || r.Header.Get("X-Damasklever-Target-Instance") != x.id || answered.Add(1)%spoilt != 0 {
					x.ServeHTTP(w, r)

					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				x.lab.record.printf("server %s runs %s (%s %s), and spoils its answer", x.id, id, r.Method, r.URL.Path)
				text := fmt.Sprintf("answer to %s by %s", id, x.id)
				fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nX-Damasklever-Request-Id: %s\r\nX-Damasklever-Server-Signature: sig.%s\r\n\r\n%x\r\n%s\r\n", id, x.id, len(text), text)
				if answered.Load()%(2*spoilt) == 0 {
					return // and breaks it off
				}
				fmt.Fprint(conn, "0\r\n\r\n")
			})
		}
	}
	if err := startAll(append(controls, entries...)...); err != nil {
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
	results := make(chan string, requests)
	for n := range requests {
		time.Sleep(interval)
		go func() {
			id := fmt.Sprintf("r-%d", n)
			path, method := "/read/roster", http.MethodGet
			if n%2 == 1 {
				path, method = "/book/kiln", http.MethodPost
			}
			got := call(method, entries[n%len(entries)].settings["listen"].(map[string]string)["front"], "desk.example", path, "", map[string]string{
				"X-Damasklever-Request-Id": id, "X-Damasklever-Request-Deadline": "1500",
			}, 3*time.Second)
			l.record.printf("client: %s %s answered %v", id, path, got)
			switch {
			case got.err != nil:
				results <- "no answer"
			case got.status != http.StatusOK:
				results <- fmt.Sprint(got.status)
			case strings.HasPrefix(got.body, "answer to "+id+" by ") && !strings.Contains(got.body, "\n"):
				results <- "whole"
			default:
				results <- "wrong"
			}
		}()
	}
	counts := make(map[string]int)
	for range requests {
		counts[<-results]++
	}
	text := fmt.Sprintf("of %d requests: %v; wrong are successes whose body is not the server's", requests, counts)
	if counts["wrong"] > 0 {
		return broken, text
	}

	return held, text
}
