package boragewick

import (
	"net/netip"
	"time"
)

// WatchRequest asks a control replica for its whole state and for every change
// of it.
type WatchRequest struct {
	Instance string `cbor:"1,keyasint"`
	// Heartbeats asks for all heartbeats and not just for those that change
	// something.
	Heartbeats bool `cbor:"2,keyasint,omitempty"`
	// Version is the publication that the sender has; only newer ones are sent.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// GroupOnly asks for the leader and the list of replicas only.
	GroupOnly bool `cbor:"4,keyasint,omitempty"`
	// Namings are when the sender learned of the latest versions of weights, by its clock,
	// whose current time is Now. A replica that has restarted may not know.
	Namings []WeightsNaming `cbor:"5,keyasint,omitempty"`
	Now     time.Time       `cbor:"6,keyasint,omitzero"`
	// OrdersOnly asks an agent for updates without cached parts, and only if the versions,
	// the progress of an order, whether the engine holds requests, or Down has changed.
	// Agents of earlier versions ignore it.
	OrdersOnly bool `cbor:"7,keyasint,omitempty"`
	// FetchesDocuments reports whether the sender calls MethodDocument, so that updates only
	// tell it the version of a publication. Replicas of earlier versions ignore it.
	FetchesDocuments bool `cbor:"8,keyasint,omitempty"`
	// Departures is the number of the last departure that the sender has; only later ones are
	// sent.
	Departures uint64 `cbor:"9,keyasint,omitempty"`
}

// WatchUpdate holds the changes at a control replica. An omitted part is
// unchanged.
type WatchUpdate struct {
	Publication   *Publication      `cbor:"1,keyasint,omitempty"`
	Weights       map[string]uint64 `cbor:"2,keyasint,omitempty"`
	Registrations []Registration    `cbor:"3,keyasint,omitempty"`
	Directive     *Directive        `cbor:"4,keyasint,omitempty"`
	// Replicas are the link addresses of the control replicas.
	Replicas []netip.AddrPort `cbor:"5,keyasint,omitempty"`
	// Leader is the link address of the leader; invalid if there is none.
	Leader netip.AddrPort `cbor:"6,keyasint,omitempty"`
	// Redirect reports whether the sender is no replica; Replicas are those that it
	// knows, and the stream ends.
	Redirect bool `cbor:"7,keyasint,omitempty"`
	// Routers are the hashes of the names of the routers that watch the sender. They
	// are sent to other replicas.
	Routers []uint64 `cbor:"8,keyasint,omitempty"`
	// RouterCount is the number of routers that watch any replica; zero if unknown.
	RouterCount int `cbor:"9,keyasint,omitempty"`
	// Namings are when the sender learned of the latest versions of weights, by its
	// clock, whose current time is Now.
	Namings []WeightsNaming `cbor:"12,keyasint,omitempty"`
	Now     time.Time       `cbor:"13,keyasint,omitzero"`
	// Quarantined are the prompt parts in quarantine. Suspects are those that were in
	// use at crashed endpoints and not in any complete answer since.
	Quarantined *PartSet `cbor:"10,keyasint,omitempty"`
	Suspects    *PartSet `cbor:"11,keyasint,omitempty"`
	// Builds are those with which endpoints may serve, by pool, after the log's changes
	// that BuildsAfter counts; not set if that is zero.
	Builds      map[string][]Build `cbor:"14,keyasint,omitempty"`
	BuildsAfter uint64             `cbor:"15,keyasint,omitempty"`
	// Departures are those that the watcher has not been sent, in the order of their
	// numbers. Other replicas have them in their log.
	Departures []EndpointDeparture `cbor:"16,keyasint,omitempty"`
	// Published is the version of a publication that the watcher may fetch.
	Published uint64 `cbor:"17,keyasint,omitempty"`
	// Missing are endpoints that have deregistered though the sender has not heard from them
	// since it started. A watcher that knows one calls MethodHeld. Times are by the sender's
	// clock, whose current time is Now.
	Missing []MissingEndpoint `cbor:"18,keyasint,omitempty"`
}

// MissingEndpoint is an endpoint that deregistered at a replica that does not know its run.
type MissingEndpoint struct {
	Endpoint string    `cbor:"1,keyasint"`
	At       time.Time `cbor:"2,keyasint"`
	// Number orders those of one replica.
	Number uint64 `cbor:"3,keyasint"`
}

// HeldEndpoints are the registrations by which a router knows endpoints that a replica misses.
type HeldEndpoints struct {
	Registrations []Registration `cbor:"1,keyasint"`
}

// Directive is the leader's message to routers about endpoints whose weights it
// changes. The newest one replaces all earlier ones.
type Directive struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Loading are the endpoints that get no new work until their weights are
	// changed.
	Loading []string `cbor:"3,keyasint,omitempty"`
	// Loaded holds the versions of their models that endpoints were observed to have
	// after a change.
	Loaded map[string]map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

// Supersedes reports whether the directive is newer than the other one.
func (d *Directive) Supersedes(other *Directive) bool {
	if other == nil || d.Term != other.Term {
		return other == nil || d.Term > other.Term
	}
	return d.Number > other.Number
}

// JoinRequest asks the leader to add a replica to the group.
type JoinRequest struct {
	Member Member `cbor:"1,keyasint"`
	// Leaving reports whether the replica is about to stop. Other replicas than the leader are
	// told too, as one of them may lead next.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// Methods that the control replicas of a self-forming group serve on links.
const (
	MethodWatch      = "watch"
	MethodJoin       = "join"
	MethodPublish    = "publish"
	MethodPublished  = "published"
	MethodWeights    = "weights"
	MethodRegister   = "register"
	MethodDeregister = "deregister"
	MethodDeparture  = "departure"
	MethodDepart     = "depart"
	MethodHeld       = "held"
)
