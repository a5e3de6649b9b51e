package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

func TestAttempts(t *testing.T) {
	safe := boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 2}
	once := boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 2}
	tests := map[string]struct {
		route  boragewick.HostRoute
		first  script
		status int
		sent   int
	}{
		"safe: served":                      {safe, ok, 200, 1},
		"safe: failed by its endpoint":      {safe, status(500), 200, 2},
		"safe: closed":                      {safe, closed, 200, 2},
		"safe: refused":                     {safe, refuse, 200, 2},
		"safe: answer to another":           {safe, wrongID, 200, 2},
		"safe: not found is an answer":      {safe, status(404), 404, 1},
		"once: served":                      {once, ok, 200, 1},
		"once: failed by its endpoint":      {once, status(500), 500, 1},
		"once: closed":                      {once, closed, 502, 1},
		"once: refused, so it may go on":    {once, refuse, 200, 2},
		"once: answer to another":           {once, wrongID, 502, 1},
		"one attempt: refused":              {boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, refuse, 503, 1},
		"one attempt: closed":               {boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 1}, closed, 502, 1},
		"a stream that can't be resumed":    {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2}, closed, 502, 1},
		"a stream that can be, not started": {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true}, closed, 200, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			good := script(ok)
			if test.route.Kind == boragewick.Streaming {
				good = events(1, 3, true)
			}
			inTurn := firstThen(test.first, good)
			w := newWorld(t, test.route, nil, []script{inTurn}, []script{inTurn})
			code, _, _, err := w.send(t, "/r/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			if code != test.status || w.ran() != test.sent {
				t.Errorf("status %d after %d endpoints, want %d after %d", code, w.ran(), test.status, test.sent)
			}
		})
	}
}

// firstThen answers the first request at any endpoint by one script and all
// others by another.
func firstThen(first, rest script) script {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		s := rest
		once.Do(func() { s = first })
		s(w, r)
	}
}

func TestRefusals(t *testing.T) {
	rank := 1
	tenants := []boragewick.TenantRule{{Name: "north", Keys: []string{"good"}, Rank: &rank}}
	key := func(k string) func(*http.Request) { return func(r *http.Request) { r.Header.Set("Key", k) } }
	tests := map[string]struct {
		path   string
		edit   func(*http.Request)
		lost   bool
		status int
	}{
		"served":                       {"/r/x", key("good"), false, 200},
		"unknown route":                {"/q/x", key("good"), false, 404},
		"unknown key":                  {"/r/x", key("bad"), false, 401},
		"no key":                       {"/r/x", nil, false, 401},
		"unknown route, out of touch":  {"/q/x", key("good"), true, 503},
		"unknown key, out of touch":    {"/r/x", key("bad"), true, 503},
		"no ID":                        {"/r/x", func(r *http.Request) { r.Header.Del("Id") }, false, 400},
		"body too large":               {"/r/x", func(r *http.Request) { body(r, 2000); key("good")(r) }, false, 413},
		"body too large, without size": {"/r/x", func(r *http.Request) { body(r, 2000); r.ContentLength = -1; key("good")(r) }, false, 413},
		"header too large":             {"/r/x", func(r *http.Request) { r.Header.Set("Big", strings.Repeat("x", 5000)); key("good")(r) }, false, 431},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, tenants, []script{ok})
			w.touch = !test.lost
			code, _, header, err := w.send(t, test.path, test.edit)
			if err != nil {
				t.Fatal(err)
			}
			if code != test.status {
				t.Errorf("status %d, want %d", code, test.status)
			}
			if code != 200 && w.ran() != 0 {
				t.Error("a refused request ran")
			}
			if code == 503 && header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// body gives the request a body of n bytes.
func body(r *http.Request, n int64) {
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", int(n))))
	r.ContentLength = n
}

func TestTimeout(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, nil, []script{slow})
	begun := time.Now()
	code, _, _, err := w.send(t, "/r/x", nil)
	if err != nil || code != http.StatusGatewayTimeout {
		t.Errorf("status %d: %v", code, err)
	}
	if took := time.Since(begun); took > 2500*time.Millisecond {
		t.Errorf("answered after %s with a timeout of 2 s", took)
	}
}

// TestCallerLeaves stops the endpoint's work when the caller is gone.
func TestCallerLeaves(t *testing.T) {
	stopped := make(chan struct{})
	work := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	}
	w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, nil, []script{work})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, _, _, err := w.send(t, "/r/x", func(r *http.Request) { *r = *r.WithContext(ctx) })
	if err == nil {
		t.Fatal("answered")
	}
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the endpoint still works half a second after the caller left")
	}
}

// limiter refuses or counts.
type limiter struct {
	err     error
	settled []uint64
}

func (l *limiter) Reserve(context.Context, boragewick.ID, uint64, time.Time) (boragewick.Reservation, error) {
	if l.err != nil {
		return nil, l.err
	}
	return l, nil
}

func (l *limiter) Settle(used uint64) { l.settled = append(l.settled, used) }

func TestRates(t *testing.T) {
	tenants := []boragewick.TenantRule{{Name: "north", Keys: []string{"k"}, ByTokens: true, PerSecond: 1000}}
	key := func(r *http.Request) { r.Header.Set("Key", "k") }
	tests := map[string]struct {
		first   script
		err     error
		status  int
		settled uint64
	}{
		"served":       {ok, nil, 200, 110},
		"may have run": {closed, nil, 502, 110},
		"over the cap": {ok, boragewick.NotRun(boragewick.ErrRateExceeded), 429, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, tenants, []script{test.first})
			l := &limiter{err: test.err}
			w.Limiter = l
			code, _, header, err := w.send(t, "/r/x", key)
			if err != nil || code != test.status {
				t.Fatalf("status %d: %v", code, err)
			}
			if code == 429 && (header.Get("Retry-After") == "" || w.ran() != 0) {
				t.Error("a refusal without Retry-After, or of what ran")
			}
			if code != 429 && (len(l.settled) != 1 || l.settled[0] != test.settled) {
				t.Errorf("settled %v, want %d", l.settled, test.settled)
			}
		})
	}
}
