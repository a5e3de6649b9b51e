package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serve executes a request.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := r.Header
	if h.Get("Authorization") != "" {
		e.addViolation("UNASKED", "%s received the key of a caller", e.id)
	}
	sent := e.recordArrival(h.Get("X-Boragewick-Request-Id"), e.pool, r.URL.RequestURI(), h.Get("X-Boragewick-Tenant"), string(body))
	if sent == nil {
		return
	}
	e.checkDeparted(sent)
	e.setServerLoad(w.Header())
	from := h.Get("Kv-From")
	var kept *kvCopy
	if from != "" {
		c, _ := e.handles.Load(from)
		if kept, _ = c.(*kvCopy); kept == nil || kept.request != sent.id {
			e.reject(w, http.StatusServiceUnavailable)
			return
		}
	}
	j, status := e.admit(sent, h, kept)
	if j == nil {
		e.reject(w, status)
		return
	}
	e.handles.CompareAndDelete(from, kept) // a request that is refused doesn't use it up
	e.beginBackup(sent.id, j, j.backup)
	run := e.recordStart(sent, e.id, j.weights, from != "")
	defer func() {
		e.mu.Lock()
		delete(e.active, sent.id)
		crashed := e.server == nil || e.boot != j.boot
		e.mu.Unlock()
		close(j.ended)
		e.dropCopy(sent.id, j)
		e.recordEnd(run, crashed)
	}()
	e.recorder.mu.Lock() // callers look at the runs of a request that was repeated
	run.seal = fmt.Sprintf("%x", rand.Uint64())
	e.recorder.mu.Unlock()
	w.Header().Set("X-Boragewick-Response-Seal", run.seal)
	whole := e.beginUnframed(w, r)
	if e.pool == plainPool {
		if e.servePlain(w, r, sent, run, j) {
			whole()
		}
		return
	}
	last, _ := strconv.Atoi(h.Get("Last-Event-Id"))
	if e.serveStream(w, r, sent, j, last) {
		whole()
	}
}

func (e *engine) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Boragewick-Not-Executed", "1")
	w.WriteHeader(status)
}

// admit takes a slot, and checks the cached parts that the engine would use for the
// prompt. It makes the run go on from the copy, if there is one.
func (e *engine) admit(sent *request, h http.Header, kept *kvCopy) (*job, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if want := h.Get("X-Boragewick-Expect-Version"); want != "" && want != strconv.Itoa(e.version) {
		return nil, http.StatusMisdirectedRequest
	}
	reserved := len(e.arrived)
	if e.arrived[sent.id] {
		reserved--
	}
	if e.busy || len(e.active)+reserved >= slots || e.active[sent.id] != nil {
		return nil, http.StatusServiceUnavailable
	}
	j := &job{aborted: make(chan struct{}), ended: make(chan struct{}), boot: e.boot, software: e.software, backup: h.Get("X-Boragewick-Kv-Backup"), memory: map[int]bool{}}
	if kept != nil && !e.useCopy(sent, j, kept) {
		return nil, http.StatusServiceUnavailable
	}
	j.memory[e.version] = true
	if e.pool == modelPool {
		j.weights = e.version
	}
	e.active[sent.id] = j
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
				p = part{version: e.version, tenant: sent.tenant}
			} else if fromStore {
				e.count("parts from a store")
			}
			e.cachePart(salt, id, p)
		}
		if store := e.engineAt(h.Get("X-Boragewick-Kv-Save")); store != nil && store.mu.TryLock() {
			store.cachePart(salt, id, p)
			store.mu.Unlock()
		}
		if p.version != e.version {
			e.addViolation("STALE", "%s uses a part cached under weights %d with weights %d", sent.id, p.version, e.version)
		}
		if p.tenant != sent.tenant && (p.tenant == isolatedTenant || sent.tenant == isolatedTenant) {
			e.addViolation("WALL", "%s of %s uses a part cached for %s", sent.id, sent.tenant, p.tenant)
		}
	}
	return j, 0
}

