// Package driver is the HTTP adapter to one backend server: an inference engine
// or a plain service.
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
)

// Errors by cause. Test for them with errors.Is.
var (
	// ErrEvicted says that the engine no longer holds the KV cache or stream.
	ErrEvicted = errors.New("the engine no longer holds it")
	// ErrStale says that the engine rejected an old fencing token.
	ErrStale = errors.New("the fencing token is stale")
	// ErrDown says that nothing listens at the backend server's address.
	ErrDown = errors.New("the backend server is down")
	// ErrBroken says that the connection broke in the middle of a call. The
	// backend server may have crashed.
	ErrBroken = errors.New("the connection to the backend server broke")
	// ErrStalled says that a transfer made no progress for the limit.
	ErrStalled = errors.New("the transfer made no progress")
	// ErrSource says that the exporting engine failed during a transfer.
	ErrSource = errors.New("the exporting engine failed")
	// ErrRefused says that the backend server did not accept the work.
	ErrRefused = errors.New("the backend server refused the work")
	// ErrMemory says that the engine has too little free memory.
	ErrMemory = errors.New("the engine has too little memory")
	// ErrCancelled says that the work was cancelled on the engine.
	ErrCancelled = errors.New("the work was cancelled")
	// ErrInvalid says that a response has the wrong form.
	ErrInvalid = errors.New("the response is invalid")
)

const (
	dialTimeout = time.Second
	// quickTimeout bounds calls that an engine answers at once.
	quickTimeout = 2 * time.Second
	// maxLine bounds one line of a stream, and maxReply a whole response.
	maxLine  = 1 << 20
	maxReply = 64 << 20
	// idleConns keeps enough connections for one engine's streams.
	idleConns = 64
)

// Client talks to one backend server.
type Client struct {
	addr  string
	stall time.Duration
	clock clock
	http  *http.Client
}

// New returns a client for addr, "ip:port". A transfer without progress for
// stall is abandoned.
func New(addr string, stall time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}

	return &Client{addr: addr, stall: stall, clock: wallClock{}, http: &http.Client{
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns,
			DisableCompression: true,
		},
	}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// post sends a JSON body and returns the response if its status is 200.
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxLine))
	if err != nil {
		return nil, connectionError(req.Context(), err)
	}

	return nil, parseFault(res.StatusCode, data)
}

// connectionError tells the end of the caller's context, a server that is down
// and a connection that broke from each other.
func connectionError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Newf("call backend server: %w", ctx.Err())
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Newf("call backend server: %w: %s", ErrDown, err.Error())
	}

	return errors.Newf("call backend server: %w: %s", ErrBroken, err.Error())
}

// call posts a body and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	res, err := c.post(ctx, path, in) //nolint:bodyclose // readBody closes it
	if err != nil {
		return err
	}

	return readBody(ctx, res, out)
}

func readBody(ctx context.Context, res *http.Response, out any) error {
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
	if err != nil {
		return connectionError(ctx, err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Newf("%w: %s", ErrInvalid, err.Error())
	}

	return nil
}
