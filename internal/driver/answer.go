package driver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// smallResponse is the size up to which a response is read without asking for memory.
	smallResponse = 256 << 10 // bytes
	// copiesOfResponse is how often a response is in memory: as received, and encoded for the
	// entry.
	copiesOfResponse = 2
)

// responseMemory bounds the memory of large responses until they have been passed on. A response
// that waits for memory still occupies its backend server, so that no further one is started.
type responseMemory struct {
	limit int64
	free  *semaphore.Weighted
}

// LimitMemory bounds the bytes of large responses that are in memory at a time. It is called
// before the first Run.
func (c *Client) LimitMemory(limit int64) {
	c.memory = &responseMemory{limit: limit, free: semaphore.NewWeighted(limit)}
}

// responseHold is the memory of one response.
type responseHold struct {
	memory *responseMemory
	bytes  int64
}

func (h responseHold) release() {
	if h.memory != nil {
		h.memory.free.Release(h.bytes)
	}
}

// acquire waits for the memory of a response of a size.
func (m *responseMemory) acquire(ctx context.Context, size int64) (responseHold, error) {
	if m == nil || size <= smallResponse {
		return responseHold{}, nil
	}
	hold := responseHold{memory: m, bytes: min(copiesOfResponse*size, m.limit)}
	if err := m.free.Acquire(ctx, hold.bytes); err != nil {
		return responseHold{}, errors.Newf("wait for other responses: %w", err)
	}

	return hold, nil
}

// largest returns the maximum size of a response.
func (m *responseMemory) largest() int64 {
	if m == nil {
		return maxResponseBytes
	}

	return min(maxResponseBytes, m.limit)
}

// readResponse reads the body of a response.
func (c *Client) readResponse(ctx context.Context, res *http.Response) ([]byte, responseHold, error) {
	if res.Body == http.NoBody { // a response to HEAD may state a length
		return nil, responseHold{}, nil
	}
	largest := c.memory.largest()
	if res.ContentLength > largest {
		return nil, responseHold{}, errResponseTooLarge
	}
	var body bytes.Buffer
	if res.ContentLength < 0 {
		// The first part of a response of unknown length is small.
		ended, err := readBlock(res.Body, &body, smallResponse)
		if ended || err != nil {
			return body.Bytes(), responseHold{}, err
		}
		hold, err := c.memory.acquire(ctx, largest)
		if err != nil {
			return nil, hold, err
		}
		whole, err := readBlocks(res.Body, body.Bytes(), largest)

		return whole, hold, err
	}
	hold, err := c.memory.acquire(ctx, res.ContentLength)
	if err != nil {
		return nil, hold, err
	}
	body.Grow(int(res.ContentLength) + bytes.MinRead)
	_, err = readBlock(res.Body, &body, res.ContentLength)

	return body.Bytes(), hold, err
}

// blockBytes is the size of the blocks in which a response of unknown length is read.
const blockBytes = 1 << 20

// readBlocks reads what follows first and returns all of it, at most a number of bytes. A buffer
// that doubles would take up to three times the size.
func readBlocks(r io.Reader, first []byte, limit int64) ([]byte, error) {
	blocks, size := [][]byte{first}, int64(len(first))
	for {
		var block bytes.Buffer
		block.Grow(blockBytes + bytes.MinRead)
		ended, err := readBlock(r, &block, blockBytes)
		if err != nil {
			return nil, err
		}
		blocks, size = append(blocks, block.Bytes()), size+int64(block.Len())
		if size > limit {
			return nil, errResponseTooLarge
		}
		if ended {
			return slices.Concat(blocks...), nil
		}
	}
}

// readBlock reads at most a number of bytes into a block. It returns true if the body has ended
// before.
func readBlock(r io.Reader, block *bytes.Buffer, size int64) (bool, error) {
	_, err := io.CopyN(block, r, size)
	if errors.Is(err, io.EOF) {
		return true, nil
	}

	return false, err //nolint:wrapcheck // wrapped by the caller
}
