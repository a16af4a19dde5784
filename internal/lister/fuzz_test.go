package lister_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a message that is accepted although the resulting listing does not have
// the digest in the message.
func FuzzNext(f *testing.F) {
	held := lister.NewListing(1, 1, epoch, []placer.Server{{ID: "a"}, {ID: "b", Leaving: true}})
	next := lister.NewListing(1, 2, epoch, []placer.Server{{ID: "b"}, {ID: "c"}})
	for _, m := range []*wire.Listing{held.Message(epoch, nil), next.Message(epoch, held), {Age: -1}, {Base: 1}} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &wire.Listing{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		got, err := lister.ApplyMessage(epoch, held, m)
		if err != nil {
			return
		}
		if got.Digest() != m.GetDigest() {
			t.Errorf("digest: got %x, want %x", got.Digest(), m.GetDigest())
		}
		if got.ReadTime().After(epoch.Add(time.Millisecond)) {
			t.Errorf("read time: got %s, want no time after now", got.ReadTime())
		}
	})
}
