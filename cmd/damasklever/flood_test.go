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

// floodCounts counts the requests of a flood by result.
type floodCounts struct {
	complete, refused, failed, cutOff, unreachable atomic.Int64
}

// floodMain sends concurrent streamed requests to several entries in turn, as a load balancer
// would distribute them, until a file exists. It then prints how many were cut off or failed.
func floodMain() {
	workers := flag.Int("workers", 30, "number of concurrent requests")
	tokens := flag.Int("tokens", 20, "tokens of each response")
	until := flag.String("until", "", "file whose existence ends the flood")
	flag.Parse()
	var counts floodCounts
	var work sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ended := func() bool {
		_, err := os.Stat(*until)

		return err == nil
	}
	deadline := time.Now().Add(waitTimeout)
	for w := range *workers {
		work.Go(func() {
			for n := 0; !ended() && time.Now().Before(deadline); n++ {
				entry := flag.Arg((w + n) % flag.NArg())
				body := fmt.Sprintf(`{"model":"summary","prompt":"Notes %d of %d","max_tokens":%d,"stream":true}`, n, w, *tokens)
				counts.add(client.Post("http://"+entry+"/v1/completions", "application/json", strings.NewReader(body)))
			}
		})
	}
	work.Wait()
	fmt.Printf("some whole: %t\ncut off: %d\nfailed: %d\n", counts.complete.Load() > 0, counts.cutOff.Load(), counts.failed.Load())
	fmt.Fprintf(os.Stderr, "whole %d, refused %d, unreachable %d\n",
		counts.complete.Load(), counts.refused.Load(), counts.unreachable.Load())
}

func (c *floodCounts) add(response *http.Response, err error) {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED):
		c.unreachable.Add(1) // a load balancer would not send requests to this entry any more
		<-time.After(time.Millisecond)

		return
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		c.cutOff.Add(1)

		return
	}
	defer response.Body.Close()
	body := readAll(response)
	switch {
	case strings.Contains(body, "body cut off"), response.StatusCode == http.StatusOK && !strings.Contains(body, "[DONE]") &&
		!strings.Contains(body, "event: error"):
		fmt.Fprintln(os.Stderr, body)
		c.cutOff.Add(1)
	case response.StatusCode == http.StatusOK && strings.Contains(body, "[DONE]"):
		c.complete.Add(1)
	case response.StatusCode == http.StatusOK, response.Header.Get("Damask-Outcome") != "not-run":
		fmt.Fprintln(os.Stderr, body)
		c.failed.Add(1)
	default:
		c.refused.Add(1)
	}
}
