package boragewick

import (
	"context"
	"time"
)

// LimitedRequest is what one request takes from the limit of an endpoint, in thousandths
// of a request.
const LimitedRequest = 1000

// EndpointLimit is the number of requests a second that an endpoint takes from all
// routers together, as one router learned it.
type EndpointLimit struct {
	// MilliPerSecond is in thousandths of a request a second.
	MilliPerSecond uint64 `cbor:"milli_per_second"`
	// NamedAt is when the router last got an answer with the limit, by its clock, whose
	// time is Now when the limit is sent.
	NamedAt time.Time `cbor:"named_at"`
	Now     time.Time `cbor:"now,omitzero"`
}

// EndpointLimiter keeps the requests of all routers within the limits that endpoints
// name.
type EndpointLimiter interface {
	// ReserveRequest takes one request from the limit of a run of an endpoint. If none is
	// available by the deadline it returns ErrRateExceeded as a RetryError, or
	// ErrStaleConfig if the owner of the rates could not be reached. The reservation is
	// settled with LimitedRequest if the request was sent, otherwise with zero.
	ReserveRequest(ctx context.Context, run ID, limit EndpointLimit, deadline time.Time) (Reservation, error)
}
