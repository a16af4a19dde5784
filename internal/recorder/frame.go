package recorder

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	frameMagic = "DLF1"
	// headerBytes is the size of a frame header: magic (4 bytes), payload length
	// (4), frame number (8), checksum of the payload (8), and checksum of the
	// preceding header fields (8). Integers are little-endian.
	headerBytes = 32
	// maxPayload limits the payload length that the decoder accepts from a corrupt
	// header.
	maxPayload = 1 << 30
)

var errInvalidFrame = errors.New("invalid frame")

// frame is one record of a file. Data that is synced together is written as one
// frame, so a crash leaves at most one invalid frame, and it is the last one.
type frame struct {
	number  uint64
	payload []byte
}

func appendFrame(dst []byte, f frame) []byte {
	start := len(dst)
	dst = append(dst, frameMagic...)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(f.payload)))
	dst = binary.LittleEndian.AppendUint64(dst, f.number)
	dst = binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(f.payload))
	dst = binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(dst[start:]))

	return append(dst, f.payload...)
}

// decodeFrame decodes the frame at the start of data and returns it with its
// encoded size.
func decodeFrame(data []byte) (frame, int, error) {
	if len(data) < headerBytes || string(data[:4]) != frameMagic {
		return frame{}, 0, errInvalidFrame
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if binary.LittleEndian.Uint64(data[24:]) != xxhash.Sum64(data[:24]) ||
		length > maxPayload || int(length) > len(data)-headerBytes {
		return frame{}, 0, errInvalidFrame
	}
	size := headerBytes + int(length)
	payload := data[headerBytes:size]
	if binary.LittleEndian.Uint64(data[16:]) != xxhash.Sum64(payload) {
		return frame{}, 0, errInvalidFrame
	}

	return frame{number: binary.LittleEndian.Uint64(data[8:]), payload: payload}, size, nil
}

// decodeFrames decodes a log file. It returns the frames and the offset at which
// the last one ends; the data after it is a torn tail. It returns an error if a
// valid frame follows an invalid one: that is damage and not the effect of a
// crash, since a frame is written only after the previous one was synced. The
// returned offset is then that of the invalid frame.
func decodeFrames(data []byte) ([]frame, int, error) {
	var frames []frame
	offset := 0
	for offset < len(data) {
		f, size, err := decodeFrame(data[offset:])
		if err != nil {
			if at := findFrame(data, offset+1); at >= 0 {
				return frames, offset, errors.Newf(
					"frame %d at offset %d is damaged: a valid frame follows at offset %d", len(frames), offset, at)
			}

			break
		}
		if n := len(frames); n > 0 && f.number != frames[n-1].number+1 {
			return frames, offset, errors.Newf("frame at offset %d has number %d, want %d",
				offset, f.number, frames[n-1].number+1)
		}
		frames = append(frames, f)
		offset += size
	}

	return frames, offset, nil
}

// findFrame returns the offset of the first valid frame at or after offset, or
// -1 if there is none.
func findFrame(data []byte, offset int) int {
	for offset < len(data) {
		i := bytes.Index(data[offset:], []byte(frameMagic))
		if i < 0 {
			return -1
		}
		offset += i
		if _, _, err := decodeFrame(data[offset:]); err == nil {
			return offset
		}
		offset++
	}

	return -1
}
