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

// responseWriter writes the response of one exchange.
type responseWriter struct {
	conn  *connection
	e     *exchange
	id    string
	allow string
}

// errorBody is the JSON body of the response to a request that was not completed.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		Request string `json:"request"`
		Code    int    `json:"code"`
		After   int64  `json:"after,omitempty"` // seconds
	} `json:"error"`
}

func (w *responseWriter) errorBody(o dispatcher.Outcome) []byte {
	var resp errorBody
	resp.Error.Message, resp.Error.Outcome = o.Reason, o.Result.String()
	resp.Error.Request, resp.Error.Code, resp.Error.After = w.id, o.Status, ceilSeconds(o.After)

	return encode(resp)
}

// encode returns one line of JSON including the newline.
func encode(v any) []byte {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	_ = e.Encode(v) //nolint:errchkjson // the types of this package can always be encoded

	return out.Bytes()
}

// ceilSeconds rounds up, so that the caller doesn't retry too early.
func ceilSeconds(d time.Duration) int64 { return int64(math.Ceil(d.Seconds())) }

// reject writes the response to a request that did not reach the backend.
func (w *responseWriter) reject(e *rejection) { w.writeError(rejectedOutcome(e)) }

// writeError writes the response to a request that was not completed, unless the caller
// has disconnected.
func (w *responseWriter) writeError(o dispatcher.Outcome) {
	if o.CallerGone {
		return
	}
	header := http.Header{"Content-Type": {"application/json"}}
	w.setOutcomeHeaders(o, header)
	w.writeResponse(o.Status, header, w.errorBody(o))
}

// setOutcomeHeaders sets the headers that describe the outcome.
func (w *responseWriter) setOutcomeHeaders(o dispatcher.Outcome, header http.Header) {
	header.Set("Damask-Request", w.id)
	header.Set(headerOutcome, o.Result.String())
	if o.After > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceilSeconds(o.After), 10))
	}
	if w.allow != "" {
		header.Set("Allow", w.allow)
	}
}

// writeResponse writes a complete response.
func (w *responseWriter) writeResponse(status int, header http.Header, body []byte) {
	if status < http.StatusOK || status > maxStatus {
		status = http.StatusBadGateway
	}
	noBody := w.e.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if !noBody {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	out := w.responseHead(status, header)
	if !noBody {
		out.Write(body)
	}
	_, _ = w.conn.Write(out.Bytes())
}

// maxStatus is the largest status code that fits the three digits of a status line.
const maxStatus = 999

// responseHead returns the status line and the headers.
func (w *responseWriter) responseHead(status int, header http.Header) *bytes.Buffer {
	var out bytes.Buffer
	header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	if w.e.close || w.conn.l.draining.Load() {
		w.e.close = true
		header.Set("Connection", "close")
	} else if w.e.http10 {
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
