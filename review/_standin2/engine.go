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

// The prompt and the stream of each request, unless a case has others.
const (
	promptTokens = 9190
	streamEvents = 60
	eventPause   = 100 * time.Millisecond
)

const (
	// crashPart is the part of a prompt that crashes engines, and prefill the time until an engine
	// begins to write an answer.
	crashPart = "dead0bad"
	prefill   = 40 * time.Millisecond
	// loadTime is how long new weights take, and backupTime how late a backup gets what a run adds
	// to its memory.
	loadTime   = 830 * time.Millisecond
	backupTime = 100 * time.Millisecond
)

// engine is a stand-in of a model runner. Its settings are not changed after its start.
type engine struct {
	*runner
	// peers are all engines by address.
	peers map[string]*engine
	// slow is how many times as long its moves take.
	slow int
	// events is the number of events of a stream, and pause the time between two.
	events int
	pause  time.Duration
	// chunked is set if streams have chunks; others have neither these nor a length.
	chunked bool
	// onCrash is called with the request that crashes the engine; nil if none does.
	onCrash func(id string)
	// lostAfter is the event after which the connection of one in lostEvery streams is reset while
	// its request runs on; 0 for none.
	lostAfter, lostEvery int
	// onLoaded is called once weights have changed; it may be nil.
	onLoaded func()

	mu   sync.Mutex
	runs map[string]*engineRun
	// history are all runs.
	history []*engineRun
	// copies are the copies of runs' memory by their names.
	copies map[string]memory
	moved  int
	// weights is the version, and orders the number of orders that were carried out.
	weights, orders int
	loading         bool
	// conns are the connections of streams, and crashed is set once the engine has crashed.
	conns   map[net.Conn]bool
	crashed bool
	// link is held while a move is under way.
	link sync.Mutex
}

// memory is a copy of the memory of a run.
type memory struct {
	// made is the number of events that the run had made.
	made int
	// weights is the newest version of the weights on which a part of it was made.
	weights int
}

// engineRun is a request that runs.
type engineRun struct {
	id      string
	stop    chan struct{}
	stopped chan struct{}
	made    int
	// loses is set if the answer is to be lost.
	loses bool
	// backup is the engine that gets the run's memory as it grows; nil without one.
	backup *engine
	// weights is the version that the caller was told last.
	weights int
	// startedAt and endedAt are when the run began and ended.
	startedAt, endedAt time.Time
}

// newEngine returns an engine at the address of a side machine.
func newEngine(rec *record, id string, m *machine, nodes []*machine, peers map[string]*engine) *engine {
	e := &engine{
		runner: newRunner(rec, id, engineService, m.ip, m.zone, nodes), peers: peers, slow: 1, events: streamEvents, pause: eventPause,
		runs: map[string]*engineRun{}, copies: map[string]memory{}, weights: 1, conns: map[net.Conn]bool{},
	}
	peers[e.addr] = e
	return e
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Boragewick-Expect-Instance"); want != "" && want != e.id {
		refuse(w, r, http.StatusMisdirectedRequest)
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
		e.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"), strings.HasPrefix(r.URL.Path, "/kv-pin/"), strings.HasPrefix(r.URL.Path, "/hold-drop/"):
		w.WriteHeader(http.StatusOK)
	default:
		e.serveRequest(w, r)
	}
}

// refuse answers that the request has not run.
func refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Boragewick-Not-Executed", "1")
	w.Header().Set("X-Boragewick-Request-Id", r.Header.Get("X-Boragewick-Request-Id"))
	w.WriteHeader(status)
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
	body := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": model, "version": e.weights, "adapters": []any{}}}, "busy": e.loading, "seq": e.orders,
		"queued": 0, "active": len(e.runs), "kvUsed": len(e.runs) * promptTokens, "kvTotal": 119086, "handles": 0, "pinned": 0, "held": 0,
		"state": "ready", "next": 0, "runs": runs,
	}
	e.mu.Unlock()
	writeJSON(w, body)
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
	for _, at := range []*engine{e, target} {
		at.keep(e.addr+"/"+handle, memory{run.made, run.weights})
	}
	e.rec.log("%s: the move of request %s is answered with handle %s after %d ms", e.id, body.ID, handle, time.Since(started).Milliseconds())
	writeJSON(w, map[string]any{"handle": handle, "made": run.made})
}

// keep keeps a copy of a run's memory.
func (e *engine) keep(name string, m memory) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies[name] = m
}

// take returns a copy and forgets it.
func (e *engine) take(name string) (memory, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.copies[name]
	delete(e.copies, name)
	return m, ok
}

