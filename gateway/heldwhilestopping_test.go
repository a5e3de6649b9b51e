package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// stoppingHeadroom holds a request until the router stops, as Headroom does, and returns what
// may be sent then.
type stoppingHeadroom struct{ stop func() }

func (h *stoppingHeadroom) Pressed(*boragewick.Candidate) bool { return true }

func (h *stoppingHeadroom) Admit(_ context.Context, r *boragewick.HeadroomRequest, _ []boragewick.Candidate) ([]boragewick.Candidate, boragewick.Place, error) {
	h.stop()
	candidates, err := r.Select()
	return candidates, nil, err
}

// TestHeldWhileStopping guards against a stream that a stopping router sends, and then cuts off, as it
// was accepted before the router began to stop and held until then.
func TestHeldWhileStopping(t *testing.T) {
	tests := map[string]struct {
		refuses bool
		status  int
		sent    int
	}{
		"ends in time":   {false, http.StatusOK, 1},
		"takes too long": {true, http.StatusServiceUnavailable, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{events(1, 3, true)})
			policy := &fakeDraining{}
			g.Draining = policy
			g.Headroom = &stoppingHeadroom{func() {
				if test.refuses {
					policy.err = boragewick.NotRun(&boragewick.RetryError{At: time.Now().Add(50 * time.Millisecond), Err: boragewick.ErrDraining})
				}
			}}
			status, _, _, err := g.send(t, "/r/x", nil)
			if err != nil || status != test.status || g.totalRequests() != test.sent {
				t.Errorf("status %d, %v after %d requests to engines, want %d after %d", status, err, g.totalRequests(), test.status, test.sent)
			}
		})
	}
}
