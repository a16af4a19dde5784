package versioner_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/versioner"
)

// fakeAgents are agents that tests start, end and cut off.
type fakeAgents struct {
	mu     sync.Mutex
	agents map[string]*fakeAgent
}

type fakeAgent struct {
	store      *versioner.Store
	epoch      uint64
	down       bool // there is no session
	connecting bool
	absent     bool // there never was one
	silent     bool // lookups get no answer
}

func newFakeAgents(n int) *fakeAgents {
	f := &fakeAgents{agents: make(map[string]*fakeAgent)}
	for i := range n {
		f.agents[fmt.Sprint("s", i)] = &fakeAgent{store: versioner.NewStore(1000), epoch: 1}
	}

	return f
}

func (f *fakeAgents) servers() []placer.Server {
	var out []placer.Server
	for id := range f.agents {
		out = append(out, placer.Server{ID: id, Stage: placer.Decode})
	}

	return append(out, placer.Server{ID: "plain"})
}

func (f *fakeAgents) change(server string, do func(a *fakeAgent)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.agents[server])
}

func (f *fakeAgents) Epoch(server string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.agents[server]

	return a.epoch, !a.down && !a.absent && !a.connecting
}

func (f *fakeAgents) NeverConnected(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.agents[server].absent
}

func (f *fakeAgents) Connecting(server string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.agents[server].connecting
}

func (f *fakeAgents) Keep(server, id string, o versioner.Origin, ttl time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[server].store.Put(time.Now(), id, o, ttl)

	return true
}

func (f *fakeAgents) Locate(ctx context.Context, server, id string) (versioner.Origin, bool, error) {
	f.mu.Lock()
	a := *f.agents[server]
	f.mu.Unlock()
	if a.silent {
		<-ctx.Done()

		return versioner.Origin{}, false, ctx.Err()
	}
	if a.down {
		return versioner.Origin{}, false, errors.New("no session")
	}
	o, ok := a.store.Get(time.Now(), id)

	return o, ok, nil
}

// holders returns the servers whose agents have the origin of a stream.
func (f *fakeAgents) holders(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for server, a := range f.agents {
		if _, ok := a.store.Get(time.Now(), id); ok {
			out = append(out, server)
		}
	}
	slices.Sort(out)

	return out
}

func newVersioner(t *testing.T, agents *fakeAgents) *versioner.Versioner {
	t.Helper()
	clock := timer.New()
	t.Cleanup(clock.Close)
	v, err := versioner.New(versioner.Settings{Keepers: agents, Timer: clock})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(v.Close)
	v.SetServers(agents.servers())

	return v
}

var origin = versioner.Origin{Pool: "p", Version: "v1.1"}

// Guards against a stream whose version is lost with the entry that served it.
func TestOriginOutlivesEntry(t *testing.T) {
	for name, test := range map[string]struct {
		agents int
		lose   func(f *fakeAgents, holders []string)
		want   versioner.Answer
	}{
		"all agents":        {9, func(*fakeAgents, []string) {}, versioner.Known},
		"a large fleet":     {200, func(*fakeAgents, []string) {}, versioner.Known},
		"one agent":         {1, func(*fakeAgents, []string) {}, versioner.Known},
		"two copies lost":   {9, func(f *fakeAgents, h []string) { f.end(h[:2]...) }, versioner.Known},
		"all copies lost":   {9, func(f *fakeAgents, h []string) { f.end(h...) }, versioner.Unsure},
		"copies start anew": {9, func(f *fakeAgents, h []string) { f.restart(h...) }, versioner.Unknown},
		"one is silent": {9, func(f *fakeAgents, h []string) {
			f.change(h[0], func(a *fakeAgent) { a.silent = true })
		}, versioner.Known},
		"one connects later": {9, func(f *fakeAgents, h []string) {
			f.end(h[1:]...)
			f.change(h[0], func(a *fakeAgent) { a.connecting = true })
			time.AfterFunc(50*time.Millisecond, func() { f.change(h[0], func(a *fakeAgent) { a.connecting = false }) })
		}, versioner.Known},
		"no agents": {0, func(*fakeAgents, []string) {}, versioner.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agents := newFakeAgents(test.agents)
			newVersioner(t, agents).Record("r", origin, time.Minute)
			holders := agents.holders("r")
			if got, want := len(holders), min(test.agents, 3); got != want {
				t.Fatalf("copies: got %d, want %d", got, want)
			}
			next := newVersioner(t, agents)
			test.lose(agents, holders)
			o, got := next.Locate(t.Context(), "r")
			if got != test.want || got == versioner.Known && o != origin {
				t.Errorf("stream: got %v %v, want %v", got, o, test.want)
			}
		})
	}
}

