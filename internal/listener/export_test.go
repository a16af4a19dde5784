package listener

import "net/http"

// NewExchange returns a POST request in the form in which the parser delivers it.
func NewExchange(path string, header http.Header, body []byte) *exchange {
	return &exchange{method: http.MethodPost, path: path, header: header, body: body}
}

// ParseCompletion exports parseCompletion.
func ParseCompletion(e *exchange) (*Completion, error) {
	c, rejected := parseCompletion(e)
	if rejected != nil {
		return nil, rejected
	}

	return c, nil
}

// ParseCall exports parseCall.
func ParseCall(e *exchange) (*Call, error) {
	c, rejected := parseCall(e)
	if rejected != nil {
		return nil, rejected
	}

	return c, nil
}