// cachePart caches a part and evicts others while the cache is full; a part that
// is cached already stays as it is. The caller holds mu.
func (e *engine) cachePart(salt, id string, p part) {
	key := salt + "|" + id
	if _, ok := e.cache[key]; ok {
		return
	}
	for old := range e.cache {
		if len(e.cache) < maxCachedParts {
			break
		}
		delete(e.cache, old)
		oldSalt, oldID, _ := strings.Cut(old, "|")
		e.cacheEvents = append(e.cacheEvents, []any{len(e.cacheEvents) + 1, "-", oldSalt, oldID, 0, modelName})
	}
	e.cache[key] = p
	e.cacheEvents = append(e.cacheEvents, []any{len(e.cacheEvents) + 1, "+", salt, id, partTokens, modelName})
}

// servePlain writes a plain answer. The share failureShare of the answers is
// defective in one of four ways. It reports whether the answer is whole.
func (e *engine) servePlain(w http.ResponseWriter, r *http.Request, sent *request, run *run, j *job) (whole bool) {
	select {
	case <-time.After(plainWorkTime):
	case <-r.Context().Done():
		return false
	case <-j.aborted:
		panic(http.ErrAbortHandler)
	}
	run.body = strings.Repeat(sent.id+" ", 20+len(sent.id)%7) + strings.Repeat("x", sent.padding)
	e.mu.Lock()
	bad, failure := e.rng.Float64() < e.failureShare, e.rng.IntN(4)
	e.mu.Unlock()
	if !bad && sent.padding > 0 {
		return writeSlowly(w, r, run.body, j)
	}
	if !bad {
		writeWhole(w, run.body)
		return true
	}
	c, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer reset(c)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Boragewick-Request-Id: %s\r\nX-Boragewick-Response-Seal: %s\r\n", sent.id, run.seal)
	switch failure {
	case 0: // no length, and closed halfway
		_, _ = rw.WriteString(head + "Connection: close\r\n\r\n" + run.body[:len(run.body)/2])
	case 1: // truncated before its length
		_, _ = fmt.Fprintf(rw, "%sContent-Length: %d\r\n\r\n%s", head, len(run.body), run.body[:len(run.body)/2])
	case 2: // followed by an unsolicited second answer
		answer := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(run.body), run.body)
		_, _ = rw.WriteString(answer + answer)
		_ = rw.Flush()
		time.Sleep(200 * time.Millisecond)
	case 3: // no answer
	}
	_ = rw.Flush()
	return false
}

// serveStream writes the events after last, and reports whether it wrote all.
func (e *engine) serveStream(w http.ResponseWriter, r *http.Request, sent *request, j *job, last int) (whole bool) {
	e.mu.Lock()
	breaksAt := eventsPerStream + 1
	if e.rng.Float64() < e.failureShare {
		breaksAt = 1 + e.rng.IntN(eventsPerStream)
	}
	w.Header().Set("X-Boragewick-Weight-Versions", strconv.Itoa(e.version))
	j.told = e.version
	e.mu.Unlock()
	interval := eventInterval
	if e.weightsChange() {
		interval = longEventInterval
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := newUnreadLimit(w, j)
	defer out.stop()
	for k, pause := last+1, prefillTime; k <= eventsPerStream; k, pause = k+1, interval {
		if pause < longEventInterval {
			pause = pause * time.Duration(e.timePercent()) / 100
		}
		for range 2 { // the memory grows between events, too
			select {
			case <-time.After(pause / 2):
			case <-r.Context().Done():
				return false
			case <-j.aborted:
				panic(http.ErrAbortHandler)
			}
			e.grow(j)
		}
		if sent.crashPart != nil && e.crashOnPart(sent.crashPart, j.boot) {
			panic(http.ErrAbortHandler)
		}
		event := fmt.Sprintf("id: %d\ndata: %s.%d@%d@%s\n\n", k, sent.id, k, j.software, strings.Repeat("x", sent.padding))
		if weights := e.grow(j); weights != j.told {
			event, j.told = fmt.Sprintf("x-boragewick-weight-versions: %d\n%s", weights, event), weights
		}
		if k >= breaksAt {
			e.breakStream(w, r, event)
		}
		if out.write(event) {
			e.cutOff(sent, k)
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		j.produced = k
		e.mu.Unlock()
	}
	return true
}
