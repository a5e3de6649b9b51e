package modelengine

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// takeOrder carries out an order and answers when it is done.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o boragewick.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.mu.Lock()
	dead := e.dead
	if o.Fence < e.fence && !e.IgnoreFencing {
		e.mu.Unlock()
		refuse(w, http.StatusConflict, "fenced", "fencing number too old")
		return
	}
	e.fence = max(e.fence, o.Fence)
	load := o.Kind == boragewick.OrderLoad && !slices.Contains(e.models, o.Model)
	e.mu.Unlock()
	if load && !e.loadWeights(dead) {
		panic(http.ErrAbortHandler)
	}
	if !e.carryOut(&o) {
		refuse(w, http.StatusBadRequest, "malformed", "unknown kind of order")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// carryOut reports whether the kind of the order is known.
func (e *Engine) carryOut(o *boragewick.Order) bool {
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

// loadWeights waits for a load and reports whether the engine lived on.
func (e *Engine) loadWeights(dead chan struct{}) bool {
	n := int64(1)
	if e.Loading != nil {
		n = e.Loading.Add(1)
		defer e.Loading.Add(-1)
	}
	cost := cmp.Or(e.LoadTime, defaultLoadTime)
	limit := int64(cmp.Or(e.LoadLimit, defaultLoadLimit))
	if n > limit {
		cost = cost * time.Duration(n) / time.Duration(limit)
	}
	select {
	case <-time.After(cost):
		return true
	case <-dead:
		return false
	}
}

// setModel replaces the model's weights and clears the cache. The caller
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
