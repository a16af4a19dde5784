package listener

import "net/http"

// NewExchange makes a request as the parser delivers it.
func NewExchange(path string, header http.Header, body []byte) *exchange {
	return &exchange{method: http.MethodPost, path: path, header: header, body: body}
}

// ReadCompletion decodes a model request.
func ReadCompletion(e *exchange) (*Completion, error) {
	c, f := readCompletion(e)
	if f != nil {
		return nil, f
	}

	return c, nil
}

// ReadCall decodes a plain call.
func ReadCall(e *exchange) (*Call, error) {
	c, f := readCall(e)
	if f != nil {
		return nil, f
	}

	return c, nil
}
