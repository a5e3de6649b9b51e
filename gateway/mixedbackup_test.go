package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/mirror"
)

// TestNoRecoveryFromMixedBackup guards against a run that goes on with the older weights from a
// backup of which a part was made on newer ones: its engine has changed them under the run and
// crashed before an event could tell (review/10).
func TestNoRecoveryFromMixedBackup(t *testing.T) {
	reports := func(version uint64, busy bool) *boragewick.EngineUpdate {
		return &boragewick.EngineUpdate{Weights: map[string]uint64{"": version}, Busy: busy, Active: 1}
	}
	down := func(u *boragewick.EngineUpdate) *boragewick.EngineUpdate {
		u.Down = true
		return u
	}
	tests := map[string]struct {
		updates   []*boragewick.EngineUpdate
		named     uint64
		recovered bool
	}{
		"nothing known":                     {nil, 1, true},
		"unchanged":                         {[]*boragewick.EngineUpdate{reports(1, false)}, 1, true},
		"unchanged, newer ones named":       {[]*boragewick.EngineUpdate{reports(1, false)}, 2, true},
		"unchanged, engine down":            {[]*boragewick.EngineUpdate{reports(1, false), down(reports(1, false))}, 2, true},
		"unchanged, later report of load":   {[]*boragewick.EngineUpdate{reports(1, false), {Active: 2}}, 2, true},
		"order in progress":                 {[]*boragewick.EngineUpdate{reports(1, true)}, 2, false},
		"changed":                           {[]*boragewick.EngineUpdate{reports(1, true), reports(2, false)}, 2, false},
		"changed, not known to be named":    {[]*boragewick.EngineUpdate{reports(2, false)}, 1, false},
		"changed, engine down":              {[]*boragewick.EngineUpdate{reports(1, false), down(reports(2, false))}, 2, false},
		"changed, agent lost":               {[]*boragewick.EngineUpdate{reports(1, true), reports(2, false), nil}, 2, false},
		"nothing known, newer ones named":   {nil, 2, false},
		"agent lost, newer ones named":      {[]*boragewick.EngineUpdate{nil, {Active: 1}}, 2, false},
		"agent lost, no newer ones named":   {[]*boragewick.EngineUpdate{reports(1, false), nil}, 1, true},
		"just lost, newer ones named":       {[]*boragewick.EngineUpdate{reports(1, false), nil}, 2, true},
		"older than sent, newer ones named": {[]*boragewick.EngineUpdate{reports(0, false)}, 2, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			g.Mover = &fakeMover{}
			view := *g.View()
			g.View = func() *mirror.View { return &view }
			for version := uint64(1); version <= test.named; version++ {
				named := boragewick.NamedWeights{Version: version}
				view.Namings = append(view.Namings, boragewick.WeightsNaming{NamedWeights: named, At: g.Clock.Now().Add(-time.Second)})
			}
			var once sync.Once
			for i, e := range g.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					s := events(4, 6, true)
					once.Do(func() {
						for _, u := range test.updates {
							g.places.ObserveEngine(fmt.Sprint("e", i), u)
						}
						s = events(1, 3, false)
					})
					s(w, r)
				}}
			}
			_, got, _, err := g.send(t, "/r/x", nil)
			if recovered := g.totalRequests() == 2 && err == nil; recovered != test.recovered {
				t.Errorf("recovered: %t after %d requests to endpoints; the caller got %q, %v", recovered, g.totalRequests(), got, err)
			}
		})
	}
}

// TestNoMoveOfMixedRun guards against a run that is moved to an engine with the older weights
// after its own has changed them, before an event could tell.
func TestNoMoveOfMixedRun(t *testing.T) {
	tests := map[string]struct {
		update boragewick.EngineUpdate
		moves  int32
	}{
		"unchanged":         {boragewick.EngineUpdate{Weights: map[string]uint64{"": 1}}, 1},
		"order in progress": {boragewick.EngineUpdate{Weights: map[string]uint64{"": 1}, Busy: true}, 0},
		"changed":           {boragewick.EngineUpdate{Weights: map[string]uint64{"": 2}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			m := &countingMover{}
			g.Mover = m
			for i, e := range g.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					events(1, 1, true)(w, r)
					g.places.ObserveEngine(fmt.Sprint("e", i), &test.update)
					leaving := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: true}
					leaving.Models = []boragewick.Model{{Weights: "1"}}
					g.Placer.Update(boragewick.EndpointChange{Endpoint: leaving})
					time.Sleep(100 * time.Millisecond)
					events(2, 3, true)(w, r)
				}}
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

// TestSilentEngineWithMixedBackup guards against cutting a run early, for the sake of a backup
// that is of no use, when the agent does not reach the engine for a moment.
func TestSilentEngineWithMixedBackup(t *testing.T) {
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
	g.Mover = &fakeMover{}
	for i, e := range g.endpoints {
		e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
			events(1, 1, true)(w, r)
			g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{Weights: map[string]uint64{"": 2}})
			g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{Down: true})
			time.Sleep(finalSilenceTimeout - silenceTimeout)
			g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{})
			events(2, 3, true)(w, r)
		}}
	}
	if _, got, _, err := g.send(t, "/r/x", nil); err != nil {
		t.Errorf("the caller got %q, %v", got, err)
	}
}
