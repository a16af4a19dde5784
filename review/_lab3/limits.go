package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// raisedLimit plays a configuration that raises the size of heads, and clients that use it on
// channels which they have kept open.
func raisedLimit(l *lab, trouble bool) (outcome, string) {
	const (
		clients = 24
		// allowedDenials is how many requests may be denied in the rule, beside one in 500.
		allowedDenials = 5
		before, after  = 16384, 65536
		headBytes      = 24 << 10
	)
	controls := l.addControls(3)
	entries := []*process{l.addEntry(1), l.addEntry(2)}
	for n := 1; n <= 3; n++ {
		x, err := l.newRunner(n, fmt.Sprintf("p-%d", n), "desk", "")
		if err != nil {
			return unplayed, err.Error()
		}
		defer x.close()
	}
	if err := startAll(append(controls, entries...)...); err != nil {
		return unplayed, err.Error()
	}
	configuration := func(version, limit int) string {
		return strings.Replace(fmt.Sprintf(modelConfiguration, version), `"max_header_bytes":16384`, fmt.Sprintf(`"max_header_bytes":%d`, limit), 1)
	}
	first := before
	if !trouble {
		first = after
	}
	if !l.configure(controls, configuration(1, first), 15*time.Second) {
		return unplayed, "the first configuration was not acknowledged"
	}
	for _, e := range entries {
		if !l.awaitReady(e, 15*time.Second) {
			return unplayed, e.name + " is not ready"
		}
	}
	// read sends a request on the client's channel, and returns its status.
	read := func(c *http.Client, client int, round string, head int) answer {
		id := fmt.Sprintf("%s-%d", round, client)
		addr := entries[client%len(entries)].settings["listen"].(map[string]string)["front"]
		header := map[string]string{"X-Damasklever-Request-Id": id, "X-Damasklever-Request-Deadline": "1500"}
		if head > 0 {
			header["X-Context"] = strings.Repeat("c", head)
		}
		got := callWith(c, http.MethodGet, addr, "desk.example", "/read/roster", "", header, 3*time.Second)
		l.record.printf("client %d: %s with a head of %d bytes more: %v", client, id, head, got)

		return got
	}
	kept := make([]*http.Client, clients)
	for i := range kept {
		kept[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		if got := read(kept[i], i, "small", 0); got.status != http.StatusOK {
			return unplayed, fmt.Sprintf("client %d: %v", i, got)
		}
	}
	if trouble && !l.configure(controls, configuration(2, after), 15*time.Second) {
		return unplayed, "the second configuration was not acknowledged"
	}
	time.Sleep(6 * time.Second) // longer than contact_ms and config_ms
	sent, denied := 0, 0
	var mu sync.Mutex
	var work sync.WaitGroup
	for i, c := range kept {
		work.Go(func() {
			got := read(c, i, "large", headBytes)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if got.err == nil && got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 {
				denied++
			}
		})
	}
	work.Wait()
	text := fmt.Sprintf("%d of %d requests that the configuration in force allows were denied", denied, sent)
	if denied > allowedDenials+(clients+sent)/500 {
		return broken, text
	}

	return held, text
}
