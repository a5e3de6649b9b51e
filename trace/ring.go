// Package trace keeps the traces of a router's last requests.
package trace

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// defaultSize is the number of traces that a zero Ring keeps.
const defaultSize = 4096

// Ring keeps the newest traces. The zero value keeps 4,096. It is safe for
// concurrent use.
type Ring struct {
	// Size is the number of traces; zero means the default.
	Size int

	mu    sync.Mutex
	list  []*boragewick.Trace
	next  int
	index map[boragewick.RequestID]*boragewick.Trace
}

// Add keeps the trace, which nobody may change any more, in place of the oldest.
func (r *Ring) Add(t *boragewick.Trace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil {
		size := r.Size
		if size == 0 {
			size = defaultSize
		}
		r.list = make([]*boragewick.Trace, size)
		r.index = make(map[boragewick.RequestID]*boragewick.Trace, size)
	}
	if old := r.list[r.next]; old != nil {
		delete(r.index, old.Request)
	}
	r.list[r.next] = t
	r.index[t.Request] = t
	r.next = (r.next + 1) % len(r.list)
}

// Find returns the trace of the request or ErrUnknownObject.
func (r *Ring) Find(id boragewick.RequestID) (*boragewick.Trace, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.index[id]; t != nil {
		return t, nil
	}
	return nil, errors.Wrapf(boragewick.ErrUnknownObject, "no trace of request %s at this router", id)
}
