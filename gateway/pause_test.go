package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/mirror"
)

// resumedAt is a boragewick.PauseMonitor of a process that last stood still until the instant.
type resumedAt struct{ atomic.Pointer[time.Time] }

func (r *resumedAt) IsSinceResume(at time.Time) bool {
	t := r.Load()
	return t == nil || !at.Before(*t)
}

// pausedRouter is a gateway that stands still once, and hears of the newest state and of its
// engine some time later.
type pausedRouter struct {
	*testGateway
	resumed resumedAt
	// current tells whether the router has heard of the newest state since, and named of a newer
	// version.
	current, named atomic.Bool
}

func newPausedRouter(t *testing.T) *pausedRouter {
	t.Helper()
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	r := &pausedRouter{testGateway: newTestGateway(t, route, nil, []script{nil}, []script{nil})}
	r.current.Store(true)
	r.places.Pauses = &r.resumed
	unnamed := r.View()
	nameWeights(r.testGateway, 0)
	named := r.View()
	r.View = func() *mirror.View {
		if r.named.Load() {
			return named
		}
		return unnamed
	}
	r.ViewCurrent = r.current.Load
	return r
}

// heard is what a router hears after it stood still.
type heard struct {
	// newest reports whether it hears of the newest state, and named whether that has a newer
	// version.
	newest, named bool
	// update is what the engine's agent reports; nil for nothing.
	update *boragewick.EngineUpdate
}

// standStill lets the router stand still until now and hear of it later.
func (r *pausedRouter) standStill(endpoint string, h heard) {
	now := time.Now()
	r.resumed.Store(&now)
	r.current.Store(false)
	time.AfterFunc(100*time.Millisecond, func() {
		r.named.Store(h.named)
		r.current.Store(h.newest)
		if h.update != nil {
			r.places.ObserveEngine(endpoint, h.update)
		}
	})
}

// TestNoRecoveryAfterPause guards against a run that goes on with the older weights from a backup
// of which a part was made on newer ones, as a router that stood still finds the stream broken
// before it hears that they were named and loaded; and against backups that are given up for good.
func TestNoRecoveryAfterPause(t *testing.T) {
	reports := func(version uint64) *boragewick.EngineUpdate {
		return &boragewick.EngineUpdate{Weights: map[string]uint64{"": version}}
	}
	tests := map[string]struct {
		before    *boragewick.EngineUpdate
		heard     heard
		recovered bool
	}{
		"newer ones named":                       {reports(1), heard{newest: true, named: true}, false},
		"newer ones named, no agent":             {nil, heard{newest: true, named: true}, false},
		"changed":                                {reports(1), heard{update: reports(2)}, false},
		"order in progress":                      {reports(1), heard{update: &boragewick.EngineUpdate{Weights: map[string]uint64{"": 1}, Busy: true}}, false},
		"nothing heard":                          {reports(1), heard{}, false},
		"nothing heard, no agent":                {nil, heard{}, false},
		"engine down, nothing else heard":        {reports(1), heard{update: &boragewick.EngineUpdate{Down: true}}, false},
		"none named":                             {reports(1), heard{newest: true}, true},
		"none named, no agent":                   {nil, heard{newest: true}, true},
		"none named, engine down":                {reports(1), heard{newest: true, update: &boragewick.EngineUpdate{Down: true}}, true},
		"unchanged":                              {reports(1), heard{update: &boragewick.EngineUpdate{}}, true},
		"unchanged, though newer ones are named": {reports(1), heard{newest: true, named: true, update: &boragewick.EngineUpdate{}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPausedRouter(t)
			r.Mover, r.Dialect = &fakeMover{}, patientDialect{}
			var once sync.Once
			for i, e := range r.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, req *http.Request) {
					s := events(4, 6, true)
					once.Do(func() {
						s = events(1, 3, false)
						name := fmt.Sprint("e", i)
						r.places.ObserveEngine(name, test.before)
						r.standStill(name, test.heard)
					})
					s(w, req)
				}}
			}
			_, got, _, err := r.send(t, "/r/x", nil)
			if recovered := r.totalRequests() == 2 && err == nil; recovered != test.recovered {
				t.Errorf("recovered: %t after %d requests to endpoints; the caller got %q, %v", recovered, r.totalRequests(), got, err)
			}
		})
	}
}

