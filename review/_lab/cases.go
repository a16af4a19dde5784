package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// caller is a client.
type caller struct {
	l *lab
	// keep is a client that keeps its channel; nil for a new channel for each request.
	keep *http.Client
}

// answer is what a client has seen of one attempt.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	kept   bool // it came, or should have come, on a channel that had carried a request before
}

func newID(prefix string, n, try int) string { return fmt.Sprintf("%s%08x%02x", prefix, n, try) }

func (c *caller) request(ctx context.Context, host int, method, path, id string, body []byte, left time.Duration, extra http.Header) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.l.front(host)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range extra {
		q.Header[name] = values
	}
	q.Host = "desk.example"
	q.Header.Set(headerID, id)
	q.Header.Set(headerDeadline, strconv.Itoa(int(left.Milliseconds())))
	client := c.keep
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	}

	return client.Do(q)
}

// call sends one attempt and reads its whole answer.
func (c *caller) call(host int, method, path, id string, body []byte, left time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), left+time.Second)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	response, err := c.request(ctx, host, method, path, id, body, left, nil)
	if err != nil {
		return answer{err: err, kept: kept}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)

	return answer{response.StatusCode, response.Header, text, err, kept}
}

// stream is one stream of a client, over all its attempts.
type stream struct {
	first    string // id of the attempt that brought the first event
	last     int    // id of the last event
	versions []string
	runners  []string
	ended    bool
}

// retryAfter returns how long the client waits before it tries again. It honours Retry-After up
// to a third of the time left.
func retryAfter(h http.Header, left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	wait := time.Duration(seconds * float64(time.Second))
	if err != nil || wait > left/3 {
		return 100 * time.Millisecond
	}

	return wait
}

// follow reads a stream of events to its end, with up to retries further attempts, each on a new
// channel to the next host.
func (c *caller) follow(host, n, retries, events int) *stream {
	s, end := &stream{}, time.Now().Add(14*time.Second)
	for try := 0; try <= retries && !s.ended && time.Until(end) > 0; try++ {
		id := newID("5", n, try)
		extra := http.Header{
			"X-Damasklever-Model": {"m"}, "X-Damasklever-Token-Usage": {"500,72"}, "X-Damasklever-Prompt-Prefix": {fmt.Sprintf("aa01:200,%x:300", 4096+n)},
		}
		if s.last > 0 {
			extra["Last-Event-Id"], extra["Resumes"] = []string{strconv.Itoa(s.last)}, []string{s.first}
		}
		c.l.logf("client sends stream %d as %s to entry %d after event %d", n, id, host, s.last)
		ctx, cancel := context.WithDeadline(context.Background(), end)
		response, err := c.request(ctx, host, http.MethodPost, "/review/x", id, []byte("notes"), time.Until(end), extra)
		host = host%3 + 1
		if err != nil {
			cancel()
			c.l.logf("stream %d, attempt %d: %v", n, try, err)
			time.Sleep(100 * time.Millisecond)

			continue
		}
		if response.StatusCode != http.StatusOK {
			response.Body.Close()
			cancel()
			wait := retryAfter(response.Header, time.Until(end))
			c.l.logf("stream %d, attempt %d: status %d, Retry-After %q", n, try, response.StatusCode, response.Header.Get("Retry-After"))
			time.Sleep(wait)

			continue
		}
		err = s.read(response.Body, id)
		response.Body.Close()
		cancel()
		s.ended = err == nil && s.last == events
		c.l.logf("stream %d, attempt %d: ended after event %d (%v)", n, try, s.last, err)
	}

	return s
}

// read reads the events of one answer.
func (s *stream) read(body io.Reader, id string) error {
	lines, number := bufio.NewReader(body), 0
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			words := strings.Fields(text)
			if s.first == "" {
				s.first = id
			}
			s.last = number
			s.runners = addNew(s.runners, words[0])
			s.versions = addNew(s.versions, words[1])
		}
	}
}

func addNew(list []string, text string) []string {
	if len(list) > 0 && list[len(list)-1] == text {
		return list
	}

	return append(list, text)
}

