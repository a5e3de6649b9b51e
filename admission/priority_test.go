package admission

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/engine"
	"github.com/boragewick/boragewick/standin/modelengine"
	"github.com/boragewick/boragewick/standin/pipenet"
)

// timeToFirstToken sends a prompt of the given length through the queue to the
// engine and returns the time to its first token.
func timeToFirstToken(t *testing.T, q *Queue, c *engine.Client, workspace boragewick.ID, tokens int) time.Duration {
	begin := time.Now()
	s, err := q.Admit(t.Context(), boragewick.Work{Workspace: workspace, Prefill: uint64(tokens), Output: 4})
	if err != nil {
		t.Error(err)
		return 0
	}
	defer s.Release()
	var first time.Duration
	body := fmt.Sprintf(`{"model":"m","max_tokens":4,"stream":true,"prompt":%q}`, strings.Repeat("word", tokens))
	r := &boragewick.Request{ID: boragewick.NewRequestID(), Method: "POST", Path: "/v1/completions", Body: []byte(body), Priority: s.Priority()}
	err = c.Run(t.Context(), r, func(ch boragewick.Chunk) error {
		if first == 0 && len(ch.Data) > 0 {
			first = time.Since(begin)
			s.FirstToken()
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	return first
}

// TestShortBesideLong sends short prompts while an engine that computes 10,000
// prompt tokens per second prefills one long prompt. Neither the short prompts
// nor the long one may be starved by the other.
func TestShortBesideLong(t *testing.T) {
	const long = 40_000
	tests := map[string]struct {
		short int
		gap   time.Duration
		// shortWithin and longWithin are the limits for the times to first token.
		shortWithin, longWithin time.Duration
	}{
		"a few questions":        {short: 200, gap: time.Second, shortWithin: 200 * time.Millisecond, longWithin: 4500 * time.Millisecond},
		"more than it can serve": {short: 1000, gap: 50 * time.Millisecond, shortWithin: time.Minute, longWithin: 9 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &modelengine.Engine{}
				l := &pipenet.Listener{}
				server := &http.Server{Handler: e, ConnContext: e.ConnContext}
				go func() { _ = server.Serve(l) }()
				defer func() {
					_ = server.Close()
					_ = e.Close()
				}()
				c := &engine.Client{}
				c.Endpoint, c.Dial = netip.MustParseAddrPort("127.0.0.1:1"), l.Dial
				q := &Queue{}
				var group sync.WaitGroup
				var first time.Duration
				group.Go(func() { first = timeToFirstToken(t, q, c, "clerk", long) })
				time.Sleep(100 * time.Millisecond)
				var mu sync.Mutex
				var slowest time.Duration
				for sent := time.Duration(0); sent < 5*time.Second; sent += tt.gap {
					group.Go(func() {
						d := timeToFirstToken(t, q, c, "supervisor", tt.short)
						mu.Lock()
						slowest = max(slowest, d)
						mu.Unlock()
					})
					time.Sleep(tt.gap)
				}
				group.Wait()
				t.Logf("long %s, slowest short %s", first, slowest)
				if first > tt.longWithin || slowest > tt.shortWithin {
					t.Errorf("first tokens after %s and %s, want %s and %s", first, slowest, tt.longWithin, tt.shortWithin)
				}
			})
		})
	}
}
