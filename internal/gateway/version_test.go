package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/versioner"
	"github.com/damasklever/damasklever/internal/wire"
)

// versionedBackend is a server that writes its software version into its events. It breaks
// off each new stream after its first event.
func versionedBackend(t *testing.T, id, version string) placer.Server {
	t.Helper()
	b := newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/reserve/"):
			io.WriteString(w, "h1")
		case r.URL.Path == statusPath:
			io.WriteString(w, "1")
		case r.Header.Get("Last") == "":
			fmt.Fprintf(w, "id: 1\ndata: %s\n\n", version)
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			fmt.Fprintf(w, "id: 2\ndata: %s\n\n", version)
		}
	})
	s := b.server(placer.Decode)
	s.Version = version

	return s
}

// placements are the ways in which a server is chosen.
func placements() map[string]func(*gateway.Settings) {
	return map[string]func(*gateway.Settings){
		"agents": func(s *gateway.Settings) { s.Agents = &fakeAgents{} },
		"none":   func(*gateway.Settings) {},
		"reservations": func(s *gateway.Settings) {
			plan := standardPlan()
			plan.Pools[0].Engine = &wire.Engine{Reserve: 2000, Memory: 100}
			m := matcher.New(plan)
			s.Plan = func() *matcher.Matcher { return m }
		},
	}
}

// Guards against an answer that is continued at another software version, however servers are chosen.
func TestAnswerIsContinuedAtItsVersion(t *testing.T) {
	for name, change := range placements() {
		for version, whole := range map[string]bool{"v1": true, "v2": false} {
			t.Run(name+"/"+version, func(t *testing.T) {
				first, second := versionedBackend(t, "a", "v1"), versionedBackend(t, "b", version)
				got := newTestGatewayWith(t, change, first, second).call(t, http.MethodPost, "/resume/x", "", nil)
				if got.broken == whole || got.status != http.StatusOK {
					t.Errorf("answer: got status %d, body %q, broken %v, want broken %v", got.status, got.body, got.broken, !whole)
				}
				if strings.Contains(got.body, "v1") && strings.Contains(got.body, "v2") {
					t.Errorf("answer: got %q, want events of one version", got.body)
				}
			})
		}
	}
}

// Guards against a stream without an event that may not be sent to another software version.
func TestStreamWithoutEventMayChangeVersion(t *testing.T) {
	first := newBackend(t, "a", breakConnection).server(placer.Decode)
	first.Version = "v1"
	r := newTestGateway(t, nil, first, versionedBackend(t, "b", "v2"))
	var bodies []string
	for range 2 {
		bodies = append(bodies, r.call(t, http.MethodPost, "/resume/x", "", nil).body)
	}
	if want := "id: 1\ndata: v2\n\n"; !slices.Contains(bodies, want) {
		t.Errorf("bodies: got %q, want one of %q", bodies, want)
	}
}

// Guards against a stream that is taken up at a software version that may not be its own.
func TestResumedStreamOfUnknownVersionIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string // of the servers
		want     int
	}{
		"one version":  {[]string{"v1", "v1"}, http.StatusOK},
		"no version":   {[]string{"", ""}, http.StatusOK},
		"two versions": {[]string{"v1", "v2"}, http.StatusServiceUnavailable},
	} {
		for way, change := range placements() {
			t.Run(name+"/"+way, func(t *testing.T) {
				r := newTestGatewayWith(t, change, versionedBackend(t, "a", test.versions[0]), versionedBackend(t, "b", test.versions[1]))
				got := r.call(t, http.MethodPost, "/resume/x", "", http.Header{"Last": {"1"}})
				if got.status != test.want {
					t.Errorf("status: got %d %q, want %d", got.status, got.body, test.want)
				}
				if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
					t.Error("Retry-After: got none")
				}
			})
		}
	}
}

// fakeVersions knows the streams that a test records, at all gateways.
type fakeVersions struct {
	mu      sync.Mutex
	origins map[string]versioner.Origin
	answer  versioner.Answer // for other streams
}