func (f *fakeAgents) end(servers ...string) {
	for _, s := range servers {
		f.change(s, func(a *fakeAgent) { a.down = true })
	}
}

func (f *fakeAgents) restart(servers ...string) {
	for _, s := range servers {
		f.change(s, func(a *fakeAgent) {
			a.epoch++
			a.store = versioner.NewStore(1000)
		})
	}
}

// Guards against copies that are not replaced when their agents end, start anew or leave.
func TestCopiesAreReplaced(t *testing.T) {
	for name, lose := range map[string]func(f *fakeAgents, v *versioner.Versioner, holders []string){
		"ended":      func(f *fakeAgents, _ *versioner.Versioner, h []string) { f.end(h...) },
		"start anew": func(f *fakeAgents, _ *versioner.Versioner, h []string) { f.restart(h...) },
		"leaving": func(f *fakeAgents, v *versioner.Versioner, h []string) {
			list := f.servers()
			for i := range list {
				list[i].Leaving = slices.Contains(h, list[i].ID)
			}
			v.SetServers(list)
			f.end(h...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agents := newFakeAgents(9)
			v := newVersioner(t, agents)
			v.Record("r", origin, time.Minute)
			first := agents.holders("r")
			lose(agents, v, first)
			limit := time.Now().Add(10 * time.Second)
			pause := time.NewTicker(10 * time.Millisecond)
			defer pause.Stop()
			for {
				live := slices.DeleteFunc(agents.holders("r"), func(s string) bool {
					_, ok := agents.Epoch(s)

					return !ok
				})
				if len(live) >= 3 {
					return
				}
				if time.Now().After(limit) {
					t.Fatalf("copies at agents that answer: got %v, want 3", live)
				}
				<-pause.C
			}
		})
	}
}

// Guards against entries that choose different agents for the same stream, and against too many sessions.
func TestKeepersAreTheSameForAllEntries(t *testing.T) {
	agents := newFakeAgents(200)
	one, two := newVersioner(t, agents), newVersioner(t, agents)
	if !slices.Equal(one.Agents(), two.Agents()) {
		t.Error("keepers of two entries: got different ones, want the same")
	}
	if got, want := len(one.Agents()), 32; got != want {
		t.Errorf("keepers: got %d, want %d", got, want)
	}
}

// Guards against a lookup without agents that delays the request.
func TestLookupWithoutAgentsIsImmediate(t *testing.T) {
	agents := newFakeAgents(9)
	for server := range agents.agents {
		agents.change(server, func(a *fakeAgent) { a.absent = true })
	}
	v := newVersioner(t, agents)
	started := time.Now()
	if _, got := v.Locate(t.Context(), "r"); got != versioner.Unknown {
		t.Errorf("answer: got %v, want %v", got, versioner.Unknown)
	}
	if got, want := time.Since(started), 200*time.Millisecond; got > want {
		t.Errorf("duration: got %v, want at most %v", got, want)
	}
}

// addControlHosts starts control hosts and returns their names.
func (f *fakeAgents) addControlHosts(n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for i := range n {
		name := fmt.Sprint("control", i)
		f.agents[name] = &fakeAgent{store: versioner.NewStore(1000), epoch: 1}
		names = append(names, name)
	}

	return names
}

