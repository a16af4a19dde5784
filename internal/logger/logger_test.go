package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/logger"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.got.Write(b)
}

// Checks that writing to a log never blocks the process, and that dropped lines are
// reported.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := logger.NewAsyncWriter(out)
	l := logger.New(logger.Settings{Role: "entry", Name: "e 1", Level: "info", Writer: w})
	const lines = 5000
	for range lines {
		l.Info().Str("id", "r1").Msg("sent")
	}
	close(out.release)
	w.Close()
	<-w.Done()
	text := out.got.String()
	if got, want := strings.Contains(text, "msg=\"log lines dropped\" count="), true; got != want {
		t.Errorf("line with the number of dropped lines: got %v, want %v", got, want)
	}
	if got, want := strings.Contains(text, "role=entry proc=\"e 1\" id=r1"), true; got != want {
		t.Errorf("first line: got %q, want role, proc and id in it", strings.SplitN(text, "\n", 2)[0])
	}
}

// Checks that a process exits although its log is not read, and that its last lines
// are written if the log is read.
func TestFlush(t *testing.T) {
	for name, read := range map[string]bool{"log is not read": false, "log is read": true} {
		t.Run(name, func(t *testing.T) {
			out := &blockedWriter{release: make(chan struct{})}
			w := logger.NewAsyncWriter(out)
			l := logger.New(logger.Settings{Role: "entry", Name: "e", Level: "info", Writer: w})
			l.Info().Msg("stopped")
			if read {
				close(out.release)
			}
			flushed := make(chan struct{})
			go func() {
				defer close(flushed)
				w.Flush()
			}()
			select {
			case <-flushed:
			case <-time.After(10 * time.Second):
				t.Fatal("Flush did not return within 10s")
			}
			if !read {
				close(out.release)
				<-w.Done()
			}
			if got, want := out.got.String(), "msg=stopped"; !strings.Contains(got, want) {
				t.Errorf("log: got %q, want %q in it", got, want)
			}
		})
	}
}