func (f *fakeVersions) Record(id string, o versioner.Origin, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origins[id] = o
}

func (f *fakeVersions) Locate(_ context.Context, id string) (versioner.Origin, versioner.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o, ok := f.origins[id]; ok {
		return o, versioner.Known
	}

	return versioner.Origin{}, f.answer
}

func (f *fakeVersions) Sole(context.Context, string) (string, bool) { return "", false }

// Guards against a stream that is taken up at another version or pool than its first events,
// also when it is taken up more than once.
func TestResumedStreamGoesOnAtItsOrigin(t *testing.T) {
	for name, test := range map[string]struct {
		resumes string
		origin  versioner.Origin
		answer  versioner.Answer
		status  int
		want    string // the events
	}{
		"first version":  {"a", versioner.Origin{Pool: "pool", Version: "v1"}, versioner.Unknown, http.StatusOK, "v1"},
		"second version": {"a", versioner.Origin{Pool: "pool", Version: "v2"}, versioner.Unknown, http.StatusOK, "v2"},
		"version gone":   {"a", versioner.Origin{Pool: "pool", Version: "v0"}, versioner.Unknown, http.StatusServiceUnavailable, ""},
		"other pool":     {"a", versioner.Origin{Pool: "q", Version: "v1"}, versioner.Unknown, http.StatusServiceUnavailable, ""},
		"unknown":        {"b", versioner.Origin{Pool: "pool", Version: "v1"}, versioner.Unknown, http.StatusServiceUnavailable, ""},
		"unsure":         {"b", versioner.Origin{Pool: "pool", Version: "v1"}, versioner.Unsure, http.StatusServiceUnavailable, ""},
		"not named":      {"", versioner.Origin{Pool: "pool", Version: "v1"}, versioner.Unknown, http.StatusServiceUnavailable, ""},
	} {
		for way, change := range placements() {
			t.Run(name+"/"+way, func(t *testing.T) {
				versions := &fakeVersions{origins: map[string]versioner.Origin{"a": test.origin}, answer: test.answer}
				r := newTestGatewayWith(t, func(s *gateway.Settings) {
					change(s)
					s.Versions = versions
				}, versionedBackend(t, "a", "v1"), versionedBackend(t, "b", "v2"))
				for try := range 3 {
					got := r.call(t, http.MethodPost, "/resume/x", "", http.Header{
						"Last": {"1"}, "Resumes": {test.resumes}, "Id": {fmt.Sprint("try", try)},
					})
					if got.status != test.status || got.status == http.StatusOK && !strings.Contains(got.body, test.want) {
						t.Fatalf("try %d: got %d %q, want %d with events of %q", try, got.status, got.body, test.status, test.want)
					}
					if test.status != http.StatusOK {
						continue
					}
					// The next one is taken up from this try, or from the first.
					if o, answer := versions.Locate(t.Context(), fmt.Sprint("try", try)); answer != versioner.Known || o != test.origin {
						t.Errorf("origin of try %d: got %v %v, want %v", try, o, answer, test.origin)
					}
				}
			})
		}
	}
}

// Guards against an origin that names the first server of an answer instead of the one of its first event.
func TestOriginIsThatOfFirstEvent(t *testing.T) {
	first := newBackend(t, "a", breakConnection).server(placer.Decode)
	first.Version = "v1"
	versions := &fakeVersions{origins: make(map[string]versioner.Origin)}
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Versions = versions }, first, versionedBackend(t, "b", "v2"))
	for _, id := range []string{"r1", "r2"} {
		got := r.call(t, http.MethodPost, "/resume/x", "", http.Header{"Id": {id}})
		o, answer := versions.Locate(t.Context(), id)
		if got.body != "" && (answer != versioner.Known || o.Version != "v2") {
			t.Errorf("origin of %s: got %v %v, want v2", id, o, answer)
		}
	}
}
