package router

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/messenger"
)

// sender writes messages to a stream in order from its own goroutine, because a
// write blocks while the peer is slow.
type sender struct {
	stream *messenger.Stream
	failed func()
	mu     sync.Mutex
	queue  []proto.Message
	closed bool
	wake   chan struct{}
}

// newSender starts a sender; failed, if not nil, is called after a write
// failed.
func newSender(stream *messenger.Stream, failed func()) *sender {
	s := &sender{stream: stream, failed: failed, wake: make(chan struct{}, 1)}
	go s.run()

	return s
}

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
				// The reader of the stream notices that it is broken.
				_ = s.stream.Close()
				if s.failed != nil {
					s.failed()
				}

				return
			}
		}
	}
}
