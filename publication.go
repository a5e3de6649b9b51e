package boragewick

import (
	"context"
	"time"
)

// Publication is a complete configuration as an operator has published it.
type Publication struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is the configuration as it was sent.
	Document []byte `cbor:"2,keyasint"`
}

// NamedWeights requests that a model be served with a version of its weights.
type NamedWeights struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// WeightsNaming is the naming of a version of a model's weights.
type WeightsNaming struct {
	NamedWeights
	At time.Time `cbor:"3,keyasint"`
	// AgeUnknown reports whether the version may have been named long before At.
	AgeUnknown bool `cbor:"4,keyasint,omitempty"`
}

// BootInstant is an instant by the clock of an instance, which counts from its boot.
type BootInstant struct {
	// Boot identifies the instance and its boot; empty if unknown.
	Boot string    `cbor:"1,keyasint,omitempty"`
	At   time.Time `cbor:"2,keyasint,omitzero"`
	// TimeOfDay is the time of day at that instant; zero if unknown. It only serves to
	// detect that At is by another clock.
	TimeOfDay time.Time `cbor:"3,keyasint,omitzero"`
}

// RegistryCommand is one entry of the log of published configurations. Exactly
// one of its pointers is set.
type RegistryCommand struct {
	Publish *Publication  `cbor:"1,keyasint,omitempty"`
	Weights *NamedWeights `cbor:"2,keyasint,omitempty"`
	// NamedAt is when the leader proposed Weights.
	NamedAt BootInstant `cbor:"4,keyasint,omitzero"`
	// Quarantine changes the quarantine of a prompt part.
	Quarantine *Quarantine `cbor:"3,keyasint,omitempty"`
	// Builds changes the builds with which endpoints of a pool may serve.
	Builds *BuildChange `cbor:"5,keyasint,omitempty"`
	// Departure records that a run of an endpoint is leaving or gone.
	Departure *EndpointDeparture `cbor:"6,keyasint,omitempty"`
}

// EndpointDeparture is the departure of one run of an endpoint.
type EndpointDeparture struct {
	Endpoint string `cbor:"1,keyasint"`
	// Started is the Registration.Started of the run.
	Started int64 `cbor:"2,keyasint,omitempty"`
	// Number counts the departures in the log; zero in a command.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// RegistryState is the state that results from the log of published
// configurations.
type RegistryState struct {
	Publication Publication `cbor:"1,keyasint"`
	// Weights is the newest named version of each model.
	Weights map[string]uint64 `cbor:"2,keyasint,omitempty"`
	// Changed counts the commands that have had an effect.
	Changed uint64 `cbor:"3,keyasint"`
	// Quarantined are the prompt parts that are or were in quarantine.
	Quarantined []QuarantinedPart `cbor:"4,keyasint,omitempty"`
	// Builds are those with which endpoints may serve, by pool.
	Builds map[string][]Build `cbor:"5,keyasint,omitempty"`
	// Departures are the newest departures, in the order of their numbers.
	Departures []EndpointDeparture `cbor:"6,keyasint,omitempty"`
}

// TableDecoder decodes the routing table from a published document. The error
// is ErrBadTable.
type TableDecoder interface {
	DecodeTable(document []byte) (*RoutingTable, error)
}

// Administration serves operators and endpoints at the control replicas.
type Administration interface {
	// Publish returns once the document is committed, or is found not to be newer
	// than the one in force. It returns ErrBadTable for an invalid document.
	Publish(ctx context.Context, p Publication) error
	// Published returns the newest publication, or ErrNotLeader if it is not
	// certain to be the newest.
	Published(ctx context.Context) (Publication, error)
	// NameWeights returns once the version is committed.
	NameWeights(ctx context.Context, n NamedWeights) error
	// Register returns once a replica has recorded the heartbeat and, if the endpoint says
	// that it is leaving, that is committed.
	Register(ctx context.Context, r Registration) error
	// Deregister returns once it is committed that an endpoint has left permanently, or
	// no replica knows the endpoint.
	Deregister(ctx context.Context, name string) error
}
