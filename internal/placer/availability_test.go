package placer_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
)

// A server that announced its departure must get no requests while an outdated host list
// still shows it as ready. It must get them again once the list has shown it leaving and
// then ready, since a server may come back under the same name.
func TestLeftUntilListShowsReturn(t *testing.T) {
	server := placer.Server{ID: "s", Addr: "10.0.0.1:80", Pool: "pool"}
	leaving, other := server, server
	leaving.Leaving = true
	other.Addr = "10.0.0.2:80"
	for name, test := range map[string]struct {
		lists [][]placer.Server
		want  bool
	}{
		"outdated list":             {[][]placer.Server{{server}, {server}}, true},
		"leaving":                   {[][]placer.Server{{server}, {leaving}}, true},
		"leaving, then ready":       {[][]placer.Server{{leaving}, {server}}, false},
		"missing from one list":     {[][]placer.Server{{}, {server}}, true},
		"ready at another address":  {[][]placer.Server{{other}}, false},
		"leaving in repeated lists": {[][]placer.Server{{server}, {leaving}, {leaving}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(t)
			p.SetServers([]placer.Server{server})
			if got := p.MarkLeaving(time.Now(), "s"); !got {
				t.Error("first announcement: got false, want true")
			}
			for _, list := range test.lists {
				p.SetServers(list)
			}
			if got := p.Unavailable(time.Now(), "s"); got != test.want {
				t.Errorf("unavailable: got %t, want %t", got, test.want)
			}
		})
	}
}

// A server must not take itself out of service for longer than the maximum pause, and a
// shorter pause must not replace a longer one.
func TestRestIsBounded(t *testing.T) {
	p, now := newPlacer(t), time.Now()
	p.SetServers([]placer.Server{{ID: "s", Pool: "pool"}})
	if got, want := p.Pause(now, "s", 1000*time.Hour), 10*time.Minute; got != want {
		t.Errorf("pause: got %s, want %s", got, want)
	}
	p.Pause(now, "s", time.Second)
	if got, want := p.PauseRemaining(now, "pool"), 10*time.Minute; got != want {
		t.Errorf("pause after a shorter request: got %s, want %s", got, want)
	}
	if got := p.Unavailable(now.Add(10*time.Minute+1), "s"); got {
		t.Error("unavailable after the pause: got true, want false")
	}
}

// A server that restarts under the same name without the host list ever showing its
// departure must get requests again once its announcement has expired.
func TestLeavingExpires(t *testing.T) {
	now := time.Now()
	p := newPlacer(t, placer.Server{ID: "s", Pool: "pool"})
	p.MarkLeaving(now, "s")
	if got := p.Unavailable(now.Add(59*time.Second), "s"); !got {
		t.Error("unavailable after 59 s: got false, want true")
	}
	if got := p.Unavailable(now.Add(time.Minute), "s"); got {
		t.Error("unavailable after a minute: got true, want false")
	}
}
