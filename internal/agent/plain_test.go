package agent_test

import (
	"context"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/wire"
)

// callBody is the body of all calls. The service echoes it.
const callBody = "seat 4"

// runCall dispatches the call of attempt a. The service counts its runs under the key a.
func (x *entryStream) runCall(headers ...string) {
	x.t.Helper()
	r := &wire.Run{
		Id: "a", Method: "POST", Path: "/hold?seat=4", Body: []byte(callBody),
		Headers: []*wire.Header{{Name: emulator.HeaderKey, Value: "a"}},
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Headers = append(r.Headers, &wire.Header{Name: headers[i], Value: headers[i+1]})
	}
	x.send(&wire.Call{Body: &wire.Call_Run{Run: r}})
}

func (x *entryStream) answered() {
	x.t.Helper()
	got := x.recv().GetAnswer()
	if got.GetStatus() != 200 || string(got.GetBody()) != callBody {
		x.t.Fatalf("got %v, want status 200 and body %q", got, callBody)
	}
}

func (h *harness) awaitRun() {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), testTimeout)
	defer cancel()
	if err := h.plain.AwaitRuns(ctx, "a", 1); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) ran(want int) {
	h.t.Helper()
	if got := h.plain.Runs("a"); got != want {
		h.t.Errorf("runs: got %d, want %d", got, want)
	}
}

// awaitSlotsFree waits until all call slots of the agent are free.
func (h *harness) awaitSlotsFree() {
	h.t.Helper()
	for d := h.testAgent.Dump(); d.Free != d.Total; d = h.testAgent.Dump() {
		pollPause()
	}
}

// Checks that a call runs only once if its dispatch is repeated on another stream,
// before or after its end.
func TestPlainRunsOnce(t *testing.T) {
	h := newPlainHarness(t)
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.runCall("Idempotency-Key", "k", emulator.HeaderDelay, "50ms")
	h.awaitRun()
	again := h.openStream()
	again.runCall()
	again.answered()
	again.runCall()
	again.answered()
	h.ran(1)
	h.awaitSlotsFree()
}

// Checks that a withdrawal reports ran=true if and only if the service has received the
// call.
func TestPlainWithdraw(t *testing.T) {
	tests := map[string]struct {
		reach func(h *harness, x *entryStream)
		ran   bool
	}{
		"asked":   {func(_ *harness, x *entryStream) { x.ask("a", wire.Phase_PHASE_PLAIN) }, false},
		"granted": {func(_ *harness, x *entryStream) { x.granted("a", wire.Phase_PHASE_PLAIN) }, false},
		"running": {func(h *harness, x *entryStream) {
			x.granted("a", wire.Phase_PHASE_PLAIN)
			x.runCall(emulator.HeaderDelay, "1h")
			h.awaitRun()
		}, true},
		"answered": {func(_ *harness, x *entryStream) {
			x.granted("a", wire.Phase_PHASE_PLAIN)
			x.runCall()
			x.answered()
		}, true},
		"not sent": {func(h *harness, x *entryStream) {
			x.granted("a", wire.Phase_PHASE_PLAIN)
			_ = h.plain.Close()
			x.runCall()
			x.refused("down")
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newPlainHarness(t)
			x := h.openStream()
			test.reach(h, x)
			x.withdraw("a")
			x.withdrawn("a", test.ran)
			late := h.openStream()
			late.runCall()
			if late.recv().GetRefused() == nil {
				t.Error("a late dispatch was not refused")
			}
			want := 0
			if test.ran {
				want = 1
			}
			h.ran(want)
			h.awaitSlotsFree()
		})
	}
}

// Checks that a call with an idempotency key is completed after its withdrawal, so that
// the caller's next try gets its answer.
func TestPlainWithdrawKeyed(t *testing.T) {
	h := newPlainHarness(t)
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.send(&wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
		Id: "a", Method: "POST", Path: "/hold", Body: []byte(callBody), Key: "claim",
		Headers: []*wire.Header{
			{Name: emulator.HeaderKey, Value: "a"}, {Name: emulator.HeaderDelay, Value: "50ms"},
		},
	}}})
	h.awaitRun()
	x.withdraw("a")
	x.answered()
	x.withdrawn("a", true)
	h.ran(1)
	h.awaitSlotsFree()
}

// Checks that a call whose answer was lost is reported as run and is not repeated.
func TestPlainFault(t *testing.T) {
	tests := map[string]wire.Status{
		"lost":  wire.Status_STATUS_FAILED,
		"crash": wire.Status_STATUS_CRASHED,
	}
	for fault, status := range tests {
		t.Run(fault, func(t *testing.T) {
			h := newPlainHarness(t)
			x := h.openStream()
			x.granted("a", wire.Phase_PHASE_PLAIN)
			x.runCall(emulator.HeaderFault, fault)
			x.ended(status)
			x.withdraw("a")
			x.withdrawn("a", true)
			h.ran(1)
			h.awaitReady()
			h.awaitSlotsFree()
		})
	}
}

// Checks that a call slot is freed after its entry was killed.
func TestPlainEntryKilled(t *testing.T) {
	h := newPlainHarness(t)
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.runCall(emulator.HeaderDelay, "1h")
	h.awaitRun()
	_ = h.session.Close()
	h.clock.Advance(4 * time.Second)
	h.awaitSlotsFree()
	h.ran(1)
}

// Checks that a call to a service that hangs ends at its timeout.
func TestPlainTimeout(t *testing.T) {
	h := newPlainHarness(t)
	h.control.timeout = time.Second
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.runCall(emulator.HeaderDelay, "1h")
	h.awaitRun()
	h.clock.Advance(h.control.timeout)
	x.ended(wire.Status_STATUS_FAILED)
	h.ran(1)
	h.awaitSlotsFree()
}

// Checks that a call that never reached the service is not a suspect of its crash.
func TestPlainUnsentIsNoSuspect(t *testing.T) {
	h := newPlainHarness(t)
	x := h.openStream()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	_ = h.plain.Close()
	x.runCall()
	x.refused("down")
	for h.testAgent.Ready() {
		pollPause()
	}
	if got := h.testAgent.Dump().Suspects; len(got) > 0 {
		t.Errorf("got suspects %v, want none", got)
	}
}
