package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Prefill is the request to compute the KV cache of a prompt.
type Prefill struct {
	ID     string   `json:"id"`
	Prompt string   `json:"prompt"`
	Prefix []uint64 `json:"prefix"`
	Tokens int64    `json:"tokens"`
	Pieces int64    `json:"pieces"`
	Rank   int32    `json:"rank"`
}

// PrefillResult is the result of a prefill. Handle identifies its KV cache for the
// import by another engine.
type PrefillResult struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
	Cached int64  `json:"cached"`
}

// Import is the request to copy a KV cache from another engine. Source is the address
// of that engine, "ip:port".
type Import struct {
	ID     string `json:"id"`
	Handle string `json:"handle"`
	Source string `json:"source"`
	Tokens int64  `json:"tokens"`
	Pieces int64  `json:"pieces"`
	Rank   int32  `json:"rank"`
}

// Decode is the request to generate an answer. A second request with the same id
// resumes the stream at Offset.
type Decode struct {
	ID     string `json:"id"`
	Offset int64  `json:"offset"`
	Limit  int64  `json:"limit"`
}

// Work is one piece of work that an engine holds memory for.
type Work struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Pieces int64  `json:"pieces"`
	AgeMS  int64  `json:"age"` // milliseconds
}

// Order is a command for the engine, such as a change of its role. Fence is the
// fencing token of the order.
type Order struct {
	ID      string `json:"id"`
	Verb    string `json:"verb"`
	Subject string `json:"subject"`
	Fence   uint64 `json:"fence"`
}

// Load is the engine's load report. It lags behind the engine's actual state.
type Load struct {
	Total   int64   `json:"total"`
	Free    int64   `json:"free"`
	Running int     `json:"running"`
	Rate    float64 `json:"rate"`
	Role    string  `json:"role"`
}

// Addr returns the address of the engine, which other engines import from.
func (c *Client) Addr() string { return c.addr }

// Prefill runs a prefill and returns once the result can be imported.
func (c *Client) Prefill(ctx context.Context, in Prefill) (PrefillResult, error) {
	var out PrefillResult
	if err := c.call(ctx, "/prefill", in, &out); err != nil {
		return PrefillResult{}, errors.Newf("prefill: %w", err)
	}
	if out.Handle == "" || out.Tokens < 0 || out.Cached < 0 {
		return PrefillResult{}, errors.Newf("prefill: %w", ErrInvalid)
	}

	return out, nil
}

// Import makes the engine copy a KV cache from another engine. It returns ErrStalled
// if the transfer makes no progress within the stall timeout.
func (c *Client) Import(ctx context.Context, in Import) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(c.clock, c.stallTimeout, func() { cancel(ErrStalled) })
	defer watch.close()
	err := c.importWithProgress(inner, in, watch.reset)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(inner), ErrStalled) {
		err = ErrStalled
	}
	if err != nil {
		return errors.Newf("import: %w", err)
	}

	return nil
}

// importWithProgress runs an import and calls progressed each time more data has
// been moved.
func (c *Client) importWithProgress(ctx context.Context, in Import, progressed func()) error {
	res, err := c.post(ctx, "/import", in)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	moved := int64(0)
	for lines := newScanner(res.Body); ; {
		data, err := readLine(ctx, lines)
		if err != nil {
			return err
		}
		p, err := parseProgress(data)
		if err != nil {
			return err
		}
		if p.Done {
			return nil
		}
		if p.Moved > moved {
			moved = p.Moved
			progressed()
		}
	}
}

