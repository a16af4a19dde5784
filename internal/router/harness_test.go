package router_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/agent"
	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/registrar"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// testTimeout bounds every wait in a test. It is far longer than any expected wait.
const testTimeout = 20 * time.Second

// config is a fixed configuration. It implements router.View.
type config struct {
	services []*wire.Service
	ranks    []*wire.Rank
	rules    []*wire.Rule
	servers  []*wire.Server
	blocked  map[string]bool // by digest, "*" for all
	index    uint64
}

func (c *config) Index() uint64                  { return c.index }
func (c *config) Revision() uint64               { return c.index }
func (c *config) Services() []*wire.Service      { return c.services }
func (c *config) Ranks() []*wire.Rank            { return c.ranks }
func (c *config) Rules() []*wire.Rule            { return c.rules }
func (c *config) Service(n string) *wire.Service { return findByName(c.services, n) }
func (c *config) Rank(n string) *wire.Rank       { return findByName(c.ranks, n) }
func (c *config) Server(n string) *wire.Server   { return findByName(c.servers, n) }

func (c *config) Servers(service string) []*wire.Server {
	var out []*wire.Server
	for _, s := range c.servers {
		if s.GetService() == service {
			out = append(out, s)
		}
	}

	return out
}

func (c *config) Blocked(digest string, _ time.Time) *wire.Block {
	if c.blocked["*"] || c.blocked[digest] {
		return &wire.Block{Digest: digest}
	}

	return nil
}

// findByName returns the item with a name, or the zero value.
func findByName[T interface{ GetName() string }](list []T, name string) (none T) {
	for _, item := range list {
		if item.GetName() == name {
			return item
		}
	}

	return none
}

// control is a fake control plane. It applies commands to a local registrar.
type control struct {
	mu            sync.Mutex
	config        *config
	changed       chan struct{}
	log           *registrar.Registrar
	index         uint64
	noQuorum      bool // Propose fails
	settledStages []wire.Stage
}

func newControl() *control {
	return &control{config: &config{}, changed: make(chan struct{}), log: registrar.New()}
}

func (c *control) Start() {}
func (c *control) Close() {}

func (c *control) View() router.View {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.config
}

func (c *control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changed
}

func (c *control) Fresh(time.Time) bool { return true }

func (c *control) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noQuorum {
		return nil, &subscriber.ProposeError{ID: cmd.GetId(), Cause: errors.New("no quorum")}
	}
	c.index++
	if s := cmd.GetSettle(); s != nil {
		c.settledStages = append(c.settledStages, s.GetStage())
	}

	return c.log.Apply(c.index, time.Now(), cmd), nil
}

// set replaces the configuration by a changed copy.
func (c *control) set(change func(cfg *config)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := *c.config
	change(&next)
	next.index++
	c.config = &next
	close(c.changed)
	c.changed = make(chan struct{})
}

// agentControl adapts control to the interface that agents need.
type agentControl struct{ *control }

func (c agentControl) View() agent.View { return c.control.View() }

// testCluster is one entry with agents and simulated backend servers.
type testCluster struct {
	t         *testing.T
	control   *control
	clock     *timer.Real
	entry     *router.Router
	engines   map[string]*emulator.Engine
	plains    map[string]*emulator.PlainService
	agents    map[string]*agent.Agent
	reg       *prometheus.Registry
	logBuffer logBuffer
}

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.String()
}

