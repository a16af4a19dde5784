package subscriber_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

func versionsTable(rows ...[]string) *wire.Table {
	t := &wire.Table{Columns: []string{"pool", "versions", "since"}}
	for _, cells := range rows {
		t.Rows = append(t.Rows, &wire.Row{Cells: append(cells, "0")})
	}

	return t
}

// Guards against a version that counts as the only one of a pool because this process has not
// heard of another one yet.
func TestConfirmVersion(t *testing.T) {
	stale := versionsTable([]string{"m", "v1"})
	stale.Stale = true
	for name, test := range map[string]struct {
		version string
		table   *wire.Table // nil if no host answers
		want    bool
		err     bool
	}{
		"only version":        {"v1", versionsTable([]string{"n", "v2"}, []string{"m", "v1"}), true, false},
		"not named":           {"", versionsTable([]string{"m", ""}), true, false},
		"another one as well": {"v1", versionsTable([]string{"m", "v1,v1.1"}), false, false},
		"another one":         {"v1", versionsTable([]string{"m", "v1.1"}), false, false},
		"separator":           {"v1,v1.1", versionsTable([]string{"m", "v1,v1.1"}), false, false},
		"none":                {"v1", versionsTable([]string{"n", "v1"}), false, false},
		"no majority":         {"v1", stale, false, true},
		"no answer":           {"v1", nil, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeControl()
				c.query = func(string) *wire.Table { return test.table }
				sub, clock := start(t, settings(c, "a:1", "b:1"))
				one := c.nextAttachment(clock)
				one.update(&wire.Update{Index: 5, Versions: []*wire.Versions{{Pool: "m", Versions: []string{test.version}}}})
				one.pulse(5, 0)
				advanceUntil(clock, func() bool { return sub.Fresh(clock.Now()) && len(sub.View().Versions("m")) == 1 })
				began := clock.Now()
				var calls sync.WaitGroup
				ended := false
				for range 3 {
					calls.Go(func() {
						got, err := sub.ConfirmVersion(t.Context(), "m", test.version)
						if got != test.want || (err != nil) != test.err {
							t.Errorf("confirmed: got %v, %v, want %v, an error %v", got, err, test.want, test.err)
						}
					})
				}
				go func() {
					calls.Wait()
					ended = true
				}()
				advanceUntil(clock, func() bool { return ended })
				// A call may have to wait for the end of the query that is in flight.
				if got, limit := clock.Now().Sub(began), 1100*time.Millisecond; got > limit {
					t.Errorf("time to confirm: got %s, want at most %s", got, limit)
				}
			})
		})
	}
}
