package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/mirror"
)

const (
	// gracePeriod is the WeightsGracePeriod of these tests. Newer weights were named
	// namedEarlier before a test, so requests may be sent to the old ones for 0.5 s more.
	gracePeriod  = 6 * time.Second
	namedEarlier = 4600 * time.Millisecond
	// betweenLimits is the time from the start of a test to an instant when requests are
	// no longer sent to old weights, and those that wait there are not yet withdrawn.
	betweenLimits = 800 * time.Millisecond
	// pastLimits is the time to an instant when they have been.
	pastLimits = 1300 * time.Millisecond
)

// nameWeights has version 2 of the endpoints' model named some time ago. The endpoints
// have version 1.
func nameWeights(g *testGateway, ago time.Duration) {
	view := *g.View()
	naming := boragewick.WeightsNaming{NamedWeights: boragewick.NamedWeights{Version: 2}, At: time.Now().Add(-ago)}
	view.Weights = map[string]uint64{"": 2}
	view.Namings = []boragewick.WeightsNaming{naming}
	g.View = func() *mirror.View { return &view }
	g.WeightsGracePeriod = gracePeriod
}

// after returns the script delayed by d.
func after(d time.Duration, s script) script {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		s(w, r)
	}
}

// TestNoStartOnExpiredWeightsWithoutAlternative guards against requests that begin on
// weights older than the bound because no engine has newer ones.
func TestNoStartOnExpiredWeightsWithoutAlternative(t *testing.T) {
	tests := map[string]struct {
		namedAgo time.Duration
		status   int
		requests int
	}{
		"within the bound": {namedEarlier, http.StatusOK, 1},
		"beyond the bound": {gracePeriod + time.Second, http.StatusServiceUnavailable, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{events(1, 2, true)}, []script{events(1, 2, true)})
			nameWeights(g, test.namedAgo)
			code, _, header, err := g.send(t, "/r/x", nil)
			if err != nil || code != test.status || g.totalRequests() != test.requests {
				t.Errorf("status %d, %v, %d requests", code, err, g.totalRequests())
			}
			if code == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
				t.Error("refused without Retry-After")
			}
		})
	}
}

// TestNoRetryOnExpiredWeights guards against a retry that goes by the weights that
// were allowed when the request came.
func TestNoRetryOnExpiredWeights(t *testing.T) {
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, SessionAffinity: true}
	slow := after(betweenLimits, refuse)
	g := newTestGateway(t, route, nil, []script{slow}, []script{slow})
	nameWeights(g, namedEarlier)
	code, _, _, err := g.send(t, "/r/x", nil)
	if n := g.totalRequests(); n != 1 {
		t.Errorf("%d requests to engines whose weights expire, want only the first attempt", n)
	}
	if err != nil || code != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v", code, err)
	}
}

// TestQueuedRequestLeavesExpiredWeights guards against a request that was sent within
// the bound and begins beyond it, as it waits in the engine's queue.
func TestQueuedRequestLeavesExpiredWeights(t *testing.T) {
	tests := map[string]struct {
		resumable bool
		unknown   bool
		served    bool
	}{
		"may run again":     {true, false, true},
		"may not run again": {false, false, false},
		"unknown weights":   {true, true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, SessionAffinity: true, Resumable: test.resumable}
			closed := make(chan time.Time, 1)
			queue := func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				closed <- time.Now()
			}
			g := newTestGateway(t, route, nil, []script{queue}, []script{events(1, 2, true)})
			if test.unknown {
				g.Placer.Update(boragewick.EndpointChange{Endpoint: boragewick.Endpoint{Name: "e0", Pool: "p", Kind: boragewick.EndpointModel, Agent: g.endpoints[0].addr}})
			}
			nameWeights(g, namedEarlier)
			expiry := time.Now().Add(gracePeriod - namedEarlier)
			upgraded := boragewick.Endpoint{Name: "e1", Pool: "p", Kind: boragewick.EndpointModel, Agent: g.endpoints[1].addr, Leaving: true}
			g.Placer.Update(boragewick.EndpointChange{Endpoint: upgraded})
			upgraded.Leaving = false
			upgraded.Models = []boragewick.Model{{Weights: "2"}}
			time.AfterFunc(betweenLimits, func() { g.Placer.Update(boragewick.EndpointChange{Endpoint: upgraded}) })

			code, _, _, err := g.send(t, "/r/x", nil)
			if served := err == nil && code == http.StatusOK; served != test.served {
				t.Errorf("status %d, %v", code, err)
			}
			if at := <-closed; at.After(expiry) {
				t.Errorf("the request waited %s beyond the bound", at.Sub(expiry))
			}
		})
	}
}

