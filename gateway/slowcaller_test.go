package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// slowWriter is a response whose caller reads nothing for a while.
type slowWriter struct {
	http.ResponseWriter
	writes int
	pause  time.Duration
}

func (w *slowWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *slowWriter) Write(b []byte) (int, error) {
	if w.writes++; w.writes == 1 {
		time.Sleep(w.pause)
	}
	return w.ResponseWriter.Write(b)
}

// TestMovedRunOfSlowCaller guards against a run that is sent to an engine long after it has left: the
// move was answered, and where the run goes on was decided, while the caller did not read the stream.
func TestMovedRunOfSlowCaller(t *testing.T) {
	const pause = 2500 * time.Millisecond
	// drain is how long after its departure requests may reach an engine.
	const drain = 2 * time.Second
	tests := map[string]struct {
		answer moveAnswer
		// back reports whether the engine with the copy had no room; otherwise it leaves.
		back bool
	}{
		"back to its engine":          {moveAnswer{copy: "copy", err: boragewick.ErrOverloaded}, true},
		"to the engine with its copy": {moveAnswer{copy: "copy"}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true, Timeout: 5 * time.Second}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			m := &answeringMover{answers: []moveAnswer{test.answer}}
			g.Mover, g.Dialect = m, patientDialect{}
			leave := func(i int) {
				e := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: g.endpoints[i].addr, Leaving: true}
				e.Models = []boragewick.Model{{Weights: "1"}}
				g.Placer.Update(boragewick.EndpointChange{Endpoint: e, Departing: true})
			}
			var departed [2]atomic.Int64
			started := time.Now()
			var once sync.Once
			for i, e := range g.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					first := false
					once.Do(func() { first = true })
					if !first {
						if at := departed[i].Load(); at > 0 && time.Since(started)-time.Duration(at) > drain {
							t.Errorf("the run is sent to an engine %s after its departure", time.Since(started)-time.Duration(at))
						}
						events(3, 3, true)(w, r)
						return
					}
					events(1, 2, true)(w, r)
					departed[i].Store(int64(time.Since(started)))
					leave(i)
					if !test.back {
						time.AfterFunc(100*time.Millisecond, func() {
							departed[1-i].Store(int64(time.Since(started)))
							leave(1 - i)
						})
					}
					time.Sleep(50 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}}
			}
			g.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				g.ServeHTTP(&slowWriter{ResponseWriter: w, pause: pause}, r)
			})
			_, _, _, _ = g.send(t, "/r/x", nil)
			if m.calls.Load() != 1 {
				t.Errorf("%d calls to move the run", m.calls.Load())
			}
		})
	}
}
