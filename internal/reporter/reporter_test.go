package reporter_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/reporter"
)

// stuck is a writer that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.got.Write(b)
}

// Guards against a process that waits for whoever reads its log, and against
// lines that are lost without a word.
func TestPipeNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	p := reporter.NewPipe(out)
	l := reporter.New(reporter.Settings{Role: "entry", Name: "e 1", Level: "info", Writer: p})
	const lines = 5000
	for range lines {
		l.Info().Str("id", "r1").Msg("sent")
	}
	close(out.release)
	p.Close()
	<-p.Done()
	text := out.got.String()
	if got, want := strings.Contains(text, "msg=\"log lines dropped\" count="), true; got != want {
		t.Errorf("dropped lines are counted: got %v, want %v", got, want)
	}
	if got, want := strings.Contains(text, "role=entry proc=\"e 1\" id=r1"), true; got != want {
		t.Errorf("first line: got %q", strings.SplitN(text, "\n", 2)[0])
	}
}

// Guards against a process that does not end because nobody reads its log, and against
// the loss of its last lines where somebody does.
func TestFlush(t *testing.T) {
	for name, read := range map[string]bool{"nobody reads": false, "somebody reads": true} {
		t.Run(name, func(t *testing.T) {
			out := &stuck{release: make(chan struct{})}
			p := reporter.NewPipe(out)
			l := reporter.New(reporter.Settings{Role: "entry", Name: "e", Level: "info", Writer: p})
			l.Info().Msg("stopped")
			if read {
				close(out.release)
			}
			flushed := make(chan struct{})
			go func() {
				defer close(flushed)
				p.Flush()
			}()
			select {
			case <-flushed:
			case <-time.After(10 * time.Second):
				t.Fatal("flush: got no end in 10 s, want one after a bounded time")
			}
			if !read {
				close(out.release)
				<-p.Done()
			}
			if got, want := out.got.String(), "msg=stopped"; !strings.Contains(got, want) {
				t.Errorf("log: got %q, want %q in it", got, want)
			}
		})
	}
}
