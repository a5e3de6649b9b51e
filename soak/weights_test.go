package soak

import (
	"encoding/json"
	"net/http"
	"time"
)

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
	if late := time.Duration(e.greyShare() * float64(3*time.Second)); late > 300*time.Millisecond {
		time.Sleep(late) // carried out late, and the answer is lost
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.accept(o.Version, o.Method, o.Holder, o.Fence, o.Expect))
}

// greyShare returns any share up to that of the requests that go wrong.
func (e *engine) greyShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() * e.grey
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