// Guards against a fleet without agents in which the origins are kept by nobody.
func TestControlHostsKeepOrigins(t *testing.T) {
	agents := newFakeAgents(4)
	for server := range agents.agents {
		agents.change(server, func(a *fakeAgent) { a.absent = true })
	}
	one, two := newVersioner(t, agents), newVersioner(t, agents)
	one.Record("r", origin, time.Minute)
	names := agents.addControlHosts(3)
	for _, v := range []*versioner.Versioner{one, two} {
		v.SetControlHosts(names, nil)
	}
	one.Record("q", origin, time.Minute)
	for _, id := range []string{"q", "r"} {
		if id == "r" {
			waitForHolders(t, agents, id, len(names))
		}
		if got := agents.holders(id); !slices.Equal(got, names) {
			t.Errorf("keepers of %s: got %v, want %v", id, got, names)
		}
		if o, got := two.Locate(t.Context(), id); got != versioner.Known || o != origin {
			t.Errorf("stream %s: got %v %v, want %v", id, got, o, versioner.Known)
		}
	}
	agents.change("s1", func(a *fakeAgent) { a.absent = false })
	one.Record("p", origin, time.Minute)
	if got, want := agents.holders("p"), slices.Concat(names, []string{"s1"}); !slices.Equal(got, want) {
		t.Errorf("keepers after an agent has come: got %v, want %v", got, want)
	}
}

// Guards against a stream whose version is lost because its entry, all agents and as many control hosts as may be lost end at once.
func TestOriginOutlivesEntryAndAgents(t *testing.T) {
	for name, test := range map[string]struct{ hosts, lost, copies int }{
		"one host":    {1, 0, 1},
		"three hosts": {3, 1, 3},
		"four hosts":  {4, 1, 3},
		"six hosts":   {6, 2, 3},
		"nine hosts":  {9, 4, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agents := newFakeAgents(9)
			servers := agents.servers()
			hosts := agents.addControlHosts(test.hosts)
			add := func() *versioner.Versioner {
				v := newVersioner(t, agents)
				v.SetServers(servers)
				v.SetControlHosts(hosts, nil)

				return v
			}
			add().Record("r", origin, time.Minute)
			copies := slices.DeleteFunc(agents.holders("r"), func(name string) bool { return !slices.Contains(hosts, name) })
			if got, want := len(copies), test.copies; got != want {
				t.Fatalf("copies at control hosts: got %d, want %d", got, want)
			}
			for _, s := range servers {
				if s.Stage != placer.Plain {
					agents.restart(s.ID)
				}
			}
			agents.end(copies[:test.lost]...)
			if o, got := add().Locate(t.Context(), "r"); got != versioner.Known || o != origin {
				t.Errorf("stream: got %v %v, want %v", got, o, versioner.Known)
			}
		})
	}
}

// Guards against a stream that is not found because its keeper is no longer a member, or because entries know other control hosts.
func TestFormerControlHostsAreAsked(t *testing.T) {
	agents := newFakeAgents(0)
	one, two := newVersioner(t, agents), newVersioner(t, agents)
	hosts := agents.addControlHosts(2)
	one.SetControlHosts(hosts[:1], hosts)
	one.Record("r", origin, time.Minute)
	if got, want := agents.holders("r"), hosts[:1]; !slices.Equal(got, want) {
		t.Errorf("keepers: got %v, want only the member %v", got, want)
	}
	two.SetControlHosts(hosts[1:], hosts)
	if o, got := two.Locate(t.Context(), "r"); got != versioner.Known || o != origin {
		t.Errorf("stream: got %v %v, want %v", got, o, versioner.Known)
	}
}

// waitForHolders waits until a number of agents have the origin of a stream.
func waitForHolders(t *testing.T, agents *fakeAgents, id string, n int) {
	t.Helper()
	limit := time.NewTimer(10 * time.Second)
	defer limit.Stop()
	pause := time.NewTicker(10 * time.Millisecond)
	defer pause.Stop()
	for len(agents.holders(id)) < n {
		select {
		case <-pause.C:
		case <-limit.C:
			t.Fatalf("holders of %s: got %v, want %d", id, agents.holders(id), n)
		}
	}
}
