package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestRequestsAtTheEndOfTheDrain answers the pattern in which a router is stopped
// while endpoints work for longer than its grace period: the caller gets a status
// that is true and not a closed connection.
func TestRequestsAtTheEndOfTheDrain(t *testing.T) {
	stuck := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	tests := map[string]boragewick.RepeatKind{
		"repeatable": boragewick.Repeatable,
		"run once":   boragewick.RunOnce,
		"stream":     boragewick.Streaming,
	}
	for name, kind := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, boragewick.HostRoute{Kind: kind, Attempts: 2}, nil, []script{stuck}, []script{stuck})
			base, end := context.WithCancelCause(t.Context())
			server := httptest.NewUnstartedServer(g.Gateway)
			server.Config.BaseContext = func(net.Listener) context.Context { return base }
			server.Start()
			t.Cleanup(server.Close)
			g.server = server
			time.AfterFunc(200*time.Millisecond, func() { end(boragewick.ErrDraining) })
			code, _, _, err := g.send(t, "/r/x", nil)
			if err != nil || code != http.StatusBadGateway {
				t.Errorf("status %d, %v, want 502", code, err)
			}
			if n := g.totalRequests(); n != 1 {
				t.Errorf("%d requests reached endpoints", n)
			}
		})
	}
}
