// Package compressor compresses large updates that control hosts send to their subscribers.
package compressor

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// minCompressSize is the size in bytes from which an update is compressed.
	minCompressSize = 8 << 10
	// maxDecompressedSize limits the size in bytes of a decompressed update, so that a small
	// message cannot exhaust the memory.
	maxDecompressedSize = 32 << 20
)

// Compress returns the notice for an update, compressed if the update is large. A control
// host sends the same update to all its subscribers, so it compresses each one only once.
func Compress(u *wire.Update) (*wire.Notice, error) {
	plain := &wire.Notice{Body: &wire.Notice_Update{Update: u}}
	if proto.Size(u) < minCompressSize {
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

// Decompress returns the update in a notice, or nil if the notice holds none.
func Decompress(n *wire.Notice) (*wire.Update, error) {
	packed, ok := n.GetBody().(*wire.Notice_Packed)
	if !ok {
		return n.GetUpdate(), nil
	}
	r := flate.NewReader(bytes.NewReader(packed.Packed))
	data, err := io.ReadAll(io.LimitReader(r, maxDecompressedSize+1))
	if err != nil {
		return nil, errors.Newf("decompress update: %w", err)
	}
	if len(data) > maxDecompressedSize {
		return nil, errors.Newf("decompressed update exceeds %d bytes", maxDecompressedSize)
	}
	u := &wire.Update{}
	if err := proto.Unmarshal(data, u); err != nil {
		return nil, errors.Newf("decode update: %w", err)
	}

	return u, nil
}
