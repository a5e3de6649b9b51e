package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// fakeDraining refuses all requests if err is set.
type fakeDraining struct {
	err error

	mu       sync.Mutex
	requests []boragewick.DrainRequest
	observed []boragewick.AnswerTimes
}

func (f *fakeDraining) Admit(r *boragewick.DrainRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, *r)
	return f.err
}

func (f *fakeDraining) Observe(_ string, a *boragewick.AnswerTimes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observed = append(f.observed, *a)
}

// TestRefusedWhileStopping guards against streams, resumable ones too, that a stopping router cuts off
// as it accepts them without asking how long they take, against requests that it refuses although
// they are repeatable or go on with an earlier answer, and against refusals after which the caller comes back on the same
// connection or doesn't know that nothing ran.
func TestRefusedWhileStopping(t *testing.T) {
	stream := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, TargetGap: 250 * time.Millisecond, AbandonedAfter: 3 * time.Second}
	resumable := stream
	resumable.Resumable = true
	tests := map[string]struct {
		route boragewick.HostRoute
		// lastEvent is set if the caller takes a stream up.
		lastEvent string
		asked     int
		status    int
	}{
		"stream, not resumable":         {stream, "", 1, 503},
		"run once":                      {boragewick.HostRoute{Kind: boragewick.RunOnce, Attempts: 2}, "", 1, 503},
		"resumable stream":              {resumable, "", 1, 503},
		"resumable stream, is taken up": {resumable, "2", 0, 200},
		"repeatable":                    {boragewick.HostRoute{Kind: boragewick.Repeatable, Attempts: 2}, "", 0, 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, test.route, nil, []script{events(1, 3, true)})
			refusal := &boragewick.RetryError{At: time.Now().Add(50 * time.Millisecond), Err: boragewick.ErrDraining}
			policy := &fakeDraining{err: boragewick.NotRun(refusal)}
			g.Draining = policy
			g.CloseConnections = func() bool { return true }
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.server.URL+"/r/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Id", "one")
			req.Header.Set("Tokens", "100,290")
			if test.lastEvent != "" {
				req.Header.Set("Last", test.lastEvent)
			}
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != test.status || !resp.Close {
				t.Errorf("status %d, closes %t", resp.StatusCode, resp.Close)
			}
			if after := resp.Header.Get("Retry-After"); test.status == 503 && (after == "" || after > "0.050") {
				t.Errorf("Retry-After %q", after)
			}
			if len(policy.requests) != test.asked || (g.totalRequests() == 0) != (test.status == 503) {
				t.Fatalf("asked %d times, %d requests sent", len(policy.requests), g.totalRequests())
			}
			if test.asked == 0 {
				return
			}
			r := policy.requests[0]
			until := time.Until(r.Deadline)
			if r.Route != "r" || r.ID != "one" || r.Stream != (test.route.Kind == boragewick.Streaming) || r.OutputTokens != 290 ||
				r.LongestPause != test.route.TargetGap || r.FirstEventWithin != test.route.AbandonedAfter || until < time.Second || until > 2*time.Second {
				t.Errorf("asked with %+v", r)
			}
		})
	}
}

// TestMayHaveRunWhileStopping guards against a refusal as not executed of a request that an
// endpoint may have run, and against one that is sent without a decision after a failure to
// connect.
func TestMayHaveRunWhileStopping(t *testing.T) {
	tests := map[string]struct {
		kind          boragewick.RepeatKind
		first         script
		status, asked int
	}{
		"refused by the endpoint":    {boragewick.RunOnce, refuse, 200, 2},
		"may have run":               {boragewick.RunOnce, abortConnection, 502, 1},
		"stream that may have begun": {boragewick.Streaming, abortConnection, 502, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sequence := firstThen(test.first, ok)
			g := newTestGateway(t, boragewick.HostRoute{Kind: test.kind, Attempts: 2}, nil, []script{sequence}, []script{sequence})
			policy := &fakeDraining{}
			g.Draining = policy
			status, _, _, err := g.send(t, "/r/x", nil)
			if err != nil || status != test.status || len(policy.requests) != test.asked {
				t.Errorf("status %d, asked %d times, %v", status, len(policy.requests), err)
			}
		})
	}
}

// TestAnswerTimes guards against expectations from answers that failed, were only a part of a
// stream, or come from routes that are never asked about.
func TestAnswerTimes(t *testing.T) {
	slowly := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		events(1, 1, true)(w, r)
		for i := 2; i <= 3; i++ {
			time.Sleep(100 * time.Millisecond)
			events(i, i, true)(w, r)
		}
	}
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		ok(w, r)
	}
	tests := map[string]struct {
		route    boragewick.HostRoute
		script   script
		edit     func(*http.Request)
		observed bool
		events   int
		rest     time.Duration
	}{
		"stream":           {boragewick.HostRoute{Kind: boragewick.Streaming}, slowly, nil, true, 3, 200 * time.Millisecond},
		"run once":         {boragewick.HostRoute{Kind: boragewick.RunOnce}, late, nil, true, 0, 0},
		"part of a stream": {boragewick.HostRoute{Kind: boragewick.Streaming}, slowly, func(r *http.Request) { r.Header.Set("Last", "1") }, false, 0, 0},
		"broken stream":    {boragewick.HostRoute{Kind: boragewick.Streaming}, events(1, 3, false), nil, false, 0, 0},
		"failed":           {boragewick.HostRoute{Kind: boragewick.RunOnce}, status(500), nil, false, 0, 0},
		"repeatable":       {boragewick.HostRoute{Kind: boragewick.Repeatable}, late, nil, false, 0, 0},
		"resumable":        {boragewick.HostRoute{Kind: boragewick.Streaming, Resumable: true}, slowly, nil, true, 3, 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.route.Attempts = 1
			g := newTestGateway(t, test.route, nil, []script{test.script})
			policy := &fakeDraining{}
			g.Draining = policy
			_, _, _, _ = g.send(t, "/r/x", test.edit)
			if (len(policy.observed) == 1) != test.observed {
				t.Fatalf("observed %+v", policy.observed)
			}
			if !test.observed {
				return
			}
			a := policy.observed[0]
			if a.FirstEvent < 100*time.Millisecond || a.FirstEvent > 300*time.Millisecond || a.Events != test.events || a.OutputTokens != 10 ||
				a.Rest < test.rest-50*time.Millisecond || a.Rest > test.rest+200*time.Millisecond {
				t.Errorf("observed %+v", a)
			}
		})
	}
}