// TestNoMoveAfterPause guards against a run that a router moves by what it knew before it stood
// still, to go on with the older weights; and against runs that are left on an engine that leaves.
func TestNoMoveAfterPause(t *testing.T) {
	versions := map[string]uint64{"": 1}
	tests := map[string]struct {
		heard heard
		moves int32
	}{
		"newer ones named": {heard{newest: true, named: true}, 0},
		"changed":          {heard{update: &boragewick.EngineUpdate{Weights: map[string]uint64{"": 2}}}, 0},
		"nothing heard":    {heard{}, 0},
		"none named":       {heard{newest: true}, 1},
		"unchanged":        {heard{update: &boragewick.EngineUpdate{Weights: versions}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPausedRouter(t)
			m := &countingMover{}
			r.Mover, r.Dialect = m, patientDialect{}
			for i, e := range r.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, req *http.Request) {
					events(1, 1, true)(w, req)
					leaving := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: true}
					leaving.Models = []boragewick.Model{{Weights: "1"}}
					r.places.ObserveEngine(leaving.Name, &boragewick.EngineUpdate{Weights: versions})
					r.standStill(leaving.Name, test.heard)
					r.places.Update(boragewick.EndpointChange{Endpoint: leaving})
					least, most := time.Now().Add(300*time.Millisecond), time.Now().Add(newsWait)
					for time.Now().Before(least) || m.moves.Load() < test.moves && time.Now().Before(most) {
						time.Sleep(10 * time.Millisecond)
					}
					events(2, 3, true)(w, req)
				}}
			}
			if _, got, _, err := r.send(t, "/r/x", nil); err != nil {
				t.Errorf("the caller got %q, %v", got, err)
			}
			if n := m.moves.Load(); n != test.moves {
				t.Errorf("%d moves, want %d", n, test.moves)
			}
		})
	}
}

// TestCopyAfterPause guards against a run that goes on from the copy of a move whose answer a router
// finds after it stood still, though the engine may have loaded newer weights before it copied the
// memory; and against a sound copy that is not used.
func TestCopyAfterPause(t *testing.T) {
	versions := map[string]uint64{"": 1}
	tests := map[string]struct {
		heard heard
		used  bool
	}{
		"newer ones named": {heard{newest: true, named: true}, false},
		"changed":          {heard{update: &boragewick.EngineUpdate{Weights: map[string]uint64{"": 2}}}, false},
		"nothing heard":    {heard{}, false},
		"none named":       {heard{newest: true}, true},
		"unchanged":        {heard{update: &boragewick.EngineUpdate{Weights: versions}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPausedRouter(t)
			m := &answeringMover{answers: []moveAnswer{{after: 200 * time.Millisecond, copy: "copy"}}}
			r.Mover, r.Dialect = m, patientDialect{}
			var once sync.Once
			for i, e := range r.endpoints {
				begin := func(w http.ResponseWriter, req *http.Request) {
					events(1, 1, true)(w, req)
					leaving := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: true}
					leaving.Models = []boragewick.Model{{Weights: "1"}}
					r.places.ObserveEngine(leaving.Name, &boragewick.EngineUpdate{Weights: versions})
					r.places.Update(boragewick.EndpointChange{Endpoint: leaving})
					time.Sleep(150 * time.Millisecond)
					r.standStill(leaving.Name, test.heard)
					panic(http.ErrAbortHandler)
				}
				e.scripts = []script{func(w http.ResponseWriter, req *http.Request) {
					next := events(2, 3, true)
					once.Do(func() { next = begin })
					next(w, req)
				}}
			}
			_, got, _, err := r.send(t, "/r/x", nil)
			if used := r.totalRequests() == 2 && err == nil; used != test.used {
				t.Errorf("used: %t after %d requests to endpoints and %d calls; the caller got %q, %v", used, r.totalRequests(), m.calls.Load(), got, err)
			}
		})
	}
}
