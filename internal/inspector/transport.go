package inspector

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// Transport is an http.Transport that checks responses.
type Transport struct{ http *http.Transport }

// NewTransport returns a Transport that sends requests with t, which must not be used otherwise.
// Heads may have MaxHeadBytes, interim ones included.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}

		return NewConn(conn), nil
	}

	t.MaxResponseHeaderBytes = MaxHeadBytes

	return &Transport{http: t}
}

// RoundTrip implements http.RoundTripper. It does not follow redirects.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	// Nothing has been read of a connection that is new or was idle.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			_ = conn.BeginResponse(nil)
		}
	}}
	response, err := t.http.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err //nolint:wrapcheck // as from http.Transport
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()

		return nil, errors.Newf("response of %s: %w", r.URL.Host, err)
	}

	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }
