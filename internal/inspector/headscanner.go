package inspector

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
)

// errInvalidField is returned for a head with a line that is not a header field.
var errInvalidField = errors.Newf("header field: %w", ErrInvalidResponse)

// headState is what a headScanner expects next.
type headState int

const (
	stateNone        headState = iota // no head
	stateVersion                      // the rest of the version
	stateStatus                       // the blanks before the status, or the status
	stateReason                       // the rest of the status line
	stateLine                         // a header field, or the line that ends the head
	stateName                         // the rest of a field's name
	stateValue                        // the rest of a field's value
	stateEndOfHead                    // the LF after the CR that ends the head
	stateInvalidHead                  // nothing
)

// headScanner checks the field names of a response, and of interim ones before it, as they arrive.
// net/http keeps a blank in a name, and appends a line that begins with a blank to the value
// before it, so that fields which frame the body are lost.
type headScanner struct {
	state   headState
	interim bool
}

// begin expects the head of a response.
func (s *headScanner) begin() { *s = headScanner{state: stateVersion} }

// scan checks the bytes that follow. After an error it returns errors only, until begin is called.
func (s *headScanner) scan(b []byte) error {
	for len(b) > 0 && s.state != stateNone {
		if s.state == stateInvalidHead {
			return errInvalidField
		}
		if s.state == stateReason || s.state == stateValue {
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				return nil
			}
			b = b[end:]
		}
		s.step(b[0])
		b = b[1:]
	}
	if s.state == stateInvalidHead {
		return errInvalidField
	}

	return nil
}

// step checks one byte. In a reason or a value that is the LF after it.
func (s *headScanner) step(c byte) {
	switch s.state {
	case stateVersion:
		switch c {
		case ' ':
			s.state = stateStatus
		case '\n':
			s.state = stateLine
		}
	case stateStatus:
		if c != ' ' {
			s.state, s.interim = stateReason, c == '1'
		}
	case stateReason, stateValue:
		s.state = stateLine
	case stateLine:
		s.beginLine(c)
	case stateName:
		if c == ':' {
			s.state = stateValue
		} else if !isTokenByte(c) {
			s.state = stateInvalidHead
		}
	case stateEndOfHead:
		if c == '\n' {
			s.endHead()
		} else {
			s.state = stateInvalidHead
		}
	case stateNone, stateInvalidHead:
	}
}

// beginLine checks the first byte of a line after the status line.
func (s *headScanner) beginLine(c byte) {
	switch {
	case c == '\r':
		s.state = stateEndOfHead
	case c == '\n':
		s.endHead()
	case isTokenByte(c):
		s.state = stateName
	default:
		s.state = stateInvalidHead
	}
}

// endHead is called at the end of a head.
func (s *headScanner) endHead() {
	if s.interim {
		s.begin()
	} else {
		s.state = stateNone
	}
}

// isTokenByte reports whether a field name may contain c.
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
	}
}