// versions: a runner crashes and is started again under its id with a newer software version.
func versions(l *lab) {
	const events, gap, streams, down = 60, 100 * time.Millisecond, 40, 2 * time.Second
	var all []*runner
	for host, version := range []string{"v1", "v2", "v2", "v2"} {
		r := l.newRunner(host+1, fmt.Sprintf("i-%d", host+1), "summary-desk", "decode", version)
		r.work = r.generate(events, gap)
		r.up()
		all = append(all, r)
		l.startAgent(host+1, r)
	}
	show := func() {
		var entries []any
		for _, r := range all {
			entries = append(entries, r.entry())
		}
		l.list.set(entries...)
	}
	show()
	l.startHosts()
	l.operator(configuration(7, route("r-review", "/review/", "stream", "summary-desk", 14000, 2000, 2, true)))
	l.waitReady()
	time.Sleep(5 * time.Second) // contact_ms
	var wg sync.WaitGroup
	results := make([]*stream, streams)
	for n := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[n] = (&caller{l: l}).follow(n%3+1, n, 4, events)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if l.trouble {
		l.logf("runner i-1 crashes")
		all[0].crash()
		time.Sleep(down)
		all[0].mu.Lock()
		all[0].version = "v2"
		all[0].mu.Unlock()
		all[0].up()
		show()
	}
	wg.Wait()
	joined, whole := 0, 0
	for n, s := range results {
		if s.ended {
			whole++
		}
		if len(s.versions) > 1 {
			joined++
			l.logf("stream %d holds events of versions %v from runners %v", n, s.versions, s.runners)
		}
	}
	l.verdict(joined > 2, "ORDER: %d of %d streams hold events of two software versions (more than 2 break the rule); %d streams are whole", joined, streams, whole)
}

// writer: the host list has an entry of another writer, with fields missing.
func writer(l *lab) {
	var entries []any
	for host := 1; host <= 3; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "booking-desk", "", "v1")
		r.work = r.book
		r.up()
		entries = append(entries, r.entry())
	}
	if l.trouble {
		// A web server of somebody else, which shows its page under every path.
		listener, err := net.Listen("tcp", net.JoinHostPort(l.runnerIP(7), strconv.Itoa(servicePort)))
		if err != nil {
			l.giveUp("web server: %v", err)
		}
		web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, q.Body)
			l.logf("web server got %s %s %s", q.Header.Get(headerID), q.Method, q.URL.Path)
			io.WriteString(w, "<html>welcome</html>\n")
		})}
		web.SetKeepAlivesEnabled(false)
		go web.Serve(listener)
		entries = append(entries, map[string]any{
			"id": "web-7", "service": "booking-desk", "address": listener.Addr().String(), "zone": zoneOf(1), "state": "ready",
		})
	}
	l.list.set(entries...)
	l.startHosts()
	l.operator(configuration(7, route("r-book", "/book/", "unsafe", "booking-desk", 3000, 200, 2, false),
		route("r-read", "/roster/", "safe", "booking-desk", 3000, 200, 2, false)))
	l.waitReady()
	time.Sleep(5 * time.Second)
	foreign, good, other := 0, 0, 0
	for n := range 120 {
		method, path := http.MethodPost, "/book/x"
		if n%2 == 1 {
			method, path = http.MethodGet, "/roster/x"
		}
		got := (&caller{l: l}).call(n%3+1, method, path, newID("b", n, 0), []byte("slot"), 3*time.Second)
		l.logf("client got %d, signature %q, %d bytes (%v) for %s", got.status, got.header.Get(headerProof), len(got.body), got.err, newID("b", n, 0))
		switch {
		case got.err == nil && got.status/100 == 2 && got.header.Get(headerProof) == "":
			foreign++
		case got.err == nil && got.status == http.StatusOK:
			good++
		default:
			other++
		}
	}
	l.verdict(foreign > 0, "MIXED: %d of 120 requests got a success without a runner's signature; %d got their runner's answer, %d another end", foreign, good, other)
}

// resident returns the resident memory of a process in MB.
func resident(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)

			return kb / 1024
		}
	}

	return 0
}

