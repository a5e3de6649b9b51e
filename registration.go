package boragewick

import (
	"net/netip"
	"strings"
	"time"
)

// Registration is what an endpoint reports about itself in a heartbeat.
type Registration struct {
	Name string         `cbor:"1,keyasint"`
	Pool string         `cbor:"2,keyasint"`
	Addr netip.AddrPort `cbor:"3,keyasint"`
	// Domain is the failure domain.
	Domain string `cbor:"4,keyasint"`
	Slots  int    `cbor:"5,keyasint,omitempty"`
	// Leaving reports whether the endpoint has stopped accepting new work.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Gone reports whether the endpoint has deregistered.
	Gone bool `cbor:"7,keyasint,omitempty"`
	// WarmAt is when the endpoint is no longer slow after its start, on the
	// receiver's clock.
	WarmAt time.Time `cbor:"-"`
	// Started is when this run of the endpoint began on its own wall clock, in
	// Unix milliseconds. It serves only to order the runs of one endpoint.
	Started int64 `cbor:"8,keyasint"`
	// Number counts the heartbeats of one run.
	Number uint64 `cbor:"9,keyasint"`
	// Weights is the version of the weights of each model that is loaded.
	Weights map[string]uint64 `cbor:"10,keyasint,omitempty"`
	// Silent reports whether no heartbeat has arrived for some time.
	Silent bool `cbor:"11,keyasint,omitempty"`
	// Build identifies the software of the endpoint, and Software is how the text of its
	// version begins, for logs.
	Build    Build  `cbor:"12,keyasint,omitempty"`
	Software string `cbor:"13,keyasint,omitempty"`
}

// maxEndpointName is the maximum length of the name of an endpoint in bytes.
const maxEndpointName = 256

// IsEndpointName reports whether the text can be the name of an endpoint. A name is part of
// paths, of headers and of messages, so it consists of visible ASCII characters without a
// slash.
func IsEndpointName(s string) bool {
	return s != "" && len(s) <= maxEndpointName &&
		!strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' })
}

// Supersedes reports whether r was sent after other by the same endpoint.
func (r *Registration) Supersedes(other *Registration) bool {
	if r.Started != other.Started {
		return r.Started > other.Started
	}
	return r.Number > other.Number
}

// AdoptDeparture records that the endpoint is leaving or gone if the other registration
// of the same run says so, and reports whether this was new. Both last for the rest of
// the run, even if the other registration is older: it may come from a replica that has
// missed the newest heartbeats.
func (r *Registration) AdoptDeparture(other *Registration) bool {
	if r.Started != other.Started {
		return false
	}
	isNew := other.Leaving && !r.Leaving || other.Gone && !r.Gone
	r.Leaving = r.Leaving || other.Leaving
	r.Gone = r.Gone || other.Gone
	return isNew
}

// RegistrationUpdate is a batch of registrations with the positions in a
// directory after which the next batch starts.
type RegistrationUpdate struct {
	Registrations []Registration
	// Revision counts changes.
	Revision uint64
	// Refreshed counts heartbeats and changes.
	Refreshed uint64
	// More reports whether the next batch is not empty.
	More bool
}
