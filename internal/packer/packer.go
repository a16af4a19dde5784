// Package packer compresses large updates for the way to their subscribers.
package packer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// least is the size in bytes from which an update is compressed.
	least = 8 << 10
	// most bounds an update in bytes, so that a small message cannot fill the memory.
	most = 32 << 20
)

// Pack returns the notice of an update, compressed if it is large. A control host sends
// one update to all its subscribers, so it packs it once.
func Pack(u *wire.Update) (*wire.Notice, error) {
	plain := &wire.Notice{Body: &wire.Notice_Update{Update: u}}
	if proto.Size(u) < least {
		return plain, nil
	}
	data, err := proto.Marshal(u)
	if err != nil {
		return nil, errors.Newf("encode update: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Newf("compress update: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Newf("compress update: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Newf("compress update: %w", err)
	}

	return &wire.Notice{Body: &wire.Notice_Packed{Packed: out.Bytes()}}, nil
}

// Unpack returns the update of a notice, nil if it holds none.
func Unpack(n *wire.Notice) (*wire.Update, error) {
	packed, ok := n.GetBody().(*wire.Notice_Packed)
	if !ok {
		return n.GetUpdate(), nil
	}
	r := flate.NewReader(bytes.NewReader(packed.Packed))
	data, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, errors.Newf("decompress update: %w", err)
	}
	if len(data) > most {
		return nil, errors.Newf("the update is over %d bytes", most)
	}
	u := &wire.Update{}
	if err := proto.Unmarshal(data, u); err != nil {
		return nil, errors.Newf("decode update: %w", err)
	}

	return u, nil
}
