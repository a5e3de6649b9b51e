package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
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

// takeOrder accepts new weights.
func (e *engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version        int
		Method, Holder string
		Fence          uint64
		Expect         *int
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if late := time.Duration(e.rng.Float64() * e.greyShare() * float64(3*time.Second)); late > 300*time.Millisecond {
		time.Sleep(late) // carried out late, and the answer is lost
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.accept(o.Version, o.Method, o.Holder, o.Fence, o.Expect))
}

func (e *engine) greyShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.grey
}

func (e *engine) accept(version int, method, holder string, fence uint64, expect *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.book.mu.Lock()
	named := e.named
	e.book.mu.Unlock()
	switch {
	case fence < e.fence:
		return http.StatusPreconditionFailed
	case version > named:
		e.wrong("VERSION", "%s is ordered to load weights %d, and %d are the newest named", e.id, version, named)
		return http.StatusBadRequest
	case e.busy || expect != nil && *expect != e.orders:
		return http.StatusConflict
	}
	e.fence = fence
	e.order(e.id, holder, fence)
	if version == e.version {
		return http.StatusOK
	}
	e.busy = true
	e.orders++
	go e.load(e.boot, version, method)
	return http.StatusAccepted
}

// load changes the weights.
func (e *engine) load(boot, version int, method string) {
	for deadline := time.Now().Add(5 * time.Second); method == "wait" && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		e.mu.Lock()
		k := len(e.active)
		e.mu.Unlock()
		if k == 0 {
			break
		}
	}
	e.mu.Lock()
	for _, j := range e.active {
		if method == "truncate" {
			j.end()
		}
	}
	e.mu.Unlock()
	time.Sleep(loadOf)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.version, e.busy, e.cache = version, false, map[string]part{}
	}
}

// move stops a run and leaves its memory to whoever asks for it by the handle.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var m struct {
		ID   string
		Last bool
	}
	_ = json.NewDecoder(r.Body).Decode(&m)
	e.mu.Lock()
	j := e.active[m.ID]
	e.mu.Unlock()
	if j == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if m.Last {
		j.end()
	}
	e.handles.Store(e.advertised.String()+"/h"+m.ID, m.ID)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h" + m.ID, "made": j.made})
}

// serve works on a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := r.Header
	if h.Get("Authorization") != "" {
		e.wrong("UNASKED", "%s gets a key", e.id)
	}
	a := e.arrive(h.Get("X-Boragewick-Request-Id"), e.pool, r.URL.RequestURI(), h.Get("X-Boragewick-Tenant"), string(body))
	if a == nil {
		return
	}
	from := h.Get("Kv-From")
	if from != "" {
		if id, ok := e.handles.LoadAndDelete(from); !ok || id != a.id {
			e.reject(w, http.StatusServiceUnavailable)
			return
		}
	}
	j, status := e.admit(a, h)
	if j == nil {
		e.reject(w, status)
		return
	}
	run := e.begin(a, e.id, from != "")
	defer func() {
		e.mu.Lock()
		delete(e.active, a.id)
		e.mu.Unlock()
		e.finishRun(run)
	}()
	run.seal = fmt.Sprintf("%x", rand.Uint64())
	w.Header().Set("X-Boragewick-Response-Seal", run.seal)
	if e.pool == deskPool {
		e.answer(w, r, a, run, j)
		return
	}
	last, _ := strconv.Atoi(h.Get("Last-Event-Id"))
	e.stream(w, r, a, j, last)
}

func (e *engine) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Boragewick-Not-Executed", "1")
	w.WriteHeader(status)
}

