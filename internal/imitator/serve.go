package imitator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Codes of errors in a Fault.
const (
	CodeEvicted   = "evicted"
	CodeStale     = "stale"
	CodeRefused   = "refused"
	CodeMemory    = "memory"
	CodeCancelled = "cancelled"
	CodeInvalid   = "invalid"
	CodeSource    = "source"
)

const (
	maxBody = 64 << 20
	// beatInterval is the time between two heartbeats of the watch stream.
	beatInterval = 100 * time.Millisecond
)

// Fault is the body of an error response, and the last line of a stream that
// failed.
type Fault struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

func (l *life) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /prefill", l.prefill)
	mux.HandleFunc("POST /import", l.importKV)
	mux.HandleFunc("GET /export", l.export)
	mux.HandleFunc("POST /decode", l.decode)
	mux.HandleFunc("POST /cancel", l.cancelJob)
	mux.HandleFunc("POST /order", l.order)
	mux.HandleFunc("GET /work", l.listWork)
	mux.HandleFunc("GET /load", l.showLoad)
	mux.HandleFunc("GET /watch", l.watch)

	return mux
}

// Work is one entry of the list of running work.
type Work struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Pieces int64  `json:"pieces"`
	Age    int64  `json:"age"` // milliseconds
}

func (l *life) listWork(w http.ResponseWriter, _ *http.Request) {
	e := l.engine
	e.mu.Lock()
	list := []Work{}
	for _, j := range l.running() {
		list = append(list, Work{
			ID: j.id, State: j.state, Pieces: j.pieces,
			Age: time.Since(j.started).Milliseconds(),
		})
	}
	e.mu.Unlock()
	reply(w, list)
}

func (l *life) showLoad(w http.ResponseWriter, _ *http.Request) {
	e := l.engine
	e.mu.Lock()
	load := l.report()
	e.mu.Unlock()
	reply(w, load)
}

func (l *life) cancelJob(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID string `json:"id"`
	}
	if !parse(w, r, &in) {
		return
	}
	e := l.engine
	e.mu.Lock()
	j := l.jobs[in.ID]
	known := j != nil
	if known {
		if j.state != stateDone {
			e.counters.Cancels++
		}
		l.free(j, stateCancelled)
		delete(l.jobs, in.ID)
	}
	e.mu.Unlock()
	reply(w, map[string]bool{"known": known})
}

// watch streams cache events and heartbeats until the engine crashes.
func (l *life) watch(w http.ResponseWriter, r *http.Request) {
	l.engine.mu.Lock()
	l.engine.counters.Watches++
	l.engine.announce()
	l.engine.mu.Unlock()
	out := newLines(w)
	if !out.send(Event{Boot: l.boot, Name: l.engine.settings.Name}) {
		return
	}
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	next := 0
	for {
		l.engine.mu.Lock()
		now := time.Now()
		var due []Event
		for ; next < len(l.events) && !l.events[next].at.After(now); next++ {
			if l.events[next].event.Seq > 0 {
				due = append(due, l.events[next].event)
			}
		}
		l.engine.mu.Unlock()
		for _, event := range due {
			if !out.send(event) {
				return
			}
		}
		if !out.send(Event{Beat: true}) {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *life) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID      string `json:"id"`
		Verb    string `json:"verb"`
		Subject string `json:"subject"`
		Fence   uint64 `json:"fence"`
	}
	if !parse(w, r, &in) {
		return
	}
	e := l.engine
	e.mu.Lock()
	stale := e.settings.CheckFence && in.Fence < e.fence
	if !stale {
		e.fence = max(e.fence, in.Fence)
	}
	e.mu.Unlock()
	if stale {
		fail(w, http.StatusConflict, CodeStale, "fencing token is stale")

		return
	}
	if !pause(l.ctx, e.settings.LoadTime) { //nolint:contextcheck // an order goes on without its caller
		return
	}
	e.mu.Lock()
	ok := e.carryOut(in.Verb, in.Subject)
	e.announce()
	e.mu.Unlock()
	if !ok {
		fail(w, http.StatusBadRequest, CodeInvalid, "unknown order "+in.Verb+" "+in.Subject)

		return
	}
	reply(w, map[string]string{"state": "done"})
}

// carryOut changes the engine. The caller holds mu.
func (e *Engine) carryOut(verb, subject string) bool {
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

func (l *life) crashes(prompt string) bool {
	return strings.Contains(prompt, l.engine.settings.Crash)
}

func parse(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into)
	if err != nil {
		fail(w, http.StatusBadRequest, CodeInvalid, err.Error())

		return false
	}

	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) //nolint:errchkjson // a broken connection is the caller's to see
}

func fail(w http.ResponseWriter, status int, code, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Fault{Code: code, Text: text}) //nolint:errchkjson // as in reply
}

// lines writes one JSON value a line and flushes each.
type lines struct {
	encoder *json.Encoder
	flusher http.Flusher
}

func newLines(w http.ResponseWriter) *lines {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher, _ := w.(http.Flusher)

	return &lines{encoder: json.NewEncoder(w), flusher: flusher}
}

func (l *lines) send(v any) bool {
	if err := l.encoder.Encode(v); err != nil {
		return false
	}
	l.flusher.Flush()

	return true
}
