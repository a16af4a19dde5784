package placer_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
)

// A server that says that it leaves gets nothing until the host list has shown it gone
// or leaving, and ready again: the list lags, and a server may come back under its name.
func TestLeftUntilListShowsReturn(t *testing.T) {
	server := placer.Server{ID: "s", Addr: "10.0.0.1:80", Pool: "pool"}
	leaving, other := server, server
	leaving.Leaving = true
	other.Addr = "10.0.0.2:80"
	for name, test := range map[string]struct {
		lists [][]placer.Server
		want  bool
	}{
		"the lagging list":       {[][]placer.Server{{server}, {server}}, true},
		"leaving":                {[][]placer.Server{{server}, {leaving}}, true},
		"leaving and back":       {[][]placer.Server{{leaving}, {server}}, false},
		"missing for a moment":   {[][]placer.Server{{}, {server}}, true},
		"back elsewhere":         {[][]placer.Server{{other}}, false},
		"the list lost for once": {[][]placer.Server{{server}, {leaving}, {leaving}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			p.SetServers([]placer.Server{server})
			if got := p.Left(time.Now(), "s"); !got {
				t.Error("first notice: got false, want true")
			}
			for _, list := range test.lists {
				p.SetServers(list)
			}
			if got := p.Barred(time.Now(), "s"); got != test.want {
				t.Errorf("barred: got %t, want %t", got, test.want)
			}
		})
	}
}

func TestRestIsBounded(t *testing.T) {
	p, now := newPlacer(t), time.Now()
	p.SetServers([]placer.Server{{ID: "s", Pool: "pool"}})
	if got, want := p.Rest(now, "s", 1000*time.Hour), 10*time.Minute; got != want {
		t.Errorf("rest: got %s, want %s", got, want)
	}
	p.Rest(now, "s", time.Second)
	if got, want := p.Resting(now, "pool"), 10*time.Minute; got != want {
		t.Errorf("rest after a shorter one: got %s, want %s", got, want)
	}
	if got := p.Barred(now.Add(10*time.Minute+1), "s"); got {
		t.Error("barred after the rest: got true, want false")
	}
}

// A server that starts again under its name, while the list shows nothing of it, gets
// requests again once its word is old.
func TestLeftEnds(t *testing.T) {
	now := time.Now()
	p := newPlacer(t, placer.Server{ID: "s", Pool: "pool"})
	p.Left(now, "s")
	if got := p.Barred(now.Add(59*time.Second), "s"); !got {
		t.Error("barred after 59 s: got false, want true")
	}
	if got := p.Barred(now.Add(time.Minute), "s"); got {
		t.Error("barred after a minute: got true, want false")
	}
}
