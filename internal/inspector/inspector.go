// Package inspector rejects responses of backend servers that are broken in ways that net/http
// and sockets let pass.
package inspector

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalidResponse is returned for what a server sends in place of a response.
var ErrInvalidResponse = errors.New("the response is not valid HTTP")

// MaxHeadBytes is the maximum size of the status line and the fields of a response.
const MaxHeadBytes = 64 << 10

// CheckStatus returns an error for a status that no final response can have. A status over 599 is
// a failure of an unknown kind.
func CheckStatus(status int) error {
	if status < http.StatusOK {
		return errors.Newf("status %03d: %w", status, ErrInvalidResponse)
	}

	return nil
}

// IsInterim reports whether another response follows one with this status. No request asks for
// another protocol, so that 101 is not one of them.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
