package crowd_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/damasklever/damasklever/internal/testlistener"
)

// endlessCallers is several times the number of calls that the agent makes at a time.
const endlessCallers = 16

// Guards against an agent that holds whatever its service sends in place of an answer.
func TestServiceWithoutEnd(t *testing.T) {
	tests := map[string]testlistener.EndlessResponse{
		"announced_body": {Begin: "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", Piece: "x"},
	}
	for _, name := range []string{"short fields", "interim responses"} {
		tests["head/"+name] = testlistener.EndlessHeads()[name]
	}
	for _, name := range []string{"zeros", "chunks", "failure", "trailers"} {
		tests["body/"+name] = testlistener.EndlessBodies()[name]
	}
	for name, endless := range tests {
		t.Run(name, func(t *testing.T) {
			s := startSystemWith(t, endless)
			var crowd sync.WaitGroup
			for range endlessCallers {
				crowd.Go(func() {
					status, _, err := s.send(t.Context(), http.MethodGet, "http://"+s.addrs["entry"]+"/s/echo/endless", "")
					if err == nil && status < http.StatusInternalServerError {
						t.Errorf("answer: got status %d, want a failure", status)
					}
				})
			}
			crowd.Wait()
			s.check()
		})
	}
}
