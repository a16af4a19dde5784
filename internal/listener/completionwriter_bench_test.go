package listener_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/listener"
	"github.com/damasklever/damasklever/internal/timer"
)

// BenchmarkStream measures the cost of one streamed token from emit to the caller's socket.
func BenchmarkStream(b *testing.B) {
	fake := &fakeBackend{complete: func(_ context.Context, _ *listener.Completion, emit func(string, int64)) listener.Reply {
		for range b.N {
			emit("token ", 1)
		}

		return done()
	}}
	l, err := listener.New(listener.Settings{Listen: "127.0.0.1:0"}, fake, timer.NewManual(time.Unix(1000, 0)))
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	conn, _ := connect(b, l)
	b.ReportAllocs()
	b.ResetTimer()
	io.WriteString(conn, post("/v1/completions", `{"model":"m","prompt":"a","stream":true}`, "Connection: close"))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		b.Fatal(err)
	}
}
