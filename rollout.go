package boragewick

import "time"

// Rollout is the change of one route to another version of its model.
type Rollout struct {
	// Route is the route and Target what it is to need.
	Route  ID    `cbor:"route" json:"route"`
	Target Model `cbor:"target" json:"target"`
	// From is what the route needed before, and Switched when it went over;
	// zero before that.
	From     Model     `cbor:"from" json:"from"`
	Switched time.Time `cbor:"switched,omitzero" json:"switched,omitzero"`
	// Failures are the endpoints that could not load the target.
	Failures []LoadFailure `cbor:"failures,omitempty" json:"failures,omitempty"`
}

// RouteSwitch makes a route need the model that it was to need next.
type RouteSwitch struct {
	Route  ID    `cbor:"route"`
	Target Model `cbor:"target"`
}

// LoadFailure is an endpoint that could not load a model.
type LoadFailure struct {
	Endpoint string `cbor:"endpoint" json:"endpoint"`
	// RetryAt is when the endpoint may be tried again.
	RetryAt time.Time `cbor:"retry_at" json:"retry_at"`
	// Refused tells that the endpoint has not tried.
	Refused bool `cbor:"refused,omitempty" json:"refused,omitempty"`
}

// Fleet is what the next step of the rollouts depends on.
type Fleet struct {
	Now time.Time
	// Endpoints are those with a valid lease.
	Endpoints []Endpoint
	// Routes are the routes in force.
	Routes   map[ID]*Route
	Rollouts []Rollout
	// Open are the orders without an outcome.
	Open []Order
	// Before orders the endpoints of a pool by which one is taken first; nil
	// leaves it to their failure domains.
	Before func(a, b *Endpoint) int
	// LoadLimit is the largest number of loads at once.
	LoadLimit int
}

// RolloutStep is what to do next.
type RolloutStep struct {
	// Orders are to be given, without Fencing.
	Orders []Order
	// Switch are the rollouts whose route may go over to its target now.
	Switch []RouteSwitch
	// Done are the rollouts with nothing left to do.
	Done []ID
	// Blocked tells why a rollout waits: ErrLastReady, ErrTooManyLoads,
	// ErrEndpointFailed, ErrNoEndpoint or ErrUnknownRoute.
	Blocked map[ID]error
}
