package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// lostPlacer tells requests that their endpoint is down.
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

// TestEngineWithoutPower is the pattern of an engine that falls silent in the
// middle of a stream, with its connection open.
func TestEngineWithoutPower(t *testing.T) {
	rest := events(3, 4, true)
	tests := map[string]struct {
		route boragewick.HostRoute
		whole bool
	}{
		"resumed elsewhere":     {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true, Affine: true}, true},
		"goes on at its backup": {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, Affine: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, test.route, nil, []script{nil}, []script{nil})
			w.Mover = &mover{}
			p := &lostPlacer{w.Placer, make(chan struct{})}
			w.Placer = p
			dark := func(rw http.ResponseWriter, r *http.Request) {
				events(1, 2, true)(rw, r)
				close(p.down)
				<-r.Context().Done()
			}
			inTurn := firstThen(dark, rest)
			for _, b := range w.backends {
				b.scripts = []script{inTurn}
			}
			begun := time.Now()
			_, got, _, err := w.send(t, "/r/x", nil)
			if (err == nil) != test.whole {
				t.Fatalf("whole: %v", err)
			}
			if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"; got != want {
				t.Errorf("the caller got %q", got)
			}
			if took := time.Since(begun); took > time.Second {
				t.Errorf("the caller waited %s", took)
			}
		})
	}
}

// TestBusyEngineIsLeftAlone is an engine that its agent can't reach but that
// still sends.
func TestBusyEngineIsLeftAlone(t *testing.T) {
	g := &guard{begun: time.Now()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	down := make(chan struct{})
	close(down)
	go g.watch(ctx, cancel, &lostFlight{down: down})
	for range 10 {
		time.Sleep(deadAfter / 4)
		g.touch()
	}
	if ctx.Err() != nil {
		t.Error("a request was ended whose endpoint sends")
	}
	select {
	case <-ctx.Done():
	case <-time.After(2 * deadAfter):
		t.Error("a request goes on whose endpoint is silent")
	}
}
