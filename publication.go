package boragewick

import "context"

// Publication is a complete configuration as an operator has published it.
type Publication struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is the configuration as it was sent.
	Document []byte `cbor:"2,keyasint"`
}

// NamedWeights says that a model is to be served with a version of its weights.
type NamedWeights struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// RegistryCommand is one entry of the log of published configurations. Exactly
// one of its pointers is set.
type RegistryCommand struct {
	Publish *Publication  `cbor:"1,keyasint,omitempty"`
	Weights *NamedWeights `cbor:"2,keyasint,omitempty"`
}

// RegistryState is all that the log of published configurations has agreed on.
type RegistryState struct {
	Publication Publication `cbor:"1,keyasint"`
	// Weights is the newest named version of each model.
	Weights map[string]uint64 `cbor:"2,keyasint,omitempty"`
	// Changed counts the commands that have had an effect.
	Changed uint64 `cbor:"3,keyasint"`
}

// TableDecoder reads the routing table from a published document. The error
// is ErrBadTable.
type TableDecoder interface {
	DecodeTable(document []byte) (*RoutingTable, error)
}

// Administration is what operators and endpoints ask of the control replicas.
type Administration interface {
	// Publish returns once the document is committed, or is not newer than the
	// one in force. The error is ErrBadTable if it is invalid.
	Publish(ctx context.Context, p Publication) error
	// Published returns the newest publication, or ErrNotLeader when that is
	// not certain.
	Published(ctx context.Context) (Publication, error)
	// NameWeights returns once the version is committed.
	NameWeights(ctx context.Context, n NamedWeights) error
	// Register takes in a heartbeat.
	Register(r Registration)
	// Deregister takes in that an endpoint leaves for good.
	Deregister(name string)
}
