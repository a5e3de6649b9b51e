package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// errHeaderTooLarge marks requests whose header is over the limit.
var errHeaderTooLarge = errors.New("header too large")

const (
	// retryFull is after how long a request may come back that found all places
	// of a pool taken.
	retryFull = 300 * time.Millisecond
	// retryNone is the same for a pool without an endpoint.
	retryNone = 700 * time.Millisecond
	// retryStale is the same for a router without a routing table.
	retryStale = 500 * time.Millisecond
)

// statuses maps errors to what callers are told. The first match counts.
// A status that promises that the request did not run needs ErrNotRun besides.
var statuses = []struct {
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

// statusOf returns the status that tells a caller of the error.
func statusOf(err error) int {
	notRun := errors.Is(err, boragewick.ErrNotRun)
	if notRun {
		for _, s := range statuses {
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

// refuse writes an answer of the router's own.
func (x *exchange) refuse(status int, err error) {
	h := x.w.Header()
	clear(h)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(x.retryAfter(err).Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	if status == http.StatusRequestEntityTooLarge || x.closing() {
		h.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// retryAfter returns after how long a new try can succeed.
func (x *exchange) retryAfter(err error) time.Duration {
	var retry *boragewick.RetryError
	switch {
	case errors.As(err, &retry):
		return max(0, retry.At.Sub(x.Clock.Now()))
	case errors.Is(err, boragewick.ErrNoEndpoint):
		return retryNone
	case errors.Is(err, boragewick.ErrStaleConfig):
		return retryStale
	default:
		return retryFull
	}
}

// closing reports whether the caller is to open another connection.
func (x *exchange) closing() bool {
	return x.Closing != nil && x.Closing()
}
