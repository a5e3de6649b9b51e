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
	plainPool = "desk"
	// storePool is the pool of the KV stores, which hold cached parts and serve no
	// requests.
	storePool       = "keep"
	modelName       = "m"
	slots           = 16
	eventsPerStream = 10
	eventInterval   = 15 * time.Millisecond
	prefillTime     = 20 * time.Millisecond
	plainWorkTime   = 10 * time.Millisecond
	loadTime        = 300 * time.Millisecond
	drainTime       = 2 * time.Second
	kvCapacity      = 64 << 10 // of an engine, in tokens
	maxCachedParts  = 24       // of one engine or KV store
	partTokens      = 300      // of each part
	runTokens       = 100      // that a run, or a copy of it, takes beside cached parts
)

// part is a cached part of a prompt.
type part struct {
	version int
	tenant  string
}

// engine simulates an endpoint of any pool. Instances start one after the other at
// its address.
type engine struct {
	*fleet
	pool       string
	advertised netip.AddrPort
	local      netip.Addr
	number     int
	dialer     net.Dialer

	mu       sync.Mutex
	rng      *rand.Rand
	boot     int
	id       string
	born     int64
	seq      int // of the last heartbeat
	orderSeq int
	fence    uint64
	version  int
	// software is the index of its software version.
	software    int
	busy        bool
	draining    bool
	active      map[string]*job
	cache       map[string]part
	cacheEvents []any
	// stopped are the runs that were stopped for a move, and arrived the requests whose runs have
	// a copy here that takes a slot. epoch changes when the engine loses what it keeps.
	stopped map[string]*job
	arrived map[string]bool
	epoch   int
	// fullLink is set while it has no room for moves on its link.
	fullLink bool
	// loads counts the loads of weights that ended.
	loads    int
	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	// failureShare is the share of requests that fail.
	failureShare float64
	// orderRefusal is the status of refused orders; zero means that none are.
	orderRefusal int
	// leavingAckedAt is when a control process first acknowledged that the instance leaves.
	leavingAckedAt time.Time
}

// job is a request in progress.
type job struct {
	aborted  chan struct{}
	ended    chan struct{} // closed once it takes no slot any more
	once     sync.Once
	produced int
	boot     int // of the endpoint
	weights  int // version at the start; zero at plain endpoints
	software int // index of the version of its software
	// memory holds the versions of the weights with which its KV cache was made, and told is the
	// version that its stream has named last.
	memory map[int]bool
	told   int
	moving bool // while a call to move it is in progress
	// backup is the address of the engine that holds a copy of the run, if any.
	backup     string
	backupCopy *kvCopy
}

func (j *job) abort() { j.once.Do(func() { close(j.aborted) }) }

// start starts the endpoint, under its previous instance ID or a new one.
func (e *engine) start(sameID bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(e.local, enginePort).String())
	if err != nil {
		e.addViolation("soak", "endpoint %d: %v", e.number, err)
		return
	}
	if err := e.listen(e.advertised, e.local); err != nil {
		_ = l.Close()
		e.addViolation("soak", "endpoint %d: %v", e.number, err)
		return
	}
	e.boot++
	if !sameID || e.id == "" {
		e.id = fmt.Sprintf("%s-%d-%d", e.pool, e.number, e.boot)
	}
	e.born, e.seq, e.orderSeq, e.fence, e.busy, e.draining, e.failureShare = time.Now().UnixMilli(), 0, 0, 0, false, false, 0
	e.active, e.cache, e.cacheEvents, e.leavingAckedAt = map[string]*job{}, map[string]part{}, nil, time.Time{}
	e.loseMemory()
	e.version = max(e.version, 1)
	ctx, cancel := context.WithCancel(context.Background())
	e.server, e.listener, e.cancel = &http.Server{Handler: e, ConnContext: saveConn}, l, cancel
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	if e.pool != storePool {
		go e.sendHeartbeats(ctx)
	}
}

// crash stops the endpoint at once and aborts its requests, without deregistering
// it.
func (e *engine) crash() {
	e.mu.Lock()
	boot := e.boot
	e.mu.Unlock()
	e.crashInstance(boot)
}

// crashInstance crashes the endpoint if the instance boot still runs, and reports
// whether it did.
func (e *engine) crashInstance(boot int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.boot != boot {
		return false
	}
	e.stopListening(e.advertised)
	e.cancel()
	_ = e.server.Close()
	_ = e.listener.Close() // the server does not know it before Serve runs
	e.server = nil
	for _, j := range e.active {
		j.abort()
	}
	return true
}

