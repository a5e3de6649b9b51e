package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	modelPool = "models"
	deskPool  = "desk"
	// storePool are stores of cached parts; they serve no requests.
	storePool = "keep"
	modelName = "m"
	slots     = 16
	events    = 10
	stepOf    = 15 * time.Millisecond
	prefillOf = 20 * time.Millisecond
	deskWork  = 10 * time.Millisecond
	loadOf    = 300 * time.Millisecond
	drainFor  = 2 * time.Second
	held      = 64 << 10 // the memory of an engine in tokens
	mostParts = 24       // that are cached at once
	partSize  = 300      // in tokens
)

// part is a cached part of a prompt.
type part struct {
	version int
	tenant  string
}

// engine is an endpoint of either pool, at an address at which endpoints start
// one after the other.
type engine struct {
	*fleet
	pool       string
	advertised netip.AddrPort
	local      netip.Addr
	number     int
	dialer     net.Dialer

	mu      sync.Mutex
	rng     *rand.Rand
	boot    int
	id      string
	born    int64
	seq     int // of heartbeats
	orders  int
	fence   uint64
	version int
	busy    bool
	leaving bool
	active  map[string]*job
	cache   map[string]part
	happens []any
	server  *http.Server
	stop    context.CancelFunc
	// grey is the share of requests that go wrong.
	grey float64
}

// job is a request that is worked on.
type job struct {
	cut  chan struct{}
	once sync.Once
	made int
}

func (j *job) end() { j.once.Do(func() { close(j.cut) }) }

// up starts the endpoint, under the name that it had or a new one.
func (e *engine) up(sameName bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(e.local, enginePort).String())
	if err != nil {
		e.wrong("soak", "endpoint %d: %v", e.number, err)
		return
	}
	e.boot++
	if !sameName || e.id == "" {
		e.id = fmt.Sprintf("%s-%d-%d", e.pool, e.number, e.boot)
	}
	e.born, e.seq, e.orders, e.fence, e.busy, e.leaving, e.grey = time.Now().UnixMilli(), 0, 0, 0, false, false, 0
	e.active, e.cache, e.happens = map[string]*job{}, map[string]part{}, nil
	e.version = max(e.version, 1)
	ctx, cancel := context.WithCancel(context.Background())
	e.server, e.stop = &http.Server{Handler: e}, cancel
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	if e.pool != storePool {
		go e.beat(ctx)
	}
}

// down ends the endpoint as a crash does.
func (e *engine) down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	e.stop()
	_ = e.server.Close()
	e.server = nil
	for _, j := range e.active {
		j.end()
	}
}

// leave ends the endpoint as planned.
func (e *engine) leave() {
	if e.pool == storePool {
		e.down()
		return
	}
	e.mu.Lock()
	e.leaving = true
	id := e.id
	e.mu.Unlock()
	time.Sleep(drainFor + 2*heartbeat)
	for _, c := range e.controls() {
		if e.call(http.MethodDelete, c, "/instances/"+id, "") == http.StatusOK {
			break
		}
	}
	e.down()
}

// beat sends heartbeats until ctx is done.
func (e *engine) beat(ctx context.Context) {
	controls := e.controls()
	for i := 0; ctx.Err() == nil; time.Sleep(heartbeat) {
		e.mu.Lock()
		e.seq++
		state := "ready"
		if e.leaving {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": e.pool, "address": e.advertised.String(), "zone": fmt.Sprint("z", e.number%3), "version": "v1",
			"slots": slots, "state": state, "coldRemainingMs": 0, "stage": "both", "models": e.models(), "seq": e.seq, "born": e.born,
		})
		id := e.id
		e.mu.Unlock()
		for range controls {
			if e.call(http.MethodPut, controls[i%len(controls)], "/instances/"+id, string(body)) == http.StatusOK {
				break
			}
			i++
		}
	}
}

func (e *engine) models() []any {
	if e.pool != modelPool {
		return []any{}
	}
	return []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
}

// call makes a call to a control process and returns its status, or zero.
func (e *engine) call(method string, addr netip.AddrPort, path, body string) int {
	status, _ := exchange(&e.dialer, method, addr, path, body)
	return status
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Boragewick-Request-Id", r.Header.Get("X-Boragewick-Request-Id"))
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if want := r.Header.Get("X-Boragewick-Expect-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
	case "/report":
		e.report(w)
	case "/order":
		e.takeOrder(w, r)
	case "/kv-events":
		e.tell(w, r)
	case "/kv-move":
		e.move(w, r)
	default:
		if e.pool == storePool {
			e.wrong("ROUTE", "%s reaches a store", r.URL.Path)
			return
		}
		e.serve(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []any{}
	for id, j := range e.active {
		runs = append(runs, []any{id, 100, j.made, 5})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "seq": e.orders, "queued": 0, "active": len(e.active),
		"kvUsed": 100 * len(e.active), "kvTotal": held, "handles": 0, "runs": runs, "born": e.born,
	})
}

// tell answers with what the cache has done.
func (e *engine) tell(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		since = min(since, len(e.happens))
		list, next, boot := e.happens[since:], len(e.happens), e.boot
		e.mu.Unlock()
		if len(list) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			_ = json.NewEncoder(w).Encode(map[string]any{"bootEpoch": boot, "next": next, "lost": false, "events": append([]any{}, list...)})
			return
		}
	}
}
