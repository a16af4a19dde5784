package driver

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Prefill is the input of a prefill.
type Prefill struct {
	ID     string   `json:"id"`
	Prompt string   `json:"prompt"`
	Prefix []uint64 `json:"prefix"`
	Tokens int64    `json:"tokens"`
	Pieces int64    `json:"pieces"`
	Rank   int32    `json:"rank"`
}

// Prefilled names the result of a prefill.
type Prefilled struct {
	Handle string `json:"handle"`
	Tokens int64  `json:"tokens"`
	Cached int64  `json:"cached"`
}

// Import is the input of a transfer. Source is the exporting engine, "ip:port".
type Import struct {
	ID     string `json:"id"`
	Handle string `json:"handle"`
	Source string `json:"source"`
	Tokens int64  `json:"tokens"`
	Pieces int64  `json:"pieces"`
	Rank   int32  `json:"rank"`
}

// Decode is the input of a decode. A second Decode of the same id resumes the
// stream at the offset.
type Decode struct {
	ID     string `json:"id"`
	Offset int64  `json:"offset"`
	Limit  int64  `json:"limit"`
}

// Work is one piece of work that an engine holds.
type Work struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Pieces int64  `json:"pieces"`
	Age    int64  `json:"age"` // milliseconds
}

// Order is an engine command.
type Order struct {
	ID      string `json:"id"`
	Verb    string `json:"verb"`
	Subject string `json:"subject"`
	Fence   uint64 `json:"fence"`
}

// Load is the engine's own, lagging load report.
type Load struct {
	Total   int64   `json:"total"`
	Free    int64   `json:"free"`
	Running int     `json:"running"`
	Rate    float64 `json:"rate"`
	Role    string  `json:"role"`
}

// Addr returns the engine's address, from which other engines import.
func (c *Client) Addr() string { return c.addr }

// Prefill runs a prefill and returns when its result can be imported.
func (c *Client) Prefill(ctx context.Context, in Prefill) (Prefilled, error) {
	var out Prefilled
	if err := c.call(ctx, "/prefill", in, &out); err != nil {
		return Prefilled{}, errors.Newf("prefill: %w", err)
	}
	if out.Handle == "" || out.Tokens < 0 || out.Cached < 0 {
		return Prefilled{}, errors.Newf("prefill: %w", ErrInvalid)
	}

	return out, nil
}

// Import lets the engine pull a KV cache. It returns ErrStalled if the transfer
// makes no progress for the stall limit.
func (c *Client) Import(ctx context.Context, in Import) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(c.clock, c.stall, func() { cancel(ErrStalled) })
	defer watch.close()
	err := c.pull(inner, in, watch.feed)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(inner), ErrStalled) {
		err = ErrStalled
	}
	if err != nil {
		return errors.Newf("import: %w", err)
	}

	return nil
}

func (c *Client) pull(ctx context.Context, in Import, progressed func()) error {
	res, err := c.post(ctx, "/import", in)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	moved := int64(0)
	for lines := newScanner(res.Body); ; {
		data, err := next(ctx, lines)
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

// Decode starts or resumes a stream and passes each chunk to fn, in order from
// the offset. It returns the number of chunks of the whole answer after the end
// marker; a stream without the marker is an error.
func (c *Client) Decode(ctx context.Context, in Decode, fn func(Chunk)) (int64, error) {
	res, err := c.post(ctx, "/decode", in)
	if err != nil {
		return 0, errors.Newf("decode: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	want := in.Offset
	for lines := newScanner(res.Body); ; {
		data, err := next(ctx, lines)
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

// Cancel ends the work of an id and frees its memory. An id that the engine
// does not hold is no error.
func (c *Client) Cancel(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, quickTimeout)
	defer cancel()
	var out struct {
		Known bool `json:"known"`
	}
	if err := c.call(ctx, "/cancel", map[string]string{"id": id}, &out); err != nil {
		return errors.Newf("cancel: %w", err)
	}

	return nil
}

// Work lists what the engine holds.
func (c *Client) Work(ctx context.Context) ([]Work, error) {
	ctx, cancel := context.WithTimeout(ctx, quickTimeout)
	defer cancel()
	res, err := c.get(ctx, "/work") //nolint:bodyclose // readBody closes it
	if err != nil {
		return nil, errors.Newf("list work: %w", err)
	}
	var list []Work
	if err := readBody(ctx, res, &list); err != nil {
		return nil, errors.Newf("list work: %w", err)
	}

	return list, nil
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, quickTimeout)
	defer cancel()
	res, err := c.get(ctx, "/load") //nolint:bodyclose // readBody closes it
	if err != nil {
		return Load{}, errors.Newf("read load: %w", err)
	}
	var load Load
	if err := readBody(ctx, res, &load); err != nil {
		return Load{}, errors.Newf("read load: %w", err)
	}

	return load, nil
}

// Order gives the engine a command and waits for its end.
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

// Watch passes the engine's events to fn until the connection breaks, is silent
// for the stall limit, or ctx ends. It always returns an error.
func (c *Client) Watch(ctx context.Context, fn func(Event)) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := max(c.stall, minSilence)
	watch := newWatchdog(c.clock, silence, func() { cancel(ErrBroken) })
	defer watch.close()
	res, err := c.get(inner, "/watch")
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = follow(inner, res, func(e Event) {
			watch.feed()
			fn(e)
		})
	}
	if ctx.Err() == nil && errors.Is(context.Cause(inner), ErrBroken) {
		err = ErrBroken
	}

	return errors.Newf("watch: %w", err)
}

// minSilence is longer than several heartbeats of the watch stream, so that a
// busy machine is not taken for a crashed engine.
const minSilence = 2 * time.Second

func follow(ctx context.Context, res *http.Response, fn func(Event)) error {
	for lines := newScanner(res.Body); ; {
		data, err := next(ctx, lines)
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
	s.Buffer(nil, maxLine)

	return s
}

// next returns the next line; the end of the stream is ErrBroken, as every
// stream has an end marker.
func next(ctx context.Context, s *bufio.Scanner) ([]byte, error) {
	if s.Scan() {
		return s.Bytes(), nil
	}
	err := s.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}

	return nil, connectionError(ctx, err)
}
