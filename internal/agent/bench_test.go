package agent

import (
	"strconv"
	"testing"

	"github.com/damasklever/damasklever/internal/wire"
)

// BenchmarkCall measures the state machine on one plain call, from its ask to the
// confirmed withdrawal.
func BenchmarkCall(b *testing.B) {
	f := newFixture(b, true)
	b.ReportAllocs()
	for i := range b.N {
		id := strconv.Itoa(i)
		f.perform(f.machine.Ask(f.now, f, &wire.Ask{
			Id: id, Phase: wire.Phase_PHASE_PLAIN, Due: 5000, Entry: "e1", Epoch: 1, Digest: id,
		}))
		f.perform(f.machine.Dispatch(f.now, f, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{Id: id}}}))
		f.endCall(id, true)
		f.perform(f.machine.Withdraw(f.now, f, &wire.Withdraw{Id: id}))
	}
}
