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
)

// TestRunStoppedBeforeChange guards against losing a run of which there is a sound copy: its engine
// stopped it for a move while its weights were unchanged, and the answer that names the copy came later.
func TestRunStoppedBeforeChange(t *testing.T) {
	const stoppedAt = 20 * time.Millisecond
	lost := errors.New("connection reset")
	const withBackup, without = "800,290", "9200,56"
	tests := map[string]struct {
		tokens  string
		answers []moveAnswer
		// ordered is when the engine's agent reports an order in progress, and left when the
		// other engine leaves; zero for never.
		ordered, left time.Duration
		// goesBack reports whether the run goes on where it was stopped.
		goesBack bool
	}{
		"answer lost, unchanged":                {without, []moveAnswer{{after: 100 * time.Millisecond, err: lost}, {copy: "copy"}}, 0, 0, false},
		"answer lost, then an order":            {without, []moveAnswer{{after: 100 * time.Millisecond, err: lost}, {copy: "copy"}}, 80 * time.Millisecond, 0, false},
		"answer lost, then an order, backup":    {withBackup, []moveAnswer{{after: 100 * time.Millisecond, err: lost}, {copy: "copy"}}, 80 * time.Millisecond, 0, false},
		"answer late, then an order":            {without, []moveAnswer{{after: usualMoveTime + 200*time.Millisecond, copy: "copy"}}, 100 * time.Millisecond, 0, false},
		"answer late, then an order, backup":    {withBackup, []moveAnswer{{after: usualMoveTime + 200*time.Millisecond, copy: "copy"}}, 100 * time.Millisecond, 0, false},
		"answer lost, no other engine any more": {without, []moveAnswer{{after: 100 * time.Millisecond, err: lost}, {copy: "copy"}}, 0, 80 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			nameWeights(g, 0)
			g.Mover, g.Dialect = &answeringMover{answers: test.answers}, patientDialect{}
			leaving := func(i int) boragewick.EndpointChange {
				e := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: g.endpoints[i].addr, Leaving: true}
				e.Models = []boragewick.Model{{Weights: "1"}}
				return boragewick.EndpointChange{Endpoint: e}
			}
			reports := func(i int, busy bool) {
				g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{Weights: map[string]uint64{"": 1}, Busy: busy})
			}
			var source atomic.Int32
			source.Store(-1)
			for i, e := range g.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					if !source.CompareAndSwap(-1, int32(i)) {
						if from, back := r.Header.Get("From"), source.Load() == int32(i); from != "copy" || back != test.goesBack {
							t.Errorf("the run goes on from %q, back: %t", from, back)
						}
						events(2, 2, true)(w, r)
						return
					}
					reports(i, false)
					events(1, 1, true)(w, r)
					g.Placer.Update(leaving(i))
					if test.ordered > 0 {
						time.AfterFunc(test.ordered, func() { reports(i, true) })
					}
					if test.left > 0 {
						time.AfterFunc(test.left, func() { g.Placer.Update(leaving(1 - i)) })
					}
					time.Sleep(stoppedAt)
					panic(http.ErrAbortHandler)
				}}
			}
			_, got, _, err := g.send(t, "/r/x", func(r *http.Request) { r.Header.Set("Tokens", test.tokens) })
			if err != nil || g.totalRequests() != 2 {
				t.Errorf("the caller got %q, %v after %d requests", got, err, g.totalRequests())
			}
		})
	}
}

// TestCopyAfterReset guards against a run that goes on with the older weights from a copy that holds
// parts made on newer ones: its connection was reset, which doesn't tell that its engine had
// stopped it, and the call to move it was carried out after the engine had changed its weights.
func TestCopyAfterReset(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: one\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n"
	tests := map[string]string{
		"chunks":          head + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event1 + "\r\n",
		"close-delimited": head + "\r\n" + event1,
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			g.Mover, g.Dialect = &answeringMover{answers: []moveAnswer{{after: 300 * time.Millisecond, copy: "copy"}}}, patientDialect{}
			reports := func(i int, version uint64) {
				g.places.ObserveEngine(fmt.Sprint("e", i), &boragewick.EngineUpdate{Weights: map[string]uint64{"": version}})
			}
			var once sync.Once
			for i, e := range g.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					first := false
					once.Do(func() { first = true })
					if !first {
						t.Errorf("the run goes on from %q", r.Header.Get("From"))
						raw(streamHead+event2)(w, r)
						return
					}
					reports(i, 1)
					time.AfterFunc(150*time.Millisecond, func() { reports(i, 2) })
					rawThenReset(text)(w, r)
				}}
			}
			if _, got, _, err := g.send(t, "/r/x", func(r *http.Request) { r.Header.Set("Tokens", "9200,56") }); err == nil {
				t.Errorf("the caller got %q as a complete answer", got)
			}
		})
	}
}
