package recorder

import (
	"bytes"
	"testing"
)

// Guards against a decoder that crashes on damaged files, or that accepts
// frames which are not in the file.
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
		var again []byte
		for _, x := range frames {
			again = appendFrame(again, x)
		}
		if got, want := again, data[:end]; !bytes.Equal(got, want) {
			t.Errorf("frames up to offset %d: got %x, want %x", end, got, want)
		}
		if err == nil && nextFrame(data, end) >= 0 {
			t.Errorf("a valid frame after offset %d was passed over", end)
		}
	})
}
