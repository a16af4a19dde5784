package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// tally counts what became of the requests of a flood.
type tally struct {
	whole, refused, failed, cut, unreachable atomic.Int64
}

// floodMain sends streamed requests to several entries at once, as a balancer
// would spread them, until a file appears, and reports whether any was cut off.
func floodMain() {
	workers := flag.Int("workers", 30, "requests at a time")
	tokens := flag.Int("tokens", 20, "tokens of each answer")
	until := flag.String("until", "", "file that ends the flood")
	flag.Parse()
	var t tally
	var work sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ended := func() bool {
		_, err := os.Stat(*until)

		return err == nil
	}
	limit := time.Now().Add(waitLimit)
	for w := range *workers {
		work.Go(func() {
			for n := 0; !ended() && time.Now().Before(limit); n++ {
				entry := flag.Arg((w + n) % flag.NArg())
				body := fmt.Sprintf(`{"model":"summary","prompt":"Notes %d of %d","max_tokens":%d,"stream":true}`, n, w, *tokens)
				t.count(client.Post("http://"+entry+"/v1/completions", "application/json", strings.NewReader(body)))
			}
		})
	}
	work.Wait()
	fmt.Printf("some whole: %t\ncut off: %d\nfailed: %d\n", t.whole.Load() > 0, t.cut.Load(), t.failed.Load())
	fmt.Fprintf(os.Stderr, "whole %d, refused %d, unreachable %d\n",
		t.whole.Load(), t.refused.Load(), t.unreachable.Load())
}

func (t *tally) count(response *http.Response, err error) {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED):
		t.unreachable.Add(1) // a balancer would have known
		<-time.After(time.Millisecond)

		return
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		t.cut.Add(1)

		return
	}
	defer response.Body.Close()
	body := readAll(response)
	switch {
	case strings.Contains(body, "body cut off"), response.StatusCode == http.StatusOK && !strings.Contains(body, "[DONE]") &&
		!strings.Contains(body, "event: error"):
		fmt.Fprintln(os.Stderr, body)
		t.cut.Add(1)
	case response.StatusCode == http.StatusOK && strings.Contains(body, "[DONE]"):
		t.whole.Add(1)
	case response.StatusCode == http.StatusOK, response.Header.Get("Damask-Outcome") != "not-run":
		fmt.Fprintln(os.Stderr, body)
		t.failed.Add(1)
	default:
		t.refused.Add(1)
	}
}
