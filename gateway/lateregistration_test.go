package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestLateRegistration guards against a run that goes on from a backup with parts of other weights,
// or that stays at an engine that leaves: the engine had started again under its name shortly
// before the run began, and its registration arrived after that.
func TestLateRegistration(t *testing.T) {
	const run = 2
	reports := func(version uint64, busy bool) *boragewick.EngineUpdate {
		return &boragewick.EngineUpdate{Weights: map[string]uint64{"": version}, Busy: busy, Active: 1, Started: run}
	}
	tests := map[string]struct {
		updates []*boragewick.EngineUpdate
		// leaves reports whether the engine then leaves; otherwise it crashes.
		leaves, recovered bool
		moves             int32
	}{
		"unchanged, crashes":           {[]*boragewick.EngineUpdate{reports(1, false)}, false, true, 0},
		"order in progress, crashes":   {[]*boragewick.EngineUpdate{reports(1, true)}, false, false, 0},
		"changed, crashes":             {[]*boragewick.EngineUpdate{reports(2, false)}, false, false, 0},
		"changed, agent lost, crashes": {[]*boragewick.EngineUpdate{reports(2, false), nil}, false, false, 0},
		"unchanged, leaves":            {[]*boragewick.EngineUpdate{reports(1, false)}, true, false, 1},
		"changed, leaves":              {[]*boragewick.EngineUpdate{reports(2, false)}, true, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			m := &countingMover{}
			g.Mover = m
			nameWeights(g, 0)
			var once sync.Once
			for i, e := range g.endpoints {
				endpoint := fmt.Sprint("e", i)
				g.places.ObserveEngine(endpoint, reports(1, false))
				registers := func(leaving bool) {
					e := boragewick.Endpoint{Name: endpoint, Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: leaving, Incarnation: boragewick.Incarnation(fmt.Sprint(run))}
					e.Models = []boragewick.Model{{Weights: "1"}}
					g.places.Update(boragewick.EndpointChange{Endpoint: e, Departing: leaving})
				}
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					s := events(4, 6, true)
					once.Do(func() {
						events(1, 1, true)(w, r)
						registers(false)
						for _, u := range test.updates {
							g.places.ObserveEngine(endpoint, u)
						}
						if test.leaves {
							registers(true)
							time.Sleep(100 * time.Millisecond)
						}
						s = events(2, 3, test.leaves)
					})
					s(w, r)
				}}
			}
			_, got, _, err := g.send(t, "/r/x", nil)
			if recovered := g.totalRequests() == 2 && err == nil; recovered != test.recovered {
				t.Errorf("goes on elsewhere: %t after %d requests to endpoints; the caller got %q, %v", recovered, g.totalRequests(), got, err)
			}
			if n := m.moves.Load(); n != test.moves {
				t.Errorf("%d moves, want %d", n, test.moves)
			}
		})
	}
}
