package grantclient_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/grantserver"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// FuzzServer checks that a grant server survives malformed messages of an entry.
func FuzzServer(f *testing.F) {
	for _, m := range []*wire.Call{
		{},
		{Body: &wire.Call_Ask{}},
		{Body: &wire.Call_Ask{Ask: &wire.Ask{Id: "a", Rank: -1, Pieces: 1}}},
		{Body: &wire.Call_Ask{Ask: &wire.Ask{Id: "a", Rank: 1 << 30, Pieces: 1 << 62, Due: 1 << 62, Cost: -1}}},
		{Body: &wire.Call_Ask{Ask: &wire.Ask{Id: "a", Phase: 99, Pieces: -1, Due: -1 << 62}}},
		{Body: &wire.Call_Withdraw{}},
		{Body: &wire.Call_Release{Release: &wire.Release{Broken: true}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	clock := timer.New()
	f.Cleanup(clock.Close)
	src := &source{report: grantserver.Report{Phase: grantserver.Decode, Total: 1600, StartID: 1}}
	gs, err := grantserver.New(grantserver.Settings{Listen: "127.0.0.1:0", Backend: "s", ReportSource: src, Timer: clock})
	if err != nil {
		f.Fatal(err)
	}
	if err := gs.Start(); err != nil {
		f.Fatal(err)
	}
	f.Cleanup(gs.Close)
	session, err := messenger.Dial(context.Background(), gs.Addr())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { session.Close() })
	join := func(t *testing.T, name string) *messenger.Stream {
		t.Helper()
		s, err := session.Open(t.Context())
		if err != nil {
			t.Fatalf("open a session with the grant server: %v", err)
		}
		if err := s.Send(&wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{Entry: name}}}); err != nil {
			t.Fatal(err)
		}
		reply := &wire.Reply{}
		if err := s.Recv(reply); err != nil || reply.GetWelcome() == nil {
			t.Fatalf("first reply: got %v (%v), want a welcome", reply, err)
		}

		return s
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		call := &wire.Call{}
		if proto.Unmarshal(data, call) != nil {
			return // covered by messenger.FuzzReceive
		}
		faulty := join(t, "faulty")
		for range 2 {
			if faulty.Send(call) != nil {
				break
			}
		}
		faulty.Close()
		join(t, "sound").Close()
	})
}
