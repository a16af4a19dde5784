package gateway_test

import (
	"net/http"
	"testing"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/planner"
	"github.com/damasklever/damasklever/internal/wire"
)

// Guards against a request without a customer's key that reaches a server, and against a
// server that sees a key.
func TestKeys(t *testing.T) {
	urgent := int32(0)
	plan := standardPlan()
	plan.Guarded = true
	plan.Customers = []*wire.Customer{
		{Name: "first", Keys: []string{"k1", "k2"}, Rank: &urgent},
		{Name: "second", Keys: []string{"k3"}},
		{Name: "without keys"},
	}
	for _, path := range plan.GetPaths() {
		path.Rank = 2
		path.Open = path.GetName() == "read"
	}
	for name, test := range map[string]struct {
		path, key, customer, rank string
		status                    int
	}{
		"known":                {"/once/x", "k2", "first", "0", http.StatusOK},
		"rank of the path":     {"/once/x", "k3", "second", "2", http.StatusOK},
		"unknown":              {"/once/x", "k4", "", "", http.StatusUnauthorized},
		"missing":              {"/once/x", "", "", "", http.StatusUnauthorized},
		"open path":            {"/read/x", "", "", "2", http.StatusOK},
		"open path, known key": {"/read/x", "k3", "second", "2", http.StatusOK},
		"open path, bad key":   {"/read/x", "k4", "", "2", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var seen []http.Header
			b := newBackend(t, "s", func(_ http.ResponseWriter, r *http.Request) { seen = append(seen, r.Header.Clone()) })
			r := newRig(t, nil, b.server(placer.Plain))
			r.setPlan(planner.New(plan))
			got := r.call(t, http.MethodPost, test.path, "body", http.Header{"Key": {test.key}})
			if got.status != test.status {
				t.Errorf("status: got %d, want %d", got.status, test.status)
			}
			if test.status != http.StatusOK {
				if len(seen) > 0 || got.header.Get("Www-Authenticate") == "" {
					t.Errorf("sends: got %d, challenge %q, want none and one", len(seen), got.header.Get("Www-Authenticate"))
				}

				return
			}
			if h := seen[0]; h.Get("Key") != "" || h.Get("Customer") != test.customer || h.Get("Rank") != test.rank {
				t.Errorf("at the server: got key %q, customer %q, rank %q, want none, %q, %q",
					h.Get("Key"), h.Get("Customer"), h.Get("Rank"), test.customer, test.rank)
			}
		})
	}
}
