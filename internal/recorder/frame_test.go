package recorder

import (
	"bytes"
	"testing"
)

// Guards against a decoder that crashes on damaged files, or that returns frames
// which the file does not contain.
func FuzzDecodeFrames(f *testing.F) {
	one := appendFrame(nil, frame{number: 1, payload: []byte("one")})
	two := appendFrame(one, frame{number: 2, payload: nil})
	f.Add([]byte{})
	f.Add(one)
	f.Add(two)
	f.Add(two[:len(two)-1])
	f.Add(append(bytes.Clone(one[1:]), two...))
	f.Fuzz(func(t *testing.T, data []byte) {
		frames, end, err := decodeFrames(data)
		var encoded []byte
		for _, x := range frames {
			encoded = appendFrame(encoded, x)
		}
		if got, want := encoded, data[:end]; !bytes.Equal(got, want) {
			t.Errorf("frames up to offset %d: got %x, want %x", end, got, want)
		}
		if err == nil && findFrame(data, end) >= 0 {
			t.Errorf("decoder skipped a valid frame after offset %d", end)
		}
	})
}
