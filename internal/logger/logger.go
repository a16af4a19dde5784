// Package logger sets up the log of a process, one line of key=value pairs per
// event, and provides a writer that never blocks the process on slow log output.
package logger

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Settings configures a logger.
type Settings struct {
	Role  string
	Name  string // name of the process
	Level string // debug, info, warn or error
	// Writer receives each line in a single call of Write.
	Writer io.Writer
}

// New returns a logger that writes each line to s.Writer without buffering.
func New(s Settings) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(s.Level),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("role", s.Role).Str("proc", s.Name).Value(),
		Writer:     &log.ConsoleWriter{Formatter: formatLine, Writer: s.Writer},
	}
}

// Discard returns a logger that discards all events.
func Discard() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

const (
	// maxQueuedLines is the number of lines queued for a slow writer.
	maxQueuedLines = 1024
	// maxLinesPerSecond limits the log volume. It allows about four lines for each
	// request that an entry handles at peak load.
	maxLinesPerSecond = 1000
)

// AsyncWriter forwards lines to a writer that may block. It drops lines that exceed the
// queue or the rate limit, and writes the number of dropped lines after the next
// line that it forwards.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu            sync.Mutex
	closed        bool
	dropped       int
	currentSecond int64 // Unix time
	accepted      int   // lines accepted in currentSecond
}

// NewAsyncWriter returns a writer that forwards lines to out. It starts a goroutine that
// ends after Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.writeLines()

	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if now := time.Now().Unix(); now != w.currentSecond {
		w.currentSecond, w.accepted = now, 0
	}
	if w.accepted >= maxLinesPerSecond {
		w.dropped++

		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		w.accepted++
	default:
		w.dropped++
	}

	return len(line), nil
}

func (w *AsyncWriter) writeLines() {
	defer close(w.done)
	for line := range w.lines {
		// A failed write is ignored because there is no other place to report it.
		_, _ = w.out.Write(line)
		w.mu.Lock()
		dropped := w.dropped
		w.dropped = 0
		w.mu.Unlock()
		if dropped > 0 {
			_, _ = io.WriteString(w.out, droppedNotice(dropped))
		}
	}
}

// Close stops accepting lines. Done is closed once the queued lines are written.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// flushTimeout is the maximum time that Flush waits.
const flushTimeout = 500 * time.Millisecond

// Flush closes the writer and waits up to flushTimeout until the queued lines are
// written. The wait is bounded because a reader that has stalled must not keep the
// process from exiting.
func (w *AsyncWriter) Flush() {
	w.Close()
	limit := time.NewTimer(flushTimeout)
	defer limit.Stop()
	select {
	case <-w.done:
	case <-limit.C:
	}
}

// Done returns a channel that is closed when the writer is closed and its queued lines
// are written.
func (w *AsyncWriter) Done() <-chan struct{} { return w.done }
