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
	// Load is not written to the log.
	Load EndpointLoad `cbor:"load,omitzero"`
}

// Departure removes an endpoint from the directory unless it has restarted since.
type Departure struct {
	Name        string      `cbor:"name"`
	Incarnation Incarnation `cbor:"incarnation"`
}

// Result is the result of applying a command.
type Result struct {
	Fault    *Fault       `cbor:"fault,omitempty"`
	Decision *Decision    `cbor:"decision,omitempty"`
	Claim    *ClaimResult `cbor:"claim,omitempty"`
	// Order is the recorded order with its Fencing, ready to be sent.
	Order *Order `cbor:"order,omitempty"`
}

// Update brings a receiver from one revision to a newer one.
type Update struct {
	// Snapshot reports whether the update is the complete state and replaces
	// the receiver's.
	Snapshot bool     `cbor:"snapshot,omitempty"`
	Revision Revision `cbor:"revision"`
	Objects  []Object `cbor:"objects,omitempty"`
	Removed  []ID     `cbor:"removed,omitempty"`
	// Endpoints were announced or changed; Departed were removed.
	Endpoints []Endpoint `cbor:"endpoints,omitempty"`
	Departed  []string   `cbor:"departed,omitempty"`
}

// FollowRequest asks for the updates after a revision.
type FollowRequest struct {
	Instance string   `cbor:"instance"`
	After    Revision `cbor:"after"`
}

// Freshness states that Revision was the newest at the instant At. Now is the
// time on the same clock when the response was sent, so that only the difference
// counts.
type Freshness struct {
	Revision Revision  `cbor:"revision" json:"revision"`
	At       time.Time `cbor:"at" json:"at"`
	Now      time.Time `cbor:"now" json:"now"`
}

// FreshnessRequest asks for a Freshness and reports the revision in force at the
// sender.
type FreshnessRequest struct {
	Instance string   `cbor:"instance"`
	InForce  Revision `cbor:"in_force"`
	// Seen is the status of instances that have reported to the sender, if it is
	// a replica.
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
