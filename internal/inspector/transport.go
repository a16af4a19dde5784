package inspector

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Transport is an http.Transport that checks responses.
type Transport struct{ http *http.Transport }

// NewTransport returns a Transport that sends requests with t, which must not be used otherwise.
func NewTransport(t *http.Transport) *Transport { return &Transport{http: t} }

// RoundTrip implements http.RoundTripper. It does not follow redirects.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.http.RoundTrip(r)
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
