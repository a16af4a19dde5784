package driver

import (
	"testing"
)

// Guards against a byte sequence of a faulty engine that stops the agent, or is
// taken for a chunk out of order or for an end marker that does not fit.
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

// Guards against progress that runs backwards or an error taken for success.
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

// Guards against an event that stops the watch of the engine.
func FuzzParseEvent(f *testing.F) {
	for _, seed := range []string{`{"boot":1}`, `{"beat":true}`, `{"seq":1,"added":[1,2],"gone":[3]}`, `{"boot":-1}`, `{"added":[-1]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := parseEvent(data)
		if err == nil && e.Boot < 0 {
			t.Errorf("got %+v, want an error", e)
		}
	})
}

// Guards against an error response that is taken for a success.
func FuzzParseFault(f *testing.F) {
	f.Add(409, []byte(`{"code":"stale","text":"old"}`))
	f.Add(500, []byte(`<html>`))
	f.Add(404, []byte(``))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		if parseFault(status, data) == nil {
			t.Error("got no error, want one")
		}
	})
}
