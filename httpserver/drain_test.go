package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// TestDrain answers the pattern in which a server is stopped while requests run:
// each of them gets a complete answer, also one that outlasts the drain.
func TestDrain(t *testing.T) {
	tests := map[string]struct {
		work   time.Duration
		status int
	}{
		"ends within the drain":  {150 * time.Millisecond, http.StatusOK},
		"runs on beyond the end": {time.Minute, http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			started := make(chan struct{})
			s := &Server{
				Listener:     l,
				DrainTimeout: 400 * time.Millisecond,
				AnswerTime:   5 * time.Second,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					close(started)
					select {
					case <-time.After(test.work):
					case <-r.Context().Done():
						if !errors.Is(context.Cause(r.Context()), boragewick.ErrDraining) {
							t.Errorf("cause %v", context.Cause(r.Context()))
						}
						w.WriteHeader(http.StatusBadGateway)
					}
					_, _ = io.WriteString(w, "answer")
				}),
			}
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- s.Run(ctx) }()
			go func() {
				<-started
				stop()
			}()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "answer" || resp.StatusCode != test.status {
				t.Errorf("status %d, %q, %v", resp.StatusCode, b, err)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
