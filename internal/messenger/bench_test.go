package messenger_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/wire"
)

// BenchmarkIdleMemory measures the memory of idle sessions and of idle streams, both
// ends together.
func BenchmarkIdleMemory(b *testing.B) {
	const sessions, streams = 200, 20
	l, err := messenger.Listen("127.0.0.1:0", echo)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for b.Loop() {
		var opened []*messenger.Session
		empty := memoryInUse()
		for range sessions {
			s, err := messenger.Dial(b.Context(), l.Addr())
			if err != nil {
				b.Fatal(err)
			}
			opened = append(opened, s)
			useStream(b, s)
		}
		withOne := memoryInUse()
		for _, s := range opened {
			for range streams {
				useStream(b, s)
			}
		}
		withAll := memoryInUse()
		b.ReportMetric(float64(withOne-empty)/sessions, "B/session")
		b.ReportMetric(float64(withAll-withOne)/sessions/streams, "B/stream")
		for _, s := range opened {
			_ = s.Close()
		}
	}
}

// BenchmarkStream measures a stream that carries one message in each direction.
func BenchmarkStream(b *testing.B) {
	l, err := messenger.Listen("127.0.0.1:0", echo)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	s, err := messenger.Dial(context.Background(), l.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		stream := useStream(b, s)
		if err := stream.Close(); err != nil {
			b.Fatal(err)
		}
	}
}

// useStream opens a stream and exchanges a message on it.
func useStream(b *testing.B, s *messenger.Session) *messenger.Stream {
	b.Helper()
	stream, err := s.Open(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	if err := stream.Send(&wire.Chunk{Seq: 1}); err != nil {
		b.Fatal(err)
	}
	if err := stream.Recv(&wire.Chunk{}); err != nil {
		b.Fatal(err)
	}

	return stream
}

// memoryInUse returns the memory of the heap and of the stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc + m.StackInuse
}