// slowlyBreaking sends an event, and after the wait breaks its connection.
func slowlyBreaking(wait time.Duration) script {
	return func(w http.ResponseWriter, r *http.Request) {
		events(1, 1, true)(w, r)
		time.Sleep(wait)
		abortConnection(w, r)
	}
}

// reportUnchanged has the agents of all engines report, until stop is called, that these have kept
// their weights. Nothing is recovered from a backup whose engine may have changed them.
func reportUnchanged(g *testGateway) (stop func()) {
	report := func() {
		for i := range g.endpoints {
			g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{Weights: map[string]uint64{"": 1}})
		}
	}
	report()
	ticker, done := time.NewTicker(100*time.Millisecond), make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				report()
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

// TestNoRecoveryOnExpiredWeights guards against a broken run that begins again from
// its backup on weights older than the bound.
func TestNoRecoveryOnExpiredWeights(t *testing.T) {
	tests := map[string]struct {
		namedAgo time.Duration
		// breaksAfter is how long the run lasts.
		breaksAfter time.Duration
		requests    int
	}{
		"within the bound":    {0, pastLimits, 2},
		"between the limits":  {namedEarlier, betweenLimits, 1},
		"past all the limits": {namedEarlier, pastLimits, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			g.Mover = &fakeMover{}
			sequence := firstThen(slowlyBreaking(test.breaksAfter), events(2, 3, true))
			for _, e := range g.endpoints {
				e.scripts = []script{sequence}
			}
			nameWeights(g, test.namedAgo)
			stop := reportUnchanged(g)
			defer stop()
			_, _, _, err := g.send(t, "/r/x", nil)
			if complete := err == nil; complete != (test.requests == 2) {
				t.Errorf("complete %t: %v", complete, err)
			}
			if n := g.totalRequests(); n != test.requests {
				t.Errorf("%d requests, want %d", n, test.requests)
			}
		})
	}
}

// countingMover counts the runs that are to be moved. It moves them if copyName is set.
type countingMover struct {
	fakeMover
	copyName string
	moves    atomic.Int32
}

func (m *countingMover) Move(context.Context, *boragewick.Endpoint, boragewick.RequestID, netip.AddrPort) (string, error) {
	m.moves.Add(1)
	return m.copyName, nil
}

// TestNoMoveOnExpiredWeights guards against a run that begins again at another engine on
// weights older than the bound, because its engine takes no more requests.
func TestNoMoveOnExpiredWeights(t *testing.T) {
	tests := map[string]struct {
		namedAgo time.Duration
		moves    int32
	}{
		"within the bound": {0, 1},
		"just before it":   {gracePeriod * 9 / 10, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{slowStream(300 * time.Millisecond)}, []script{slowStream(300 * time.Millisecond)})
			m := &countingMover{}
			g.Mover = m
			nameWeights(g, 0)
			time.AfterFunc(100*time.Millisecond, func() {
				for i, e := range g.endpoints {
					if e.requestCount() > 0 {
						leaving := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: true}
						leaving.Models = []boragewick.Model{{Weights: "1"}}
						g.places.ObserveEngine(leaving.Name, &boragewick.EngineUpdate{Weights: map[string]uint64{"": 1}})
						g.Placer.Update(boragewick.EndpointChange{Endpoint: leaving})
					}
				}
			})
			base := g.View()
			expired := *base
			expired.Namings = slices.Clone(base.Namings)
			expired.Namings[0].At = time.Now().Add(-test.namedAgo)
			sentAt := time.Now()
			g.View = func() *mirror.View {
				if time.Since(sentAt) < 50*time.Millisecond {
					return base
				}
				return &expired
			}
			if _, _, _, err := g.send(t, "/r/x", nil); err != nil {
				t.Errorf("the run is not complete: %v", err)
			}
			if n := m.moves.Load(); n != test.moves {
				t.Errorf("%d moves, want %d", n, test.moves)
			}
		})
	}
}

// failureCounter counts the reports that the ejector takes for failures.
type failureCounter struct{ failures atomic.Int32 }

