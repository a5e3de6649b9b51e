package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragewick/boragewick"
)

// lostPlacer begins flights whose endpoint is lost once the channel down is closed.
type lostPlacer struct {
	boragewick.Placer
	down chan struct{}
}

func (p *lostPlacer) Begin(c *boragewick.Candidate, s *boragewick.Selection) boragewick.Flight {
	return &lostFlight{p.Placer.Begin(c, s), p.down}
}

type lostFlight struct {
	boragewick.Flight
	down chan struct{}
}

func (f *lostFlight) Lost() <-chan struct{} { return f.down }

// TestSilentEngine guards against waiting for an engine that stops sending in the
// middle of a stream while its connection stays open.
func TestSilentEngine(t *testing.T) {
	rest := events(3, 4, true)
	tests := map[string]struct {
		route    boragewick.HostRoute
		complete bool
	}{
		"resumed elsewhere":         {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true, SessionAffinity: true}, true},
		"recovered from its backup": {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, test.route, nil, []script{nil}, []script{nil})
			g.Mover = &fakeMover{}
			p := &lostPlacer{g.Placer, make(chan struct{})}
			g.Placer = p
			silent := func(rw http.ResponseWriter, r *http.Request) {
				events(1, 2, true)(rw, r)
				close(p.down)
				<-r.Context().Done()
			}
			sequence := firstThen(silent, rest)
			for _, e := range g.endpoints {
				e.scripts = []script{sequence}
			}
			start := time.Now()
			_, got, _, err := g.send(t, "/r/x", nil)
			if (err == nil) != test.complete {
				t.Fatalf("unexpected end of the stream: %v", err)
			}
			if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"; got != want {
				t.Errorf("the caller got %q", got)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("the caller waited %s", took)
			}
		})
	}
}

// TestUnreachableEngineThatSends guards against canceling a request whose engine
// still sends although its agent can't reach it.
func TestUnreachableEngineThatSends(t *testing.T) {
	wd := &watchdog{startedAt: time.Now(), canGoOn: true}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	down := make(chan struct{})
	close(down)
	go wd.watch(ctx, cancel, &lostFlight{down: down})
	for range 10 {
		time.Sleep(silenceTimeout / 4)
		wd.touch()
	}
	if ctx.Err() != nil {
		t.Error("request canceled while its endpoint still sends")
	}
	select {
	case <-ctx.Done():
	case <-time.After(2 * silenceTimeout):
		t.Error("request not canceled though its endpoint is silent")
	}
}

// changingFlight is lost while its endpoint is down.
type changingFlight struct {
	boragewick.Flight
	mu   sync.Mutex
	down chan struct{}
}

func (f *changingFlight) Lost() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *changingFlight) set(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down {
		close(f.down)
	} else {
		f.down = make(chan struct{})
	}
}

// TestMomentaryOutage guards against requests that are cut at once when an agent doesn't reach
// its engine for a moment, because the engine had sent nothing for long before: it prefills
// their prompts, or they wait in its queue.
func TestMomentaryOutage(t *testing.T) {
	tests := map[string]struct {
		canGoOn, backup bool
		outages         int // of 100 ms each, 100 ms apart
		cut             bool
	}{
		"one":                            {false, false, 1, false},
		"one, another engine can go on":  {true, false, 1, false},
		"several":                        {false, false, 8, false},
		"several, with a backup":         {false, true, 8, false},
		"several, another engine can":    {true, false, 8, false},
		"for good, another engine can":   {true, false, 0, true},
		"for good, with an empty backup": {false, true, 0, true},
		"for good":                       {false, false, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &watchdog{startedAt: time.Now(), canGoOn: test.canGoOn, backup: test.backup}
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				f := &changingFlight{down: make(chan struct{})}
				go w.watch(ctx, cancel, f)
				time.Sleep(2 * time.Second)
				f.set(true)
				for i := range test.outages {
					time.Sleep(100 * time.Millisecond)
					f.set(false)
					time.Sleep(100 * time.Millisecond)
					if i+1 < test.outages {
						f.set(true)
					}
				}
				lostAt := time.Now()
				select {
				case <-ctx.Done():
				case <-time.After(3 * time.Second):
				}
				if cut := ctx.Err() != nil; cut != test.cut {
					t.Fatalf("cut %t", cut)
				}
				if took := time.Since(lostAt); test.cut && (took > finalSilenceTimeout || test.canGoOn != (took <= silenceTimeout)) {
					t.Errorf("cut %s after the engine was lost", took)
				}
			})
		})
	}
}

// TestNoRetryLeft guards against requests that are ended early for another endpoint although the
// retry budget is used up, so that they are lost: when agents miss all their engines for a
// moment, many requests want a retry at once.
func TestNoRetryLeft(t *testing.T) {
	tests := map[string]struct {
		retries int
		cut     time.Duration
	}{
		"one left":  {1, outagePeriod},
		"none left": {0, finalSilenceTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				retries := test.retries
				w := &watchdog{startedAt: time.Now(), canGoOn: true, takeRetry: func() (time.Time, bool) {
					retries--
					return time.Now(), retries >= 0
				}}
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				f := &changingFlight{down: make(chan struct{})}
				go w.watch(ctx, cancel, f)
				time.Sleep(2 * time.Second)
				f.set(true)
				lostAt := time.Now()
				<-ctx.Done()
				if took := time.Since(lostAt); took != test.cut {
					t.Errorf("ended after %s, want %s", took, test.cut)
				}
				if taken := w.retryAt.Load() != nil; taken != (test.retries > 0) {
					t.Errorf("retry taken %t", taken)
				}
			})
		})
	}
}

// TestStalledEngine guards against cutting requests at a sound engine that answers nobody
// for a moment. Requests that nobody can go on with are then lost.
func TestStalledEngine(t *testing.T) {
	tests := map[string]struct {
		canGoOn bool
		// downFor is how long the agent reports the engine as down, and silentFor how long
		// the engine sends nothing.
		downFor, silentFor time.Duration
		cut                bool
	}{
		"sends again, no other engine":           {false, 600 * time.Millisecond, 700 * time.Millisecond, false},
		"answers its agent again":                {true, 100 * time.Millisecond, 900 * time.Millisecond, false},
		"answers its agent again, none other":    {false, 100 * time.Millisecond, 4 * time.Second, false},
		"down, another engine goes on":           {true, time.Hour, time.Hour, true},
		"down for good, and no other engine":     {false, time.Hour, time.Hour, true},
		"down once more, another engine goes on": {true, 100 * time.Millisecond, time.Hour, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &watchdog{startedAt: time.Now(), canGoOn: test.canGoOn}
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				f := &changingFlight{down: make(chan struct{})}
				f.set(true)
				go w.watch(ctx, cancel, f)
				time.AfterFunc(test.downFor, func() { f.set(false) })
				if test.cut {
					time.AfterFunc(test.downFor+2*time.Second, func() { f.set(true) })
				}
				select {
				case <-ctx.Done():
				case <-time.After(min(test.silentFor, 5*time.Second)):
				}
				if cut := ctx.Err() != nil; cut != test.cut {
					t.Errorf("cut %t after %s", cut, time.Since(w.startedAt))
				}
				if took := time.Since(w.startedAt); test.cut && test.downFor == time.Hour && took > 2*time.Second {
					t.Errorf("cut after %s", took)
				}
			})
		})
	}
}
