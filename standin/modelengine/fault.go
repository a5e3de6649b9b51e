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

// The kinds of faults.
const (
	// FaultCrash restarts the engine cold and cuts every stream.
	FaultCrash = "crash"
	// FaultSilence stops all open connections for good; new ones work.
	FaultSilence = "silence"
	// FaultCross gives the next answers another request's ID and text.
	FaultCross = "cross"
	// FaultLate delays the next answers by LateBy.
	FaultLate = "late"
	// FaultTruncate ends the next answers early without [DONE].
	FaultTruncate = "truncate"
	// FaultCut breaks the connections of the next answers after one token.
	FaultCut = "cut"
)

// faults counts the answers that are still to go wrong.
type faults struct {
	silences uint64
	pending  map[string]int
}

// silenceKey is the context key of the number of silences before a connection.
type silenceKey struct{}

// faultRequest is the body of POST /fault.
type faultRequest struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Inject makes the engine fail: at once for FaultCrash and FaultSilence, and
// in the next n answers for the other kinds.
func (e *Engine) Inject(kind string, n int) error {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind {
	case FaultCrash:
		e.start()
	case FaultSilence:
		e.silences++
	case FaultCross, FaultLate, FaultTruncate, FaultCut:
		if e.pending == nil {
			e.pending = map[string]int{}
		}
		e.pending[kind] += n
	default:
		return errors.Wrapf(boragewick.ErrMalformed, "fault %q", kind)
	}
	return nil
}

func (e *Engine) fault(w http.ResponseWriter, r *http.Request) {
	var f faultRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	if err := e.Inject(f.Kind, max(1, f.Count)); err != nil {
		refuse(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// silent reports whether the connection of the context has gone silent.
func (e *Engine) silent(ctx context.Context) bool {
	before, ok := ctx.Value(silenceKey{}).(uint64)
	e.mu.Lock()
	defer e.mu.Unlock()
	return ok && before < e.silences
}

// quiet is a response that nothing leaves once its connection is silent.
type quiet struct {
	http.ResponseWriter
	engine  *Engine
	request *http.Request
}

// Write writes to the connection or hangs until it is closed.
func (q *quiet) Write(b []byte) (int, error) {
	q.check()
	return q.ResponseWriter.Write(b)
}

// WriteHeader begins the response or hangs until the connection is closed.
func (q *quiet) WriteHeader(status int) {
	q.check()
	q.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the response below.
func (q *quiet) Unwrap() http.ResponseWriter { return q.ResponseWriter }

func (q *quiet) check() {
	if q.engine.silent(q.request.Context()) {
		hang(q.request)
	}
}

// hang waits until the caller closes the connection.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a read body lets the server notice the end of the connection
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// afflict applies the pending faults to the answer and returns its delay.
func (e *Engine) afflict(a *answer) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.due(FaultCross) {
		a.id, a.seed = "req_crossed", "crossed"
	}
	if e.due(FaultTruncate) {
		a.cut, a.truncate = 1, true
	}
	if e.due(FaultCut) {
		a.cut = 1
	}
	if e.due(FaultLate) {
		return cmp.Or(e.LateBy, defaultLateBy)
	}
	return 0
}

func (e *Engine) due(kind string) bool {
	if e.pending[kind] == 0 {
		return false
	}
	e.pending[kind]--
	return true
}
