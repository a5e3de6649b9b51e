package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// errHeaderTooLarge marks requests whose header exceeds the limit.
var errHeaderTooLarge = errors.New("header too large")

const (
	// retryAfterFull is the Retry-After of requests that found the pool full. It is
	// also the default for errors without a value of their own.
	retryAfterFull = 300 * time.Millisecond
	// retryAfterNoEndpoint is the Retry-After for a pool without an endpoint.
	retryAfterNoEndpoint = 700 * time.Millisecond
	// retryAfterStale is the Retry-After for a router whose routing table is missing
	// or may be out of date.
	retryAfterStale = 500 * time.Millisecond
)

// errorStatuses maps errors to HTTP status codes; the first match applies. They
// tell the caller that the request did not run, so they are used only for errors
// that are also marked ErrNotRun.
var errorStatuses = []struct {
	err    error
	status int
}{
	{errHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge},
	{boragewick.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{boragewick.ErrMalformed, http.StatusBadRequest},
	{boragewick.ErrUnknownRoute, http.StatusNotFound},
	{boragewick.ErrUnknownKey, http.StatusUnauthorized},
	{boragewick.ErrRateExceeded, http.StatusTooManyRequests},
}

// statusOf returns the HTTP status code for the error.
func statusOf(err error) int {
	notRun := errors.Is(err, boragewick.ErrNotRun)
	if notRun {
		for _, s := range errorStatuses {
			if errors.Is(err, s.err) {
				return s.status
			}
		}
		return http.StatusServiceUnavailable
	}
	if errors.Is(err, boragewick.ErrTimeout) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeError writes the router's own error response, which has no body.
func (x *exchange) writeError(status int, err error) {
	h := x.w.Header()
	clear(h)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(x.retryAfter(err).Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	// After "Connection: close", net/http answers without reading the body first.
	if status == http.StatusRequestEntityTooLarge || errors.Is(err, errNoMemory) && x.r.ContentLength != 0 || x.closing() {
		h.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// retryAfter returns the value of the Retry-After header: after how long a retry
// can succeed.
func (x *exchange) retryAfter(err error) time.Duration {
	var retry *boragewick.RetryError
	switch {
	case errors.As(err, &retry):
		return max(0, retry.At.Sub(x.Clock.Now()))
	case errors.Is(err, boragewick.ErrNoEndpoint):
		return retryAfterNoEndpoint
	case errors.Is(err, boragewick.ErrStaleConfig):
		return retryAfterStale
	default:
		return retryAfterFull
	}
}

// closing reports whether the response asks the caller to close the connection.
func (x *exchange) closing() bool {
	return x.CloseConnections != nil && x.CloseConnections()
}
