package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"
)

// serveOrder handles an order to load weights.
func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
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
	if delay := time.Duration(e.randomFailureShare() * float64(3*time.Second)); delay > 300*time.Millisecond {
		time.Sleep(delay) // the order is dropped, and the connection ends late without an answer
		panic(http.ErrAbortHandler)
	}
	if delay := e.orderDelay(); delay > 0 {
		e.mu.Lock()
		boot := e.boot
		e.mu.Unlock()
		time.AfterFunc(delay, func() {
			if e.runsAs(boot) {
				e.count("orders carried out late")
				e.acceptOrder(o.Version, o.Method, o.Holder, o.Fence, o.Expect)
			}
		})
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(e.acceptOrder(o.Version, o.Method, o.Holder, o.Fence, o.Expect))
}

// randomFailureShare returns a random share up to failureShare.
func (e *engine) randomFailureShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() * e.failureShare
}

// runsAs reports whether the instance boot runs.
func (e *engine) runsAs(boot int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server != nil && e.boot == boot
}

func (e *engine) acceptOrder(version int, method, holder string, fence uint64, expect *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.mu.Lock()
	newest := e.namedWeights
	e.recorder.mu.Unlock()
	switch {
	case e.orderRefusal != 0:
		return e.orderRefusal
	case fence < e.fence:
		return http.StatusPreconditionFailed
	case version > newest:
		e.addViolation("VERSION", "%s was ordered to load weights %d, but the newest named are %d", e.id, version, newest)
		return http.StatusBadRequest
	case e.busy || expect != nil && *expect != e.orderSeq:
		return http.StatusConflict
	}
	e.fence = fence
	e.recordOrder(e.id, holder, fence)
	if version == e.version {
		return http.StatusOK
	}
	e.busy = true
	e.orderSeq++
	go e.loadWeights(e.boot, version, method)
	return http.StatusAccepted
}

// loadWeights loads the weights. With the method wait it first waits up to 5 s for
// running requests to end; with truncate it aborts them.
func (e *engine) loadWeights(boot, version int, method string) {
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
			j.abort()
		}
	}
	e.mu.Unlock()
	time.Sleep(loadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot == boot {
		e.version, e.busy, e.cache = version, false, map[string]part{}
		e.loads++
		e.count("loads of weights")
		e.loseMemory()
	}
}

// expiredLocked returns the newest version that was acknowledged more than
// weightsTimeout ago, counted in one stretch in which the control processes were
// stable and no link was disturbed.
func (rec *recorder) expiredLocked(by time.Duration) (version int) {
	calm, ok := rec.calmStartLocked()
	if !ok {
		return 0
	}
	for v, at := range rec.weightsAckedAt {
		if calm.After(at) {
			at = calm
		}
		if time.Since(at) > weightsTimeout+by {
			version = max(version, v)
		}
	}
	return version
}

// checkWeightsLocked checks that a request doesn't begin on weights that were
// superseded too long ago.
func (rec *recorder) checkWeightsLocked(req *request, endpoint string, weights int) {
	if weights == 0 || !rec.inTouchLocked(req.router) {
		return
	}
	if newest := rec.expiredLocked(0); weights < newest {
		rec.addViolationLocked("VERSION", "%s from router %d began at %s on weights %d, more than %s after weights %d were acknowledged",
			req.id, req.router, endpoint, weights, weightsTimeout, newest)
	}
}

// maxStuckTime bounds how long engines carry out no order.
const maxStuckTime = 22 * time.Second

// stickEngines makes some or all engines carry out no order, until their weights have
// been too old to begin on for a second.
func stickEngines(f *fleet, rng *rand.Rand) {
	var stuck []*engine
	for _, i := range rng.Perm(f.size.models)[:1+rng.IntN(f.size.models)] {
		stuck = append(stuck, f.engines[i])
	}
	set := func(refusal int) {
		for _, e := range stuck {
			e.mu.Lock()
			e.orderRefusal = refusal
			e.mu.Unlock()
		}
	}
	set([]int{http.StatusConflict, http.StatusServiceUnavailable}[rng.IntN(2)])
	defer set(0)
	for began := time.Now(); time.Since(began) < maxStuckTime; time.Sleep(50 * time.Millisecond) {
		f.recorder.mu.Lock()
		expired := f.expiredLocked(time.Second)
		f.recorder.mu.Unlock()
		old := 0
		for _, e := range stuck {
			e.mu.Lock()
			if e.version < expired {
				old++
			}
			e.mu.Unlock()
		}
		if old > 0 {
			f.count("engines with expired weights")
			return
		}
	}
}