// Decode starts or resumes a stream and passes the chunks to fn in order, starting at
// the offset. At the end marker it returns the number of chunks of the whole answer.
// A stream that ends without the marker is an error.
func (c *Client) Decode(ctx context.Context, in Decode, fn func(Chunk)) (int64, error) {
	res, err := c.post(ctx, "/decode", in)
	if err != nil {
		return 0, errors.Newf("decode: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	want := in.Offset
	for lines := newScanner(res.Body); ; {
		data, err := readLine(ctx, lines)
		if err != nil {
			return 0, errors.Newf("decode: %w", err)
		}
		chunk, end, err := parseDecode(data, want)
		if err != nil {
			return 0, err
		}
		if end {
			return want, nil
		}
		want++
		fn(chunk)
	}
}

// Cancel cancels the work with the given id and frees its memory. It is not an error
// if the engine does not know the id.
func (c *Client) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	var out struct {
		Known bool `json:"known"`
	}
	if err := c.call(ctx, "/cancel", map[string]string{"id": id}, &out); err != nil {
		return errors.Newf("cancel: %w", err)
	}

	return nil
}

// Work lists the work that the engine holds.
func (c *Client) Work(ctx context.Context) ([]Work, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	res, err := c.get(ctx, "/work") //nolint:bodyclose // readBody closes it
	if err != nil {
		return nil, errors.Newf("list work: %w", err)
	}
	var list []Work
	if err := readBody(ctx, res, maxListBytes, &list); err != nil {
		return nil, errors.Newf("list work: %w", err)
	}

	return list, nil
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	res, err := c.get(ctx, "/load") //nolint:bodyclose // readBody closes it
	if err != nil {
		return Load{}, errors.Newf("read load: %w", err)
	}
	var load Load
	if err := readBody(ctx, res, maxReplyBytes, &load); err != nil {
		return Load{}, errors.Newf("read load: %w", err)
	}

	return load, nil
}

// Order sends a command to the engine and waits until it is done.
func (c *Client) Order(ctx context.Context, o Order) error {
	var out struct {
		State string `json:"state"`
	}
	if err := c.call(ctx, "/order", o, &out); err != nil {
		return errors.Newf("order %s: %w", o.Verb, err)
	}
	if out.State != "done" {
		return errors.Newf("order %s: %w: state %q", o.Verb, ErrInvalid, out.State)
	}

	return nil
}

// Watch passes the engine's events to fn until the connection breaks, no event
// arrives for the longer of the stall timeout and minWatchSilence, or ctx ends. It
// always returns an error.
func (c *Client) Watch(ctx context.Context, fn func(Event)) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := max(c.stallTimeout, minWatchSilence)
	watch := newWatchdog(c.clock, silence, func() { cancel(ErrConnBroken) })
	defer watch.close()
	res, err := c.get(inner, "/watch")
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = readEvents(inner, res, func(e Event) {
			watch.reset()
			fn(e)
		})
	}
	if ctx.Err() == nil && errors.Is(context.Cause(inner), ErrConnBroken) {
		err = ErrConnBroken
	}

	return errors.Newf("watch: %w", err)
}

// minWatchSilence is the lower limit of the time without an event after which Watch
// gives up. It covers several heartbeats of the watch stream, so that a slow machine
// is not mistaken for a crashed engine.
const minWatchSilence = 2 * time.Second

func readEvents(ctx context.Context, res *http.Response, fn func(Event)) error {
	for lines := newScanner(res.Body); ; {
		data, err := readLine(ctx, lines)
		if err != nil {
			return err
		}
		event, err := parseEvent(data)
		if err != nil {
			return err
		}
		fn(event)
	}
}

func newScanner(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	s.Split(splitLines)

	return s
}

// splitLines is bufio.ScanLines, but a last line without a line end counts only if it is whole.
func splitLines(data []byte, atEOF bool) (int, []byte, error) {
	if atEOF && len(data) > 0 && bytes.IndexByte(data, '\n') < 0 && !json.Valid(data) {
		return 0, nil, io.ErrUnexpectedEOF
	}

	return bufio.ScanLines(data, atEOF)
}

// readLine returns the next line. It returns ErrConnBroken at the end of the stream,
// because callers stop reading at the end marker and a stream that ends before it is
// incomplete.
func readLine(ctx context.Context, s *bufio.Scanner) ([]byte, error) {
	if s.Scan() {
		return s.Bytes(), nil
	}
	err := s.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}

	return nil, connectionError(ctx, err)
}
