package httpserver

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// runningRequests is a handler that ends those of its requests that have no answer at the end
// of the drain. Its handler and stopping are set before use.
type runningRequests struct {
	handler http.Handler
	// stopping is set once connections are closed after their response.
	stopping *atomic.Bool

	mu    sync.Mutex
	ended bool
	all   map[*runningRequest]struct{}
}

// runningRequest is the response writer of a request that runs.
type runningRequest struct {
	http.ResponseWriter
	cancel   context.CancelCauseFunc
	begun    atomic.Bool
	stopping *atomic.Bool
}

// ServeHTTP implements http.Handler.
func (a *runningRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	q := &runningRequest{ResponseWriter: w, cancel: cancel, stopping: a.stopping}
	a.add(q)
	defer a.remove(q)
	a.handler.ServeHTTP(q, r.WithContext(ctx))
}

func (a *runningRequests) add(q *runningRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.all == nil {
		a.all = map[*runningRequest]struct{}{}
	}
	a.all[q] = struct{}{}
	if a.ended {
		q.end()
	}
}

func (a *runningRequests) remove(q *runningRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, q)
}

// endUnanswered ends the requests whose response has not begun, also those that come later.
func (a *runningRequests) endUnanswered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	for q := range a.all {
		if !q.begun.Load() {
			q.end()
		}
	}
}

// count returns how many requests run without and with the beginning of a response.
func (a *runningRequests) count() (unanswered, begun int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for q := range a.all {
		if q.begun.Load() {
			begun++
		} else {
			unanswered++
		}
	}
	return unanswered, begun
}

// end makes the handler answer at once. It may wait for the body of the request, which does
// not depend on the context. The cause is set first, as a failed read ends the context too.
func (q *runningRequest) end() {
	q.cancel(errors.Wrap(boragewick.ErrDraining, "end of the drain time"))
	_ = http.NewResponseController(q.ResponseWriter).SetReadDeadline(time.Unix(1, 0))
}

// WriteHeader implements http.ResponseWriter.
func (q *runningRequest) WriteHeader(status int) {
	if status >= http.StatusOK {
		q.begin()
	}
	q.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (q *runningRequest) Write(p []byte) (int, error) {
	q.begin()
	return q.ResponseWriter.Write(p)
}

// begin records that the response begins, and tells the caller if the connection is closed
// after it.
func (q *runningRequest) begin() {
	if !q.begun.Swap(true) && q.stopping.Load() {
		q.Header().Set("Connection", "close")
	}
}

// Unwrap returns the writer below for http.ResponseController.
func (q *runningRequest) Unwrap() http.ResponseWriter { return q.ResponseWriter }
