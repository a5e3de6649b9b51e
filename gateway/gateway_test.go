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
	repeatable := boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 2}
	runOnce := boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 2}
	tests := map[string]struct {
		route  boragewick.HostRoute
		first  script
		status int
		sent   int
	}{
		"repeatable: served":                      {repeatable, ok, 200, 1},
		"repeatable: server error":                {repeatable, status(500), 200, 2},
		"repeatable: connection closed":           {repeatable, abortConnection, 200, 2},
		"repeatable: refused":                     {repeatable, refuse, 200, 2},
		"repeatable: response to another request": {repeatable, wrongID, 200, 2},
		"repeatable: not found is not retried":    {repeatable, status(404), 404, 1},
		"run once: served":                        {runOnce, ok, 200, 1},
		"run once: server error":                  {runOnce, status(500), 500, 1},
		"run once: connection closed":             {runOnce, abortConnection, 502, 1},
		"run once: refused, so it is retried":     {runOnce, refuse, 200, 2},
		"run once: response to another request":   {runOnce, wrongID, 502, 1},
		"one attempt: refused":                    {boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, refuse, 503, 1},
		"one attempt: connection closed":          {boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 1}, abortConnection, 502, 1},
		"stream, not resumable":                   {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2}, abortConnection, 502, 1},
		"stream, resumable, not started":          {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true}, abortConnection, 200, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			good := script(ok)
			if test.route.Kind == boragewick.Streaming {
				good = events(1, 3, true)
			}
			sequence := firstThen(test.first, good)
			g := newTestGateway(t, test.route, nil, []script{sequence}, []script{sequence})
			code, _, _, err := g.send(t, "/r/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			if code != test.status || g.totalRequests() != test.sent {
				t.Errorf("status %d after %d requests to endpoints, want %d after %d", code, g.totalRequests(), test.status, test.sent)
			}
		})
	}
}

// firstThen returns a script that runs first for the first request, at whichever
// endpoint it arrives, and rest for all others.
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
	tenants := []boragewick.WorkspaceRule{{Name: "north", Keys: []string{"good"}, Rank: &rank}}
	key := func(k string) func(*http.Request) { return func(r *http.Request) { r.Header.Set("Key", k) } }
	tests := map[string]struct {
		path       string
		edit       func(*http.Request)
		outOfTouch bool
		status     int
	}{
		"served":                            {"/r/x", key("good"), false, 200},
		"unknown route":                     {"/q/x", key("good"), false, 404},
		"unknown key":                       {"/r/x", key("bad"), false, 401},
		"no key":                            {"/r/x", nil, false, 401},
		"unknown route, stale view":         {"/q/x", key("good"), true, 503},
		"unknown key, stale view":           {"/r/x", key("bad"), true, 503},
		"no ID":                             {"/r/x", func(r *http.Request) { r.Header.Del("Id") }, false, 400},
		"body too large":                    {"/r/x", func(r *http.Request) { body(r, 2000); key("good")(r) }, false, 413},
		"body too large, no Content-Length": {"/r/x", func(r *http.Request) { body(r, 2000); r.ContentLength = -1; key("good")(r) }, false, 413},
		"header too large":                  {"/r/x", func(r *http.Request) { r.Header.Set("Big", strings.Repeat("x", 5000)); key("good")(r) }, false, 431},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, tenants, []script{ok})
			g.inTouch = !test.outOfTouch
			code, _, header, err := g.send(t, test.path, test.edit)
			if err != nil {
				t.Fatal(err)
			}
			if code != test.status {
				t.Errorf("status %d, want %d", code, test.status)
			}
			if code != 200 && g.totalRequests() != 0 {
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
	g := newTestGateway(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, nil, []script{slow})
	start := time.Now()
	code, _, _, err := g.send(t, "/r/x", nil)
	if err != nil || code != http.StatusGatewayTimeout {
		t.Errorf("status %d: %v", code, err)
	}
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Errorf("answered after %s with a timeout of 2 s", took)
	}
}

// TestCallerDisconnect checks that the endpoint's request is canceled when the
// caller disconnects.
func TestCallerDisconnect(t *testing.T) {
	stopped := make(chan struct{})
	work := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	}
	g := newTestGateway(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, nil, []script{work})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, _, _, err := g.send(t, "/r/x", func(r *http.Request) { *r = *r.WithContext(ctx) })
	if err == nil {
		t.Fatal("answered")
	}
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the endpoint still works half a second after the caller left")
	}
}

// fakeLimiter refuses with err, or grants everything and records what is settled.
type fakeLimiter struct {
	err     error
	settled []uint64
}

func (l *fakeLimiter) Reserve(context.Context, boragewick.ID, uint64, time.Time) (boragewick.Reservation, error) {
	if l.err != nil {
		return nil, l.err
	}
	return l, nil
}

func (l *fakeLimiter) Settle(used uint64) { l.settled = append(l.settled, used) }

func TestRates(t *testing.T) {
	tenants := []boragewick.WorkspaceRule{{Name: "north", Keys: []string{"k"}, ByTokens: true, PerSecond: 1000}}
	key := func(r *http.Request) { r.Header.Set("Key", "k") }
	tests := map[string]struct {
		first   script
		err     error
		status  int
		settled uint64
	}{
		"served":        {ok, nil, 200, 110},
		"may have run":  {abortConnection, nil, 502, 110},
		"over the rate": {ok, boragewick.NotRun(boragewick.ErrRateExceeded), 429, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 1}, tenants, []script{test.first})
			l := &fakeLimiter{err: test.err}
			g.Limiter = l
			code, _, header, err := g.send(t, "/r/x", key)
			if err != nil || code != test.status {
				t.Fatalf("status %d: %v", code, err)
			}
			if code == 429 && (header.Get("Retry-After") == "" || g.totalRequests() != 0) {
				t.Error("refused without Retry-After, or after the request ran")
			}
			if code != 429 && (len(l.settled) != 1 || l.settled[0] != test.settled) {
				t.Errorf("settled %v, want %d", l.settled, test.settled)
			}
		})
	}
}
