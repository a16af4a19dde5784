// Package reporter writes a process's log: one line of key=value pairs for each
// event. A writer that is slow or stuck never holds up the process.
package reporter

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Settings of a log.
type Settings struct {
	Role  string
	Name  string // of the process
	Level string // debug, info, warn or error
	// Writer takes whole lines.
	Writer io.Writer
}

// New returns a logger that writes each line as it comes.
func New(s Settings) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(s.Level),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("role", s.Role).Str("proc", s.Name).Value(),
		Writer:     &log.ConsoleWriter{Formatter: formatLine, Writer: s.Writer},
	}
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

const (
	// backlog is the number of lines that wait for a slow writer.
	backlog = 1024
	// linesPerSecond bounds the volume: some four lines for each of the requests
	// that one entry takes at its peak.
	linesPerSecond = 1000
)

// Pipe passes lines on to a writer that may block. Lines beyond the backlog, or
// beyond the volume of a second, are dropped, and their number is written with the
// next line.
type Pipe struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
	second  int64 // Unix seconds
	written int   // lines in that second
}

// NewPipe starts to pass lines on to out.
func NewPipe(out io.Writer) *Pipe {
	p := &Pipe{out: out, lines: make(chan []byte, backlog), done: make(chan struct{})}
	go p.run()

	return p
}

// Write implements io.Writer. It never blocks and never fails.
func (p *Pipe) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return len(line), nil
	}
	if now := time.Now().Unix(); now != p.second {
		p.second, p.written = now, 0
	}
	if p.written >= linesPerSecond {
		p.dropped++

		return len(line), nil
	}
	select {
	case p.lines <- append([]byte(nil), line...):
		p.written++
	default:
		p.dropped++
	}

	return len(line), nil
}

func (p *Pipe) run() {
	defer close(p.done)
	for line := range p.lines {
		// There is nowhere to report that the log cannot be written.
		_, _ = p.out.Write(line)
		p.mu.Lock()
		dropped := p.dropped
		p.dropped = 0
		p.mu.Unlock()
		if dropped > 0 {
			_, _ = io.WriteString(p.out, lost(dropped))
		}
	}
}

// Close ends the pipe. Done is closed when what waits has been written.
func (p *Pipe) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.lines)
	}
}

// flushTime is how long the end of a process waits for a reader of its log.
const flushTime = 500 * time.Millisecond

// Flush ends the pipe and gives what waits a bounded time to be written: a reader that
// stands still must not keep the process.
func (p *Pipe) Flush() {
	p.Close()
	limit := time.NewTimer(flushTime)
	defer limit.Stop()
	select {
	case <-p.done:
	case <-limit.C:
	}
}

// Done is closed when the pipe has ended.
func (p *Pipe) Done() <-chan struct{} { return p.done }