// drain reports the endpoint as draining, deregisters it and stops it, some time after
// routers must have stopped to use it. A KV store stops at once.
func (e *engine) drain(linger time.Duration) {
	if e.pool == storePool {
		e.crash()
		return
	}
	e.mu.Lock()
	e.draining = true
	id, boot := e.id, e.boot
	e.mu.Unlock()
	time.Sleep(drainTime + 2*heartbeatInterval + linger)
	for _, c := range e.operatorAddrs() {
		if e.call(http.MethodDelete, c, "/instances/"+id, "") == http.StatusOK {
			break
		}
	}
	e.crashInstance(boot) // and not one that another drain has started since
}

// sendHeartbeats sends heartbeats until ctx is done.
func (e *engine) sendHeartbeats(ctx context.Context) {
	controls := e.operatorAddrs()
	for i := 0; ctx.Err() == nil; time.Sleep(heartbeatInterval) {
		e.mu.Lock()
		e.seq++
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": e.pool, "address": e.advertised.String(), "zone": fmt.Sprint("z", e.number%3), "version": softwareVersions[e.software],
			"slots": slots, "state": state, "coldRemainingMs": 0, "stage": "both", "models": e.models(), "seq": e.seq, "born": e.born,
		})
		id, boot, leaving := e.id, e.boot, e.draining
		e.mu.Unlock()
		for range controls {
			if e.call(http.MethodPut, controls[i%len(controls)], "/instances/"+id, string(body)) == http.StatusOK {
				if leaving {
					e.recordLeavingAck(boot)
				}
				break
			}
			i++
		}
	}
}

// recordLeavingAck records that a control process has acknowledged that the instance leaves.
func (e *engine) recordLeavingAck(boot int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot && e.leavingAckedAt.IsZero() {
		e.leavingAckedAt = time.Now()
	}
}

// checkDeparted checks that routers in touch no longer use an instance whose departure was
// acknowledged.
func (e *engine) checkDeparted(sent *request) {
	e.mu.Lock()
	id, ackedAt := e.id, e.leavingAckedAt
	e.mu.Unlock()
	if ackedAt.IsZero() || time.Since(ackedAt) <= drainTime {
		return
	}
	e.recorder.mu.Lock()
	defer e.recorder.mu.Unlock()
	e.counts["arrivals after a departure"]++
	if e.inTouchForLocked(sent.router, drainTime) {
		e.addViolationLocked("DRAIN", "%s from router %d reached %s %s after its departure was acknowledged", sent.id, sent.router, id, time.Since(ackedAt))
	}
}

func (e *engine) models() []any {
	if e.pool != modelPool {
		return []any{}
	}
	return []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
}

// call sends a request to a control process and returns the status, or zero if
// there was no answer.
func (e *engine) call(method string, addr netip.AddrPort, path, body string) int {
	status, _ := roundTrip(&e.dialer, method, addr, path, body)
	return status
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The previous answer on the connection has left its deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
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
		e.serveReport(w)
	case "/order":
		e.serveOrder(w, r)
	case "/kv-events":
		e.serveCacheEvents(w, r)
	case "/kv-move":
		e.serveMove(w, r)
	default:
		if e.pool == storePool {
			e.addViolation("ROUTE", "%s was sent to a KV store", r.URL.Path)
			return
		}
		e.serve(w, r)
	}
}

// serveReport reports the state of the engine. Requests that are being prefilled are
// active, and become runs at their first event.
func (e *engine) serveReport(w http.ResponseWriter) {
	held := e.copiesHeld()
	e.mu.Lock()
	defer e.mu.Unlock()
	held = runTokens * (held + len(e.arrived))
	runs := []any{}
	for id, j := range e.active {
		if j.produced > 0 {
			runs = append(runs, []any{id, runTokens, j.produced, 5})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "seq": e.orderSeq, "queued": 0, "active": len(e.active),
		"kvUsed": runTokens*len(e.active) + held, "held": held, "kvTotal": kvCapacity, "handles": 0, "runs": runs, "born": e.born,
	})
}

// serveCacheEvents returns the cache events after the position in the request, and
// waits up to Wait-Ms while there are none.
func (e *engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		since = min(since, len(e.cacheEvents))
		list, next, boot := e.cacheEvents[since:], len(e.cacheEvents), e.boot
		e.mu.Unlock()
		if len(list) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			_ = json.NewEncoder(w).Encode(map[string]any{"bootEpoch": boot, "next": next, "lost": false, "events": append([]any{}, list...)})
			return
		}
	}
}