func (c *failureCounter) Report(r boragewick.DispatchReport) {
	if errors.IsAny(r.Err, boragewick.ErrLinkLost, boragewick.ErrEndpointFailed, boragewick.ErrTimeout, boragewick.ErrWrongAnswer) {
		c.failures.Add(1)
	}
}

// TestWithdrawalIsNoFailure guards against ejecting an engine because a request was
// withdrawn from it.
func TestWithdrawalIsNoFailure(t *testing.T) {
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	queue := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	g := newTestGateway(t, route, nil, []script{queue})
	counter := &failureCounter{}
	g.Observer = counter
	nameWeights(g, namedEarlier)
	if code, _, _, _ := g.send(t, "/r/x", nil); code != http.StatusBadGateway {
		t.Errorf("status %d", code)
	}
	if n := counter.failures.Load(); n != 0 {
		t.Errorf("%d failures of the engine", n)
	}
}

// TestRunsThatAreNotWithdrawn guards against ending requests that may go on: a response
// that is no stream shows only at its end that it has begun, and without a bound no
// weights expire.
func TestRunsThatAreNotWithdrawn(t *testing.T) {
	wait := pastLimits
	rest := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(wait)
		_, _ = w.Write([]byte("rest"))
	}
	tests := map[string]struct {
		kind    boragewick.RepeatKind
		noBound bool
		script  script
	}{
		"run once":            {boragewick.RunOnce, false, after(wait, ok)},
		"repeatable":          {boragewick.Repeatable, false, after(wait, ok)},
		"a long body":         {boragewick.RunOnce, false, rest},
		"stream, no bound":    {boragewick.Streaming, true, after(wait, events(1, 2, true))},
		"stream that went on": {boragewick.Streaming, false, slowStream(wait)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, boragewick.HostRoute{Kind: test.kind, Attempts: 1, SessionAffinity: true}, nil, []script{test.script})
			nameWeights(g, namedEarlier)
			if test.noBound {
				g.WeightsGracePeriod = 0
			}
			if code, _, _, err := g.send(t, "/r/x", nil); err != nil || code != http.StatusOK {
				t.Errorf("status %d, %v", code, err)
			}
		})
	}
}

// slowStream sends its second event after the wait.
func slowStream(wait time.Duration) script {
	return func(w http.ResponseWriter, r *http.Request) {
		events(1, 1, true)(w, r)
		time.Sleep(wait)
		events(2, 2, true)(w, r)
	}
}

// TestLateNamingWithdraws guards against a request that waits beyond the bound because
// the router learned of the naming, and of its age, after it had sent the request.
func TestLateNamingWithdraws(t *testing.T) {
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	closed := make(chan time.Time, 1)
	queue := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		closed <- time.Now()
	}
	g := newTestGateway(t, route, nil, []script{queue})
	g.WeightsGracePeriod = gracePeriod
	namedAt := time.Now().Add(-namedEarlier)
	var view atomic.Pointer[mirror.View]
	view.Store(g.View())
	g.View = view.Load
	time.AfterFunc(betweenLimits/4, func() {
		later := *view.Load()
		later.Weights = map[string]uint64{"": 2}
		later.Namings = []boragewick.WeightsNaming{{NamedWeights: boragewick.NamedWeights{Version: 2}, At: namedAt}}
		view.Store(&later)
	})
	_, _, _, _ = g.send(t, "/r/x", nil)
	if at := <-closed; at.After(namedAt.Add(gracePeriod)) {
		t.Errorf("the request waited %s beyond the bound", at.Sub(namedAt.Add(gracePeriod)))
	}
}

// TestNoRecoveryAfterWeightsChanged guards against a run that goes on from a copy of its
// KV cache which was made on two versions of the weights.
func TestNoRecoveryAfterWeightsChanged(t *testing.T) {
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
	g.Mover = &fakeMover{}
	changed := func(w http.ResponseWriter, r *http.Request) {
		events(1, 1, true)(w, r)
		_, _ = w.Write([]byte("weights: 2\nid: 2\ndata: x\n\n"))
		events(3, 3, false)(w, r)
	}
	for _, e := range g.endpoints {
		e.scripts = []script{firstThen(changed, events(4, 5, true))}
	}
	if _, _, _, err := g.send(t, "/r/x", nil); err == nil {
		t.Error("a run that broke off is complete")
	}
	if n := g.totalRequests(); n != 1 {
		t.Errorf("%d requests, want no recovery", n)
	}
}
