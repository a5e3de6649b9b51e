package modelengine

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Kinds of injected faults.
const (
	// FaultCrash aborts every stream and restarts the engine with an empty
	// cache.
	FaultCrash = "crash"
	// FaultSilence makes all open connections hang until they are closed;
	// new connections work.
	FaultSilence = "silence"
	// FaultCrossedAnswer gives the next responses the ID and text of another
	// request.
	FaultCrossedAnswer = "cross"
	// FaultLate delays the next responses by LateDelay.
	FaultLate = "late"
	// FaultTruncate ends the next responses early, without [DONE].
	FaultTruncate = "truncate"
	// FaultAbortStream aborts the connections of the next responses after one
	// token.
	FaultAbortStream = "cut"
)

// faults counts the silences so far and, by kind, the responses that are still
// to fail.
type faults struct {
	silences      uint64
	pendingFaults map[string]int
}

// silenceKey is the context key of the number of silences before the connection
// was opened.
type silenceKey struct{}

// faultRequest is the body of POST /fault.
type faultRequest struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Inject applies a fault of the given kind: at once for FaultCrash and
// FaultSilence, to the next n responses for the other kinds.
func (e *Engine) Inject(kind string, n int) error {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case FaultCrash:
		e.start()
	case FaultSilence:
		e.silences++
	case FaultCrossedAnswer, FaultLate, FaultTruncate, FaultAbortStream:
		if e.pendingFaults == nil {
			e.pendingFaults = map[string]int{}
		}
		e.pendingFaults[kind] += n
	default:
		return errors.Wrapf(boragewick.ErrMalformed, "fault %q", kind)
	}
	return nil
}

func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	if err := e.Inject(f.Kind, max(1, f.Count)); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// silent reports whether a FaultSilence was injected since the connection of
// the context was opened.
func (e *Engine) silent(ctx context.Context) bool {
	before, ok := ctx.Value(silenceKey{}).(uint64)
	e.mu.Lock()
	defer e.mu.Unlock()
	return ok && before < e.silences
}

// silenceableWriter is a response writer that hangs instead of writing when its
// connection is silent.
type silenceableWriter struct {
	http.ResponseWriter
	engine  *Engine
	request *http.Request
}

// Write writes the data or, on a silent connection, hangs until it is closed.
func (q *silenceableWriter) Write(b []byte) (int, error) {
	q.hangIfSilent()
	return q.ResponseWriter.Write(b)
}

// WriteHeader sends the status or, on a silent connection, hangs until it is
// closed.
func (q *silenceableWriter) WriteHeader(status int) {
	q.hangIfSilent()
	q.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (q *silenceableWriter) Unwrap() http.ResponseWriter { return q.ResponseWriter }

func (q *silenceableWriter) hangIfSilent() {
	if q.engine.silent(q.request.Context()) {
		hang(q.request)
	}
}

// hang blocks until the caller closes the connection, then aborts the response.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only once the body is read
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// applyFaults applies one pending fault of each kind to the response and
// returns its delay.
func (e *Engine) applyFaults(a *answer) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.consumeFault(FaultCrossedAnswer) {
		a.id, a.seed = "req_crossed", "crossed"
	}
	if e.consumeFault(FaultTruncate) {
		a.cutAfter, a.truncate = 1, true
	}
	if e.consumeFault(FaultAbortStream) {
		a.cutAfter = 1
	}
	if e.consumeFault(FaultLate) {
		return cmp.Or(e.LateDelay, defaultLateDelay)
	}
	return 0
}

// consumeFault takes one pending fault of the kind and reports whether there
// was one. The caller holds mu.
func (e *Engine) consumeFault(kind string) bool {
	if e.pendingFaults[kind] == 0 {
		return false
	}
	e.pendingFaults[kind]--
	return true
}
