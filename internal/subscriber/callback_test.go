package subscriber_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against an entry that deadlocks because a callback uses the subscriber, or waits for
// another part that does.
func TestCallbacksMayUseSubscriber(t *testing.T) {
	const timeout = 10 * time.Second
	c := newFakeControl()
	s := settings(c, "a:1")
	s.HeartbeatInterval = time.Millisecond
	var sub *subscriber.Subscriber
	called := make(chan string, 64)
	use := func(callback string) {
		sub.Entries()
		sub.Host()
		sub.View()
		sub.Changed()
		sub.Fresh(time.Now())
		sub.SetSeeds([]string{"a:1"})
		select {
		case called <- callback:
		default:
		}
	}
	s.Flights = func() []*wire.Flight { use("Flights"); return nil }
	s.Leaving = func() bool { use("Leaving"); return false }
	s.Usages = func() []*wire.Usage { use("Usages"); return nil }
	s.Throttles = func() []*wire.Throttle { use("Throttles"); return nil }
	s.Listing = func(bool, *wire.Listing) { use("Listing") }
	s.SetAllotments = func(int, []*wire.Allotment) { use("SetAllotments") }
	s.SetGrants = func([]*wire.RequestGrant) { use("SetGrants") }
	clock := timer.New()
	defer clock.Close()
	sub, err := subscriber.New(s, clock)
	if err != nil {
		t.Fatal(err)
	}
	sub.Start()
	host := <-c.attachments
	host.Send(&wire.Notice{Body: &wire.Notice_Listing{Listing: &wire.Listing{}}})
	host.Send(&wire.Notice{Body: &wire.Notice_Pulse{Pulse: &wire.Pulse{Allotted: true, Entries: 3}}})
	missing := []string{"Flights", "Leaving", "Usages", "Throttles", "Listing", "SetAllotments", "SetGrants"}
	for end := time.After(timeout); len(missing) > 0; {
		select {
		case callback := <-called:
			missing = slices.DeleteFunc(missing, func(m string) bool { return m == callback })
		case <-end:
			t.Fatalf("callbacks: %v have not returned after %v", missing, timeout)
		}
	}
	sub.Close()
	<-sub.Done()
}
