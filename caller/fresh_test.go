package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/burn"
	"github.com/boragewick/boragewick/trace"
	"github.com/boragewick/boragewick/view"
)

// delayedLimiter grants every reservation after a delay unless ctx is done first.
type delayedLimiter struct{ delay time.Duration }

func (u delayedLimiter) Reserve(ctx context.Context, _ boragewick.ID, _ uint64, _ time.Time) (boragewick.Reservation, error) {
	select {
	case <-ctx.Done():
		return nil, boragewick.ErrCanceled
	case <-time.After(u.delay):
		return u, nil
	}
}

func (delayedLimiter) Settle(uint64) {}

// dispatchOK emits a complete response immediately.
func dispatchOK(_ context.Context, r *boragewick.Request, emit boragewick.Emit) error {
	for n, c := range []boragewick.Chunk{
		{Head: &boragewick.Head{Status: http.StatusOK}},
		{Data: []byte("done")},
		{End: &boragewick.End{}},
	} {
		c.Request, c.Number = r.ID, uint64(n+1)
		if err := emit(c); err != nil {
			return err
		}
	}
	return nil
}

func TestStaleConfiguration(t *testing.T) {
	second := time.Second
	tests := map[string]struct {
		// stale is how long the configuration has been stale when the request
		// arrives; freshAfter is the time after arrival at which it becomes fresh
		// again, zero for never.
		stale, freshAfter time.Duration
		// tokensAfter is how long a reservation of tokens takes.
		tokensAfter time.Duration
		// keyRemoved removes the key when the configuration becomes fresh again.
		keyRemoved bool
		status     int
		// wantDuration is the time until the response is complete.
		wantDuration time.Duration
	}{
		"fresh":                                  {stale: -second, status: 200},
		"fresh again soon":                       {stale: second, freshAfter: second, status: 200, wantDuration: second},
		"fresh again soon, key removed":          {stale: second, freshAfter: second, keyRemoved: true, status: 401, wantDuration: second},
		"never fresh again":                      {stale: second, status: 503, wantDuration: 3 * second},
		"long stale":                             {stale: time.Minute, freshAfter: second, status: 503},
		"stale while waiting for tokens":         {stale: -second, freshAfter: 2 * second, tokensAfter: 3 * second / 2, status: 200, wantDuration: 2*second + 3*second/2},
		"stale while waiting, key removed":       {stale: -second, freshAfter: 2 * second, tokensAfter: 3 * second / 2, keyRemoved: true, status: 401, wantDuration: 2 * second},
		"stale while waiting, never fresh again": {stale: -second, tokensAfter: 3 * second / 2, status: 503, wantDuration: 5 * second},
		"fresh, tokens granted before stale":     {stale: -second, tokensAfter: second / 2, status: 200, wantDuration: second / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hasher := boragewick.KeyHasher{Secret: []byte("secret")}
				key := boragewick.NewCallerKey()
				hash, err := hasher.Hash(key)
				if err != nil {
					t.Fatal(err)
				}
				v := &view.View{Clock: boragewick.SystemClock}
				config := boragewick.Update{Snapshot: true, Revision: boragewick.Revision{Index: 1}, Objects: []boragewick.Object{
					{ID: "workspace_a", Kind: boragewick.KindWorkspace, Workspace: &boragewick.Workspace{Weight: 1}},
					{ID: "key_a", Kind: boragewick.KindKey, Key: &boragewick.Key{Workspace: "workspace_a", Hash: hash}},
					{ID: "route_a", Kind: boragewick.KindRoute, Route: &boragewick.Route{Prefix: "/a", Pool: "p", Repeatable: true}},
				}}
				if err := v.Apply(config); err != nil {
					t.Fatal(err)
				}
				v.ExtendFreshness(boragewick.Revision{Index: 1}, time.Now().Add(time.Second))
				time.Sleep(time.Second + tt.stale)
				synctest.Wait()
				if tt.freshAfter > 0 {
					time.AfterFunc(tt.freshAfter, func() {
						if tt.keyRemoved {
							_ = v.Apply(boragewick.Update{Revision: boragewick.Revision{Index: 2}, Removed: []boragewick.ID{"key_a"}})
						}
						v.ExtendFreshness(v.Revision(), time.Now().Add(time.Hour))
					})
				}
				c := &Handler{
					View: v, Hasher: hasher, Limiter: delayedLimiter{tt.tokensAfter}, Dispatcher: boragewick.DispatcherFunc(dispatchOK),
					Watcher: &burn.Meter{}, Traces: &trace.Ring{}, Metrics: metrics.NewRegistry(),
					Clock: boragewick.SystemClock, Logger: log.NewNopLogger(), MaxBodyBytes: 100, FirstTokenTimeout: time.Minute,
				}
				r := httptest.NewRequest(http.MethodPost, "/a", strings.NewReader("x"))
				r.Header.Set("Authorization", "Bearer "+key)
				w := httptest.NewRecorder()
				start := time.Now()
				c.ServeHTTP(w, r)
				if w.Code != tt.status {
					t.Errorf("status %d, want %d: %s", w.Code, tt.status, w.Body)
				}
				if took := time.Since(start); took < tt.wantDuration || took > tt.wantDuration+50*time.Millisecond {
					t.Errorf("took %s, want %s", took, tt.wantDuration)
				}
				if w.Code != http.StatusOK && w.Header().Get(boragewick.OutcomeHeader) != string(boragewick.OutcomeNotRun) {
					t.Errorf("outcome %q", w.Header().Get(boragewick.OutcomeHeader))
				}
			})
		})
	}
}
