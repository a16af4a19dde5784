package attendant

import (
	"strconv"
	"testing"

	"github.com/damasklever/damasklever/internal/wire"
)

// BenchmarkCall measures the decisions of one plain call, from its ask to the
// confirmed withdrawal.
func BenchmarkCall(b *testing.B) {
	w := newWorld(b, true)
	b.ReportAllocs()
	for i := range b.N {
		id := strconv.Itoa(i)
		w.do(w.keeper.Ask(w.now, w, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 5000, Entry: "e1", Epoch: 1, Digest: id,
		}))
		w.do(w.keeper.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}))
		w.end(id, true)
		w.do(w.keeper.Withdraw(w.now, w, &wire.Withdraw{Id: id}))
	}
}
