package granter

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkAsk measures one ask and its grant on a full server with 20 grants and
// waiting asks of several callers.
func BenchmarkAsk(b *testing.B) {
	for _, waiting := range []int{0, 20, 200} {
		b.Run(strconv.Itoa(waiting), func(b *testing.B) {
			s := Defaults(40)
			s.MaxQueuedWork = time.Hour
			g := newGranter(b, s)
			now := start
			add := func(i int) {
				g.Ask(now, Ask{
					ID: strconv.Itoa(i), Entry: "e", Caller: strconv.Itoa(i % 12), Rank: i % 3,
					Due: now.Add(time.Hour), Pieces: 2, Cost: 8 * time.Second, Hold: 200 * time.Millisecond,
				})
			}
			n := 0
			for ; n < 20+waiting; n++ {
				add(n)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				add(n)
				n++
				g.Confirm(now, g.grants[0].ID)
				g.Release(now, g.grants[0].ID)
			}
		})
	}
}
