package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// crowdedMover moves runs but to engines that have no room until some time.
type crowdedMover struct {
	fakeMover
	hasRoom func(netip.AddrPort) bool
	calls   atomic.Int32
}

func (m *crowdedMover) Move(_ context.Context, _ *boragewick.Endpoint, _ boragewick.RequestID, to netip.AddrPort) (string, error) {
	m.calls.Add(1)
	if !m.hasRoom(to) {
		return "", boragewick.NotRun(boragewick.ErrOverloaded)
	}
	return "copy", nil
}

// TestMoveFromDepartingEngineWithoutRoom guards against a run that stays at an engine until that
// exits, as the first engine that was asked to take it had no room, though another one, or the same a
// moment later, has.
func TestMoveFromDepartingEngineWithoutRoom(t *testing.T) {
	tests := map[string]struct {
		engines int
		// fullFor is how long the first engine that is asked has no room.
		fullFor time.Duration
	}{
		"another engine has room": {3, time.Minute},
		"room a moment later":     {2, 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			lists := [][]script{{nil}, {nil}, {nil}}
			g := newTestGateway(t, route, nil, lists[:test.engines]...)
			var mu sync.Mutex
			var full netip.AddrPort
			var askedAt time.Time
			m := &crowdedMover{hasRoom: func(to netip.AddrPort) bool {
				mu.Lock()
				defer mu.Unlock()
				if askedAt.IsZero() {
					full, askedAt = to, time.Now()
				}
				return to != full || time.Since(askedAt) > test.fullFor
			}}
			g.Mover, g.Dialect = m, patientDialect{}
			var once sync.Once
			for i, e := range g.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					first := false
					once.Do(func() { first = true })
					if !first {
						if from := r.Header.Get("From"); from != "copy" {
							t.Errorf("the run goes on from %q", from)
						}
						events(2, 2, true)(w, r)
						return
					}
					g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{Weights: map[string]uint64{"": 1}})
					events(1, 1, true)(w, r)
					leaving := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: true}
					leaving.Models = []boragewick.Model{{Weights: "1"}}
					g.Placer.Update(boragewick.EndpointChange{Endpoint: leaving, Departing: true})
					// It exits.
					time.Sleep(800 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}}
			}
			_, got, _, err := g.send(t, "/r/x", func(r *http.Request) { r.Header.Set("Tokens", "9200,56") })
			if err != nil || got != event1+event2 || m.calls.Load() < 2 {
				t.Errorf("the caller got %q, %v after %d calls to move the run", got, err, m.calls.Load())
			}
		})
	}
}
