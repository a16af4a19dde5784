package listener

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
)

// writer writes the response of one exchange.
type writer struct {
	p     *peer
	e     *exchange
	id    string
	allow string
}

// failure is the JSON reason of a response that isn't done.
type failure struct {
	Error struct {
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		Request string `json:"request"`
		Code    int    `json:"code"`
		After   int64  `json:"after,omitempty"` // seconds
	} `json:"error"`
}

func (w *writer) failure(o dispatcher.Outcome) []byte {
	var f failure
	f.Error.Message, f.Error.Outcome = o.Reason, o.Result.String()
	f.Error.Request, f.Error.Code, f.Error.After = w.id, o.Status, seconds(o.After)

	return encode(f)
}

// encode returns one line of JSON with its line end.
func encode(v any) []byte {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	_ = e.Encode(v) //nolint:errchkjson // the types of this package always encode

	return out.Bytes()
}

// seconds rounds up, so that a caller doesn't come too early.
func seconds(d time.Duration) int64 { return int64(math.Ceil(d.Seconds())) }

// refuse answers a request that never reached the backend.
func (w *writer) refuse(f *fault) { w.end(notRun(f)) }

// end answers with the reason of a request that isn't done.
func (w *writer) end(o dispatcher.Outcome) {
	if o.Gone {
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	w.head(o, header)
	w.reply(o.Status, header, w.failure(o))
}

// head sets the headers that describe the outcome.
func (w *writer) head(o dispatcher.Outcome, header http.Header) {
	header.Set("Damask-Request", w.id)
	header.Set(headerOutcome, o.Result.String())
	if o.After > 0 {
		header.Set("Retry-After", strconv.FormatInt(seconds(o.After), 10))
	}
	if w.allow != "" {
		header.Set("Allow", w.allow)
	}
}

// reply writes a whole response.
func (w *writer) reply(status int, header http.Header, body []byte) {
	if status < http.StatusOK || status > maxStatus {
		status = http.StatusBadGateway
	}
	bare := w.e.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if !bare {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	out := w.start(status, header)
	if !bare {
		out.Write(body)
	}
	_, _ = w.p.Write(out.Bytes())
}

const maxStatus = 999

// start returns the status line and the headers.
func (w *writer) start(status int, header http.Header) *bytes.Buffer {
	var out bytes.Buffer
	header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	if w.e.close || w.p.l.draining.Load() {
		w.e.close = true
		header.Set("Connection", "close")
	} else if w.e.old {
		header.Set("Connection", "keep-alive")
	}
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\n")
	_ = header.Write(&out)
	out.WriteString("\r\n")

	return &out
}
