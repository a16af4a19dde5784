package emulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Values of ErrorResponse.Code.
const (
	CodeEvicted      = "evicted"
	CodeStaleToken   = "stale"
	CodeRefused      = "refused"
	CodeOutOfMemory  = "memory"
	CodeCancelled    = "cancelled"
	CodeInvalid      = "invalid"
	CodeSourceFailed = "source"
)

const (
	maxBodyBytes = 64 << 20
	// heartbeatInterval is the time between two heartbeats of the watch stream.
	heartbeatInterval = 100 * time.Millisecond
)

// ErrorResponse is the body of an error response. The last line of a stream that
// failed has the same fields.
type ErrorResponse struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

func (p *process) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /prefill", p.handlePrefill)
	mux.HandleFunc("POST /import", p.handleImport)
	mux.HandleFunc("GET /export", p.handleExport)
	mux.HandleFunc("POST /decode", p.handleDecode)
	mux.HandleFunc("POST /cancel", p.handleCancel)
	mux.HandleFunc("POST /order", p.handleOrder)
	mux.HandleFunc("GET /work", p.handleWork)
	mux.HandleFunc("GET /load", p.handleLoad)
	mux.HandleFunc("GET /watch", p.handleWatch)

	return mux
}

// Work is one running job in the response to GET /work.
type Work struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Blocks int64  `json:"pieces"`
	Age    int64  `json:"age"` // milliseconds
}

func (p *process) handleWork(w http.ResponseWriter, _ *http.Request) {
	e := p.engine
	e.mu.Lock()
	list := []Work{}
	for _, j := range p.runningJobs() {
		list = append(list, Work{
			ID: j.id, State: j.state, Blocks: j.blocks,
			Age: time.Since(j.started).Milliseconds(),
		})
	}
	e.mu.Unlock()
	writeJSON(w, list)
}

func (p *process) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e := p.engine
	e.mu.Lock()
	load := p.delayedLoad()
	e.mu.Unlock()
	writeJSON(w, load)
}

func (p *process) handleCancel(w http.ResponseWriter, r *http.Request) {
	var params struct {
		ID string `json:"id"`
	}
	if !readJSON(w, r, &params) {
		return
	}
	e := p.engine
	e.mu.Lock()
	j := p.jobs[params.ID]
	known := j != nil
	if known {
		if j.state != stateDone {
			e.counters.Cancels++
		}
		p.endJob(j, stateCancelled)
		delete(p.jobs, params.ID)
	}
	e.mu.Unlock()
	writeJSON(w, map[string]bool{"known": known})
}

// handleWatch streams cache events and heartbeats until the caller disconnects or
// the engine crashes.
func (p *process) handleWatch(w http.ResponseWriter, r *http.Request) {
	p.engine.mu.Lock()
	p.engine.counters.WatchStreams++
	p.engine.notifyChanged()
	p.engine.mu.Unlock()
	lines := newLineWriter(w)
	if !lines.writeLine(Event{Boot: p.bootID, Name: p.engine.settings.Name}) {
		return
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	next := 0
	for {
		p.engine.mu.Lock()
		now := time.Now()
		var due []Event
		for ; next < len(p.scheduledEvents) && !p.scheduledEvents[next].visibleAt.After(now); next++ {
			if p.scheduledEvents[next].event.Seq > 0 {
				due = append(due, p.scheduledEvents[next].event)
			}
		}
		p.engine.mu.Unlock()
		for _, event := range due {
			if !lines.writeLine(event) {
				return
			}
		}
		if !lines.writeLine(Event{Beat: true}) {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *process) handleOrder(w http.ResponseWriter, r *http.Request) {
	var params struct {
		ID      string `json:"id"`
		Verb    string `json:"verb"`
		Subject string `json:"subject"`
		Fence   uint64 `json:"fence"`
	}
	if !readJSON(w, r, &params) {
		return
	}
	e := p.engine
	e.mu.Lock()
	stale := e.settings.CheckFencingToken && params.Fence < e.highestFencingToken
	if !stale {
		e.highestFencingToken = max(e.highestFencingToken, params.Fence)
	}
	e.mu.Unlock()
	if stale {
		writeError(w, http.StatusConflict, CodeStaleToken, "fencing token is stale")

		return
	}
	if !sleep(p.ctx, e.settings.OrderTime) { //nolint:contextcheck // an order continues if its caller disconnects
		return
	}
	e.mu.Lock()
	ok := e.applyOrder(params.Verb, params.Subject)
	e.notifyChanged()
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusBadRequest, CodeInvalid, "unknown order "+params.Verb+" "+params.Subject)

		return
	}
	writeJSON(w, map[string]string{"state": "done"})
}

// applyOrder loads or unloads a model or changes the role. It returns false for an
// unknown order. The caller holds mu.
func (e *Engine) applyOrder(verb, subject string) bool {
	switch {
	case verb == "load" && subject != "":
		e.models[subject] = true
	case verb == "unload" && subject != "":
		delete(e.models, subject)
	case verb == "role" && (subject == "prefill" || subject == "decode"):
		e.role = subject
	default:
		return false
	}
	e.counters.Orders++

	return true
}

func (p *process) triggersCrash(prompt string) bool {
	return strings.Contains(prompt, p.engine.settings.CrashPrompt)
}

// readJSON decodes the body of a request, or responds with an error and returns
// false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		writeError(w, http.StatusBadRequest, CodeInvalid, err.Error())

		return false
	}

	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) //nolint:errchkjson // the caller notices a broken connection
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{Code: code, Text: message}) //nolint:errchkjson // as in writeJSON
}

// lineWriter writes JSON values, one for each line, and flushes every line.
type lineWriter struct {
	encoder *json.Encoder
	flusher http.Flusher
}

func newLineWriter(w http.ResponseWriter) *lineWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher, _ := w.(http.Flusher)

	return &lineWriter{encoder: json.NewEncoder(w), flusher: flusher}
}

func (l *lineWriter) writeLine(v any) bool {
	if err := l.encoder.Encode(v); err != nil {
		return false
	}
	l.flusher.Flush()

	return true
}
