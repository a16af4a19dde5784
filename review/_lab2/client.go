package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0 if the channel ended before
	header http.Header
	body   string
	whole  bool
	err    error
	took   time.Duration
}

var lastRequest atomic.Int64

// newID returns an id that no other request has.
func newID(kind string) string { return fmt.Sprintf("%s-%06d", kind, lastRequest.Add(1)) }

// call sends one attempt of a request on a new channel.
func (l *lab) call(m machine, method, path, id, body string, limit time.Duration, more map[string]string) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	out := answer{id: id}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+l.frontAddr(m)+path, strings.NewReader(body))
	if err != nil {
		out.err = err

		return out
	}
	r.Host = "desk.example"
	r.Header.Set("X-Damasklever-Request-Id", id)
	r.Header.Set("X-Damasklever-Request-Deadline", fmt.Sprint(limit.Milliseconds()))
	for name, value := range more {
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		out.err, out.took = err, time.Since(began)

		return out
	}
	defer response.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(response.Body))
	out.status, out.header, out.body, out.whole, out.err, out.took = response.StatusCode, response.Header, string(text), err == nil, err, time.Since(began)

	return out
}

// comeBack returns when an answer asks its client to come back. Clients honour Retry-After up to one
// third of the time that they have left.
func comeBack(got answer, left time.Duration) (time.Duration, bool) {
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	wait := time.Duration(after * float64(time.Second))

	return wait, err == nil && wait <= left/3
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")

	return line
}

// promptHeaders returns the headers of a model request with the parts of its prompt.
func promptHeaders(output int, parts ...string) map[string]string {
	tokens := 0
	for _, part := range parts {
		var n int
		if _, size, ok := strings.Cut(part, ":"); ok {
			fmt.Sscan(size, &n)
		}
		tokens += n
	}

	return map[string]string{
		"X-Damasklever-Model": "m", "X-Damasklever-Token-Usage": fmt.Sprintf("%d,%d", tokens, output), "X-Damasklever-Prompt-Prefix": strings.Join(parts, ","),
	}
}

// every calls f at a rate, each call in a goroutine of its own, for a time.
func every(interval, during time.Duration, f func(n int)) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		end := time.Now().Add(during)
		for n := 0; time.Now().Before(end); n++ {
			go f(n)
			<-ticker.C
		}
	}()

	return func() { <-done }
}
