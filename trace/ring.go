// Package trace keeps the traces of a router's most recent requests.
package trace

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// defaultSize is the capacity of a Ring whose Size is zero.
const defaultSize = 4096

// Ring is a ring buffer of the newest traces. The zero value keeps 4,096. It is
// safe for concurrent use.
type Ring struct {
	// Size is the maximum number of traces; zero means the default.
	Size int

	mu        sync.Mutex
	traces    []*boragewick.Trace
	next      int
	byRequest map[boragewick.RequestID]*boragewick.Trace
}

// Add adds the trace, which must not be modified afterwards. A full ring drops its
// oldest trace.
func (r *Ring) Add(t *boragewick.Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.traces == nil {
		size := r.Size
		if size == 0 {
			size = defaultSize
		}
		r.traces = make([]*boragewick.Trace, size)
		r.byRequest = make(map[boragewick.RequestID]*boragewick.Trace, size)
	}
	if old := r.traces[r.next]; old != nil {
		delete(r.byRequest, old.Request)
	}
	r.traces[r.next] = t
	r.byRequest[t.Request] = t
	r.next = (r.next + 1) % len(r.traces)
}

// Find returns the trace of the request or ErrUnknownObject.
func (r *Ring) Find(id boragewick.RequestID) (*boragewick.Trace, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.byRequest[id]; t != nil {
		return t, nil
	}
	return nil, errors.Wrapf(boragewick.ErrUnknownObject, "no trace of request %s at this router", id)
}
