package driver

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// fault is the body of an error response.
type fault struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

var codes = map[string]error{
	"evicted":   ErrEvicted,
	"stale":     ErrStale,
	"refused":   ErrRefused,
	"memory":    ErrMemory,
	"cancelled": ErrCancelled,
	"invalid":   ErrRefused,
	"source":    ErrSource,
}

const maxFaultText = 200

// parseFault turns an error response into a typed error. An unknown code counts
// as a refusal below status 500 and as invalid from there on.
func parseFault(status int, data []byte) error {
	var f fault
	if err := json.Unmarshal(data, &f); err != nil || f.Code == "" {
		if status < 500 {
			return errors.Newf("status %d: %w", status, ErrRefused)
		}

		return errors.Newf("status %d: %w", status, ErrInvalid)
	}

	return f.typed()
}

func (f fault) typed() error {
	text := f.Text
	if len(text) > maxFaultText {
		text = text[:maxFaultText]
	}
	cause, ok := codes[f.Code]
	if !ok {
		return errors.Newf("code %q: %w: %s", f.Code, ErrInvalid, text)
	}

	return errors.Newf("%w: %s", cause, text)
}

// Chunk is a piece of an answer.
type Chunk struct {
	Seq    int64
	Text   string
	Tokens int64
}

// decodeLine is one line of a decode stream: a chunk, or the end marker.
type decodeLine struct {
	Seq    *int64 `json:"seq"`
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
	End    string `json:"end"`
	Chunks int64  `json:"chunks"`
	Code   string `json:"code"`
}

// parseDecode reads one line. want is the sequence number that must follow.
// End is true for the end marker, with Seq the number of chunks.
func parseDecode(data []byte, want int64) (c Chunk, end bool, err error) {
	var line decodeLine
	if err := json.Unmarshal(data, &line); err != nil {
		return Chunk{}, false, errors.Newf("decode stream: %w: %s", ErrInvalid, err.Error())
	}
	if line.Code != "" {
		return Chunk{}, false, fault{Code: line.Code}.typed()
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

// progress is one line of an import stream.
type progress struct {
	Moved int64  `json:"moved"`
	Done  bool   `json:"done"`
	Code  string `json:"code"`
	Text  string `json:"text"`
}

func parseProgress(data []byte) (progress, error) {
	var p progress
	if err := json.Unmarshal(data, &p); err != nil {
		return progress{}, errors.Newf("import stream: %w: %s", ErrInvalid, err.Error())
	}
	if p.Code != "" {
		return progress{}, fault{Code: p.Code, Text: p.Text}.typed()
	}
	if p.Moved < 0 {
		return progress{}, errors.Newf("import stream: %w: negative progress", ErrInvalid)
	}

	return p, nil
}

// Event is one line of the watch stream: the number of the engine's start and
// its name, a heartbeat, or a change of the prefix cache.
type Event struct {
	Boot  int64    `json:"boot"`
	Name  string   `json:"name"` // of the engine, beside Boot
	Beat  bool     `json:"beat"`
	Seq   uint64   `json:"seq"`
	Added []uint64 `json:"added"`
	Gone  []uint64 `json:"gone"`
}

func parseEvent(data []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, errors.Newf("watch stream: %w: %s", ErrInvalid, err.Error())
	}
	if e.Boot < 0 {
		return Event{}, errors.Newf("watch stream: %w: negative start number", ErrInvalid)
	}

	return e, nil
}