// admit takes a place, and checks what of the prompt the engine would use.
func (e *engine) admit(a *ask, h http.Header) (*job, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if want := h.Get("X-Boragewick-Expect-Version"); want != "" && want != strconv.Itoa(e.version) {
		return nil, http.StatusMisdirectedRequest
	}
	if e.busy || len(e.active) >= slots || e.active[a.id] != nil {
		return nil, http.StatusServiceUnavailable
	}
	j := &job{cut: make(chan struct{})}
	e.active[a.id] = j
	if backup := h.Get("X-Boragewick-Kv-Backup"); backup != "" {
		e.handles.Store(backup+"/"+a.id, a.id)
	}
	fetched := map[string]part{}
	fromStore := false
	if source := e.engineAt(h.Get("X-Boragewick-Kv-Fetch")); source != nil && source != e && source.mu.TryLock() {
		for key, p := range source.cache {
			fetched[key] = p
		}
		fromStore = source.pool == storePool
		source.mu.Unlock()
	}
	salt := h.Get("X-Boragewick-Cache-Salt")
	for field := range strings.SplitSeq(h.Get("X-Boragewick-Prompt-Prefix"), ",") {
		id, _, found := strings.Cut(field, ":")
		if !found {
			continue
		}
		key := salt + "|" + id
		p, ok := e.cache[key]
		if !ok {
			if p, ok = fetched[key]; !ok {
				p = part{version: e.version, tenant: a.tenant}
			} else if fromStore {
				e.count("parts from a store")
			}
			e.keep(salt, id, p)
		}
		if store := e.engineAt(h.Get("X-Boragewick-Kv-Save")); store != nil && store.mu.TryLock() {
			store.keep(salt, id, p)
			store.mu.Unlock()
		}
		if p.version != e.version {
			e.wrong("STALE", "%s uses a part of weights %d under %d", a.id, p.version, e.version)
		}
		if p.tenant != a.tenant && (p.tenant == walled || a.tenant == walled) {
			e.wrong("WALL", "%s of %s uses a part of %s", a.id, a.tenant, p.tenant)
		}
	}
	return j, 0
}

// keep caches a part and evicts another one when there are too many; the caller
// holds mu. What was kept first stays.
func (e *engine) keep(salt, id string, p part) {
	key := salt + "|" + id
	if _, ok := e.cache[key]; ok {
		return
	}
	for old := range e.cache {
		if len(e.cache) < mostParts {
			break
		}
		delete(e.cache, old)
		oldSalt, oldID, _ := strings.Cut(old, "|")
		e.happens = append(e.happens, []any{len(e.happens) + 1, "-", oldSalt, oldID, 0, modelName})
	}
	e.cache[key] = p
	e.happens = append(e.happens, []any{len(e.happens) + 1, "+", salt, id, partSize, modelName})
}

// answer writes a plain answer, with a length or without.
func (e *engine) answer(w http.ResponseWriter, r *http.Request, a *ask, run *run, j *job) {
	select {
	case <-time.After(deskWork):
	case <-r.Context().Done():
		return
	case <-j.cut:
		panic(http.ErrAbortHandler)
	}
	run.body = strings.Repeat(a.id+" ", 20+len(a.id)%7)
	e.mu.Lock()
	bad, how := e.rng.Float64() < e.grey, e.rng.IntN(4)
	e.mu.Unlock()
	if !bad {
		w.Header().Set("Content-Length", strconv.Itoa(len(run.body)))
		_, _ = io.WriteString(w, run.body)
		return
	}
	c, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer reset(c)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Boragewick-Request-Id: %s\r\nX-Boragewick-Response-Seal: %s\r\n", a.id, run.seal)
	switch how {
	case 0: // no length, and broken off
		_, _ = rw.WriteString(head + "Connection: close\r\n\r\n" + run.body[:len(run.body)/2])
	case 1: // cut short of its length
		_, _ = fmt.Fprintf(rw, "%sContent-Length: %d\r\n\r\n%s", head, len(run.body), run.body[:len(run.body)/2])
	case 2: // followed by an answer that nobody asked for
		whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(run.body), run.body)
		_, _ = rw.WriteString(whole + whole)
		_ = rw.Flush()
		time.Sleep(200 * time.Millisecond)
	case 3: // lost
	}
	_ = rw.Flush()
}

// stream writes the events after last.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, a *ask, j *job, last int) {
	e.mu.Lock()
	breaksAt := events + 1
	if e.rng.Float64() < e.grey {
		breaksAt = 1 + e.rng.IntN(events)
	}
	w.Header().Set("X-Boragewick-Weight-Versions", strconv.Itoa(e.version))
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(w)
	for k, pause := last+1, prefillOf; k <= events; k, pause = k+1, stepOf {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		case <-j.cut:
			panic(http.ErrAbortHandler)
		}
		event := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", k, a.id, k)
		if k >= breaksAt {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = ctl.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = ctl.Flush()
		e.mu.Lock()
		j.made = k
		e.mu.Unlock()
	}
}
