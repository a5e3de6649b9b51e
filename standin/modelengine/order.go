package modelengine

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// handleOrder executes an order and responds when it is complete.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o boragewick.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	epochEnded := e.epochEnded
	if o.Fence < e.highestFence && !e.IgnoreFencing {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "fenced", "fencing number too old")
		return
	}
	e.highestFence = max(e.highestFence, o.Fence)
	needsLoad := o.Kind == boragewick.OrderLoad && !slices.Contains(e.models, o.Model)
	e.mu.Unlock()
	if needsLoad && !e.loadWeights(epochEnded) {
		panic(http.ErrAbortHandler)
	}
	if !e.applyOrder(&o) {
		writeError(w, http.StatusBadRequest, "malformed", "unknown kind of order")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder applies the order and returns false if its kind is unknown.
func (e *Engine) applyOrder(o *boragewick.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Kind {
	case boragewick.OrderLoad:
		e.setModel(o.Model)
	case boragewick.OrderRole:
		e.role = o.Role
	default:
		return false
	}
	return true
}

// loadWeights waits for the duration of a load. It returns false if the engine
// crashes meanwhile.
func (e *Engine) loadWeights(epochEnded chan struct{}) bool {
	loads := int64(1)
	if e.RunningLoads != nil {
		loads = e.RunningLoads.Add(1)
		defer e.RunningLoads.Add(-1)
	}
	duration := cmp.Or(e.LoadTime, defaultLoadTime)
	limit := int64(cmp.Or(e.LoadLimit, defaultLoadLimit))
	if loads > limit {
		duration = duration * time.Duration(loads) / time.Duration(limit)
	}
	select {
	case <-time.After(duration):
		return true
	case <-epochEnded:
		return false
	}
}

// setModel loads the model in place of other weights of the same name and
// clears the cache. It does nothing if the model is loaded already. The caller
// holds mu.
func (e *Engine) setModel(m boragewick.Model) {
	if slices.Contains(e.models, m) {
		return
	}
	e.models = slices.DeleteFunc(e.models, func(old boragewick.Model) bool {
		return old.Name == m.Name && old.Weights != m.Weights
	})
	e.models = append(e.models, m)
	e.cache.clear()
	e.publish(boragewick.CacheCleared, nil)
}
