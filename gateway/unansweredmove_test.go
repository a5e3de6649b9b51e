package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// answeringMover answers each call to move a run with the next of its answers, and all that follow
// with the last one.
type answeringMover struct {
	fakeMover
	answers []moveAnswer
	calls   atomic.Int32
}

// moveAnswer is the answer to a call to move a run; without a copy and an error there is none.
type moveAnswer struct {
	after time.Duration
	copy  string
	err   error
}

func (m *answeringMover) Move(ctx context.Context, _ *boragewick.Endpoint, _ boragewick.RequestID, _ netip.AddrPort) (string, error) {
	a := m.answers[min(int(m.calls.Add(1)), len(m.answers))-1]
	if a.copy == "" && a.err == nil {
		<-ctx.Done()
	}
	waitUntil(ctx, time.Now().Add(a.after))
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	return a.copy, a.err
}

// TestUnansweredMove guards against a stream that ends as complete though its engine has stopped the
// run for a move: the move took long, or its answer was lost, and the stream was delimited by
// the end of its connection (review/7).
func TestUnansweredMove(t *testing.T) {
	routes := map[string]struct {
		route  boragewick.HostRoute
		tokens string
	}{
		"resumable":   {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true, SessionAffinity: true}, "800,290"},
		"with backup": {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}, "800,290"},
		"neither":     {boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}, "9200,56"},
	}
	const head = "HTTP/1.1 200 OK\r\nId: one\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n"
	framings := map[string]string{
		"close-delimited": head + "\r\n" + event1 + event2,
		"chunks":          head + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + event1 + event2 + "\r\n",
	}
	lost := errors.New("connection reset")
	notFound := boragewick.NotRun(boragewick.ErrEndpointFailed)
	tests := map[string]struct {
		answers []moveAnswer
		// from is what the run goes on from, by route; empty if the stream is broken off.
		from map[string]string
	}{
		"answered late": {
			[]moveAnswer{{after: usualMoveTime + 300*time.Millisecond, copy: "copy"}},
			map[string]string{"resumable": "last event", "with backup": "backup", "neither": "copy"},
		},
		"not answered": {
			[]moveAnswer{{}},
			map[string]string{"resumable": "last event", "with backup": "backup"},
		},
		"answer lost, then answered": {
			[]moveAnswer{{err: lost}, {copy: "copy"}},
			map[string]string{"resumable": "copy", "with backup": "copy", "neither": "copy"},
		},
		"answer lost, run not found": {
			[]moveAnswer{{err: lost}, {err: notFound}},
			map[string]string{"resumable": "last event", "with backup": "backup"},
		},
		"answers lost": {
			[]moveAnswer{{err: lost}},
			map[string]string{"resumable": "last event", "with backup": "backup"},
		},
	}
	for name, test := range tests {
		for kind, r := range routes {
			for framing, text := range framings {
				t.Run(name+"/"+kind+"/"+framing, func(t *testing.T) {
					t.Parallel()
					goesOn := func(w http.ResponseWriter, req *http.Request) {
						from := req.Header.Get("From")
						switch {
						case strings.HasSuffix(from, "/one"):
							from = "backup"
						case from == "":
							from = "last event"
						}
						if from != test.from[kind] || req.Header.Get("Last") != "2" {
							t.Errorf("the run goes on from %q after event %q", from, req.Header.Get("Last"))
						}
						raw(streamHead+event3)(w, req)
					}
					sequence := firstThen(raw(text), goesOn)
					g := newTestGateway(t, r.route, nil, []script{sequence}, []script{sequence})
					g.Mover = &answeringMover{answers: test.answers}
					_, got, _, err := g.send(t, "/r/x", func(r2 *http.Request) { r2.Header.Set("Tokens", r.tokens) })
					if complete := err == nil; complete != (test.from[kind] != "") {
						t.Errorf("complete %t: the caller got %q, %v", complete, got, err)
					}
					if err == nil && got != event1+event2+event3 {
						t.Errorf("the caller got %q", got)
					}
				})
			}
		}
	}
}

// TestEndOfUnmovedRun guards against a complete stream that is taken for one that was stopped, as a
// move had been asked for.
func TestEndOfUnmovedRun(t *testing.T) {
	tests := map[string]struct {
		answer moveAnswer
		pause  time.Duration
	}{
		"no such run":      {moveAnswer{err: boragewick.NotRun(boragewick.ErrEndpointFailed)}, 50 * time.Millisecond},
		"run goes on long": {moveAnswer{err: errors.New("connection reset")}, 3 * usualMoveTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer c.Close()
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: one\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\n" + event1))
				time.Sleep(test.pause)
				_, _ = c.Write([]byte(event2))
			}
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 2, Resumable: true, SessionAffinity: true, Timeout: 5 * time.Second}
			g := newTestGateway(t, route, nil, []script{first}, []script{first})
			g.Mover, g.Dialect = &answeringMover{answers: []moveAnswer{test.answer}}, patientDialect{}
			_, got, _, err := g.send(t, "/r/x", nil)
			if err != nil || got != event1+event2 || g.totalRequests() != 1 {
				t.Errorf("the caller got %q, %v after %d requests", got, err, g.totalRequests())
			}
		})
	}
}

// TestMoveToLeavingEngine guards against a run that is sent to an engine which has left while the
// run's KV cache was copied to it.
func TestMoveToLeavingEngine(t *testing.T) {
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	var source atomic.Value // the engine that has begun the run
	g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
	for i, e := range g.endpoints {
		e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
			if !source.CompareAndSwap(nil, i) {
				if source.Load() != i || r.Header.Get("From") != "copy" {
					t.Errorf("the run goes on at engine %d from %q", i, r.Header.Get("From"))
				}
				raw(streamHead+event3)(w, r)
				return
			}
			raw("HTTP/1.1 200 OK\r\nId: one\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\n"+event1+event2)(w, r)
		}}
	}
	g.Mover = &answeringMover{answers: []moveAnswer{{after: 200 * time.Millisecond, copy: "copy"}}}
	time.AfterFunc(100*time.Millisecond, func() {
		to := 1 - source.Load().(int)
		leaving := boragewick.Endpoint{Name: []string{"e0", "e1"}[to], Pool: "p", Kind: boragewick.EndpointModel, Agent: g.endpoints[to].addr, Leaving: true}
		leaving.Models = []boragewick.Model{{Weights: "1"}}
		g.Placer.Update(boragewick.EndpointChange{Endpoint: leaving, Departing: true})
	})
	if _, got, _, err := g.send(t, "/r/x", nil); err != nil || got != event1+event2+event3 {
		t.Errorf("the caller got %q, %v", got, err)
	}
}
