package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The size of a token in the KV cache and the links of model runners, as on the users' site
// invitarte-quito-grown.
const (
	kvTokenBytes = 192512
	linkMbps     = 350000.0
)

// The prompt and the stream of each request.
const (
	promptTokens = 9190
	streamEvents = 60
	eventPause   = 100 * time.Millisecond
)

// engine is a stand-in of a model runner. Its streams have neither a length nor chunks.
type engine struct {
	*runner
	// peers are all engines by address.
	peers map[string]*engine
	// slow is how many times as long its moves take.
	slow int
	// events is the number of events of a stream, and pause the time between two.
	events int
	pause  time.Duration
	// chunked is set if streams have chunks.
	chunked bool
	// lostAfter is the event after which the connection of one in lostEvery streams is reset while
	// its request runs on; 0 for none.
	lostAfter, lostEvery int

	mu   sync.Mutex
	runs map[string]*engineRun
	// copies holds by handle how many events the run of each copy had made.
	copies map[string]int
	moved  int
	// history are all runs.
	history []*engineRun
	// link is held while a move is under way.
	link sync.Mutex
}

// engineRun is a request that runs.
type engineRun struct {
	stop    chan struct{}
	stopped chan struct{}
	made    int
	// backup is the engine that gets the run's memory as it grows; nil without one.
	backup *engine
	// loses is set if the answer is to be lost.
	loses bool
	// id is that of the request, and startedAt and endedAt are when the run began and ended.
	id                 string
	startedAt, endedAt time.Time
}

// newEngine returns an engine at the address of a side machine.
func newEngine(rec *record, id string, m *machine, nodes []*machine, peers map[string]*engine) *engine {
	e := &engine{
		runner: newRunner(rec, id, engineService, m.ip, m.zone, nodes), peers: peers, slow: 1, events: streamEvents, pause: eventPause,
		runs: map[string]*engineRun{}, copies: map[string]int{},
	}
	peers[e.addr] = e
	return e
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Boragewick-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Boragewick-Not-Executed", "1")
		w.Header().Set("X-Boragewick-Request-Id", r.Header.Get("X-Boragewick-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.serveReport(w)
	case r.URL.Path == "/health":
		w.Header().Set("X-Boragewick-Instance-Id", e.id)
	case r.URL.Path == "/kv-events":
		e.serveEvents(w, r)
	case r.URL.Path == "/kv-list":
		writeJSON(w, map[string]any{"bootEpoch": e.born, "next": 1, "held": []any{}})
	case r.URL.Path == "/kv-move":
		e.serveMove(w, r)
	case r.URL.Path == "/order":
		w.WriteHeader(http.StatusOK)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"), strings.HasPrefix(r.URL.Path, "/kv-pin/"), strings.HasPrefix(r.URL.Path, "/hold-drop/"):
		w.WriteHeader(http.StatusOK)
	default:
		e.serveRequest(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	runs := []any{}
	for id, run := range e.runs {
		runs = append(runs, []any{id, promptTokens + run.made, run.made, 5})
	}
	active := len(e.runs)
	e.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0,
		"queued": 0, "active": active, "kvUsed": active * promptTokens, "kvTotal": 119086, "handles": 0, "pinned": 0, "held": 0,
		"state": "ready", "next": 0, "runs": runs,
	})
}

// serveEvents answers a call for cache events after its wait, as there are none.
func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-r.Context().Done():
	}
	writeJSON(w, map[string]any{"bootEpoch": e.born, "next": 1, "lost": false, "events": []any{}})
}

// serveMove stops a run and copies its memory to another engine, behind other moves.
func (e *engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || !body.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run := e.runs[body.ID]
	delete(e.runs, body.ID)
	e.mu.Unlock()
	target := e.peers[body.Target]
	if run == nil || target == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	close(run.stop)
	<-run.stopped
	e.rec.log("%s: request %s is stopped after event %d, for a move to %s", e.id, body.ID, run.made, target.id)
	started := time.Now()
	e.link.Lock()
	seconds := float64(promptTokens+run.made) * kvTokenBytes * 8 / (linkMbps * 1e6) * float64(e.slow)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	e.link.Unlock()
	e.mu.Lock()
	e.moved++
	handle := fmt.Sprintf("h%d", e.moved)
	e.mu.Unlock()
	name := e.addr + "/" + handle
	for _, at := range []*engine{e, target} {
		at.mu.Lock()
		at.copies[name] = run.made
		at.mu.Unlock()
	}
	e.rec.log("%s: the move of request %s is answered with handle %s after %d ms", e.id, body.ID, handle, time.Since(started).Milliseconds())
	writeJSON(w, map[string]any{"handle": handle, "made": run.made})
}

// serveRequest runs a request and writes its stream, which ends with the connection.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Boragewick-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	first := 0
	if from := r.Header.Get("Kv-From"); from != "" {
		e.mu.Lock()
		made, ok := e.copies[from]
		delete(e.copies, from)
		e.mu.Unlock()
		if !ok {
			w.Header().Set("X-Boragewick-Not-Executed", "1")
			w.Header().Set("X-Boragewick-Request-Id", id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		first = made
	} else if last := r.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	run := &engineRun{stop: make(chan struct{}), stopped: make(chan struct{}), made: first}
	if first == 0 {
		run.backup = e.peers[r.Header.Get("X-Boragewick-Kv-Backup")]
	}
	run.id, run.startedAt = id, time.Now()
	e.mu.Lock()
	e.runs[id] = run
	run.loses = e.lostAfter > 0 && first == 0 && len(e.history)%e.lostEvery == 0
	e.history = append(e.history, run)
	e.mu.Unlock()
	c, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	e.rec.log("%s: runs request %s from event %d", e.id, id, first+1)
	e.writeStream(c, buffer, id, run)
	close(run.stopped)
	e.mu.Lock()
	run.endedAt = time.Now()
	if e.runs[id] == run {
		delete(e.runs, id)
	}
	e.mu.Unlock()
}

// copyTo sends the memory of the run to the engine that keeps its backup.
func (r *engineRun) copyTo(id string) {
	if b := r.backup; b != nil {
		b.mu.Lock()
		b.copies[b.addr+"/"+id] = r.made
		b.mu.Unlock()
	}
}

// writeStream writes the events of a run until it is complete or stopped.
func (e *engine) writeStream(c net.Conn, buffer *bufio.ReadWriter, id string, run *engineRun) {
	left := make(chan struct{})
	go func() {
		_, _ = buffer.ReadByte() // the router sends nothing more
		close(left)
	}()
	head, end := "", ""
	if e.chunked {
		head, end = "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Boragewick-Request-Id: %s\r\nX-Boragewick-Response-Seal: %s.%s\r\n"+
		"X-Boragewick-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n%s\r\n", id, e.id, id, head); err != nil {
		return
	}
	lost := false
	for run.made < e.events {
		select {
		case <-time.After(e.pause):
		case <-run.stop:
			return
		case <-left:
			if !lost {
				e.rec.log("%s: the connection of request %s is closed after event %d", e.id, id, run.made)
				return
			}
			left = nil
			continue
		}
		run.made++
		run.copyTo(id)
		if lost {
			continue
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", run.made, id, run.made, e.events)
		if e.chunked {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return
		}
		if run.loses && run.made == e.lostAfter {
			lost = true
			e.rec.log("%s: the answer of request %s is lost by a reset after event %d; the request runs on", e.id, id, run.made)
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	if !lost {
		_, _ = io.WriteString(c, end)
	}
	e.rec.log("%s: request %s is complete with event %d", e.id, id, run.made)
}
