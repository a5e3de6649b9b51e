package boragewick

import "time"

// ZoneReason is why a request may be sent to an endpoint outside the router's own zone.
type ZoneReason string

// The reasons.
const (
	// ZoneFaster: the other zone is faster by at least what leaving costs.
	ZoneFaster ZoneReason = "faster"
	// ZoneTarget: the own zone would miss the target latency, or nearly so.
	ZoneTarget ZoneReason = "target"
	// ZoneNoEndpoints: the own zone has no endpoint for the request.
	ZoneNoEndpoints ZoneReason = "no_endpoints"
	// ZoneFewEndpoints: the own zone has far fewer endpoints than the others.
	ZoneFewEndpoints ZoneReason = "few_endpoints"
	// ZoneUnknown: the endpoint's zone is unknown.
	ZoneUnknown ZoneReason = "unknown_zone"
)

// ZoneCost is what is known of the endpoints of one zone that can take a request.
type ZoneCost struct {
	// Zone is a failure domain; empty if unknown.
	Zone      string
	Endpoints int
	// Millis is the best expected time to the first token in the zone.
	Millis float64
	// Margin is by how many milliseconds an endpoint of the zone must be better than one
	// of the own zone, and Reason is why it may be chosen. Both are set by a ZonePolicy;
	// Reason is empty for the own zone.
	Margin float64
	Reason ZoneReason
}

// ZoneDemand is one request for which a ZonePolicy sets the margins.
type ZoneDemand struct {
	Pool  string
	Route string
	// At is the current time, and Target is when the answer no longer has its full
	// value; zero if the route has no target latency.
	At, Target time.Time
	// TargetLatency is the route's; zero if it has none.
	TargetLatency time.Duration
	// Bytes is the estimated size of the request and its answer.
	Bytes int
	// Zones lists each zone once.
	Zones []ZoneCost
}

// ZoneDispatch is a request that is sent to an endpoint.
type ZoneDispatch struct {
	Pool  string
	Route string
	At    time.Time
	// Zone is that of the endpoint. Reason is empty in the own zone.
	Zone   string
	Reason ZoneReason
	Bytes  int
}

// ZonePolicy decides what an endpoint of another zone must be better by.
type ZonePolicy interface {
	// Applies reports whether zones are considered for a pool. learned reports whether the
	// expected times at its endpoints are learned. Otherwise the pool is served as if there
	// were no zones, and the other methods are not called for it.
	Applies(learned bool) bool
	// SetMargins sets the Margin and the Reason of each zone of the demand.
	SetMargins(d *ZoneDemand)
	// RecordSent records that a request is sent to an endpoint.
	RecordSent(d ZoneDispatch)
}
