package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// writeTimeout limits how long the caller may take to read one chunk of a
	// response.
	writeTimeout = 30 * time.Second
	// transientRetrySeconds is the Retry-After value for transientErrors.
	transientRetrySeconds = 2
)

// transientErrors lists conditions that clear without action by the caller.
var transientErrors = []error{
	boragewick.ErrStaleConfig,
	boragewick.ErrNoEndpoint,
	boragewick.ErrOverloaded,
	boragewick.ErrDraining,
}

// response writes the response to one request.
type response struct {
	w         http.ResponseWriter
	requestID boragewick.RequestID
	// keyHash is the hash of the caller's key.
	keyHash boragewick.KeyHash
	// eventStream is set if the caller requested server-sent events.
	eventStream bool
	started     bool
}

// errorBody is an error response in the OpenAI format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string               `json:"message"`
	Type    string               `json:"type"`
	Code    string               `json:"code"`
	Request boragewick.RequestID `json:"request_id"`
}

// errorStatuses maps errors to HTTP statuses and OpenAI error types.
var errorStatuses = []struct {
	err       error
	status    int
	errorType string
}{
	{boragewick.ErrMalformed, http.StatusBadRequest, "invalid_request_error"},
	{boragewick.ErrTooLarge, http.StatusRequestEntityTooLarge, "invalid_request_error"},
	{boragewick.ErrUnknownModel, http.StatusNotFound, "invalid_request_error"},
	{boragewick.ErrUnknownRoute, http.StatusNotFound, "invalid_request_error"},
	{boragewick.ErrMissingKey, http.StatusUnauthorized, "authentication_error"},
	{boragewick.ErrMalformedKey, http.StatusUnauthorized, "authentication_error"},
	{boragewick.ErrUnknownKey, http.StatusUnauthorized, "authentication_error"},
	{boragewick.ErrForbiddenRoute, http.StatusForbidden, "permission_error"},
	{boragewick.ErrRateExceeded, http.StatusTooManyRequests, "rate_limit_error"},
	{boragewick.ErrKeyReused, http.StatusUnprocessableEntity, "invalid_request_error"},
	{boragewick.ErrClaimTaken, http.StatusConflict, "conflict_error"},
	{boragewick.ErrOutcomeUnknown, http.StatusBadGateway, "server_error"},
	{boragewick.ErrOverloaded, http.StatusServiceUnavailable, "overloaded_error"},
	{boragewick.ErrStaleConfig, http.StatusServiceUnavailable, "server_error"},
	{boragewick.ErrDraining, http.StatusServiceUnavailable, "server_error"},
	{boragewick.ErrNoEndpoint, http.StatusServiceUnavailable, "server_error"},
	{boragewick.ErrTimeout, http.StatusGatewayTimeout, "server_error"},
	{boragewick.ErrEndpointFailed, http.StatusBadGateway, "server_error"},
	{boragewick.ErrWrongAnswer, http.StatusBadGateway, "server_error"},
	{boragewick.ErrLinkLost, http.StatusBadGateway, "server_error"},
}

func (r *response) ok() error {
	r.w.WriteHeader(http.StatusOK)
	_, err := r.w.Write([]byte("ok\n"))
	return err
}

func (r *response) json(v any) error {
	r.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(r.w).Encode(v)
}

// write forwards one chunk to the caller and flushes it.
func (r *response) write(c boragewick.Chunk) error {
	// The error is ignored because httptest.ResponseRecorder has no write
	// deadline; connections of an HTTP server do.
	_ = http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if c.Head != nil {
		r.started = true
		for _, f := range c.Head.Header {
			r.w.Header().Add(f.Name, f.Value)
		}
		r.w.Header().Set(requestIDHeader, string(r.requestID))
		r.w.WriteHeader(c.Head.Status)
	}
	if len(c.Data) > 0 {
		if _, err := r.w.Write(c.Data); err != nil {
			return errors.Wrapf(boragewick.ErrCanceled, "caller: %s", err)
		}
	}
	if c.End != nil {
		return nil
	}
	return http.NewResponseController(r.w).Flush()
}

// fail reports the error to the caller. If the response has already started, an
// event stream ends with an error event and any other response is aborted.
func (r *response) fail(err error, now time.Time) {
	if r.started && !r.eventStream {
		panic(http.ErrAbortHandler)
	}
	status, errorType := classify(err)
	body, _ := json.Marshal(errorBody{errorDetail{
		Message: err.Error(),
		Type:    errorType,
		Code:    boragewick.CodeOf(err),
		Request: r.requestID,
	}})
	if r.started {
		_, _ = fmt.Fprintf(r.w, "event: error\ndata: %s\n\n", body)
		_ = http.NewResponseController(r.w).Flush()
		return
	}
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set(boragewick.OutcomeHeader, string(boragewick.OutcomeOf(err)))
	r.setRetryAfter(err, now)
	r.w.WriteHeader(status)
	_, _ = r.w.Write(append(body, '\n'))
}

// setRetryAfter rounds up to whole seconds so that a retry is not too early. For
// transient errors without a known time it sends transientRetrySeconds.
func (r *response) setRetryAfter(err error, now time.Time) {
	var retry *boragewick.RetryError
	switch {
	case errors.As(err, &retry):
		seconds := max(1, int(math.Ceil(retry.At.Sub(now).Seconds())))
		r.w.Header().Set("Retry-After", strconv.Itoa(seconds))
	case errors.IsAny(err, transientErrors...):
		r.w.Header().Set("Retry-After", strconv.Itoa(transientRetrySeconds))
	}
}

func classify(err error) (status int, errorType string) {
	for _, row := range errorStatuses {
		if errors.Is(err, row.err) {
			return row.status, row.errorType
		}
	}
	return http.StatusInternalServerError, "server_error"
}
