package gateway_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// agentClasses is the number of priority classes that agents have.
const agentClasses = 10

// Guards against a path or customer whose rank the agents do not know, so that none of its
// requests, or none of its late requests, is ever served.
func TestRankIsKnownToAgents(t *testing.T) {
	for name, rank := range map[string]int32{"most urgent": 0, "below the classes": 5, "last": 9, "negative": -1, "huge": 1 << 30} {
		t.Run(name, func(t *testing.T) {
			agents := &fakeAgents{refuse: func(ctx context.Context, a grantclient.Ask) error {
				if a.Rank < 0 || a.Rank >= agentClasses {
					return &grantclient.RefusedError{Reason: "invalid"}
				}
				if a.Rank < agentClasses/2 {
					<-ctx.Done() // the gateway has to ask again as a late request

					return context.Cause(ctx)
				}

				return nil
			}}
			b := newBackend(t, "s", respondWith(http.StatusOK, "id: 1\n\n"))
			r := newTestGateway(t, agents, b.server(placer.Decode))
			plan := standardPlan()
			plan.Customers = []*wire.Customer{{Name: "c", Keys: []string{"k"}, Rank: &rank}}
			for _, path := range plan.GetPaths() {
				path.Target = 300
			}
			r.setPlan(matcher.New(plan))
			if got := r.call(t, http.MethodPost, "/stream/x", "body", http.Header{"Key": {"k"}}); got.status != http.StatusOK {
				t.Errorf("status: got %d, want 200", got.status)
			}
		})
	}
}
