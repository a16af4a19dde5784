package messenger_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against messages that are lost, truncated or reordered on a stream, and
// against a Recv that does not report the end of the stream.
func TestStreamCarriesMessagesInOrder(t *testing.T) {
	l, err := messenger.Listen("127.0.0.1:0", echo)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	session, err := messenger.Dial(t.Context(), l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	stream, err := session.Open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for seq := range int64(100) {
		if err := stream.Send(&wire.Chunk{Seq: seq, Text: "text"}); err != nil {
			t.Fatal(err)
		}
		var chunk wire.Chunk
		if err := stream.Recv(&chunk); err != nil {
			t.Fatal(err)
		}
		if got, want := chunk.GetSeq(), seq; got != want {
			t.Fatalf("seq: got %d, want %d", got, want)
		}
	}
	if err := stream.Send(&wire.Chunk{Seq: -1}); err != nil {
		t.Fatal(err)
	}
	if got, want := stream.Recv(&wire.Chunk{}), io.EOF; !errors.Is(got, want) {
		t.Errorf("after the end: got %v, want %v", got, want)
	}
}

// echo sends back each chunk until it receives a negative sequence number.
func echo(_ context.Context, s *messenger.Stream) {
	for {
		var chunk wire.Chunk
		if err := s.Recv(&chunk); err != nil || chunk.GetSeq() < 0 {
			return
		}
		if err := s.Send(&chunk); err != nil {
			return
		}
	}
}

// Guards against a Close that leaves handlers running or blocks for ever.
func TestListenerCloseEndsHandlers(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	l, err := messenger.Listen("127.0.0.1:0", func(ctx context.Context, _ *messenger.Stream) {
		close(started)
		<-ctx.Done()
		close(ended)
	})
	if err != nil {
		t.Fatal(err)
	}
	session, err := messenger.Dial(t.Context(), l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	stream, err := session.Open(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&wire.Chunk{}); err != nil {
		t.Fatal(err)
	}
	<-started
	go func() { _ = l.Close() }()
	<-ended
	<-l.Done()
	<-session.Done()
}

// Guards against a message that was received before the end of the connection and is
// lost with it, and against a Recv or Send that waits after the end.
func TestEndOfConnectionKeepsReceivedMessages(t *testing.T) {
	ends := map[string]func(l *messenger.Listener, s *messenger.Session) error{
		"closed here":    func(_ *messenger.Listener, s *messenger.Session) error { return s.Close() },
		"closed by peer": func(l *messenger.Listener, _ *messenger.Session) error { return l.Close() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{}, 2)
			l, err := messenger.Listen("127.0.0.1:0", func(ctx context.Context, s *messenger.Stream) {
				var chunk wire.Chunk
				if err := s.Recv(&chunk); err == nil && s.Send(&chunk) == nil {
					sent <- struct{}{}
					<-ctx.Done()
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			session, err := messenger.Dial(t.Context(), l.Addr())
			if err != nil {
				t.Fatal(err)
			}
			// The second message is received after the first, whose stream is not read.
			streams := make([]*messenger.Stream, 2)
			for i := range streams {
				if streams[i], err = session.Open(t.Context()); err != nil {
					t.Fatal(err)
				}
				if err := streams[i].Send(&wire.Chunk{Seq: 7}); err != nil {
					t.Fatal(err)
				}
				<-sent
			}
			if err := streams[1].Recv(&wire.Chunk{}); err != nil {
				t.Fatal(err)
			}
			if err := end(l, session); err != nil {
				t.Fatal(err)
			}
			<-session.Done()
			if err := streams[0].SetDeadline(time.Time{}); err != nil {
				t.Error(err)
			}
			var chunk wire.Chunk
			if err := streams[0].Recv(&chunk); err != nil {
				t.Fatalf("received message: %v", err)
			}
			if got, want := chunk.GetSeq(), int64(7); got != want {
				t.Errorf("seq: got %d, want %d", got, want)
			}
			if got, want := streams[0].Recv(&chunk), io.EOF; !errors.Is(got, want) {
				t.Errorf("after the end: got %v, want %v", got, want)
			}
			if err := streams[0].Send(&chunk); err == nil {
				t.Error("send after the end: got no error")
			}
		})
	}
}
