package agent

import (
	"strconv"
	"testing"

	"github.com/damasklever/damasklever/internal/wire"
)

// BenchmarkCall measures the state machine on one plain call, from its ask to the
// confirmed withdrawal.
func BenchmarkCall(b *testing.B) {
	w := newFixture(b, true)
	b.ReportAllocs()
	for i := range b.N {
		id := strconv.Itoa(i)
		w.perform(w.machine.Ask(w.now, w, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 5000, Entry: "e1", Epoch: 1, Digest: id,
		}))
		w.perform(w.machine.Dispatch(w.now, w, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}))
		w.endCall(id, true)
		w.perform(w.machine.Withdraw(w.now, w, &wire.Withdraw{Id: id}))
	}
}
