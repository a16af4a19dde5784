package compressor_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/compressor"
	"github.com/damasklever/damasklever/internal/wire"
)

func updateWithPaths(paths int) *wire.Update {
	p := &wire.Plan{Version: 3}
	for i := range paths {
		p.Paths = append(p.Paths, &wire.Path{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: "demi93.example", Prefix: fmt.Sprintf("/%06x/", i*104729),
			Nature: wire.Nature_NATURE_STREAM, Timeout: 14000, Target: 800, Gap: 300, Attempts: 1, Patience: 3200,
			Shares: []*wire.Share{{Pool: "huvo11a", Weight: 1}},
		})
	}

	return &wire.Update{Index: 7, Plan: p}
}

func TestCompress(t *testing.T) {
	for name, test := range map[string]struct {
		paths  int
		packed bool
	}{
		"small": {10, false},
		"large": {1500, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := updateWithPaths(test.paths)
			n, err := compressor.Compress(u)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(n.GetPacked()) > 0; got != test.packed {
				t.Errorf("packed: got %t, want %t", got, test.packed)
			}
			if got, most := proto.Size(n), proto.Size(u)/3; test.packed && got > most {
				t.Errorf("size: got %d of %d, want at most %d", got, proto.Size(u), most)
			}
			got, err := compressor.Decompress(n)
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(got, u) {
				t.Error("the update differs after decompression")
			}
		})
	}
}

// Guards against accepting a message that is not an update, and against decompressing
// without a limit.
func TestDecompressInvalid(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	zeros := make([]byte, 1<<20)
	for range 40 {
		if _, err := w.Write(zeros); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	for name, data := range map[string][]byte{"garbage": []byte("garbage"), "cut": {0xff}, "bomb": bomb.Bytes()} {
		t.Run(name, func(t *testing.T) {
			if _, err := compressor.Decompress(&wire.Notice{Body: &wire.Notice_Packed{Packed: data}}); err == nil {
				t.Error("error: got none, want one")
			}
		})
	}
}
