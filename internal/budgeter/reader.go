package budgeter

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge is returned for a body over its own limit.
var ErrTooLarge = errors.New("the body is over the limit")

// firstBuffer is the size of the first buffer of a body of unknown length.
const firstBuffer = 4 << 10

// ReadAll reads a body of at most limit bytes whose buffers are counted by the hold before they are
// allocated. size is the length of the body, negative if it is unknown.
func (h *Hold) ReadAll(r io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // one more than allowed, to notice what is over the limit
	if size >= 0 {
		most = size
	}
	buffer, err := h.enlarge(nil, min(most, firstBuffer))
	for err == nil {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) == most {
				break
			}
			if buffer, err = h.enlarge(buffer, min(most, 2*int64(cap(buffer)))); err != nil {
				break
			}
		}
		var n int
		n, err = r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		h.Arrived(int64(n))
	}
	switch {
	case h.Dropped() != nil:
		return nil, h.Dropped()
	case size < 0 && int64(len(buffer)) == most:
		return nil, ErrTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), err != nil && !errors.Is(err, io.EOF):
		return nil, errors.Newf("read body: %w", err)
	case int64(len(buffer)) < size:
		return nil, errors.Newf("read body: %w", io.ErrUnexpectedEOF)
	}

	return buffer, nil
}

// enlarge returns a copy of a buffer with another capacity. During the copy both are counted.
func (h *Hold) enlarge(buffer []byte, capacity int64) ([]byte, error) {
	if err := h.Grow(capacity); err != nil {
		return buffer, err
	}
	out := append(make([]byte, 0, capacity), buffer...)
	h.Shrink(int64(cap(buffer)))

	return out, nil
}

// ReadUpTo reads at most limit bytes, fewer if the bytes are used up, and reports whether that was
// all. The hold keeps counting its buffer.
func (h *Hold) ReadUpTo(r io.Reader, limit int64) (b []byte, ended bool, err error) {
	for int64(len(b)) < limit {
		if len(b) == cap(b) {
			larger, err := h.enlarge(b, min(limit, max(firstBuffer, 2*int64(cap(b)))))
			if err != nil {
				return b, false, nil //nolint:nilerr // the caller goes on without a buffer
			}
			b = larger
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return b, true, nil
		default:
			return nil, false, err //nolint:wrapcheck // the callers add the context
		}
	}

	return b, false, nil
}
