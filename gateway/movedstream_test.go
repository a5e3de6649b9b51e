package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// stoppingMover moves each run. It closes started when a move begins, and the move
// ends some time after the engine has closed the run's stream.
type stoppingMover struct {
	fakeMover
	once    sync.Once
	started chan struct{}
	// finished is set if the engine has finished the run before the move.
	finished bool
}

func (m *stoppingMover) Move(context.Context, *boragewick.Endpoint, boragewick.RequestID, netip.AddrPort) (string, error) {
	m.once.Do(func() { close(m.started) })
	time.Sleep(100 * time.Millisecond)
	if m.finished {
		return "", boragewick.NotRun(boragewick.ErrEndpointFailed) // it finds no such run
	}
	return "copy", nil
}

// TestStreamOfMovedRun guards against taking the end of a stream whose run is being
// moved for the end of the run: an engine closes it between two events, and without a
// length or chunks that looks like a complete stream.
func TestStreamOfMovedRun(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: one\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + event1 + "\r\n"
	const closeDelimited = "HTTP/1.1 200 OK\r\nId: one\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n\r\n" + event1
	tests := map[string]struct {
		head, end string
		finished  bool
		sent      int
	}{
		"close-delimited, moved":     {closeDelimited, event2, false, 2},
		"close-delimited, finished":  {closeDelimited, event2, true, 1},
		"chunks, moved":              {chunked, "f\r\n" + event2 + "\r\n", false, 2},
		"chunks, finished":           {chunked, "f\r\n" + event2 + "\r\n0\r\n\r\n", true, 1},
		"chunks, finished, but copy": {chunked, "f\r\n" + event2 + "\r\n0\r\n\r\n", false, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := &stoppingMover{started: make(chan struct{}), finished: test.finished}
			first := func(w http.ResponseWriter, r *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer c.Close()
				_, _ = c.Write([]byte(test.head))
				select {
				case <-m.started:
				case <-time.After(time.Second):
					t.Error("the run is not moved")
				}
				_, _ = c.Write([]byte(test.end))
			}
			sequence := firstThen(first, raw(streamHead+event3))
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{sequence}, []script{sequence})
			g.Mover = m
			_, got, _, err := g.send(t, "/r/x", nil)
			want := event1 + event2
			if test.sent == 2 {
				want += event3
			}
			if err != nil || got != want || g.totalRequests() != test.sent {
				t.Errorf("the caller got %q, %v after %d requests, want %q after %d", got, err, g.totalRequests(), want, test.sent)
			}
		})
	}
}

