package agent

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

// flushTimeout is the maximum time that Flush waits for an entry to read its replies.
const flushTimeout = 2 * time.Second

// sender is the sending side of a messenger.Stream.
type sender interface {
	Send(m proto.Message) error
}

// outbox is the send queue of a stream. It sends replies in order from its own
// goroutine, so that a slow entry does not block the agent. The queue has no limit of
// its own; its length is bounded by the answers of the stream's attempts.
type outbox struct {
	stream  sender
	mu      sync.Mutex
	queue   []*wire.Reply
	sending bool
	closed  bool
	wake    chan struct{}
	idle    *sync.Cond
	done    chan struct{}
}

var _ stream = (*outbox)(nil)

func newOutbox(s sender) *outbox {
	o := &outbox{stream: s, wake: make(chan struct{}, 1), done: make(chan struct{})}
	o.idle = sync.NewCond(&o.mu)
	go o.run()

	return o
}

// Send implements stream. After Close it does nothing.
func (o *outbox) Send(r *wire.Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.queue = append(o.queue, r)
	o.signal()
}

// Flush waits until all queued replies are sent or the stream is closed. It closes the
// outbox if this takes longer than flushTimeout.
func (o *outbox) Flush() {
	defer time.AfterFunc(flushTimeout, o.Close).Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for !o.closed && (o.sending || len(o.queue) > 0) {
		o.idle.Wait()
	}
}

// waitSent waits until all queued replies are sent or the stream is closed.
func (o *outbox) waitSent() {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for !o.closed && (o.sending || len(o.queue) > 0) {
		o.idle.Wait()
	}
}

// Close discards queued replies and ends the goroutine.
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
			batch, closed := o.nextBatch()
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

// nextBatch takes all queued replies. It also reports whether the outbox is closed.
func (o *outbox) nextBatch() ([]*wire.Reply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queue
	o.queue = nil
	o.sending = len(batch) > 0
	if !o.sending {
		o.idle.Broadcast()
	}

	return batch, o.closed
}
