// Package driver is the HTTP client for one backend server, which is an inference
// engine or a plain service.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/inspector"
)

// Causes of errors returned by Client. Test for them with errors.Is.
var (
	// ErrEvicted means that the engine no longer holds the KV cache or the stream.
	ErrEvicted = errors.New("the engine no longer holds the KV cache or stream")
	// ErrStaleToken means that the engine rejected an order with an old fencing token.
	ErrStaleToken = errors.New("the fencing token is stale")
	// ErrUnreachable means that no connection to the backend server's address could
	// be opened.
	ErrUnreachable = errors.New("cannot connect to the backend server")
	// ErrConnBroken means that the connection broke during a call. The backend server
	// may have crashed.
	ErrConnBroken = errors.New("the connection to the backend server broke")
	// ErrStalled means that a transfer made no progress within the stall timeout.
	ErrStalled = errors.New("the transfer made no progress")
	// ErrSource means that the exporting engine failed during a transfer.
	ErrSource = errors.New("the exporting engine failed")
	// ErrRefused means that the backend server did not accept the work.
	ErrRefused = errors.New("the backend server refused the work")
	// ErrOutOfMemory means that the engine has too little free memory.
	ErrOutOfMemory = errors.New("the engine has too little free memory")
	// ErrCancelled means that the work was cancelled on the engine.
	ErrCancelled = errors.New("the work was cancelled")
	// ErrInvalid means that a response could not be parsed or violates the protocol.
	ErrInvalid = errors.New("the response is invalid")
)

const (
	dialTimeout = time.Second
	// shortCallTimeout bounds calls that an engine answers immediately.
	shortCallTimeout = 2 * time.Second
	// maxLineBytes limits one line of a stream.
	maxLineBytes = 1 << 20
	// maxReplyBytes limits the reply of an engine to a call, maxListBytes the list of its work, and
	// maxResponseBytes the response of a plain service.
	maxReplyBytes    = 64 << 10
	maxListBytes     = 1 << 20
	maxResponseBytes = 64 << 20
	// maxIdleConns is the number of idle connections kept open. It is large enough
	// for the concurrent streams of one engine.
	maxIdleConns = 64
)

// errResponseTooLarge is returned for a response that exceeds the maximum size.
var errResponseTooLarge = errors.Mark(errors.New("the response exceeds the size limit"), ErrInvalid)

// Client calls one backend server. Create it with New.
type Client struct {
	addr         string
	stallTimeout time.Duration
	clock        clock
	http         *http.Client
	memory       *responseMemory // nil for no limit
}

// New returns a client for addr, "ip:port". It aborts a transfer that makes no
// progress for stallTimeout.
func New(addr string, stallTimeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}

	return &Client{addr: addr, stallTimeout: stallTimeout, clock: wallClock{}, http: &http.Client{
		Transport: inspector.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression: true,
		}),
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// post sends body as JSON. It returns the response if the status is 200, and an error
// otherwise.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Newf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+c.addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")

	return c.do(req)
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+path, nil)
	if err != nil {
		return nil, errors.Newf("build request: %w", err)
	}

	return c.do(req)
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	res, err := c.http.Do(req)
	if err != nil {
		return nil, connectionError(req.Context(), err)
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return nil, connectionError(req.Context(), err)
	}

	return nil, parseErrorResponse(res.StatusCode, data)
}

// connectionError returns the cause of ctx if its end has ended the call, ErrUnreachable if
// dialling failed, and ErrConnBroken in all other cases, also if ctx has ended since.
func connectionError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && (errors.Is(err, cause) || errors.Is(err, ctx.Err())) {
		return errors.Newf("call backend server: %w", cause)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Newf("call backend server: %w: %s", ErrUnreachable, err.Error())
	}

	return errors.Newf("call backend server: %w: %s", ErrConnBroken, err.Error())
}

// call sends in as JSON and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	res, err := c.post(ctx, path, in) //nolint:bodyclose // readBody closes it
	if err != nil {
		return err
	}

	return readBody(ctx, res, maxReplyBytes, out)
}

// readBody decodes the JSON body of res, which has at most a number of bytes, into out and closes
// it.
func readBody(ctx context.Context, res *http.Response, limit int64, out any) error {
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return connectionError(ctx, err)
	}
	if int64(len(data)) > limit {
		return errResponseTooLarge
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Newf("%w: %s", ErrInvalid, err.Error())
	}

	return nil
}