// serveOrder accepts an order to load weights.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version int    `json:"version"`
		Method  string `json:"method"`
		Expect  int    `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.rec.log("%s: order of weights %d, method %s", e.id, order.Version, order.Method)
	go e.load(order.Version, order.Expect)
	w.WriteHeader(http.StatusAccepted)
}

// load carries an order out under the runs, unless another one was accepted before. Runs stand still
// meanwhile.
func (e *engine) load(version, expect int) {
	e.mu.Lock()
	if e.crashed || e.loading || e.orders != expect || e.weights >= version {
		e.mu.Unlock()
		return
	}
	e.orders++
	e.loading = true
	e.mu.Unlock()
	time.Sleep(loadTime)
	e.mu.Lock()
	e.loading, e.weights = false, version
	n := len(e.runs)
	e.mu.Unlock()
	e.rec.log("%s: has weights %d from now on, with %d runs under them", e.id, version, n)
	if e.onLoaded != nil {
		e.onLoaded()
	}
}

// state returns the version of the weights, and whether others are being loaded.
func (e *engine) state() (weights int, loading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights, e.loading
}

// serveRequest runs a request and writes its stream.
func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Boragewick-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	weights, _ := e.state()
	if want := r.Header.Get("X-Boragewick-Expect-Version"); want != "" && want != strconv.Itoa(weights) {
		refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	run := &engineRun{id: id, stop: make(chan struct{}), stopped: make(chan struct{}), weights: weights, startedAt: time.Now()}
	if from := r.Header.Get("Kv-From"); from != "" {
		m, ok := e.take(from)
		if !ok {
			refuse(w, r, http.StatusServiceUnavailable)
			return
		}
		run.made = m.made
		if m.weights > weights {
			e.rec.log("%s: request %s goes on with weights %d from memory of which a part was made on weights %d", e.id, id, weights, m.weights)
		}
	} else if last := r.Header.Get("Last-Event-Id"); last != "" {
		run.made, _ = strconv.Atoi(last)
	}
	if run.made == 0 {
		run.backup = e.peers[r.Header.Get("X-Boragewick-Kv-Backup")]
	}
	e.begin(run)
	defer e.end(run)
	c, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	if !e.addConn(c) {
		return
	}
	defer e.removeConn(c)
	e.rec.log("%s: runs request %s from event %d", e.id, id, run.made+1)
	if e.onCrash != nil && strings.Contains(r.Header.Get("X-Boragewick-Prompt-Prefix"), crashPart) {
		time.Sleep(prefill)
		e.onCrash(id)
		return
	}
	e.writeStream(c, buffer, run)
}

// begin records a run.
func (e *engine) begin(run *engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[run.id] = run
	run.loses = e.lostAfter > 0 && run.made == 0 && len(e.history)%e.lostEvery == 0
	e.history = append(e.history, run)
}

// end records the end of a run.
func (e *engine) end(run *engineRun) {
	close(run.stopped)
	e.mu.Lock()
	defer e.mu.Unlock()
	run.endedAt = time.Now()
	if e.runs[run.id] == run {
		delete(e.runs, run.id)
	}
}

// addConn records the connection of a stream. It reports false once the engine has crashed.
func (e *engine) addConn(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return false
	}
	e.conns[c] = true
	return true
}

func (e *engine) removeConn(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// crash ends the engine at once, with all of its connections. It reports false if it has crashed
// before.
func (e *engine) crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return false
	}
	e.crashed = true
	e.quit()
	for c := range e.conns {
		reset(c)
	}
	_ = e.server.Close()
	return true
}

// reset closes the connection without a regular end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copyMemory sends what the run has in memory to the engine that keeps its backup.
func (e *engine) copyMemory(run *engineRun) {
	e.mu.Lock()
	m := memory{run.made, e.weights}
	dead := e.crashed
	e.mu.Unlock()
	if b := run.backup; b != nil && !dead {
		b.keep(b.addr+"/"+run.id, m)
	}
}

// streamWriter is the connection on which a run writes its events.
type streamWriter struct {
	net.Conn
	chunked bool
}

// event writes one event. line is its first line; it may be empty.
func (s *streamWriter) event(line, id string, n, of int) error {
	event := fmt.Sprintf("%sid: %d\ndata: %s %d of %d\n\n", line, n, id, n, of)
	if s.chunked {
		event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	_, err := io.WriteString(s, event)
	return err
}

// writeStream writes the events of a run until it is complete or stopped.
func (e *engine) writeStream(c net.Conn, buffer *bufio.ReadWriter, run *engineRun) {
	left := make(chan struct{})
	go func() {
		_, _ = buffer.ReadByte() // the router sends nothing more
		close(left)
	}()
	out := &streamWriter{c, e.chunked}
	if err := out.head(e.id, run); err != nil {
		return
	}
	lost := false
	for run.made < e.events {
		select {
		case <-time.After(e.untilEvent(run)):
		case <-run.stop:
			return
		case <-left:
			if !lost {
				e.rec.log("%s: the connection of request %s is closed after event %d", e.id, run.id, run.made)
				return
			}
			left = nil
			continue
		}
		run.made++
		e.copyMemory(run)
		if lost {
			continue
		}
		line := ""
		if weights, _ := e.state(); weights != run.weights {
			run.weights = weights
			line = fmt.Sprintf("x-boragewick-weight-versions: %d\n", weights)
		}
		if err := out.event(line, run.id, run.made, e.events); err != nil {
			return
		}
		if run.loses && run.made == e.lostAfter {
			lost = true
			e.rec.log("%s: the answer of request %s is lost by a reset after event %d; the request runs on", e.id, run.id, run.made)
			reset(c)
		}
	}
	if !lost && e.chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	e.rec.log("%s: request %s is complete with event %d", e.id, run.id, run.made)
}

// untilEvent waits while weights are loaded, and returns the time until the next event. What the run
// adds to its memory until then reaches its backup before.
func (e *engine) untilEvent(run *engineRun) time.Duration {
	for _, loading := e.state(); loading; _, loading = e.state() {
		time.Sleep(5 * time.Millisecond)
	}
	if backupTime < e.pause {
		time.AfterFunc(backupTime, func() { e.copyMemory(run) })
	}
	return e.pause
}

// head writes the head of the response.
func (s *streamWriter) head(engine string, run *engineRun) error {
	chunks := ""
	if s.chunked {
		chunks = "Transfer-Encoding: chunked\r\n"
	}
	_, err := fmt.Fprintf(s, "HTTP/1.1 200 OK\r\nX-Boragewick-Request-Id: %s\r\nX-Boragewick-Response-Seal: %s.%s\r\n"+
		"X-Boragewick-Weight-Versions: %d\r\nContent-Type: text/event-stream\r\n%s\r\n", run.id, engine, run.id, run.weights, chunks)
	return err
}
