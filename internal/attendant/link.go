package attendant

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

// flushTime bounds the wait for an entry that does not read its last replies.
const flushTime = 2 * time.Second

// sender is the write side of a stream.
type sender interface {
	Send(m proto.Message) error
}

// outbox sends replies in order from its own goroutine, so that a slow entry
// never blocks the agent. It is bounded by the answers of the stream's attempts.
type outbox struct {
	stream sender
	mu     sync.Mutex
	queue  []*wire.Reply
	busy   bool
	closed bool
	wake   chan struct{}
	idle   *sync.Cond
	done   chan struct{}
}

var _ link = (*outbox)(nil)

func newOutbox(s sender) *outbox {
	o := &outbox{stream: s, wake: make(chan struct{}, 1), done: make(chan struct{})}
	o.idle = sync.NewCond(&o.mu)
	go o.run()

	return o
}

// Send implements link. After Close it does nothing.
func (o *outbox) Send(r *wire.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.queue = append(o.queue, r)
	o.signal()
}

// Flush waits until everything was sent or the stream broke. An entry that does
// not read is given up after a time.
func (o *outbox) Flush() {
	defer time.AfterFunc(flushTime, o.Close).Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for !o.closed && (o.busy || len(o.queue) > 0) {
		o.idle.Wait()
	}
}

// Close drops what is not sent and ends the goroutine.
func (o *outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.queue = nil
	o.idle.Broadcast()
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) run() {
	defer close(o.done)
	for range o.wake {
		for {
			batch, closed := o.next()
			if closed {
				return
			}
			if len(batch) == 0 {
				break
			}
			for _, r := range batch {
				if err := o.stream.Send(r); err != nil {
					o.Close()

					return
				}
			}
		}
	}
}

func (o *outbox) next() ([]*wire.Reply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queue
	o.queue = nil
	o.busy = len(batch) > 0
	if !o.busy {
		o.idle.Broadcast()
	}

	return batch, o.closed
}
