package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/mirror"
)

// TestMoveAcrossWeightsChange guards against a run that goes on with the older weights from a copy
// that holds parts made on newer ones: the move was decided before the engine changed its
// weights under the run, and carried out after that (invitarte-quito-grown STALE).
func TestMoveAcrossWeightsChange(t *testing.T) {
	// unstoppedFor is how long a run takes that isn't stopped.
	const unstoppedFor = 400 * time.Millisecond
	const (
		byEvent = iota + 1
		byReport
		byNaming
	)
	noRoom := boragewick.NotRun(boragewick.ErrOverloaded)
	lost := errors.New("connection reset")
	unresumable := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	resumable := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true, SessionAffinity: true}
	tests := map[string]struct {
		route   boragewick.HostRoute
		answers []moveAnswer
		// told is how the router learns of the change, at changedAt. The engine stops the run at
		// stoppedAt; zero if it doesn't.
		told                 int
		changedAt, stoppedAt time.Duration
		// from is what the run goes on from; empty if it stays or is broken off.
		from  string
		calls int32
	}{
		"no room, then an event tells":             {unresumable, []moveAnswer{{err: noRoom}, {copy: "copy"}}, byEvent, 20 * time.Millisecond, 0, "", 1},
		"no room, then the agent reports":          {unresumable, []moveAnswer{{err: noRoom}, {copy: "copy"}}, byReport, 20 * time.Millisecond, 0, "", 1},
		"answer lost, then an event tells":         {unresumable, []moveAnswer{{err: lost}, {copy: "copy"}}, byEvent, 20 * time.Millisecond, 0, "", 1},
		"answer lost, then the agent reports":      {unresumable, []moveAnswer{{err: lost}, {copy: "copy"}}, byReport, 20 * time.Millisecond, 0, "", 1},
		"answer lost, then newer ones are named":   {unresumable, []moveAnswer{{err: lost}, {copy: "copy"}}, byNaming, 20 * time.Millisecond, 0, "", 1},
		"nothing reported, newer ones are named":   {unresumable, []moveAnswer{{copy: "copy"}}, byNaming, 0, 0, "", 0},
		"call takes long, an event tells":          {unresumable, []moveAnswer{{after: 200 * time.Millisecond, copy: "copy"}}, byEvent, 50 * time.Millisecond, 150 * time.Millisecond, "", 1},
		"call takes long, the agent reports":       {unresumable, []moveAnswer{{after: 200 * time.Millisecond, copy: "copy"}}, byReport, 50 * time.Millisecond, 150 * time.Millisecond, "", 1},
		"call takes long, resumable":               {resumable, []moveAnswer{{after: 200 * time.Millisecond, copy: "copy"}}, byEvent, 50 * time.Millisecond, 150 * time.Millisecond, "last event", 1},
		"call takes long, changed after the stop":  {unresumable, []moveAnswer{{after: 200 * time.Millisecond, copy: "copy"}}, byReport, 150 * time.Millisecond, 50 * time.Millisecond, "copy", 1},
		"answer lost, unchanged":                   {unresumable, []moveAnswer{{err: lost}, {copy: "copy"}}, 0, 0, 100 * time.Millisecond, "copy", 2},
		"no room and unchanged, the run goes on":   {unresumable, []moveAnswer{{err: noRoom}}, 0, 0, 0, "", 1},
		"no room for a repeated call, then a copy": {unresumable, []moveAnswer{{err: lost}, {err: noRoom}, {copy: "copy"}}, 0, 0, 200 * time.Millisecond, "copy", 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, test.route, nil, []script{nil}, []script{nil})
			m := &answeringMover{answers: test.answers}
			g.Mover, g.Dialect = m, patientDialect{}
			unnamed := g.View()
			nameWeights(g, 0)
			named := g.View()
			var view atomic.Pointer[mirror.View]
			view.Store(unnamed)
			g.View = view.Load
			reports := func(i int, version uint64) {
				g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{Weights: map[string]uint64{"": version}})
			}
			var begins sync.Once
			for i, e := range g.endpoints {
				begin := func(w http.ResponseWriter, r *http.Request) {
					if test.told == byReport {
						reports(i, 1)
					}
					events(1, 1, true)(w, r)
					leaving := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: true}
					leaving.Models = []boragewick.Model{{Weights: "1"}}
					started := time.Now()
					switch {
					case test.told == byReport:
						time.AfterFunc(test.changedAt, func() { reports(i, 2) })
					case test.told == byNaming && test.changedAt > 0:
						time.AfterFunc(test.changedAt, func() { view.Store(named) })
					case test.told == byNaming:
						view.Store(named)
					}
					g.Placer.Update(boragewick.EndpointChange{Endpoint: leaving})
					if test.told == byEvent {
						waitUntil(r.Context(), started.Add(test.changedAt))
						_, _ = w.Write([]byte("weights: 2\nid: 2\ndata: x\n\n"))
						_ = http.NewResponseController(w).Flush()
					}
					if test.stoppedAt > 0 {
						waitUntil(r.Context(), started.Add(test.stoppedAt))
						panic(http.ErrAbortHandler)
					}
					waitUntil(r.Context(), started.Add(unstoppedFor))
					events(3, 3, true)(w, r)
				}
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					next := func(w http.ResponseWriter, r *http.Request) {
						from := r.Header.Get("From")
						if from == "" {
							from = "last event"
						}
						if from != test.from {
							t.Errorf("the run goes on from %q, want %q", from, test.from)
						}
						events(3, 3, true)(w, r)
					}
					begins.Do(func() { next = begin })
					next(w, r)
				}}
			}
			_, got, _, err := g.send(t, "/r/x", nil)
			if complete := test.stoppedAt == 0 || test.from != ""; (err == nil) != complete {
				t.Errorf("the caller got %q, %v", got, err)
			}
			if calls := m.calls.Load(); calls != test.calls {
				t.Errorf("%d calls to move the run, want %d", calls, test.calls)
			}
		})
	}
}
