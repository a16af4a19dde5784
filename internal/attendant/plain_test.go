package attendant_test

import (
	"context"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/imitator"
	"github.com/damasklever/damasklever/internal/wire"
)

// seat is the body of every call, which the service echoes.
const seat = "seat 4"

// run dispatches call a, which the service counts under its id.
func (x *exchange) run(headers ...string) {
	x.t.Helper()
	r := &wire.Run{
		Id: "a", Method: "POST", Path: "/hold?seat=4", Body: []byte(seat),
		Headers: []*wire.Header{{Name: imitator.HeaderKey, Value: "a"}},
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Headers = append(r.Headers, &wire.Header{Name: headers[i], Value: headers[i+1]})
	}
	x.send(&wire.Call{Body: &wire.Call_Run{Run: r}})
}

func (x *exchange) answered() {
	x.t.Helper()
	got := x.next().GetAnswer()
	if got.GetStatus() != 200 || string(got.GetBody()) != seat {
		x.t.Fatalf("got %v, want status 200 and body %q", got, seat)
	}
}

func (h *site) awaitRun() {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), patience)
	defer cancel()
	if err := h.plain.AwaitRuns(ctx, "a", 1); err != nil {
		h.t.Fatal(err)
	}
}

func (h *site) ran(want int) {
	h.t.Helper()
	if got := h.plain.Runs("a"); got != want {
		h.t.Errorf("runs: got %d, want %d", got, want)
	}
}

// slotsFree waits until the agent holds no call slot.
func (h *site) slotsFree() {
	h.t.Helper()
	for d := h.agent.Dump(); d.Free != d.Total; d = h.agent.Dump() {
		pauseBriefly()
	}
}

// Guards against a call that runs twice because its dispatch arrives again,
// before or after its end, or on another stream.
func TestPlainRunsOnce(t *testing.T) {
	h := newPlainSite(t)
	x := h.open()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.run("Idempotency-Key", "k", imitator.HeaderDelay, "50ms")
	h.awaitRun()
	again := h.open()
	again.run()
	again.answered()
	again.run()
	again.answered()
	h.ran(1)
	h.slotsFree()
}

// Guards against ran=false for a call that the service has seen, and ran=true
// for one that it has not.
func TestPlainWithdraw(t *testing.T) {
	tests := map[string]struct {
		reach func(h *site, x *exchange)
		ran   bool
	}{
		"asked":   {func(_ *site, x *exchange) { x.ask("a", wire.Phase_PHASE_PLAIN) }, false},
		"granted": {func(_ *site, x *exchange) { x.granted("a", wire.Phase_PHASE_PLAIN) }, false},
		"running": {func(h *site, x *exchange) {
			x.granted("a", wire.Phase_PHASE_PLAIN)
			x.run(imitator.HeaderDelay, "1h")
			h.awaitRun()
		}, true},
		"answered": {func(_ *site, x *exchange) {
			x.granted("a", wire.Phase_PHASE_PLAIN)
			x.run()
			x.answered()
		}, true},
		"not sent": {func(h *site, x *exchange) {
			x.granted("a", wire.Phase_PHASE_PLAIN)
			_ = h.plain.Close()
			x.run()
			x.refused("down")
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newPlainSite(t)
			x := h.open()
			test.reach(h, x)
			x.withdraw("a")
			x.withdrawn("a", test.ran)
			late := h.open()
			late.run()
			if late.next().GetRefused() == nil {
				t.Error("a late dispatch was not refused")
			}
			want := 0
			if test.ran {
				want = 1
			}
			h.ran(want)
			h.slotsFree()
		})
	}
}

// Guards against the loss of a booking's answer, which the caller's next try
// gets, when the caller leaves while it runs.
func TestPlainWithdrawKeyed(t *testing.T) {
	h := newPlainSite(t)
	x := h.open()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.send(&wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
		Id: "a", Method: "POST", Path: "/hold", Body: []byte(seat), Key: "claim",
		Headers: []*wire.Header{
			{Name: imitator.HeaderKey, Value: "a"}, {Name: imitator.HeaderDelay, Value: "50ms"},
		},
	}}})
	h.awaitRun()
	x.withdraw("a")
	x.answered()
	x.withdrawn("a", true)
	h.ran(1)
	h.slotsFree()
}

// Guards against "not run" for a call whose answer was lost, and against a
// repeat of it.
func TestPlainFault(t *testing.T) {
	tests := map[string]wire.Status{
		"lost":  wire.Status_STATUS_FAILED,
		"crash": wire.Status_STATUS_CRASHED,
	}
	for fault, status := range tests {
		t.Run(fault, func(t *testing.T) {
			h := newPlainSite(t)
			x := h.open()
			x.granted("a", wire.Phase_PHASE_PLAIN)
			x.run(imitator.HeaderFault, fault)
			x.ended(status)
			x.withdraw("a")
			x.withdrawn("a", true)
			h.ran(1)
			h.awaitReady()
			h.slotsFree()
		})
	}
}

// Guards against a call slot that stays taken after its entry died.
func TestPlainEntryKilled(t *testing.T) {
	h := newPlainSite(t)
	x := h.open()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.run(imitator.HeaderDelay, "1h")
	h.awaitRun()
	_ = h.session.Close()
	h.clock.Advance(4 * time.Second)
	h.slotsFree()
	h.ran(1)
}

// Guards against a call that never ends because its service hangs.
func TestPlainTimeout(t *testing.T) {
	h := newPlainSite(t)
	h.control.timeout = time.Second
	x := h.open()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	x.run(imitator.HeaderDelay, "1h")
	h.awaitRun()
	h.clock.Advance(h.control.timeout)
	x.ended(wire.Status_STATUS_FAILED)
	h.ran(1)
	h.slotsFree()
}

// Guards against a caller that is suspected of a crash although its call never
// reached the service.
func TestPlainUnsentIsNoSuspect(t *testing.T) {
	h := newPlainSite(t)
	x := h.open()
	x.granted("a", wire.Phase_PHASE_PLAIN)
	_ = h.plain.Close()
	x.run()
	x.refused("down")
	for h.agent.Ready() {
		pauseBriefly()
	}
	if got := h.agent.Dump().Suspects; len(got) > 0 {
		t.Errorf("got suspects %v, want none", got)
	}
}
