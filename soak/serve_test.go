package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

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
	e.mu.Lock()
	made := j.made
	e.mu.Unlock()
	e.handles.Store(e.advertised.String()+"/h"+m.ID, m.ID)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h" + m.ID, "made": made})
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
