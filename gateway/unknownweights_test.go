package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestUnknownWeightsAreNotShared guards against runs that are copied or moved between engines
// whose weights aren't known, and go on with memory made on another version.
func TestUnknownWeightsAreNotShared(t *testing.T) {
	other := func(version string) []boragewick.Model {
		return []boragewick.Model{{Name: "other", Weights: version}}
	}
	tests := map[string]struct {
		models [2][]boragewick.Model
		shared bool
	}{
		"same weights":                     {[2][]boragewick.Model{{{Weights: "1"}}, {{Weights: "1"}}}, true},
		"different weights":                {[2][]boragewick.Model{{{Weights: "1"}}, {{Weights: "2"}}}, false},
		"registrations without models":     {[2][]boragewick.Model{}, false},
		"registrations without versions":   {[2][]boragewick.Model{{{}}, {{}}}, false},
		"model that isn't listed":          {[2][]boragewick.Model{other("1"), other("2")}, false},
		"not listed at one, no models":     {[2][]boragewick.Model{other("1"), nil}, false},
		"known at one of the engines only": {[2][]boragewick.Model{{{Weights: "1"}}, nil}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			m := &countingMover{}
			g.Mover = m
			for i, e := range g.endpoints {
				registered := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Models: test.models[i]}
				g.places.Update(boragewick.EndpointChange{Endpoint: registered})
				registered.Leaving = true
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					events(1, 1, true)(w, r)
					g.places.Update(boragewick.EndpointChange{Endpoint: registered})
					time.Sleep(100 * time.Millisecond)
					events(2, 3, true)(w, r)
				}}
			}
			code, got, _, err := g.send(t, "/r/x", nil)
			if err != nil || code != http.StatusOK {
				t.Errorf("the caller got %d %q, %v", code, got, err)
			}
			backups := 0
			for _, e := range g.endpoints {
				for _, h := range e.received {
					if h.Get("Backup") != "" {
						backups++
					}
				}
			}
			if copied, moved := backups > 0, m.moves.Load() > 0; copied != test.shared || moved != test.shared {
				t.Errorf("copied: %t, moved: %t, want both %t", copied, moved, test.shared)
			}
		})
	}
}

// TestNoRecoveryOnUnknownWeights guards against a run that goes on, from memory made by an engine
// with one version of the weights, at an engine with another as neither tells its version.
func TestNoRecoveryOnUnknownWeights(t *testing.T) {
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	g := newTestGateway(t, route, nil, []script{events(1, 3, false)}, []script{events(1, 3, false)})
	g.Mover = &fakeMover{}
	for i, e := range g.endpoints {
		listed := []boragewick.Model{{Name: "other", Weights: fmt.Sprint(1 + i)}}
		g.places.Update(boragewick.EndpointChange{Endpoint: boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Models: listed}})
	}
	_, _, _, err := g.send(t, "/r/x", nil)
	for i, e := range g.endpoints {
		for _, h := range e.received {
			if from := h.Get("From"); from != "" {
				t.Errorf("e%d goes on from copy %s", i, from)
			}
		}
	}
	if err == nil || g.totalRequests() != 1 {
		t.Errorf("%d requests to endpoints, %v", g.totalRequests(), err)
	}
}
