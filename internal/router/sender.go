package router

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/messenger"
)

// sender queues messages and writes them to a stream in order from its own goroutine,
// because a write blocks while the peer is slow.
type sender struct {
	stream  *messenger.Stream
	onError func()
	mu      sync.Mutex
	queue   []proto.Message
	closed  bool
	wake    chan struct{}
}

// newSender starts a sender. After a failed write it closes the stream and calls
// onError, if not nil.
func newSender(stream *messenger.Stream, onError func()) *sender {
	s := &sender{stream: stream, onError: onError, wake: make(chan struct{}, 1)}
	go s.run()

	return s
}

// send queues a message. It does not block.
func (s *sender) send(m proto.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, m)
	s.notify()
}

func (s *sender) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// close stops the sender and drops queued messages. The stream stays open.
func (s *sender) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.notify()
}

func (s *sender) run() {
	for range s.wake {
		s.mu.Lock()
		batch, closed := s.queue, s.closed
		s.queue = nil
		s.mu.Unlock()
		if closed {
			return
		}
		for _, m := range batch {
			if err := s.stream.Send(m); err != nil {
				// Closing the stream makes its reader return an error.
				_ = s.stream.Close()
				if s.onError != nil {
					s.onError()
				}

				return
			}
		}
	}
}
