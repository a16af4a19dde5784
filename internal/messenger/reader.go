package messenger

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// firstPart is the size of the buffer for a message of which nothing has been received.
const firstPart = 32 << 10 // bytes

// ErrTooLarge means that the announced length of a message is over the limit.
var ErrTooLarge = errors.New("the message is too large")

// counter counts the bytes of a message that is being received.
type counter interface {
	Grow(n int64) error
	Arrived(n int64)
}

// receive reads the next message into m. It allocates memory only for bytes that have been
// received, because the announced length may be wrong.
func receive(r *bufio.Reader, m proto.Message, held counter, reserve func(size int64) error) error {
	size, err := binary.ReadUvarint(r)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return errors.Newf("read length of message: %w", err)
	}
	if size > maxMessageBytes {
		return errors.Newf("%d bytes: %w", size, ErrTooLarge)
	}
	if size <= uint64(r.Size()) {
		return receiveSmall(r, m, int(size))
	}
	first := firstPart
	if reserve != nil && size > firstPart {
		if err := reserve(int64(size)); err != nil {
			return errors.Newf("find memory for message: %w", err)
		}
		first = int(size)
	}
	data, err := readParts(r, first, int(size), held)
	if err != nil {
		return errors.Newf("read message: %w", err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return errors.Newf("decode message: %w", err)
	}

	return nil
}

// receiveSmall reads a message that fits the reader's buffer.
func receiveSmall(r *bufio.Reader, m proto.Message, size int) error {
	data, err := r.Peek(size)
	if err != nil {
		return errors.Newf("read message: %w", unexpected(err))
	}
	err = proto.Unmarshal(data, m)
	_, _ = r.Discard(size)
	if err != nil {
		return errors.Newf("decode message: %w", err)
	}

	return nil
}

// readParts reads size bytes into a buffer that has first bytes and doubles when it is full.
func readParts(r io.Reader, first, size int, held counter) ([]byte, error) {
	var data []byte
	for filled := 0; filled < size; {
		next := min(size, max(first, 2*filled)) //nolint:mnd // doubles
		if held != nil {
			if err := held.Grow(copiesOfMessage * int64(next-filled)); err != nil {
				return nil, err //nolint:wrapcheck // wrapped by the caller
			}
		}
		grown := make([]byte, next)
		copy(grown, data)
		data = grown
		if err := fill(r, data[filled:], held); err != nil {
			return nil, unexpected(err)
		}
		filled = next
	}

	return data, nil
}

// unexpected returns the error for the end of a stream within a message.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

// fill reads until part is full.
func fill(r io.Reader, part []byte, held counter) error {
	for len(part) > 0 {
		n, err := r.Read(part)
		if held != nil {
			held.Arrived(int64(n))
		}
		part = part[n:]
		if err != nil && len(part) > 0 {
			return err //nolint:wrapcheck // wrapped by the callers
		}
	}

	return nil
}
