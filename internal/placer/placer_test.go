package placer_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
)

var start = time.Unix(1000, 0)

func newPlacer(t *testing.T, list ...placer.Server) *placer.Placer {
	t.Helper()
	p, err := placer.New(placer.Settings{Centre: "c1", Region: "r1", Random: func() float64 { return 0.99 }})
	if err != nil {
		t.Fatal(err)
	}
	p.SetServers(list)

	return p
}

func server(id, centre, region string, stage placer.Stage) placer.Server {
	return placer.Server{ID: id, Addr: id + ":1", Pool: "p", Centre: centre, Region: region, Stage: stage}
}

func pickPlain(t *testing.T, p *placer.Placer, q placer.Query) string {
	t.Helper()
	c, ok := p.PickPlain(start, q)
	if !ok {
		return ""
	}

	return c.Server.ID
}

// Requests must not go to another region while local servers have capacity, and must not
// pile up on a local server while a remote one is idle.
func TestPickPlainSpreads(t *testing.T) {
	p := newPlacer(t, server("far", "c9", "r9", placer.Plain), server("own", "c1", "r1", placer.Plain))
	got := ""
	for range 4 {
		got += pickPlain(t, p, placer.Query{Pool: "p"}) + " "
	}
	if want := "own own own far "; got != want {
		t.Errorf("servers of concurrent requests: got %q, want %q", got, want)
	}
	p.EndRequest("own")
	p.EndRequest("own")
	p.EndRequest("own")
	if got, want := pickPlain(t, p, placer.Query{Pool: "p"}), "own"; got != want {
		t.Errorf("server after the requests have ended: got %q, want %q", got, want)
	}
}

// Requests must not go to a server that is leaving, failed recently, was already tried or
// belongs to another pool, unless all servers have failed.
func TestPickPlainAvoids(t *testing.T) {
	leaving := server("own", "c1", "r1", placer.Plain)
	leaving.Leaving = true
	other := server("own", "c1", "r1", placer.Plain)
	other.Pool = "q"
	own := server("own", "c1", "r1", placer.Plain)
	for name, test := range map[string]struct {
		own  placer.Server
		prep func(p *placer.Placer)
		q    placer.Query
		want string
	}{
		"healthy":    {own, nil, placer.Query{Pool: "p"}, "own"},
		"leaving":    {leaving, nil, placer.Query{Pool: "p"}, "far"},
		"failed":     {own, func(p *placer.Placer) { p.RecordFailure(start, "own") }, placer.Query{Pool: "p"}, "far"},
		"tried":      {own, nil, placer.Query{Pool: "p", Avoid: []string{"own"}}, "far"},
		"all tried":  {own, nil, placer.Query{Pool: "p", Avoid: []string{"own", "far"}}, ""},
		"other pool": {other, nil, placer.Query{Pool: "p"}, "far"},
		"recovered":  {own, func(p *placer.Placer) { p.RecordFailure(start, "own"); p.RecordSuccess("own") }, placer.Query{Pool: "p"}, "own"},
		"all failed": {own, func(p *placer.Placer) { p.RecordFailure(start, "own"); p.RecordFailure(start, "far") }, placer.Query{Pool: "p"}, "own"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t, test.own, server("far", "c9", "r9", placer.Plain))
			if test.prep != nil {
				test.prep(p)
			}
			if got := pickPlain(t, p, test.q); got != test.want {
				t.Errorf("server: got %q, want %q", got, test.want)
			}
		})
	}
}

// A server that keeps failing must get fewer and fewer requests, but must not be avoided
// forever.
func TestPenaltyDoubles(t *testing.T) {
	p := newPlacer(t, server("own", "c1", "r1", placer.Plain))
	var got []time.Duration
	for range 6 {
		got = append(got, p.RecordFailure(start, "own"))
	}
	for i, ms := range []int64{250, 500, 1000, 2000, 4000, 4000} {
		if got[i].Milliseconds() != ms {
			t.Errorf("failure %d: got %v, want %d ms", i+1, got[i], ms)
		}
	}
}

// Rank must prefer a nearby server, and must not prefer one without free memory while
// another has some.
func TestRank(t *testing.T) {
	near, far := server("near", "c1", "r1", placer.Decode), server("far", "c9", "r9", placer.Decode)
	for name, test := range map[string]struct {
		near, far placer.AgentLoad
		known     bool // whether the load of near is known
		want      string
	}{
		"both free":    {placer.AgentLoad{Total: 100, Free: 100}, placer.AgentLoad{Total: 100, Free: 100}, true, "near"},
		"near full":    {placer.AgentLoad{Total: 100, Free: 5, Wait: time.Second}, placer.AgentLoad{Total: 100, Free: 100}, true, "far"},
		"both full":    {placer.AgentLoad{Total: 100, Wait: time.Second}, placer.AgentLoad{Total: 100, Wait: 2 * time.Second}, true, "near"},
		"near leaving": {placer.AgentLoad{Total: 100, Free: 100, Leaving: true}, placer.AgentLoad{Total: 100, Free: 100}, true, "far"},
		"near unknown": {placer.AgentLoad{}, placer.AgentLoad{Total: 100, Free: 100}, false, "far"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t, far, near)
			list := p.Rank(start, placer.Query{Pool: "p"}, placer.Decode, 10, nil, func(id string) (placer.AgentLoad, bool) {
				if id == "near" {
					return test.near, test.known
				}

				return test.far, true
			})
			if len(list) == 0 || list[0].Server.ID != test.want {
				t.Errorf("best server: got %v, want %q", list, test.want)
			}
		})
	}
}

// A prompt must not be transferred between regions if there is a prefill server in the
// data centre of the decode server, even if another one is closer to the entry.
func TestRankPrefillByTransfer(t *testing.T) {
	decode := server("decode", "c9", "r9", placer.Decode)
	p := newPlacer(t, server("mine", "c1", "r1", placer.Prefill), server("its", "c9", "r9", placer.Prefill))
	free := func(string) (placer.AgentLoad, bool) { return placer.AgentLoad{Total: 2, Free: 2}, true }
	list := p.Rank(start, placer.Query{Pool: "p"}, placer.Prefill, 1, &decode, free)
	if got, want := list[0].Server.ID, "its"; got != want {
		t.Errorf("prefill server: got %q, want %q", got, want)
	}
}

// Without agents, a short prompt must not use a separate prefill server, and a prompt
// must not queue at a decode server while a prefill server is idle.
func TestPickStream(t *testing.T) {
	p := newPlacer(t, server("pre", "c1", "r1", placer.Prefill), server("dec", "c1", "r1", placer.Decode))
	q := placer.Query{Pool: "p", Prompt: 500}
	first, _ := p.PickStream(start, q)
	if first.Prefill != nil {
		t.Errorf("short prompt on idle servers: got prefill server %s, want none", first.Prefill.ID)
	}
	long, _ := p.PickStream(start, placer.Query{Pool: "p", Prompt: 8000})
	if long.Prefill == nil {
		t.Error("long prompt queued behind another: got no prefill server, want one")
	}
}
