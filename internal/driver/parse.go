package driver

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// errorResponse is the body of an error response.
type errorResponse struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// errorByCode maps the codes of error responses to errors.
var errorByCode = map[string]error{
	"evicted":   ErrEvicted,
	"stale":     ErrStaleToken,
	"refused":   ErrRefused,
	"memory":    ErrOutOfMemory,
	"cancelled": ErrCancelled,
	"invalid":   ErrRefused,
	"source":    ErrSource,
}

// maxErrorText limits the length in bytes of an engine's error text in an error.
const maxErrorText = 200

// parseErrorResponse converts an error response into one of the package's errors. A
// response without a code is ErrRefused if its status is below 500 and ErrInvalid
// otherwise. An unknown code is ErrInvalid.
func parseErrorResponse(status int, data []byte) error {
	var f errorResponse
	if err := json.Unmarshal(data, &f); err != nil || f.Code == "" {
		if status < 500 {
			return errors.Newf("status %d: %w", status, ErrRefused)
		}

		return errors.Newf("status %d: %w", status, ErrInvalid)
	}

	return f.toError()
}

func (f errorResponse) toError() error {
	text := f.Text
	if len(text) > maxErrorText {
		text = text[:maxErrorText]
	}
	cause, ok := errorByCode[f.Code]
	if !ok {
		return errors.Newf("code %q: %w: %s", f.Code, ErrInvalid, text)
	}

	return errors.Newf("%w: %s", cause, text)
}

// Chunk is one part of a decoded answer.
type Chunk struct {
	Seq    int64
	Text   string
	Tokens int64
}

// decodeMessage is one line of a decode stream: a chunk, the end marker or an error.
type decodeMessage struct {
	Seq    *int64 `json:"seq"`
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
	End    string `json:"end"`
	Chunks int64  `json:"chunks"`
	Code   string `json:"code"`
}

// parseDecode parses one line of a decode stream. want is the expected sequence
// number. For the end marker, end is true and c.Seq is the number of chunks.
func parseDecode(data []byte, want int64) (c Chunk, end bool, err error) {
	var line decodeMessage
	if err := json.Unmarshal(data, &line); err != nil {
		return Chunk{}, false, errors.Newf("decode stream: %w: %s", ErrInvalid, err.Error())
	}
	if line.Code != "" {
		return Chunk{}, false, errorResponse{Code: line.Code}.toError()
	}
	if line.End != "" {
		if line.End != "done" || line.Chunks != want {
			return Chunk{}, false, errors.Newf("decode stream: %w: end %q after %d of %d chunks",
				ErrInvalid, line.End, want, line.Chunks)
		}

		return Chunk{Seq: want}, true, nil
	}
	if line.Seq == nil || *line.Seq != want || line.Tokens < 0 {
		return Chunk{}, false, errors.Newf("decode stream: %w: chunk out of order", ErrInvalid)
	}

	return Chunk{Seq: want, Text: line.Text, Tokens: line.Tokens}, false, nil
}

// importProgress is one line of an import stream: the amount of data moved so far, the
// end of the transfer or an error.
type importProgress struct {
	Moved int64  `json:"moved"`
	Done  bool   `json:"done"`
	Code  string `json:"code"`
	Text  string `json:"text"`
}

func parseProgress(data []byte) (importProgress, error) {
	var p importProgress
	if err := json.Unmarshal(data, &p); err != nil {
		return importProgress{}, errors.Newf("import stream: %w: %s", ErrInvalid, err.Error())
	}
	if p.Code != "" {
		return importProgress{}, errorResponse{Code: p.Code, Text: p.Text}.toError()
	}
	if p.Moved < 0 {
		return importProgress{}, errors.Newf("import stream: %w: negative progress", ErrInvalid)
	}

	return p, nil
}

// Event is one line of the watch stream: the boot ID and name of the engine, a
// heartbeat, or a change of the prefix cache.
type Event struct {
	BootID    int64    `json:"boot"`
	Name      string   `json:"name"` // name of the engine, set together with BootID
	Heartbeat bool     `json:"beat"`
	Seq       uint64   `json:"seq"`
	Added     []uint64 `json:"added"`
	Removed   []uint64 `json:"gone"`
}

func parseEvent(data []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, errors.Newf("watch stream: %w: %s", ErrInvalid, err.Error())
	}
	if e.BootID < 0 {
		return Event{}, errors.Newf("watch stream: %w: negative boot ID", ErrInvalid)
	}

	return e, nil
}