// uploads: clients send bodies at the limit of the configuration at once.
func uploads(l *lab) {
	size := 5000
	if l.trouble {
		size = 4 << 20
	}
	count := 24
	if text := os.Getenv("UPLOADS"); text != "" {
		count, _ = strconv.Atoi(text)
	}
	var entries []any
	for host := 1; host <= 3; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "summary-desk", "decode", "v1")
		r.work = r.generate(20, 50*time.Millisecond)
		r.up()
		entries = append(entries, r.entry())
		l.startAgent(host, r)
	}
	l.list.set(entries...)
	_, fronts := l.startHosts()
	l.operator(configuration(7, route("r-review", "/review/", "stream", "summary-desk", 14000, 2000, 2, true)))
	l.waitReady()
	time.Sleep(5 * time.Second)
	pid := fronts[0].cmd.Process.Pid
	peak, killed := 0.0, false
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Add(1)
	go func() {
		defer watch.Done()
		for {
			now := resident(pid)
			peak = max(peak, now)
			if now > memoryMB && !killed {
				// The platform kills a process that uses more than memory_mb.
				killed = true
				l.logf("entry 1 uses %.0f MB of %d MB and is killed", now, memoryMB)
				fronts[0].cmd.Process.Kill()
			}
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	l.logf("entry 1 uses %.0f MB before", resident(pid))
	var wg sync.WaitGroup
	lost := make([]bool, count)
	for n := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := (&caller{l: l}).call(1, http.MethodPost, "/review/x", newID("7", n, 0), make([]byte, size), 14*time.Second)
			l.logf("client got %d, %d bytes (%v) for %s", got.status, len(got.body), got.err, newID("7", n, 0))
			lost[n] = got.err != nil
		}()
	}
	wg.Wait()
	close(stop)
	watch.Wait()
	broken := 0
	for _, x := range lost {
		if x {
			broken++
		}
	}
	l.verdict(killed, "Fault: entry 1 used up to %.0f MB of %d MB; %d of %d requests with %d bytes ended without an answer", peak, memoryMB, broken, count, size)
}

// timeouts: the operator lowers a route's timeout_ms below the time that its answers take. Runners
// begin an answer at once and need 0.8 s to finish it.
func timeouts(l *lab) {
	var entries []any
	for host := 1; host <= 3; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "booking-desk", "", "v1")
		r.work = func(w http.ResponseWriter, q *http.Request) {
			io.Copy(io.Discard, q.Body)
			id := q.Header.Get(headerID)
			l.logf("runner %s runs %s, time limit %s ms", r.id, id, q.Header.Get(headerDeadline))
			limit, _ := strconv.Atoi(q.Header.Get(headerDeadline))
			end := time.Now().Add(time.Duration(limit) * time.Millisecond)
			for range 20 {
				if time.Now().After(end) {
					l.logf("runner %s stops %s at its time limit", r.id, id)
					panic(http.ErrAbortHandler)
				}
				if _, err := w.Write(make([]byte, 40)); err != nil || http.NewResponseController(w).Flush() != nil || q.Context().Err() != nil {
					l.logf("runner %s: the channel of %s was closed", r.id, id)

					return
				}
				time.Sleep(40 * time.Millisecond)
			}
			l.logf("runner %s ran %s to its end", r.id, id)
		}
		r.up()
		entries = append(entries, r.entry())
	}
	l.list.set(entries...)
	l.startHosts()
	l.operator(configuration(7, route("r-book", "/book/", "unsafe", "booking-desk", 3000, 200, 2, false)))
	l.waitReady()
	time.Sleep(5 * time.Second) // contact_ms
	callers := make([]*caller, 12)
	send := func(round int) (closed, answered int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n, c := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := newID("c", n, round)
				begun := time.Now()
				got := c.call(n%3+1, http.MethodPost, "/book/x", id, []byte("slot"), 3*time.Second)
				l.logf("client got %d, %d bytes (%v) after %.3f s for %s, kept channel: %v", got.status, len(got.body), got.err, time.Since(begun).Seconds(), id, got.kept)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got.err == nil:
					answered++
				case got.kept || round == 0:
					closed++
				}
			}()
		}
		wg.Wait()

		return closed, answered
	}
	for n := range callers {
		callers[n] = &caller{l: l, keep: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	}
	if closed, answered := send(0); closed > 0 {
		l.giveUp("before the change, %d requests of %d had no answer", closed, closed+answered)
	}
	if l.trouble {
		l.operator(configuration(9, route("r-book", "/book/", "unsafe", "booking-desk", 500, 200, 2, false)))
	}
	time.Sleep(5 * time.Second) // config_ms has passed on all machines
	closed, answered := send(1)
	l.verdict(closed > 3, "LOST: %d kept channels were closed without an answer to a request that had been passed on to a runner (more than 3 break the rule); %d requests were answered", closed, answered)
}