// TestNoMoveAfterWeightsChanged guards against a run that goes on at an engine with the
// older weights, from memory that was made on newer ones: its engine changed them under
// the run, and is taken out of service again for the next version.
func TestNoMoveAfterWeightsChanged(t *testing.T) {
	tests := map[string]struct {
		event string
		moves int32
	}{
		"same weights":    {"id: 2\ndata: x\n\n", 1},
		"weights changed": {"weights: 2\nid: 2\ndata: x\n\n", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			g := newTestGateway(t, route, nil, []script{nil}, []script{nil})
			m := &countingMover{}
			g.Mover = m
			for i, e := range g.endpoints {
				e.scripts = []script{func(w http.ResponseWriter, r *http.Request) {
					events(1, 1, true)(w, r)
					_, _ = w.Write([]byte(test.event))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(100 * time.Millisecond)
					leaving := boragewick.Endpoint{Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointModel, Agent: e.addr, Leaving: true}
					leaving.Models = []boragewick.Model{{Weights: "2"}}
					g.Placer.Update(boragewick.EndpointChange{Endpoint: leaving})
					time.Sleep(100 * time.Millisecond)
					events(3, 3, true)(w, r)
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

// TestMovedRunGoesBack guards against losing a run that was moved to an engine that does
// not take it: the engine that has stopped it keeps its KV cache, and goes on.
func TestMovedRunGoesBack(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	routes := map[string]boragewick.HostRoute{
		"may not be resumed": {Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true},
		"resumable":          {Kind: boragewick.Streaming, Attempts: 2, Resumable: true, SessionAffinity: true},
	}
	for name, route := range routes {
		t.Run(name, func(t *testing.T) {
			m := &stoppingMover{started: make(chan struct{})}
			var mu sync.Mutex
			var source string // the host that has begun the run
			var from []string
			serve := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				first, back := source == "", source == r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
				if first {
					source = r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
				} else {
					from = append(from, r.Header.Get("From")+" after "+r.Header.Get("Last"))
				}
				mu.Unlock()
				switch {
				case first:
					w.Header().Set("Leaving", "1")
					events(1, 2, true)(w, r)
					<-m.started
					panic(http.ErrAbortHandler) // the run is stopped
				case back:
					events(3, 3, true)(w, r)
				default:
					refuse(w, r)
				}
			}
			g := newTestGateway(t, route, nil, []script{serve}, []script{serve})
			g.Mover = m
			_, got, _, err := g.send(t, "/r/x", nil)
			want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
			if err != nil || got != want {
				t.Errorf("the caller got %q, %v", got, err)
			}
			if !slices.Equal(from, []string{"copy after 2", "copy after 2"}) {
				t.Errorf("the run went on from %q", from)
			}
		})
	}
}

// TestRunIsNotMovedBackAndForth guards against a run that is moved again and again to an engine
// that has not taken it, and runs once more with each return.
func TestRunIsNotMovedBackAndForth(t *testing.T) {
	m := &countingMover{copyName: "copy"}
	var source atomic.Value // the host that has begun the run
	var runs atomic.Int32
	serve := func(w http.ResponseWriter, r *http.Request) {
		host := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		if !source.CompareAndSwap(nil, host) && source.Load() != host {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Leaving", "1")
		if runs.Add(1) == 1 {
			events(1, 1, true)(w, r)
			time.Sleep(100 * time.Millisecond)
			panic(http.ErrAbortHandler) // the run is stopped
		}
		events(2, 2, true)(w, r)
		time.Sleep(100 * time.Millisecond)
		events(3, 3, true)(w, r)
	}
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	g := newTestGateway(t, route, nil, []script{serve}, []script{serve})
	g.Mover = m
	_, got, _, err := g.send(t, "/r/x", nil)
	if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"; err != nil || got != want {
		t.Errorf("the caller got %q, %v", got, err)
	}
	if copies := m.moves.Load(); copies != 1 {
		t.Errorf("%d copies, want 1", copies)
	}
}

// leastDrainTime is the least that the platform allows from the acknowledgement of a departure until
// requests no longer reach the endpoint.
const leastDrainTime = 2 * time.Second

// fullMover stops runs and finds no room for them.
type fullMover struct{ countingMover }

func (m *fullMover) Move(ctx context.Context, from *boragewick.Endpoint, id boragewick.RequestID, to netip.AddrPort) (string, error) {
	_, _ = m.countingMover.Move(ctx, from, id, to)
	return "copy", boragewick.ErrOverloaded
}

// TestRunIsNotStoppedAgainWithoutRoom guards against a run that is stopped at a leaving engine and
// resumed there over and over, as no other engine has room for it: its requests reached the engine
// long after its departure.
func TestRunIsNotStoppedAgainWithoutRoom(t *testing.T) {
	m := &fullMover{}
	var mu sync.Mutex
	var leftAt, last time.Time
	requests := 0
	serve := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		last = time.Now()
		if requests++; leftAt.IsZero() {
			leftAt = last
		}
		mu.Unlock()
		w.Header().Set("Leaving", "1")
		events(1, 1, true)(w, r)
		moves := m.moves.Load()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if m.moves.Load() > moves {
				time.Sleep(100 * time.Millisecond)
				panic(http.ErrAbortHandler) // the run is stopped
			}
		}
		events(2, 2, true)(w, r)
	}
	route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true, Timeout: 5 * time.Second}
	g := newTestGateway(t, route, nil, []script{serve}, []script{serve}, []script{serve}, []script{serve})
	g.Mover, g.Dialect = m, patientDialect{}
	if _, _, _, err := g.send(t, "/r/x", nil); err != nil {
		t.Errorf("the run is not complete: %v", err)
	}
	if after := last.Sub(leftAt); after > leastDrainTime {
		t.Errorf("a request reached the leaving engine after %v", after)
	}
	t.Logf("%d requests, the last after %v", requests, last.Sub(leftAt))
}

// TestLateRefusalOfMovedRun guards against a moved run that goes back to the engine that it was
// moved off after its drain time, as the other engine kept it waiting and then refused it.
func TestLateRefusalOfMovedRun(t *testing.T) {
	tests := map[string]struct {
		wait     time.Duration
		requests int32
	}{
		"at once":                {0, 2},
		"after the drain time":   {leastDrainTime + 200*time.Millisecond, 1},
		"shortly before its end": {leastDrainTime - 50*time.Millisecond, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &stoppingMover{started: make(chan struct{})}
			var source atomic.Value // the host that has begun the run
			var requests atomic.Int32
			serve := func(w http.ResponseWriter, r *http.Request) {
				host := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
				if !source.CompareAndSwap(nil, host) && source.Load() != host {
					time.Sleep(test.wait)
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.Header().Set("Leaving", "1")
				if requests.Add(1) > 1 {
					events(2, 2, true)(w, r)
					return
				}
				events(1, 1, true)(w, r)
				<-m.started
				panic(http.ErrAbortHandler) // the run is stopped
			}
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true, Timeout: 5 * time.Second}
			g := newTestGateway(t, route, nil, []script{serve}, []script{serve})
			g.Mover, g.Dialect = m, patientDialect{}
			_, _, _, err := g.send(t, "/r/x", nil)
			if n := requests.Load(); n != test.requests || (err == nil) != (test.requests == 2) {
				t.Errorf("%d requests at the leaving engine, want %d: %v", n, test.requests, err)
			}
		})
	}
}
