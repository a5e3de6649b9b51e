package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// slowEvents sends events with a gap between them that is far longer than usual.
func slowEvents(n int, gap time.Duration) script {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= n; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(gap):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// drip sends one event and then a byte of the next one now and then, for ever.
func drip(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: ")
	for {
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, "x"); err != nil {
			return
		}
	}
}

// TestSlowAndStalledStreams answers the pattern in which some streams are slow but
// sound and others stall but send a byte now and then: the first are delivered whole,
// and the others end at the caller's deadline, not later.
func TestSlowAndStalledStreams(t *testing.T) {
	const deadline = 2 * time.Second // of testDialect
	tests := map[string]struct {
		first    script
		complete bool
	}{
		"slow but sound": {slowEvents(4, 400*time.Millisecond), true},
		"stalled":        {drip, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1}
			g := newTestGateway(t, route, nil, []script{test.first})
			started := time.Now()
			code, got, _, err := g.send(t, "/r/x", nil)
			took := time.Since(started)
			if code != http.StatusOK || (err == nil) != test.complete {
				t.Errorf("status %d, complete %t: %v, %q", code, err == nil, err, got)
			}
			if took > deadline+500*time.Millisecond {
				t.Errorf("ended after %s", took)
			}
			if !test.complete && took < deadline-100*time.Millisecond {
				t.Errorf("cut after %s, before the caller's deadline", took)
			}
		})
	}
}