// unmarked: one of three runners runs bookings and then fails some with 503, without saying that
// they have not run.
func unmarked(l *lab) {
	var entries []any
	var mu sync.Mutex
	ran := make(map[string]int) // by request id
	for host := 1; host <= 3; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "booking-desk", "", "v1")
		r.work = func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			time.Sleep(30 * time.Millisecond)
			id := q.Header.Get(headerID)
			mu.Lock()
			ran[id]++
			fails := l.trouble && r.id == "i-1" && rand.Float64() < 0.4
			mu.Unlock()
			l.logf("runner %s ran %s (%s), fails afterwards: %v", r.id, id, body, fails)
			if fails {
				w.WriteHeader(http.StatusServiceUnavailable)

				return
			}
			w.Write(make([]byte, 800))
		}
		r.up()
		entries = append(entries, r.entry())
	}
	l.list.set(entries...)
	l.startHosts()
	l.operator(configuration(7, route("r-book", "/book/", "unsafe", "booking-desk", 3000, 200, 1, false)))
	l.waitReady()
	time.Sleep(5 * time.Second)
	promised := 0
	for n := range 60 {
		id := newID("d", n, 0)
		got := (&caller{l: l}).call(n%3+1, http.MethodPost, "/book/x", id, []byte(fmt.Sprint("slot ", n)), 3*time.Second)
		l.logf("client got %d, signature %q (%v) for %s", got.status, got.header.Get(headerProof), got.err, id)
		mu.Lock()
		if (got.status == 503 || got.status == 429) && ran[id] > 0 {
			promised++
		}
		mu.Unlock()
	}
	l.verdict(promised > 0, "REFUSED: %d of 60 bookings were answered 429 or 503 and had run", promised)
}

// kinds: stream routes lead to a service without a model.
func kinds(l *lab) {
	const events = 6
	var entries []any
	for host := 1; host <= 3; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "booking-desk", "", "v1")
		stream := r.generate(events, 5*time.Millisecond)
		r.work = func(w http.ResponseWriter, q *http.Request) {
			if strings.HasPrefix(q.URL.Path, "/feed/") || strings.HasPrefix(q.URL.Path, "/review/") {
				stream(w, q)
			} else {
				r.book(w, q)
			}
		}
		r.up()
		entries = append(entries, r.entry())
	}
	for host := 4; host <= 6; host++ {
		r := l.newRunner(host, fmt.Sprintf("i-%d", host), "summary-desk", "decode", "v1")
		stream := r.generate(events, 5*time.Millisecond)
		r.work = func(w http.ResponseWriter, q *http.Request) {
			if strings.HasPrefix(q.URL.Path, "/feed/") || strings.HasPrefix(q.URL.Path, "/review/") {
				stream(w, q)
			} else {
				r.book(w, q)
			}
		}
		r.up()
		entries = append(entries, r.entry())
		l.startAgent(host, r)
	}
	l.list.set(entries...)
	l.startHosts()
	routes := []map[string]any{
		route("r-review", "/review/", "stream", "summary-desk", 14000, 2000, 2, true),
		route("r-book", "/book/", "unsafe", "booking-desk", 3000, 200, 2, false),
	}
	l.operator(configuration(7, routes...))
	l.waitReady()
	time.Sleep(5 * time.Second)
	l.operator(configuration(9, append(routes, route("r-feed", "/feed/", "stream", "booking-desk", 14000, 2000, 2, true), route("r-mbook", "/mbook/", "unsafe", "summary-desk", 3000, 200, 2, false))...))
	time.Sleep(5 * time.Second)
	for _, path := range []string{"/review/x", "/book/x", "/feed/x", "/mbook/x"} {
		counts := map[int]int{}
		for n := range 30 {
			got := (&caller{l: l}).call(n%3+1, http.MethodPost, path, newID(fmt.Sprintf("%x", path[1]), n, 0), []byte("slot"), 3*time.Second)
			counts[got.status]++
			if n == 0 {
				l.logf("%s: %d %v %s", path, got.status, got.header, got.body)
			}
		}
		l.logf("%s: %v", path, counts)
		fmt.Println(path, counts)
	}
	l.verdict(false, "")
}