// discardLogger returns a logger without output.
func discardLogger() *log.Logger {
	return &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// newTestCluster starts an entry and servers with the given names. The first letter is
// the kind: p is a prefill engine, d a decode engine, s a plain service.
func newTestCluster(t *testing.T, servers ...string) *testCluster {
	t.Helper()
	s := &testCluster{
		t: t, control: newControl(), clock: timer.New(), engines: make(map[string]*emulator.Engine),
		plains: make(map[string]*emulator.PlainService), agents: make(map[string]*agent.Agent),
		reg: prometheus.NewRegistry(),
	}
	t.Cleanup(s.clock.Close)
	s.control.config.services = []*wire.Service{
		{Name: "digest", Kind: wire.Kind_KIND_MODEL, Model: "m", Limit: 64},
		{Name: "desk", Kind: wire.Kind_KIND_PLAIN, Timeout: 10_000, Body: 1000, Routes: []*wire.Route{
			{Method: "GET", Prefix: "/seats", Idempotent: true}, {Method: "POST", Prefix: "/book"},
		}},
	}
	s.control.config.ranks = []*wire.Rank{{Name: "master", Level: 0}, {Name: "drill", Level: 2}}
	s.control.config.rules = []*wire.Rule{{Name: "r", Caller: "master-*", Rank: "master"}}
	for _, name := range servers {
		s.addServer(name)
	}
	s.start(dispatcher.Limits{})

	return s
}

// start starts the entry.
func (s *testCluster) start(limits dispatcher.Limits) {
	s.t.Helper()
	var err error
	s.entry, err = router.New(router.Settings{
		Name: "e1", Region: "kochi", Listen: "127.0.0.1:0", Limits: limits, Drain: testTimeout,
	}, router.Deps{
		Timer: s.clock, Control: s.control, Registry: s.reg,
		Log: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &s.logBuffer}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.entry.Start(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { s.entry.Close() })
	s.control.set(func(*config) {})
}

// addServer starts a backend server and its agent and adds it to the configuration.
func (s *testCluster) addServer(name string) {
	s.t.Helper()
	phase := map[byte]string{'p': "prefill", 'd': "decode", 's': "plain"}[name[0]]
	service, addr := "digest", ""
	if phase == "plain" {
		service = "desk"
		plain := emulator.NewPlainService(30 * time.Millisecond)
		if err := plain.Start("127.0.0.1:0"); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { plain.Close() })
		s.plains[name], addr = plain, plain.Addr()
	} else {
		engine, err := emulator.NewEngine(emulator.EngineSettings{
			Name: name, Role: phase, Pieces: 8, PrefillRate: 1e6, DecodeRate: 1000, ExportRate: 1e8,
			ResultTTL: testTimeout, RestartDelay: 30 * time.Millisecond,
		})
		if err != nil {
			s.t.Fatal(err)
		}
		if err := engine.Start("127.0.0.1:0"); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { engine.Close() })
		s.engines[name], addr = engine, engine.Addr()
	}
	a, err := agent.New(agent.Settings{
		Name: name, Service: service, Region: "kochi", Backend: addr, Phase: phase, Pieces: 8,
		StallTimeout: 200 * time.Millisecond,
	}, agent.Deps{Timer: s.clock, Log: discardLogger(), Control: agentControl{s.control}})
	if err != nil {
		s.t.Fatal(err)
	}
	if err := a.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { a.Close() })
	s.agents[name] = a
	for !a.Ready() {
		<-time.After(time.Millisecond)
	}
	s.control.set(func(c *config) {
		c.servers = append(c.servers, &wire.Server{
			Name: name, Service: service, Phase: phase, Addr: a.Addr(), Region: "kochi", Pieces: 8,
		})
	})
}

// reply is the response to a caller.
type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
}

// do sends a request to the entry. The headers are pairs of name and value.
func (s *testCluster) do(ctx context.Context, method, path, body string, headers ...string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.entry.Addr()+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)

	return reply{response.StatusCode, response.Header.Get("Damask-Outcome"), response.Header, string(text)}, err
}

// call is like do, with testTimeout and without errors.
func (s *testCluster) call(method, path, body string, headers ...string) reply {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	r, err := s.do(ctx, method, path, body, headers...)
	if err != nil {
		s.t.Fatal(err)
	}

	return r
}

// text returns the answer in the body of a completion.
func (r reply) text() string {
	var body struct{ Choices []struct{ Text string } }
	if json.Unmarshal([]byte(r.body), &body) != nil || len(body.Choices) == 0 {
		return ""
	}

	return body.Choices[0].Text
}

// await polls until ok returns true. It is for states that have no channel to wait
// on.
func (s *testCluster) await(what string, ok func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			s.t.Fatalf("got no %s in %s, want it; state %+v", what, testTimeout, s.entry.Dump())
		}
		<-time.After(time.Millisecond)
	}
}

// awaitIdle waits until no engine holds memory and no request is in flight.
func (s *testCluster) awaitIdle() {
	s.t.Helper()
	s.await("free memory", func() bool {
		for _, e := range s.engines {
			if c := e.Counters(); c.HeldBlocks != 0 || c.RunningJobs != 0 {
				return false
			}
		}

		return len(s.state().Requests) == 0
	})
}

func (s *testCluster) state() router.State {
	state, _ := s.entry.Dump().(router.State)

	return state
}
