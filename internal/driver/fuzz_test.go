package driver

import (
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Checks that input from a faulty engine does not cause a panic, and that neither a
// chunk out of order nor an end marker with a wrong number of chunks is accepted.
func FuzzParseDecode(f *testing.F) {
	for _, seed := range []string{
		`{"seq":0,"text":"a","tokens":1}`, `{"seq":3,"end":"done","chunks":3}`,
		`{"code":"cancelled"}`, `{"end":"done"}`, `null`, `{`, `[]`, `{"seq":-1}`,
	} {
		f.Add([]byte(seed), int64(0))
		f.Add([]byte(seed), int64(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, want int64) {
		chunk, end, err := parseDecode(data, want)
		if err != nil {
			return
		}
		if chunk.Seq != want || chunk.Tokens < 0 || end && chunk.Text != "" {
			t.Errorf("got %+v and end %v, want sequence number %d", chunk, end, want)
		}
	})
}

// Checks that negative progress and error codes are not accepted as progress.
func FuzzParseProgress(f *testing.F) {
	for _, seed := range []string{`{"moved":5}`, `{"done":true}`, `{"done":true,"code":"evicted"}`, `{"moved":-1}`, `7`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := parseProgress(data)
		if err == nil && (p.Moved < 0 || p.Code != "") {
			t.Errorf("got %+v, want an error", p)
		}
	})
}

// Checks that no input causes a panic, and that negative boot IDs are rejected.
func FuzzParseEvent(f *testing.F) {
	for _, seed := range []string{`{"boot":1}`, `{"beat":true}`, `{"seq":1,"added":[1,2],"gone":[3]}`, `{"boot":-1}`, `{"added":[-1]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := parseEvent(data)
		if err == nil && e.BootID < 0 {
			t.Errorf("got %+v, want an error", e)
		}
	})
}

// Checks that every error response yields an error.
func FuzzParseErrorResponse(f *testing.F) {
	f.Add(409, []byte(`{"code":"stale","text":"old"}`))
	f.Add(500, []byte(`<html>`))
	f.Add(404, []byte(``))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		if parseErrorResponse(status, data) == nil {
			t.Error("got no error, want one")
		}
	})
}

// Checks that no response body causes a panic, and that an empty body is an error.
func FuzzReadBody(f *testing.F) {
	for _, seed := range []string{
		`{"handle":"h","tokens":5,"cached":1}`, `[{"id":"a","state":"decode","pieces":2}]`,
		`{"total":4,"free":2,"rate":1e300,"role":"decode"}`, `{"state":"done"}`, `[null]`, `{`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, out := range []any{&PrefillResult{}, &[]Work{}, &Load{}, &Order{}} {
			res := &http.Response{Body: io.NopCloser(bytes.NewReader(data))}
			if err := readBody(t.Context(), res, maxReplyBytes, out); err == nil && len(data) == 0 {
				t.Errorf("got no error for an empty body in %T", out)
			}
		}
	})
}
