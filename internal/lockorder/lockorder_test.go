package lockorder

import (
	"strings"
	"testing"
)

// Guards against mutexes that are acquired in opposite orders, which can deadlock a process.
func TestMutexesAreAcquiredInOneOrder(t *testing.T) {
	a, err := analyze("../..", "./...")
	if err != nil {
		t.Fatal(err)
	}
	// The order that is checked must be there.
	for _, want := range []edge{
		{"placer.Placer.mu", "throttler.Throttler.mu"},
		{"subscriber.Subscriber.mu", "subscriber.Client.mu"},
		{"lister.Lister.sinkMu", "placer.Placer.mu"},
	} {
		if a.edges[want] == nil {
			t.Errorf("order: got none of %s before %s, want one", want.from, want.to)
		}
	}
	for _, cycle := range a.cycles() {
		t.Errorf("cycle: %s", cycle)
	}
}

func TestFixtures(t *testing.T) {
	for name, test := range map[string]struct {
		want []string // parts of the only cycle
	}{
		"callback": {want: []string{
			"callback.Holder.mu -> callback.Receiver.mu -> callback.Holder.mu",
			"callback.Receiver.mu is acquired while callback.Holder.mu is held:",
			"callback.(*Holder).Share holds callback.Holder.mu",
			"callback.(*Receiver).Count acquires callback.Receiver.mu at callback/callback.go:",
			"called by callback.New$1 at callback/callback.go:",
			"callback.(*Holder).Set acquires callback.Holder.mu at callback/callback.go:",
		}},
		"library":  {want: []string{"library.A.mu -> library.B.mu -> library.A.mu"}},
		"variable": {want: []string{"variable.T.once -> variable.global -> variable.T.once"}},
		"clean":    {},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := analyze(".", "./testdata/"+name)
			if err != nil {
				t.Fatal(err)
			}
			if len(a.edges) == 0 {
				t.Error("order: got none, want one")
			}
			got := a.cycles()
			if len(got) != min(len(test.want), 1) {
				t.Fatalf("cycles: got %d, want %d:\n%s", len(got), min(len(test.want), 1), strings.Join(got, "\n"))
			}
			for _, want := range test.want {
				if !strings.Contains(got[0], want) {
					t.Errorf("cycle: got %s, want %q in it", got[0], want)
				}
			}
		})
	}
}
