package controller_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

func encode(f *testing.F, m proto.Message) []byte {
	f.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}

	return data
}

// FuzzServe guards against a malformed message from a process, an operator or a control
// host that crashes the receiving control host.
func FuzzServe(f *testing.F) {
	peer := encode(f, &wire.Peer{From: 9, To: 1})
	for _, m := range []*wire.Request{
		{},
		{Body: &wire.Request_Attach{Attach: &wire.Attach{Name: "e", Role: "entry", Index: 1 << 63}}},
		{Body: &wire.Request_Attach{Attach: &wire.Attach{Name: "a", Role: "agent", Pieces: -1}}},
		{Body: &wire.Request_Command{Command: &wire.Command{}}},
		{Body: &wire.Request_Command{Command: &wire.Command{Id: "x", Body: &wire.Command_Plan{}}}},
		{Body: &wire.Request_Command{Command: &wire.Command{Id: "x", Body: &wire.Command_Blame{Blame: &wire.Blame{Span: -1, After: -1, Hold: -1}}}}},
		{Body: &wire.Request_Command{Command: &wire.Command{Id: "x", Body: &wire.Command_Peering{Peering: &wire.Peering{Verb: "remove"}}}}},
		{Body: &wire.Request_Query{Query: &wire.Query{Subject: "claims", Limit: -1}}},
		{Body: &wire.Request_Census{}},
		{Body: &wire.Request_Quotas{Quotas: &wire.Quotas{Quotas: []*wire.Quota{nil, {Entry: "e"}}}}},
		{Body: &wire.Request_Join{Join: &wire.Join{From: 9, Addr: "nonsense"}}},
	} {
		f.Add(encode(f, m), peer)
	}
	s := settings(f.TempDir())
	s.PulseInterval = time.Second
	h := start(f, s)
	f.Fuzz(func(t *testing.T, encoded, message []byte) {
		r, p, b := &wire.Request{}, &wire.Peer{}, &wire.Beat{}
		if proto.Unmarshal(encoded, r) != nil {
			return // covered by messenger.FuzzReceive
		}
		stream := openStream(t, h, r)
		if proto.Unmarshal(message, p) == nil {
			_ = stream.Send(p)
		}
		if proto.Unmarshal(message, b) == nil {
			_ = stream.Send(b)
		}
		_ = stream.Close()
		if request(t, h, &wire.Request{Body: &wire.Request_Greet{}}).GetGreeting() == nil {
			t.Error("the host no longer answers")
		}
		select {
		case <-h.Done():
			t.Fatalf("the host has stopped: %v", h.Err())
		default:
		}
	})
}
