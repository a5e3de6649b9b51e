package boragewick

import "time"

// Rollout is the change of one route to another version of its model.
type Rollout struct {
	// Route is the route, and Target is the model that it is to require.
	Route  ID    `cbor:"route" json:"route"`
	Target Model `cbor:"target" json:"target"`
	// From is the model that the route required before, and Switched is when it
	// switched, zero until then.
	From     Model     `cbor:"from" json:"from"`
	Switched time.Time `cbor:"switched,omitzero" json:"switched,omitzero"`
	// Failures are the endpoints that could not load the target.
	Failures []LoadFailure `cbor:"failures,omitempty" json:"failures,omitempty"`
}

// RouteSwitch makes a route require its next model.
type RouteSwitch struct {
	Route  ID    `cbor:"route"`
	Target Model `cbor:"target"`
}

// LoadFailure is an endpoint that could not load a model.
type LoadFailure struct {
	Endpoint string `cbor:"endpoint" json:"endpoint"`
	// RetryAt is when the endpoint may be tried again.
	RetryAt time.Time `cbor:"retry_at" json:"retry_at"`
	// Refused reports whether the endpoint refused without trying.
	Refused bool `cbor:"refused,omitempty" json:"refused,omitempty"`
}

// Fleet is the input to the planning of the next rollout step.
type Fleet struct {
	Now time.Time
	// Endpoints are those with a valid lease.
	Endpoints []Endpoint
	// Routes are the routes in force.
	Routes   map[ID]*Route
	Rollouts []Rollout
	// Open are the orders without an outcome.
	Open []Order
	// Before compares the endpoints of a pool by which one is updated first; nil
	// leaves the order to their failure domains.
	Before func(a, b *Endpoint) int
	// LoadLimit is the largest number of loads at once.
	LoadLimit int
}

// RolloutStep is the next step of the rollouts.
type RolloutStep struct {
	// Orders are the orders to issue, without Fencing.
	Orders []Order
	// Switch are the rollouts whose route may switch to its target now.
	Switch []RouteSwitch
	// Done are the rollouts with nothing left to do.
	Done []ID
	// Blocked holds the reason why a rollout waits: ErrLastReady,
	// ErrTooManyLoads, ErrEndpointFailed, ErrNoEndpoint or ErrUnknownRoute.
	Blocked map[ID]error
}
