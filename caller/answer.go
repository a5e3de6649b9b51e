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
	// writeTimeout is how long a caller may take to read one part of an answer.
	writeTimeout = 30 * time.Second
	// passingRetrySeconds is when to come back after a passing cause.
	passingRetrySeconds = 2
)

// passing are causes that end by themselves.
var passing = []error{
	boragewick.ErrStaleConfig,
	boragewick.ErrNoEndpoint,
	boragewick.ErrOverloaded,
	boragewick.ErrDraining,
}

// answer writes one request's answer to its caller.
type answer struct {
	w       http.ResponseWriter
	request boragewick.RequestID
	// key is the hash of the caller's key.
	key boragewick.KeyHash
	// events tells that the caller asked for server-sent events.
	events bool
	began  bool
}

// faultBody is an error in the OpenAI shape.
type faultBody struct {
	Error faultDetail `json:"error"`
}

type faultDetail struct {
	Message string               `json:"message"`
	Type    string               `json:"type"`
	Code    string               `json:"code"`
	Request boragewick.RequestID `json:"request_id"`
}

// statusOf lists the HTTP status and the OpenAI error type of each cause.
var statusOf = []struct {
	err    error
	status int
	kind   string
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

func (a *answer) ok() error {
	a.w.WriteHeader(http.StatusOK)
	_, err := a.w.Write([]byte("ok\n"))
	return err
}

func (a *answer) json(v any) error {
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(v)
}

// write passes one chunk on and flushes it.
func (a *answer) write(c boragewick.Chunk) error {
	// A recorder in a test has no deadlines; a server's connection has.
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if c.Head != nil {
		a.began = true
		for _, f := range c.Head.Header {
			a.w.Header().Add(f.Name, f.Value)
		}
		a.w.Header().Set(requestIDHeader, string(a.request))
		a.w.WriteHeader(c.Head.Status)
	}
	if len(c.Data) > 0 {
		if _, err := a.w.Write(c.Data); err != nil {
			return errors.Wrapf(boragewick.ErrCanceled, "caller: %s", err)
		}
	}
	if c.End != nil {
		return nil
	}
	return http.NewResponseController(a.w).Flush()
}

// fail tells the caller of the error. After the answer has begun it ends a
// stream with an error event and cuts any other answer off.
func (a *answer) fail(err error, now time.Time) {
	if a.began && !a.events {
		panic(http.ErrAbortHandler)
	}
	status, kind := classify(err)
	body, _ := json.Marshal(faultBody{faultDetail{
		Message: err.Error(),
		Type:    kind,
		Code:    boragewick.CodeOf(err),
		Request: a.request,
	}})
	if a.began {
		_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", body)
		_ = http.NewResponseController(a.w).Flush()
		return
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(boragewick.OutcomeHeader, string(boragewick.OutcomeOf(err)))
	a.setRetryAfter(err, now)
	a.w.WriteHeader(status)
	_, _ = a.w.Write(append(body, '\n'))
}

// setRetryAfter rounds up to whole seconds, so that a retry is not too early.
// Where the instant is not known, a busy or unready system gets a moment.
func (a *answer) setRetryAfter(err error, now time.Time) {
	var retry *boragewick.RetryError
	switch {
	case errors.As(err, &retry):
		seconds := max(1, int(math.Ceil(retry.At.Sub(now).Seconds())))
		a.w.Header().Set("Retry-After", strconv.Itoa(seconds))
	case errors.IsAny(err, passing...):
		a.w.Header().Set("Retry-After", strconv.Itoa(passingRetrySeconds))
	}
}

func classify(err error) (status int, kind string) {
	for _, row := range statusOf {
		if errors.Is(err, row.err) {
			return row.status, row.kind
		}
	}
	return http.StatusInternalServerError, "server_error"
}
