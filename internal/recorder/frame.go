package recorder

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	frameMagic = "DLF1"
	// headerBytes: magic 4, length 4, number 8, checksum of the payload 8,
	// checksum of the header so far 8; integers are little-endian.
	headerBytes = 32
	// maxPayload bounds what a faulty header can make the decoder believe.
	maxPayload = 1 << 30
)

var errFrame = errors.New("no valid frame")

// frame is one record of a file. Everything synced together is one frame, so a
// crash leaves at most one frame that is not valid, and it is the last one.
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

// decodeFrame reads the frame at the start of data and returns its size.
func decodeFrame(data []byte) (frame, int, error) {
	if len(data) < headerBytes || string(data[:4]) != frameMagic {
		return frame{}, 0, errFrame
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if binary.LittleEndian.Uint64(data[24:]) != xxhash.Sum64(data[:24]) ||
		length > maxPayload || int(length) > len(data)-headerBytes {
		return frame{}, 0, errFrame
	}
	size := headerBytes + int(length)
	payload := data[headerBytes:size]
	if binary.LittleEndian.Uint64(data[16:]) != xxhash.Sum64(payload) {
		return frame{}, 0, errFrame
	}

	return frame{number: binary.LittleEndian.Uint64(data[8:]), payload: payload}, size, nil
}

// decodeFrames reads a log file. It returns the frames and the offset of the
// end of the last one; what follows is a torn tail. An invalid frame with a
// valid one after it is damage: the later one was written only after the
// earlier one was synced. The offset is then that of the invalid frame.
func decodeFrames(data []byte) ([]frame, int, error) {
	var frames []frame
	offset := 0
	for offset < len(data) {
		f, size, err := decodeFrame(data[offset:])
		if err != nil {
			if at := nextFrame(data, offset+1); at >= 0 {
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

// nextFrame returns the offset of the first valid frame at or after offset, or
// -1.
func nextFrame(data []byte, offset int) int {
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
