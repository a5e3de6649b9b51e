package boragewick

import "time"

// Command is one entry of the replicated log. Exactly one of its pointers is set.
type Command struct {
	// At is the instant at which the leader proposed the command.
	At       time.Time     `cbor:"at"`
	Plan     *Plan         `cbor:"plan,omitempty"`
	Confirm  *Confirm      `cbor:"confirm,omitempty"`
	Announce *Announcement `cbor:"announce,omitempty"`
	Depart   *Departure    `cbor:"depart,omitempty"`
	Claim    *Claim        `cbor:"claim,omitempty"`
	Order    *Order        `cbor:"order,omitempty"`
	Outcome  *OrderOutcome `cbor:"outcome,omitempty"`
	Switch   *RouteSwitch  `cbor:"switch,omitempty"`
	Settle   *Settlement   `cbor:"settle,omitempty"`
}

// Confirm asks for a plan to take effect.
type Confirm struct {
	Plan     ID     `cbor:"plan"`
	Operator string `cbor:"operator"`
}

// Announcement adds or replaces an endpoint in the directory.
type Announcement struct {
	Endpoint Endpoint `cbor:"endpoint"`
	// Load is left out of the log.
	Load EndpointLoad `cbor:"load,omitzero"`
}

// Departure removes an endpoint from the directory unless it has restarted since.
type Departure struct {
	Name        string      `cbor:"name"`
	Incarnation Incarnation `cbor:"incarnation"`
}

// Result is what applying a command gave.
type Result struct {
	Fault    *Fault       `cbor:"fault,omitempty"`
	Decision *Decision    `cbor:"decision,omitempty"`
	Claim    *ClaimResult `cbor:"claim,omitempty"`
	// Order is the order as it is to be given.
	Order *Order `cbor:"order,omitempty"`
}

// Update brings a receiver from one revision to a newer one.
type Update struct {
	// Snapshot tells that the update holds everything and replaces what the
	// receiver has.
	Snapshot bool     `cbor:"snapshot,omitempty"`
	Revision Revision `cbor:"revision"`
	Objects  []Object `cbor:"objects,omitempty"`
	Removed  []ID     `cbor:"removed,omitempty"`
	// Endpoints are announced or changed; Departed are gone.
	Endpoints []Endpoint `cbor:"endpoints,omitempty"`
	Departed  []string   `cbor:"departed,omitempty"`
}

// FollowRequest asks for the updates after a revision.
type FollowRequest struct {
	Instance string   `cbor:"instance"`
	After    Revision `cbor:"after"`
}

// Freshness tells that Revision was the newest at the instant At. Now is the
// same clock when the answer was given, so that only the difference counts.
type Freshness struct {
	Revision Revision  `cbor:"revision" json:"revision"`
	At       time.Time `cbor:"at" json:"at"`
	Now      time.Time `cbor:"now" json:"now"`
}

// FreshnessRequest asks for a Freshness and tells what is in force at the asker.
type FreshnessRequest struct {
	Instance string   `cbor:"instance"`
	InForce  Revision `cbor:"in_force"`
	// Seen is what a replica that asks has heard from instances.
	Seen []InstanceStatus `cbor:"seen,omitempty"`
}

// Methods that control replicas serve on links.
const (
	MethodReplica  = "replica"
	MethodFollow   = "follow"
	MethodFresh    = "fresh"
	MethodAnnounce = "announce"
	MethodGrant    = "grant"
	MethodClaim    = "claim"
	MethodSettle   = "settle"
	MethodPlan     = "plan"
	MethodShow     = "show"
	MethodConfirm  = "confirm"
	MethodGet      = "get"
	MethodMember   = "member"
	MethodStatus   = "status"
)

// Methods that agents serve on links.
const (
	MethodProbe    = "probe"
	MethodDispatch = "dispatch"
	MethodOrder    = "order"
	MethodRevoke   = "revoke"
)
